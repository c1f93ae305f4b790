//! Claims, decisions and calls to the platform.

use std::sync::Arc;

use types::prelude::*;

use crate::key::{Fingerprint, KeyHash};
use crate::record::{Answer, ClaimId, Segment};

/// Number that the event loop gives to one claim, to match the decision with it.
pub type Token = u64;

/// A call that asks for its key.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Matches the decision with the claim.
    pub token: Token,
    /// The key.
    pub key: KeyHash,
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// Retention ends at this time; must lie after the call's own deadline.
    pub expires_at: SystemTime,
    /// The claim is refused if it is not stored by then.
    pub decide_by: Instant,
}

/// Immediate reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// Wait for the decision.
    Pending,
    /// The call finished earlier; this is its answer.
    Recorded(Arc<Answer>),
    /// The call may not be dispatched.
    Refused(Refusal),
}

/// Later decision on a pending claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The claim is stored; the call may be dispatched once. `KeyRange::finish` takes the id.
    Granted(Token, ClaimId),
    /// The call finished earlier; this is its answer.
    Recorded(Token, Arc<Answer>),
    /// The call may not be dispatched.
    Refused(Token, Refusal),
}

/// Condition of a write.
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
    /// New value; its nonce identifies this write.
    pub segment: Segment,
}

/// A call to the platform that the loop is to make. At most one is outstanding for a range.
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
    /// Written; the object has this version.
    Written(ObjectVersion),
    /// The condition did not hold.
    Conflict,
    /// Certainly not written, for example because the request was never sent.
    NotSent,
    /// The answer was lost; the write may have taken effect or may do so later.
    AnswerLost,
}
