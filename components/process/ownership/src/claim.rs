//! State of one candidate group, and its conditional writes.

use types::object::{CallId, Condition, ObjectCall, ObjectKey, encode};
use types::prelude::*;

use crate::GroupObject;
use crate::retry_backoff::Backoff;

/// The owner of a group as last announced or read; it may be outdated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Hint {
    pub(crate) owner: InstanceId,
    pub(crate) incarnation: Incarnation,
    /// End of the hint: the group is checked unless the hint was renewed by then.
    pub(crate) until: Instant,
}

/// Ownership of a group by this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Held {
    pub(crate) fencing: FencingNumber,
    pub(crate) version: ObjectVersion,
    /// Lease epoch of the claim. If the current epoch differs, the group has to be claimed again
    /// before it is used.
    pub(crate) epoch: u64,
    /// The group has to be claimed again even though the epoch is the same.
    pub(crate) must_reclaim: bool,
}

/// Progress of releasing a group at a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Release {
    NotRequested,
    /// The event loop was told to release the group.
    Requested,
    /// The event loop issues nothing more for the group, which can be made vacant.
    Done,
}

/// Purpose of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Intent {
    Claim,
    /// Makes the group vacant at a planned stop.
    Vacate,
}

/// A conditional write of the group object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GroupWrite {
    pub(crate) intent: Intent,
    pub(crate) condition: Condition,
    pub(crate) value: GroupObject,
    /// Lease epoch at the time of the write.
    pub(crate) epoch: u64,
}

/// Current step of checking, claiming or vacating a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Idle,
    ReadingGroup {
        call: CallId,
    },
    ReadingLease {
        call: CallId,
        sent_at: Instant,
        object: GroupObject,
        version: ObjectVersion,
    },
    /// The group may be claimed and waits for the rate limit of claims. Waiting is safe, because
    /// the write is conditional on the version that was read.
    Queued {
        condition: Condition,
        fencing: FencingNumber,
    },
    Writing {
        call: CallId,
        write: GroupWrite,
    },
    /// The outcome of a write is unknown: the object is read back to look for its nonce.
    ReadingBack {
        call: CallId,
        write: GroupWrite,
    },
    /// The write or the read-back failed; the object is read back at this time.
    Retrying {
        at: Instant,
        write: GroupWrite,
    },
}

/// State of one candidate group.
#[derive(Debug)]
pub(crate) struct Claim {
    pub(crate) hint: Option<Hint>,
    /// Time of the next check whether the group needs an owner.
    pub(crate) check_at: Instant,
    /// `check_at` without the delay for this instance's rank, which changes with the number of
    /// groups that members own. `None` if `check_at` does not depend on the rank.
    pub(crate) unranked_check_at: Option<Instant>,
    /// Bypasses the rate limits of checks and claims. Handovers may do so, because one never covers
    /// more than the groups of a single instance.
    pub(crate) urgent: bool,
    pub(crate) held: Option<Held>,
    pub(crate) step: Step,
    pub(crate) backoff: Backoff,
    /// Progress of releasing the group at a planned stop.
    pub(crate) release: Release,
}

impl Claim {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            hint: None,
            check_at: now,
            unranked_check_at: None,
            urgent: false,
            held: None,
            step: Step::Idle,
            backoff: Backoff::default(),
            release: Release::NotRequested,
        }
    }

    /// Whether an unresolved write makes the group vacant if it takes effect.
    pub(crate) fn is_vacating(&self) -> bool {
        match &self.step {
            Step::Writing { write, .. }
            | Step::ReadingBack { write, .. }
            | Step::Retrying { write, .. } => write.intent == Intent::Vacate,
            _ => false,
        }
    }

    /// Number of the call whose answer the group waits for.
    pub(crate) fn call(&self) -> Option<CallId> {
        match &self.step {
            Step::ReadingGroup { call }
            | Step::ReadingLease { call, .. }
            | Step::Writing { call, .. }
            | Step::ReadingBack { call, .. } => Some(*call),
            Step::Idle | Step::Queued { .. } | Step::Retrying { .. } => None,
        }
    }
}

/// Builds the call that reads a group object.
pub(crate) fn read_group(group: &GroupId) -> ObjectCall {
    ObjectCall::Read { key: ObjectKey::new("group", group.clone()) }
}

/// Builds the call that writes a group object.
pub(crate) fn write_group(write: &GroupWrite) -> ObjectCall {
    ObjectCall::Write {
        key: ObjectKey::new("group", write.value.group.clone()),
        condition: write.condition,
        value: encode(&write.value),
    }
}
