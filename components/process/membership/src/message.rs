//! Messages between instances, and actions that the state machine requests from the event loop.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// An action for the event loop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat; it may get lost.
    SendHeartbeat {
        /// Address as `IP:PORT`.
        address: Box<str>,
        /// The message.
        heartbeat: Heartbeat,
    },
    /// Send a summary; it may get lost.
    SendSummary {
        /// Address as `IP:PORT`.
        address: Box<str>,
        /// The message.
        summary: Summary,
    },
    /// A member of this data centre appeared or changed its state.
    MemberChanged {
        /// The member.
        instance: InstanceId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its new state.
        state: MemberState,
    },
    /// A peer has this configuration version; pass it to `configuration`.
    PeerVersion {
        /// The peer.
        instance: InstanceId,
        /// Its version.
        version: ConfigurationVersion,
    },
    /// The summary of another data centre changed; read it with
    /// [`Membership::summary`](crate::Membership::summary).
    SummaryChanged {
        /// The other data centre.
        data_centre: DataCentreId,
    },
}

/// State of a member, from best to worst. At the same generation the worse state takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member sends heartbeats.
    Live,
    /// The heartbeats of the member have stopped.
    Suspect,
    /// The member performs a planned stop and accepts no new work.
    Leaving,
    /// The member is considered dead, or has left.
    Failed,
}

/// Statement about the state of a member, spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rumour {
    /// The member.
    pub instance: InstanceId,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Number that the member itself raises to refute a rumour, also one about an earlier
    /// incarnation. Incarnation numbers have no order, so this number orders rumours across
    /// restarts.
    pub generation: u64,
    /// Address for peer messages as `IP:PORT`.
    pub address: Box<str>,
    /// State of the member.
    pub state: MemberState,
}

/// A heartbeat within a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Data centre of the sender; heartbeats of other data centres are dropped.
    pub data_centre: DataCentreId,
    /// The sender's statement about itself.
    pub sender: Rumour,
    /// Configuration version in effect at the sender.
    pub configuration: ConfigurationVersion,
    /// Whether the receiver has to answer with a heartbeat.
    pub answer: bool,
    /// A bounded number of recent changes, and a few members in round-robin order.
    pub rumours: Vec<Rumour>,
}

/// A summary of a data centre. Delegates send it to other data centres, whose members forward it
/// among themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// The data centre that the summary describes.
    pub data_centre: DataCentreId,
    /// Sequence number of the sending delegate; higher is newer. Each delegate counts on its own.
    pub sequence: u64,
    /// Names and addresses of the data centre's delegates.
    pub delegates: Vec<(InstanceId, Box<str>)>,
    /// Number of live instances.
    pub live: u32,
    /// Highest configuration version in effect at the sender.
    pub configuration: ConfigurationVersion,
    /// Instances that are known to have an older version.
    pub behind: Vec<InstanceId>,
    /// The data centre's use of the weight store.
    pub store: StoreUse,
    /// The body; most summaries are sent without it.
    pub body: Option<Arc<SummaryBody>>,
}

/// Information that the other data centres need in order to route requests to this one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SummaryBody {
    /// Models with a ready replica.
    pub models_ready: Vec<ModelId>,
    /// Total free accelerator memory of all servers.
    pub memory_free: u64,
    /// Current owners of key ranges.
    pub key_ranges: Vec<(GroupId, InstanceId)>,
    /// Addresses of some live instances that accept requests from other data centres.
    pub entry_points: Vec<Box<str>>,
    /// Current holder of the data centre's limits.
    pub limits_holder: Option<InstanceId>,
}
