//! The placement policy's view of a group.

use types::prelude::*;

/// Snapshot of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupView {
    /// Whether decisions can be recorded and sent; if not, only permits can be used.
    pub is_writable: bool,
    /// Servers by name.
    pub servers: BTreeMap<BackendServerId, ServerView>,
    /// Number of replicas that may still be loaded, by model.
    pub allowance_left: BTreeMap<ModelId, u32>,
}

/// Snapshot of one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Total accelerator memory.
    pub memory_total: u64,
    /// Accelerator memory that a new load may use.
    pub memory_free: u64,
    /// Current role.
    pub role: ServerRole,
    /// Whether the server must not get an order now.
    pub is_blocked: bool,
    /// Whether the server is about to be reclaimed and takes no loads.
    pub is_leaving: bool,
    /// Whether the server checks fencing numbers.
    pub checks_fencing: bool,
    /// Replicas, including those whose load is only ordered.
    pub replicas: BTreeMap<ReplicaId, ReplicaView>,
    /// Checkpoints in host memory.
    pub cached_in_memory: BTreeSet<ModelId>,
    /// Checkpoints on disk.
    pub cached_on_disk: BTreeSet<ModelId>,
    /// Loads left under the standing permit, by model; usable while the platform is unavailable.
    pub permit_loads: BTreeMap<ModelId, u32>,
}

/// Snapshot of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// The model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: Box<str>,
    /// Reserved accelerator memory.
    pub memory_bytes: u64,
    /// Phase; also `Loading` before a report has shown the replica.
    pub phase: ReplicaPhase,
    /// Time of the decision to load.
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
