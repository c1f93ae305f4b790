//! Content hashes.

use sha2::{Digest, Sha256};

/// SHA-256 as 64 lower-case hex digits.
pub fn sha256_hex(bytes: &[u8]) -> Box<str> {
    hex::encode(Sha256::digest(bytes)).into()
}
