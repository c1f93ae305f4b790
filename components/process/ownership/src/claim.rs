//! What this instance knows and does about one group.

use types::object::{CallId, Condition, ObjectCall, ObjectKey, encode};
use types::prelude::*;

use crate::GroupObject;
use crate::retry_backoff::Backoff;

/// The owner of a group, as announced or read. Only a hint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Hint {
    pub(crate) owner: InstanceId,
    pub(crate) incarnation: Incarnation,
    /// The group is looked at when nothing renewed the hint until then.
    pub(crate) until: Instant,
}

/// Ownership of a group by this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Held {
    pub(crate) fencing: FencingNumber,
    pub(crate) version: ObjectVersion,
    /// Lapses of the lease before the claim. Another number means that the group has to be claimed
    /// again before it is used.
    pub(crate) epoch: u64,
    /// The group has to be claimed again in any case.
    pub(crate) must_reclaim: bool,
}

/// How far a planned stop has come for a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Release {
    NotRequested,
    /// The event loop was asked for the release.
    Requested,
    /// Nothing more is issued for the group; it can be made vacant.
    Done,
}

/// What a write is for.
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
    /// Lapses of the lease at the time of the write.
    pub(crate) epoch: u64,
}

/// What is going on for a group.
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
    /// The group may be claimed and waits for the claim budget. The wait does no harm: the claim
    /// depends on the version that was examined.
    Queued {
        condition: Condition,
        fencing: FencingNumber,
    },
    Writing {
        call: CallId,
        write: GroupWrite,
    },
    /// The answer to a write was lost: its nonce is read back.
    ReadingBack {
        call: CallId,
        write: GroupWrite,
    },
    /// The read-back failed.
    Retrying {
        at: Instant,
        write: GroupWrite,
    },
}

/// One candidate group.
#[derive(Debug)]
pub(crate) struct Claim {
    pub(crate) hint: Option<Hint>,
    /// When to look whether the group needs an owner.
    pub(crate) check_at: Instant,
    /// `look_at` without the delay of this instance's rank, which changes with the groups that
    /// members own. `None` if `look_at` does not depend on the rank.
    pub(crate) unranked_check_at: Option<Instant>,
    /// Skips the claim budget: a hand-over is never more than one instance's groups.
    pub(crate) urgent: bool,
    pub(crate) held: Option<Held>,
    pub(crate) step: Step,
    pub(crate) backoff: Backoff,
    /// How far a planned stop has come for the group.
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

    /// Whether a write is in flight that ends this instance's ownership if it takes effect.
    pub(crate) fn is_vacating(&self) -> bool {
        match &self.step {
            Step::Writing { write, .. }
            | Step::ReadingBack { write, .. }
            | Step::Retrying { write, .. } => write.intent == Intent::Vacate,
            _ => false,
        }
    }

    /// The number of the call that the group waits for.
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

/// The call that reads a group object.
pub(crate) fn read_group(group: &GroupId) -> ObjectCall {
    ObjectCall::Read { key: ObjectKey::new("group", group.clone()) }
}

/// The call that makes a write.
pub(crate) fn write_group(write: &GroupWrite) -> ObjectCall {
    ObjectCall::Write {
        key: ObjectKey::new("group", write.value.group.clone()),
        condition: write.condition,
        value: encode(&write.value),
    }
}
