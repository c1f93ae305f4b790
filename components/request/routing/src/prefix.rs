//! Hashes of prompt prefixes, and what the engines' prefix caches probably hold.

use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::Xxh3Default;

use crate::tables::SlotIndex;

/// Number of prompt bytes in one block; each hash covers one block more than the one before.
pub const PREFIX_BLOCK_BYTES: usize = 256;
/// Maximum number of prefix hashes per prompt. Longer prefixes rarely change which replica is
/// selected.
pub const MAX_PREFIX_BLOCKS: usize = 16;

/// A change of one replica's prefix cache, as reported by its engine. Events arrive late, and some
/// are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Increases by one with each event of the replica; a larger step means that events were lost.
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

/// Returns the hashes of the prompt's prefixes of whole blocks, shortest first. The engines use the
/// same hashes in cache events: `xxh3_64` over the target, a line feed and the first
/// `n * PREFIX_BLOCK_BYTES` bytes of the prompt.
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

/// Maximum number of prefixes stored per replica. For 870 replicas in a data centre they take about
/// 4 MB.
const MAX_PREFIXES: usize = 128;

/// Prefixes that one replica's cache probably holds.
#[derive(Debug, Default)]
pub(crate) struct CachedPrefixes {
    /// Oldest first.
    hashes: VecDeque<u64>,
    /// Sequence number of the latest cache event.
    sequence: Option<u64>,
}

/// The replica of a model that probably holds each prefix. This is a hint: of several replicas with
/// the prefix, the map has only the latest.
pub(crate) type PrefixOwners = HashMap<u64, SlotIndex>;

impl CachedPrefixes {
    pub(crate) fn insert_hash(&mut self, hash: u64, slot: SlotIndex, owners: &mut PrefixOwners) {
        if owners.insert(hash, slot) == Some(slot) {
            return;
        }
        self.hashes.push_back(hash);
        if self.hashes.len() > MAX_PREFIXES
            && let Some(oldest) = self.hashes.pop_front()
        {
            remove_owner(oldest, slot, owners);
        }
    }

    pub(crate) fn apply(&mut self, event: CacheEvent, slot: SlotIndex, owners: &mut PrefixOwners) {
        match self.sequence {
            Some(latest) if event.sequence <= latest => return,
            // The lost events may include evictions, so none of the stored prefixes is certain.
            Some(latest) if event.sequence > latest + 1 => self.clear(slot, owners),
            _ => {}
        }
        self.sequence = Some(event.sequence);
        match event.change {
            CacheChange::Stored(hash) => self.insert_hash(hash, slot, owners),
            CacheChange::Evicted(hash) => {
                self.hashes.retain(|known| *known != hash);
                remove_owner(hash, slot, owners);
            }
        }
    }

    pub(crate) fn clear(&mut self, slot: SlotIndex, owners: &mut PrefixOwners) {
        for hash in self.hashes.drain(..) {
            remove_owner(hash, slot, owners);
        }
    }
}

fn remove_owner(hash: u64, slot: SlotIndex, owners: &mut PrefixOwners) {
    if owners.get(&hash) == Some(&slot) {
        owners.remove(&hash);
    }
}
