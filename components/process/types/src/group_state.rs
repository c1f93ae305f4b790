//! State that a group's owner publishes to the instances of its data centre.

use serde::{Deserialize, Serialize};

use crate::backend::ReplicaPhase;
use crate::ids::*;
use crate::store_use::StoreUse;

/// Published state of one group. Soft state: it may be out of date and can be rebuilt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupState {
    /// The group.
    pub group: GroupId,
    /// Instance that owns the group.
    pub owner: InstanceId,
    /// The owner's fencing number. State with a lower one is out of date.
    pub fencing: FencingNumber,
    /// Increases with each publication under one fencing number.
    pub sequence: u64,
    /// The group's use of the weight store.
    pub store: StoreUse,
    /// Backend servers of the group.
    pub servers: Vec<ServerState>,
}

/// Published state of one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerState {
    /// The backend server.
    pub server: BackendServerId,
    /// Address as `IP:PORT`.
    pub address: Box<str>,
    /// Incarnation that the other fields describe.
    pub incarnation: Incarnation,
    /// Whether the backend server is leaving and must get no new work.
    pub leaving: bool,
    /// Whether the owner recently reached the backend server.
    pub reachable: bool,
    /// Age of the load figures in milliseconds at the time of publication.
    pub load_age_ms: u64,
    /// Replicas of the backend server.
    pub replicas: Vec<ReplicaState>,
}

/// Published state of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaState {
    /// The replica.
    pub replica: ReplicaId,
    /// The model.
    pub model: ModelId,
    /// Current phase; requests go to ready replicas only.
    pub phase: ReplicaPhase,
    /// Requests that the replica runs concurrently.
    pub max_batch: u32,
    /// Requests running, as last reported.
    pub running: u32,
    /// Requests queued, as last reported.
    pub queued: u32,
    /// Adapters in the pool.
    pub adapters: Vec<AdapterId>,
}

/// Identifies a replica across all groups.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaRef {
    /// The group.
    pub group: GroupId,
    /// The replica within the group.
    pub replica: ReplicaId,
}

/// An entry of the platform's list of running instances, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedInstance {
    /// Name of the instance or backend server.
    pub name: Box<str>,
    /// Its role.
    pub role: ListedRole,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Group of a backend server; empty for entry instances.
    pub group: GroupId,
    /// Address as `IP:PORT`.
    pub address: Box<str>,
    /// Whether it is live or leaving.
    pub state: ListedState,
    /// Whether the backend server refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// Role of an entry in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// An entry instance.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service, with its name.
    Service(ServiceId),
}

/// Whether a listed instance is live or leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Live.
    Live,
    /// About to be reclaimed.
    Leaving,
}
