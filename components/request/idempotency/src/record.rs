//! Stored form of records.

use std::io::{Result, Write};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::key::{Fingerprint, KeyHash};

/// Longest entry in its stored form. A repeat of a call with a longer answer gets `may_have_run`.
pub const MAX_ENTRY_BYTES: usize = 128 * 1024;

/// Identifies one claim; no two claims of a range share one, and later ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimId {
    /// Fencing number of the owner that took the claim.
    pub fencing: FencingNumber,
    /// Number of the claim under that owner.
    pub number: u64,
}

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
    Finished(Arc<Answer>),
    /// The call ended, and nobody knows whether it ran; or its answer is too long to record.
    Unknown,
    /// The call certainly did not run; the key is free again.
    Released,
}

/// One stored entry. A later entry of the same key replaces an earlier one, and all entries of one
/// claim expire at the same time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The key.
    pub key: KeyHash,
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// The claim.
    pub claim: ClaimId,
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

impl Entry {
    /// Length of the stored form.
    pub(crate) fn stored_bytes(&self) -> usize {
        let mut length = Length(0);
        // Serialising plain data cannot fail; a failure would count as too long.
        serde_json::to_writer(&mut length, self).map_or(usize::MAX, |()| length.0)
    }
}

/// Counts what is written to it.
struct Length(usize);

impl Write for Length {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// Name of a segment's object within the kind `idempotency`. Names sort by number.
pub fn segment_name(range: u32, number: u64) -> Box<str> {
    format!("{range:04}-{number:012}").into()
}
