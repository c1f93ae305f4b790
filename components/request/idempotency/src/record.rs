//! Stored form of records.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::key::{Fingerprint, KeyHash};

/// Longest answer that is recorded; a repeat of a call with a longer one gets `may_have_run`.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// A recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Box<str>,
    /// Body.
    pub body: Box<str>,
}

/// State of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// Claimed; the call may be running.
    Claimed,
    /// The call finished with this answer.
    Finished(Answer),
    /// The call ended, and nobody knows whether it ran; or its answer is too long to record.
    Unknown,
    /// The call certainly did not run; the key is free again.
    Released,
}

/// One stored entry. A later entry of the same key replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The key.
    pub key: KeyHash,
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// State of the key.
    pub state: EntryState,
    /// The entry may be dropped after this time.
    pub expires_at: SystemTime,
}

/// Value of one object `idempotency/RANGE-SEGMENT`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Segment {
    /// The range.
    pub range: u32,
    /// Number of the segment within the range; never reused.
    pub number: u64,
    /// Fencing number of the owner that wrote this value.
    pub fencing: FencingNumber,
    /// Drawn for this write.
    pub nonce: Nonce,
    /// Nothing is added to a sealed segment; the next one may exist.
    pub sealed: bool,
    /// Entries, oldest first.
    pub entries: Vec<Entry>,
}

/// Name of a segment's object within the kind `idempotency`. Names sort by number.
pub fn segment_name(range: u32, number: u64) -> Box<str> {
    format!("{range:04}-{number:012}").into()
}
