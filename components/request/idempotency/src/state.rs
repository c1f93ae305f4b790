//! Phases of a range and its outstanding platform call.

use types::prelude::*;

use crate::api::Write;
use crate::record::Entry;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The owner must read the stored segments, at the given time or at once.
    NeedsRecovery(Option<Instant>),
    /// The owner is reading the stored segments.
    Recovering,
    /// The owner must rewrite the latest segment, so that an earlier owner's writes fail.
    Fencing,
    Active,
    /// Another owner has taken over the range.
    Superseded,
}

#[derive(Debug)]
pub(crate) enum OutstandingCall {
    Write(Box<SentWrite>),
    /// The answer to the write was lost, and the segment must be read back at the given time or at
    /// once.
    Unresolved(Box<SentWrite>, Option<Instant>),
    ReadBack(Box<SentWrite>),
    Delete,
}

/// A write that was returned to the caller for sending.
#[derive(Debug)]
pub(crate) struct SentWrite {
    pub(crate) write: Write,
    /// New entries: updates first, then claims.
    pub(crate) added: Vec<Entry>,
    pub(crate) claim_numbers: Vec<u64>,
    /// Number of entries at the start of `added` that are updates.
    pub(crate) update_count: usize,
}
