//! Tests of canonical JSON and content hashes.

use std::collections::BTreeMap;

use types::hash::sha256_hex;

use crate::canonical::{canonical_json, content_hash};

/// Guards against a JSON map in insertion order, for instance because another crate enables the
/// feature of `serde_json` that preserves it. Equal contracts would then get different hashes.
#[test]
fn keys_are_sorted() {
    let value = serde_json::json!({ "b": 1, "a": { "d": 1, "c": [2, 1] } });
    assert_eq!(canonical_json(&value), r#"{"a":{"c":[2,1],"d":1},"b":1}"#);
}

/// Guards against a change of the hash function, after which every stored contract would look
/// changed.
#[test]
fn hashes_are_stable() {
    assert_eq!(
        &*sha256_hex(b"abc"),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
    let empty = BTreeMap::<&str, &str>::new();
    assert_eq!(content_hash(&empty), sha256_hex(b"{}"));
}
