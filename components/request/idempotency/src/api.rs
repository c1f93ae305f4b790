//! Claims, decisions and calls to the platform.

use std::sync::Arc;

use types::prelude::*;

use crate::key::{Fingerprint, KeyHash};
use crate::record::{Answer, ClaimId, Segment};

/// Number that the event loop assigns to a claim to match the decision with it.
pub type Token = u64;

/// Claim of a call on its idempotency key.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Identifies the claim in the decision.
    pub token: Token,
    /// The key.
    pub key: KeyHash,
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// The record may be dropped at this time, which must be after the call's own deadline.
    pub expires_at: SystemTime,
    /// Time by which the claim must be stored; it is refused otherwise.
    pub decide_by: Instant,
}

/// Immediate reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// A [`Decision`] with the claim's token follows.
    Pending,
    /// An earlier call with the same key and fingerprint finished with this answer.
    Recorded(Arc<Answer>),
    /// The call may not be dispatched.
    Refused(Refusal),
}

/// Decision on a pending claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The claim is stored and the call may be dispatched once. Its outcome is reported to
    /// `KeyRange::finish` with this id.
    Granted(Token, ClaimId),
    /// An earlier call with the same key and fingerprint finished with this answer.
    Recorded(Token, Arc<Answer>),
    /// The call may not be dispatched.
    Refused(Token, Refusal),
}

/// State of the object that a conditional write requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
}

/// A conditional write of one segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Condition of the write.
    pub condition: Condition,
    /// Value to store; its nonce identifies this write.
    pub segment: Segment,
}

/// A platform call for the event loop to make. At most one is outstanding per range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write a segment, then call `on_written`.
    Write(Box<Write>),
    /// Read a segment whose write has an unknown outcome, then call `on_read_back`.
    Read(u64),
    /// List and read all segments of the range, then call `recover`.
    Recover,
    /// Delete a segment whose entries have all expired, then call `on_deleted`.
    Delete(u64, ObjectVersion),
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write succeeded and the object has this version.
    Written(ObjectVersion),
    /// The condition did not hold.
    Conflict,
    /// The write certainly had no effect, for example because the request was never sent.
    NotSent,
    /// The platform's answer was lost, so the write may have taken effect or may do so later.
    AnswerLost,
}
