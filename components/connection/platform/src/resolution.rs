//! Resolves the outcome of a conditional write whose responses may be lost.

use types::object::Condition;
use types::prelude::*;

/// Next step of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the write with its condition.
    Send,
    /// Read the object back.
    Read,
    /// The write ended with this outcome.
    Done(Outcome),
}

/// Outcome of a write without the object read; see [`WriteOutcome`](crate::WriteOutcome).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write took effect with this version; zero if a read showed that the object to delete
    /// is gone.
    Written(ObjectVersion),
    /// The condition does not hold for the object that was read last.
    Conflict {
        /// Whether the write may have taken effect and been overwritten since.
        may_have_been_written: bool,
    },
    /// The write had no effect and will have none.
    NotWritten,
    /// A response was lost and the object could not be read back.
    Unknown,
}

/// The object as read back from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CurrentObject {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Whether it has the nonce of this write or, if its value has no nonce, the same value.
    pub is_ours: bool,
}

/// State of one write that is being resolved.
///
/// A write is retried only after a read has shown that its condition still holds. It then takes
/// effect at most once, even if the first attempt is still in flight: the platform never reuses a
/// version, so at most one write with the same version in its condition can succeed. For a create
/// this holds only if no one deletes the object before the deadline.
#[derive(Clone, Debug)]
pub struct Resolution {
    condition: Condition,
    is_delete: bool,
    /// Whether a response was lost.
    is_response_lost: bool,
}

impl Resolution {
    /// Creates the state of a write; its first step is [`Step::Send`].
    pub fn new(condition: Condition, is_delete: bool) -> Self {
        Self { condition, is_delete, is_response_lost: false }
    }

    /// Handles a response that confirms the write.
    pub fn on_written(&self, version: ObjectVersion) -> Step {
        Step::Done(Outcome::Written(version))
    }

    /// Handles a response that says that the condition does not hold.
    pub fn on_refused(&self) -> Step {
        Step::Read
    }

    /// Handles the loss of the response to a write that was sent.
    pub fn on_response_lost(&mut self) -> Step {
        self.is_response_lost = true;
        Step::Read
    }

    /// Handles a write that was not sent, or refused before the platform checked its condition.
    pub fn on_not_sent(&self) -> Step {
        Step::Send
    }

    /// Handles the object that was read back; `None` if it does not exist.
    pub fn on_read(&self, object: Option<CurrentObject>) -> Step {
        match (object, self.condition) {
            (None, _) if self.is_delete => Step::Done(Outcome::Written(0)),
            (Some(object), _) if object.is_ours && !self.is_delete => {
                Step::Done(Outcome::Written(object.version))
            }
            (None, Condition::Absent) => Step::Send,
            (Some(object), Condition::Version(version)) if object.version == version => Step::Send,
            _ => Step::Done(Outcome::Conflict { may_have_been_written: self.is_response_lost }),
        }
    }

    /// Returns the outcome of a write that has not ended before the deadline.
    pub fn on_deadline(&self) -> Outcome {
        if self.is_response_lost { Outcome::Unknown } else { Outcome::NotWritten }
    }
}
