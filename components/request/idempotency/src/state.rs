//! Where a range stands with the platform.

use types::prelude::*;

use crate::api::Write;
use crate::record::Entry;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The stored segments must be read, from the given time on.
    Unread(Option<Instant>),
    /// They are being read.
    Reading,
    /// The latest segment must be rewritten, so that an earlier owner's writes fail.
    Adopting,
    Active,
    /// Another owner has taken the range over.
    Superseded,
}

#[derive(Debug)]
pub(crate) enum Outstanding {
    Written(Box<Sent>),
    /// The answer was lost; the segment must be read, from the given time on.
    Unresolved(Box<Sent>, Option<Instant>),
    ReadBack(Box<Sent>),
    Deletion,
}

/// A write that was handed out.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) write: Write,
    pub(crate) added: Vec<Entry>,
    pub(crate) claims: Vec<u64>,
    /// Entries at the start of `added` that are not claims.
    pub(crate) updates: usize,
}
