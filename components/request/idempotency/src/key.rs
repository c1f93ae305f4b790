//! Hashes of keys and request bodies.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of key ranges. The owner of the group `keys/N` owns range N.
pub const KEY_RANGES: u32 = 32;

/// First half of the SHA-256 of client account and idempotency key, in lower-case hex.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(Box<str>);

/// First half of the SHA-256 of a call's method, path and body, in lower-case hex. A retry must
/// have the same fingerprint as the first call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(Box<str>);

impl KeyHash {
    /// Hashes a key together with its client account, so that equal keys of two client accounts
    /// have different hashes.
    pub fn new(client_account: &str, key: &str) -> Self {
        Self(half_digest(&[client_account.as_bytes(), key.as_bytes()]))
    }

    /// The hash in hex.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Fingerprint {
    /// Hashes the method, path and body of a call.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(half_digest(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// Range of a key, from 0 to `KEY_RANGES - 1`, by the first 32 bits of its hash.
pub fn range_of(key: &KeyHash) -> u32 {
    let prefix = u32::from_str_radix(&key.0[..8], 16).unwrap_or(0);
    ((u64::from(prefix) * u64::from(KEY_RANGES)) >> 32) as u32
}

fn half_digest(parts: &[&[u8]]) -> Box<str> {
    let mut hasher = Sha256::new();
    for part in parts {
        // Hashing the length of each part makes ("a", "bc") and ("ab", "c") differ.
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hex::encode(&hasher.finalize()[..16]).into()
}
