//! Canonical JSON and the content hash of contracts and catalogues.

use serde::Serialize;
use sha2::{Digest, Sha256};

/// JSON without white space and with sorted keys, so that equal values have equal bytes.
///
/// # Panics
///
/// Panics if the value cannot be written as JSON. Contracts and catalogues always can: their map
/// keys are text.
pub fn canonical_json(value: &impl Serialize) -> String {
    // `serde_json::Value` keeps its maps sorted by key.
    serde_json::to_value(value).expect("the type has a JSON form").to_string()
}

/// SHA-256 of the canonical JSON as 64 lower-case hex digits.
pub fn content_hash(value: &impl Serialize) -> Box<str> {
    hash_text(&canonical_json(value))
}

/// SHA-256 of a text as 64 lower-case hex digits; also the stored form of a bearer key.
pub fn hash_text(text: &str) -> Box<str> {
    use std::fmt::Write;
    Sha256::digest(text.as_bytes())
        .iter()
        .fold(String::with_capacity(64), |mut hex, byte| {
            let _ = write!(hex, "{byte:02x}");
            hex
        })
        .into()
}
