//! The records of one key range on its owner.

use types::prelude::*;

use crate::key::{Fingerprint, KeyHash};
use crate::record::{Answer, EntryState, Segment};

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
    Recorded(Answer),
    /// The call may not be dispatched.
    Refused(Refusal),
}

/// Later decision on a pending claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The claim is stored; the call may be dispatched once.
    Granted(Token),
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

/// A call to the platform that the loop is to make. At most one is outstanding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write a segment, then call `written`.
    Write(Box<Write>),
    /// Read a segment whose write has an unknown outcome, then call `read_back`.
    Read(u64),
    /// List and read all segments of the range again, then call `recover`.
    Recover,
    /// Delete a segment whose entries have all expired, then call `deleted`.
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
    Lost,
}

/// The records of one range on the instance that owns it.
#[derive(Debug)]
pub struct KeyRange {
    range: u32,
}

impl KeyRange {
    /// The range under a new owner. It grants nothing before `recover` has succeeded.
    pub fn new(range: u32, _fencing: FencingNumber) -> Self {
        Self { range }
    }

    /// Number of the range.
    pub fn range(&self) -> u32 {
        self.range
    }

    /// Takes all stored segments of the range with their versions. Returns false if a segment
    /// carries a higher fencing number: the range then has another owner.
    pub fn recover(&mut self, _stored: Vec<(ObjectVersion, Segment)>, _now: SystemTime) -> bool {
        true
    }

    /// Asks for a key.
    pub fn claim(&mut self, _claim: Claim, _now: Instant, _wall: SystemTime) -> ClaimReply {
        ClaimReply::Refused(Refusal::not_run(Reason::RecordUnavailable))
    }

    /// Records how a granted call ended. `Claimed` is ignored.
    pub fn finish(&mut self, _key: &KeyHash, _fingerprint: &Fingerprint, _state: EntryState) {}

    /// The platform call to make now, if any. `nonce` is drawn by the caller for each call.
    pub fn poll(&mut self, _nonce: Nonce, _now: Instant, _wall: SystemTime) -> Option<Action> {
        None
    }

    /// Takes the outcome of the outstanding write.
    pub fn written(&mut self, _result: WriteResult, _now: Instant) -> Vec<Decision> {
        Vec::new()
    }

    /// Takes the value read after a lost answer; `None` if the object does not exist, `Err` if
    /// it could not be read.
    pub fn read_back(
        &mut self,
        _stored: Result<Option<(ObjectVersion, Segment)>, ()>,
        _now: Instant,
    ) -> Vec<Decision> {
        Vec::new()
    }

    /// Takes the outcome of a deletion.
    pub fn deleted(&mut self, _number: u64, _gone: bool) {}

    /// Refuses pending claims whose time to decide has passed.
    pub fn expire(&mut self, _now: Instant) -> Vec<Decision> {
        Vec::new()
    }

    /// When `poll` or `expire` is due next.
    pub fn next_deadline(&self) -> Option<Instant> {
        None
    }
}
