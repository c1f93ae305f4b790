//! Hashes of prompt prefixes and what is known of the engines' prefix caches.

use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::Xxh3Default;

use crate::tables::SlotIndex;

/// Bytes of prompt covered by one more prefix hash.
pub const PREFIX_BLOCK_BYTES: usize = 256;
/// Prefixes of one prompt that are considered; longer ones rarely differ in the choice.
pub const MAX_PREFIX_BLOCKS: usize = 16;

/// A change of one replica's prefix cache, as its engine tells it. Events come late and with gaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Grows by one with each event of the replica; a jump is a gap.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

/// What changed in a prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The prefix with this hash was stored.
    Stored(u64),
    /// The prefix with this hash was evicted.
    Evicted(u64),
}

/// Hashes of the prompt's prefixes by whole blocks, shortest first, as engines name them in cache
/// events: `xxh3_64` over the target, a line feed and the first `n * PREFIX_BLOCK_BYTES` bytes.
pub fn prefix_hashes(target: &Target, prompt: &[u8]) -> Vec<u64> {
    let mut hasher = Xxh3Default::new();
    hasher.update(target.to_string().as_bytes());
    hasher.update(b"\n");
    prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            hasher.update(block);
            hasher.digest()
        })
        .collect()
}

/// Prefixes remembered for one replica. At 870 replicas in a data centre this is about 4 MB.
const MAX_PREFIXES: usize = 128;

/// Prefixes that one replica's cache probably holds, oldest first.
#[derive(Debug, Default)]
pub(crate) struct CachedPrefixes {
    hashes: VecDeque<u64>,
    /// Sequence number of the latest cache event.
    sequence: Option<u64>,
}

/// Which replica of a model probably holds a prefix; a hint, since the latest one wins.
pub(crate) type PrefixOwners = HashMap<u64, SlotIndex>;

impl CachedPrefixes {
    pub(crate) fn learn(&mut self, hash: u64, slot: SlotIndex, owners: &mut PrefixOwners) {
        if owners.insert(hash, slot) == Some(slot) {
            return;
        }
        self.hashes.push_back(hash);
        if self.hashes.len() > MAX_PREFIXES
            && let Some(oldest) = self.hashes.pop_front()
        {
            disown(oldest, slot, owners);
        }
    }

    pub(crate) fn event(&mut self, event: CacheEvent, slot: SlotIndex, owners: &mut PrefixOwners) {
        match self.sequence {
            Some(latest) if event.sequence <= latest => return,
            // Evictions may be among the missing events, so nothing learned before is certain.
            Some(latest) if event.sequence > latest + 1 => self.forget(slot, owners),
            _ => {}
        }
        self.sequence = Some(event.sequence);
        match event.change {
            CacheChange::Stored(hash) => self.learn(hash, slot, owners),
            CacheChange::Evicted(hash) => {
                self.hashes.retain(|known| *known != hash);
                disown(hash, slot, owners);
            }
        }
    }

    pub(crate) fn forget(&mut self, slot: SlotIndex, owners: &mut PrefixOwners) {
        for hash in self.hashes.drain(..) {
            disown(hash, slot, owners);
        }
    }
}

fn disown(hash: u64, slot: SlotIndex, owners: &mut PrefixOwners) {
    if owners.get(&hash) == Some(&slot) {
        owners.remove(&hash);
    }
}
