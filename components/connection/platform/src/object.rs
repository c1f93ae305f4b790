//! Objects and the outcomes of writes.

use types::prelude::*;

/// An object that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object<T> {
    /// Name within its kind.
    pub name: Box<str>,
    /// Its version, for conditional writes.
    pub version: ObjectVersion,
    /// Its value.
    pub value: T,
}

/// Objects of one kind at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing<T> {
    /// Global version of the listing; a watch from it misses nothing.
    pub version: ObjectVersion,
    /// The objects in order of names.
    pub objects: Vec<Object<T>>,
}

/// How a write or a delete ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome<T> {
    /// It took effect. Zero stands for the version of a deleted object.
    Written {
        /// The object's new version.
        version: ObjectVersion,
    },
    /// The condition does not hold, and this write takes no effect from now on.
    Conflict {
        /// The present object; `None` if there is none or its value has another form.
        current: Option<Object<T>>,
        /// Whether an answer was lost before, so that the write may have taken effect and have
        /// been overwritten since. If false, it never took effect.
        may_have_been_written: bool,
    },
    /// It had no effect and will have none: it was not sent, or the platform refused it.
    NotWritten,
    /// An answer was lost and the platform could not be read since. The nonce tells later.
    Unknown,
}
