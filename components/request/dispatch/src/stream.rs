//! Completeness of an answer.

/// One event of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A part of a stream, with the number from its `id:` field. The first part has number 0.
    Part(u64),
    /// The end marker of a stream.
    End,
    /// A whole answer that is not a stream, of the announced length.
    Whole,
    /// The connection broke or the answer was unusable.
    Broken,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Drop it: it belongs to another attempt or was already passed on.
    Discard,
    /// Pass it on to the caller.
    Forward,
    /// Pass it on; the answer is complete and `Request::finish` succeeds.
    Complete,
    /// Parts are missing: resume, retry or fail explicitly.
    Broken,
}
