//! Outcome of one conditional write whose answers may be lost.

use types::object::Condition;
use types::prelude::*;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the write with its condition.
    Send,
    /// Read the object.
    Read,
    /// Finished.
    Done(End),
}

/// How the write ended; see [`WriteOutcome`](crate::WriteOutcome).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It took effect.
    Written(ObjectVersion),
    /// The object that was read last stands in its way.
    Conflict {
        /// Whether it may have taken effect and have been overwritten since.
        may_have_been_written: bool,
    },
    /// It had no effect and will have none.
    NotWritten,
    /// Nobody knows.
    Unknown,
}

/// The object as it was read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Present {
    /// Its version.
    pub version: ObjectVersion,
    /// Whether it carries the nonce of this write (or, without nonces, the same value).
    pub is_ours: bool,
}

/// Resolves one write.
///
/// A write is sent again only after a read that shows that its condition still holds. It then
/// takes effect at most once, even if the first one is still on its way: the platform never uses a
/// version twice, so at most one write with the same version in its condition can succeed. A
/// create is covered only as long as nobody deletes the object within the deadline.
#[derive(Clone, Debug)]
pub struct Resolution {
    condition: Condition,
    is_delete: bool,
    /// Whether an answer was lost.
    lost: bool,
}

impl Resolution {
    /// Starts with [`Step::Send`].
    pub fn new(condition: Condition, is_delete: bool) -> Self {
        Self { condition, is_delete, lost: false }
    }

    /// The platform confirmed the write.
    pub fn on_written(&self, version: ObjectVersion) -> Step {
        Step::Done(End::Written(version))
    }

    /// The platform answered that the condition does not hold.
    pub fn on_refused(&self) -> Step {
        Step::Read
    }

    /// The write was sent and its answer was lost.
    pub fn on_lost(&mut self) -> Step {
        self.lost = true;
        Step::Read
    }

    /// The write was not sent, or refused before its condition was looked at.
    pub fn on_not_sent(&self) -> Step {
        Step::Send
    }

    /// The object was read.
    pub fn on_read(&self, present: Option<Present>) -> Step {
        match (present, self.condition) {
            (None, _) if self.is_delete => Step::Done(End::Written(0)),
            (Some(present), _) if present.is_ours && !self.is_delete => {
                Step::Done(End::Written(present.version))
            }
            (None, Condition::Absent) => Step::Send,
            (Some(present), Condition::Version(version)) if present.version == version => {
                Step::Send
            }
            _ => Step::Done(End::Conflict { may_have_been_written: self.lost }),
        }
    }

    /// The deadline passed before the write ended.
    pub fn on_deadline(&self) -> End {
        if self.lost { End::Unknown } else { End::NotWritten }
    }
}
