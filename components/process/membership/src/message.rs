//! Messages between instances, and actions for the event loop.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// An action for the event loop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat; losses are tolerated.
    SendHeartbeat {
        /// Address as `IP:PORT`.
        address: Box<str>,
        /// The message.
        heartbeat: Heartbeat,
    },
    /// Send a summary; losses are tolerated.
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
    /// What is known of another data centre changed; read it from [`Membership::summary`].
    SummaryChanged {
        /// The other data centre.
        data_centre: DataCentreId,
    },
}

/// State of a member, from best to worst. At the same generation the worse state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Sends heartbeats.
    Live,
    /// Its heartbeats have stopped.
    Suspect,
    /// Stops as planned and takes no new work.
    Leaving,
    /// Considered dead, or has left.
    Failed,
}

/// What is said of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rumour {
    /// The member.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Raised by the member itself to refute a rumour, also one about an earlier run. Incarnation
    /// numbers have no order, so this number orders rumours over restarts.
    pub generation: u64,
    /// Address for peer messages as `IP:PORT`.
    pub address: Box<str>,
    /// Its state.
    pub state: MemberState,
}

/// A heartbeat within a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Data centre of the sender; heartbeats of other data centres are dropped.
    pub data_centre: DataCentreId,
    /// What the sender says of itself.
    pub sender: Rumour,
    /// Configuration version in effect at the sender.
    pub configuration: ConfigurationVersion,
    /// Whether the receiver should answer with a heartbeat.
    pub answer: bool,
    /// Changes and a few entries in turn; bounded.
    pub rumours: Vec<Rumour>,
}

/// A summary of a data centre for another one, or passed on within the receiver's data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// The data centre that the summary describes.
    pub data_centre: DataCentreId,
    /// Number of the present delegates' description; higher is newer.
    pub sequence: u64,
    /// Name and address of the data centre's delegates.
    pub delegates: Vec<(InstanceId, Box<str>)>,
    /// Live instances.
    pub live: u32,
    /// Highest configuration version in effect at the sender.
    pub configuration: ConfigurationVersion,
    /// Instances known to be behind that version.
    pub behind: Vec<InstanceId>,
    /// What the data centre has in progress at the weight store.
    pub store: StoreUse,
    /// The body, if the receiver is not known to have it.
    pub body: Option<Arc<SummaryBody>>,
}

/// What the other data centres need in order to send requests here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SummaryBody {
    /// Models with a ready replica.
    pub models_ready: Vec<ModelId>,
    /// Free accelerator memory over all servers.
    pub memory_free: u64,
    /// Present owners of key ranges.
    pub key_ranges: Vec<(GroupId, InstanceId)>,
    /// Addresses of some live instances that take requests from other data centres.
    pub entry_points: Vec<Box<str>>,
    /// Present holder of the data centre's limits.
    pub limits_holder: Option<InstanceId>,
}
