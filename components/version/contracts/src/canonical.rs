//! Canonical JSON and the content hash of contracts and catalogues.

use serde::Serialize;
use types::hash::sha256_hex;

/// Serialises a value as JSON without white space and with sorted keys, so that equal values have
/// equal bytes.
///
/// # Panics
///
/// Panics if the value cannot be represented as JSON. This does not happen with contracts and
/// catalogues, since their map keys are strings.
pub fn canonical_json(value: &impl Serialize) -> String {
    // `serde_json::Value` keeps its maps sorted by key.
    serde_json::to_value(value).expect("the type has a JSON form").to_string()
}

/// Returns the SHA-256 of the canonical JSON as 64 lower-case hex digits.
pub fn content_hash(value: &impl Serialize) -> Box<str> {
    sha256_hex(canonical_json(value).as_bytes())
}
