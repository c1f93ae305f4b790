//! Actions of the state machine, and the messages that it sends to peers.

use serde::{Deserialize, Serialize};
use types::object::{CallId, CallPriority, ObjectCall};
use types::prelude::*;

/// An action for the event loop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the platform and pass its answer to
    /// [`Ownership::on_answer`](crate::Ownership::on_answer).
    Call {
        /// Number of the call, to be passed along with the answer.
        call: CallId,
        /// Priority within the call budget.
        priority: CallPriority,
        /// The call.
        request: ObjectCall,
    },
    /// The lease was renewed; pass its new end to every owned group.
    LeaseExtended {
        /// End of the lease on this instance's monotonic clock.
        until: Instant,
    },
    /// This instance owns the group. Emitted again with a higher fencing number when the group is
    /// claimed again, as after the lease expired.
    Gained {
        /// The group.
        group: GroupId,
        /// The new fencing number.
        fencing: FencingNumber,
    },
    /// The lease expired: for this group only permits issued earlier may be used until the next
    /// `Gained`.
    LeaseExpired {
        /// The group.
        group: GroupId,
    },
    /// This instance no longer owns the group: another one claimed it, or it was handed over.
    Lost {
        /// The group.
        group: GroupId,
    },
    /// Finish writes and revoke permits, then call
    /// [`Ownership::on_released`](crate::Ownership::on_released).
    Release {
        /// The group.
        group: GroupId,
    },
    /// Send the announcement to every live member of the data centre.
    Announce(Announcement),
    /// Tell another instance that a group is vacant, so that it claims the group at once.
    SendHandover {
        /// The preferred successor.
        to: InstanceId,
        /// The message.
        handover: Handover,
    },
}

/// Sent by an instance to the members of its data centre after each renewal and each claim.
/// It is only a hint: it saves reads of the platform, and the receivers learn the renewal counter
/// early.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The sender, which owns the groups.
    pub owner: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Current renewal counter of its lease.
    pub counter: u64,
    /// Groups that the sender owns, with their fencing numbers.
    pub groups: Vec<(GroupId, FencingNumber)>,
}

/// Sent by a stopping owner after it made a group vacant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// The vacant group.
    pub group: GroupId,
    /// Last fencing number of the group.
    pub fencing: FencingNumber,
}
