//! Records as they are stored on the platform.

use std::io::{Result, Write};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::key::{Fingerprint, KeyHash};

/// Maximum length of an entry in its stored form. An answer that makes its entry longer is not
/// recorded, and a retry of the call gets `may_have_run`.
pub const MAX_ENTRY_BYTES: usize = 128 * 1024;

/// Identifies a claim within its range. Ids are never reused, and a later claim has a greater id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimId {
    /// Fencing number of the owner that accepted the claim.
    pub fencing: FencingNumber,
    /// Number that this owner assigned to the claim.
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

/// State of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// The call was granted the key and may be running.
    Claimed,
    /// The call finished with this answer.
    Finished(Arc<Answer>),
    /// The call ended, but it is unknown whether it ran; or its answer is too long to record.
    Unknown,
    /// The call certainly did not run, and the key can be claimed again.
    Released,
}

/// One record of the log. A later entry of a key replaces the earlier one. All entries of a claim
/// expire at the same time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The key.
    pub key: KeyHash,
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// The claim that the entry belongs to.
    pub claim: ClaimId,
    /// State of the key.
    pub state: EntryState,
    /// The entry may be dropped after this time.
    pub expires_at: SystemTime,
}

/// Value of the object `idempotency/RANGE-SEGMENT`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Segment {
    /// Number of the range.
    pub range: u32,
    /// Number of the segment within the range; never reused.
    pub number: u64,
    /// Fencing number of the owner that wrote this value.
    pub fencing: FencingNumber,
    /// Random number that identifies the write of this value.
    pub nonce: Nonce,
    /// A sealed segment receives no more entries, and the next segment may exist.
    pub sealed: bool,
    /// Entries, oldest first.
    pub entries: Vec<Entry>,
}

impl Entry {
    /// Length of the stored form in bytes.
    pub(crate) fn stored_bytes(&self) -> usize {
        let mut counter = ByteCounter(0);
        // Serialising plain data cannot fail; a failure would count as too long.
        serde_json::to_writer(&mut counter, self).map_or(usize::MAX, |()| counter.0)
    }
}

/// Counts the bytes written to it and discards them.
struct ByteCounter(usize);

impl Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// Name of a segment's object within the kind `idempotency`. Numbers are zero-padded, so that names
/// sort by number.
pub fn segment_name(range: u32, number: u64) -> Box<str> {
    format!("{range:04}-{number:012}").into()
}
