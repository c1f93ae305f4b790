//! Hashes of keys and request bodies.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Key ranges in all; each has one owner through the group `keys/N`.
pub const KEY_RANGES: u32 = 32;

/// First half of the SHA-256 of client account and idempotency key, lower-case hex.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(Box<str>);

/// First half of the SHA-256 of what a repeat must have in common, lower-case hex.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(Box<str>);

impl KeyHash {
    /// Hashes a client account's key; equal keys of two client accounts differ.
    pub fn new(client_account: &str, key: &str) -> Self {
        Self(half_digest(&[client_account.as_bytes(), key.as_bytes()]))
    }

    /// The hash as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Fingerprint {
    /// Hashes method, path and body of a call.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(half_digest(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// Range that a key falls into, from 0 to `KEY_RANGES - 1`.
pub fn range_of(key: &KeyHash) -> u32 {
    let head = u32::from_str_radix(&key.0[..8], 16).unwrap_or(0);
    ((u64::from(head) * u64::from(KEY_RANGES)) >> 32) as u32
}

fn half_digest(parts: &[&[u8]]) -> Box<str> {
    let mut hash = Sha256::new();
    for part in parts {
        // The length keeps ("a", "bc") and ("ab", "c") apart.
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hex::encode(&hash.finalize()[..16]).into()
}
