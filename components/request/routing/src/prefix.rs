//! Hashes of prompt prefixes and what is known of the engines' prefix caches.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

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

/// Hashes of the prompt's prefixes by whole blocks, shortest first. Each hash covers everything
/// before it.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut seed = 0;
    prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}
