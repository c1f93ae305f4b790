//! Reports from backend servers and orders to them.

use serde::{Deserialize, Serialize};

use crate::ids::*;

/// Role of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// Runs prefill and decode.
    #[default]
    Mixed,
    /// Runs prefill and exports KV cache.
    Prefill,
    /// Imports KV cache and runs decode.
    Decode,
}

/// Phase of a replica, as its backend server reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaPhase {
    /// The server is loading the weights.
    Loading,
    /// The replica serves requests.
    Ready,
    /// The server is releasing the memory.
    Unloading,
}

/// Where a backend server loads a checkpoint from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadSource {
    /// The backend server's host memory.
    Memory,
    /// The backend server's disk.
    Disk,
    /// The weight store.
    Remote,
}

/// State of one backend server, as it reports it. The load figures are `load_age_ms` old.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerReport {
    /// Name of the backend server.
    pub server: BackendServerId,
    /// Changes with every restart; nothing loaded survives a restart.
    pub incarnation: Incarnation,
    /// Whether the server refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Highest fencing number that the server has seen; zero if it ignores fencing numbers.
    pub highest_fencing: FencingNumber,
    /// Total accelerator memory.
    pub memory_total: u64,
    /// Accelerator memory in use or reserved by loads; at most `memory_total`.
    pub memory_used: u64,
    /// Current role.
    pub role: ServerRole,
    /// Whether the backend server is about to be reclaimed.
    pub leaving: bool,
    /// Replicas in any phase.
    pub replicas: Vec<ReplicaReport>,
    /// Outcomes of recent orders, oldest first. The server drops old ones.
    pub outcomes: Vec<OrderOutcome>,
    /// Models whose checkpoints are cached in host memory.
    pub cached_in_memory: Vec<ModelId>,
    /// Models whose checkpoints are cached on disk.
    pub cached_on_disk: Vec<ModelId>,
    /// Age of the load figures in milliseconds when the report was sent.
    pub load_age_ms: u64,
}

/// One replica in a server report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaReport {
    /// Number that the load order gave to the replica.
    pub replica: ReplicaId,
    /// The model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: Box<str>,
    /// Current phase.
    pub phase: ReplicaPhase,
    /// Accelerator memory, the adapter pool included.
    pub memory_bytes: u64,
    /// Adapters in the pool.
    pub adapters: Vec<AdapterId>,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
}

/// Result of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderOutcome {
    /// The order.
    pub order: OrderId,
    /// Whether the order took effect.
    pub succeeded: bool,
}

/// An order from a group's owner to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The order's number.
    pub order: OrderId,
    /// The group whose owner sends the order.
    pub group: GroupId,
    /// Fencing number of the owner that sends the order.
    pub fencing: FencingNumber,
    /// The command.
    pub kind: OrderKind,
}

/// Command of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do", deny_unknown_fields)]
pub enum OrderKind {
    /// Refuse all orders with a lower fencing number and report.
    Seal,
    /// Load a model as a new replica.
    Load {
        /// Number of the new replica.
        replica: ReplicaId,
        /// The model.
        model: ModelId,
        /// Version of the weights.
        version: Box<str>,
        /// Accelerator memory to reserve.
        memory_bytes: u64,
        /// Adapters that fit in the pool.
        adapter_slots: u32,
        /// Where to load from.
        source: LoadSource,
    },
    /// Unload a replica; running requests finish first.
    Unload {
        /// The replica.
        replica: ReplicaId,
    },
    /// Copy a checkpoint to host memory; reserves no accelerator memory.
    Prefetch {
        /// The model.
        model: ModelId,
    },
    /// Load an adapter into a replica's pool, replacing `evict` if given.
    LoadAdapter {
        /// The replica.
        replica: ReplicaId,
        /// The adapter.
        adapter: AdapterId,
        /// Adapter to evict first.
        evict: Option<AdapterId>,
    },
    /// Change the role of the backend server.
    SetRole {
        /// The new role.
        role: ServerRole,
    },
}
