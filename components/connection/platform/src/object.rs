//! Objects of the platform and outcomes of writes.

use types::prelude::*;

/// An object as read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object<T> {
    /// Name, unique within the kind.
    pub name: Box<str>,
    /// Version of the object, for conditional writes.
    pub version: ObjectVersion,
    /// Decoded value.
    pub value: T,
}

/// Objects of one kind at one global version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing<T> {
    /// Global version of the listing. A watch from this version misses no change.
    pub version: ObjectVersion,
    /// Objects in order of their names.
    pub objects: Vec<Object<T>>,
}

/// Outcome of a write or delete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome<T> {
    /// The write or delete took effect.
    Written {
        /// Version of the write or delete; zero if a read after a lost response showed that the
        /// object is gone.
        version: ObjectVersion,
    },
    /// The condition does not hold, and the write will not take effect any more.
    Conflict {
        /// The current object; `None` if it does not exist or its value cannot be decoded.
        current: Option<Object<T>>,
        /// Whether a response was lost, so that the write may have taken effect and been
        /// overwritten since. If false, it never took effect.
        may_have_been_written: bool,
    },
    /// The write had no effect and will have none: it was not sent, or the platform refused it.
    NotWritten,
    /// A response was lost and the object could not be read back. A later read can tell by the
    /// nonce whether the write took effect.
    Unknown,
}
