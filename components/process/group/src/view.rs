//! What the placement policy sees of a group.

use types::prelude::*;

/// Plain view of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupView {
    /// Whether decisions are recorded and sent; if not, only permits can be used.
    pub is_writable: bool,
    /// Servers by name.
    pub servers: BTreeMap<BackendServerId, ServerView>,
    /// Replicas that may still be decided on, by model.
    pub allowance_left: BTreeMap<ModelId, u32>,
}

/// Plain view of one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Accelerator memory in all.
    pub memory_total: u64,
    /// Memory that a new load may use.
    pub memory_free: u64,
    /// Present role.
    pub role: ServerRole,
    /// No order may be given now.
    pub is_blocked: bool,
    /// About to be reclaimed; takes no loads.
    pub is_leaving: bool,
    /// Whether the server checks fencing numbers.
    pub checks_fencing: bool,
    /// Replicas, also those that are only ordered.
    pub replicas: BTreeMap<ReplicaId, ReplicaView>,
    /// Checkpoints in host memory.
    pub cached_in_memory: BTreeSet<ModelId>,
    /// Checkpoints on disk.
    pub cached_on_disk: BTreeSet<ModelId>,
    /// Loads left under the standing permit, by model; usable while the platform is away.
    pub permit_loads: BTreeMap<ModelId, u32>,
}

/// Plain view of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// The model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: Box<str>,
    /// Reserved memory.
    pub memory_bytes: u64,
    /// Phase; `Loading` also before a report has shown the replica.
    pub phase: ReplicaPhase,
    /// When the load was decided.
    pub decided_at: SystemTime,
    /// Adapters in the pool, as last reported.
    pub adapters: BTreeSet<AdapterId>,
    /// Adapters that fit in the pool.
    pub adapter_slots: u32,
    /// Requests running, as last reported.
    pub running: u32,
    /// Requests queued, as last reported.
    pub queued: u32,
}
