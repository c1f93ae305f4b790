//! What the state machine asks the event loop to do.

use serde::{Deserialize, Serialize};
use types::object::{CallId, CallPriority, ObjectCall};
use types::prelude::*;

/// An action for the event loop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the platform and pass the answer to [`Ownership::on_answer`](crate::Ownership::on_answer).
    Call {
        /// Number to pass back.
        call: CallId,
        /// Priority within the call budget.
        priority: CallPriority,
        /// The call.
        request: ObjectCall,
    },
    /// The lease is valid until this time; pass it to every owned group.
    LeaseExtended {
        /// End of the lease on this instance's monotonic clock.
        until: Instant,
    },
    /// This instance owns the group. Repeated with a higher fencing number after a lapse.
    Gained {
        /// The group.
        group: GroupId,
        /// The new fencing number.
        fencing: FencingNumber,
    },
    /// The lease lapsed: only standing permits may be used until the next `Gained`.
    LeaseExpired {
        /// The group.
        group: GroupId,
    },
    /// Another instance owns the group, or it was handed over.
    Lost {
        /// The group.
        group: GroupId,
    },
    /// Finish writes, withdraw permits, then call [`Ownership::released`](crate::Ownership::released).
    Release {
        /// The group.
        group: GroupId,
    },
    /// Send the announcement to every live member of the data centre.
    Announce(Announcement),
    /// Tell an instance that a group is vacant and that it should claim it at once.
    SendHandover {
        /// The suggested successor.
        to: InstanceId,
        /// The message.
        handover: Handover,
    },
}

/// Sent by an owner to its data centre after each renewal. Only a hint: it saves reads of the
/// platform and lets observers see the renewal counter early.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The owner.
    pub owner: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its present renewal counter.
    pub counter: u64,
    /// Groups that it owns, with their fencing numbers.
    pub groups: Vec<(GroupId, FencingNumber)>,
}

/// Sent by a stopping owner after it made a group vacant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// The vacant group.
    pub group: GroupId,
    /// The last fencing number.
    pub fencing: FencingNumber,
}
