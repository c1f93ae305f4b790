//! The view that placement has of a group: plain data that the owner of the group fills in.

use types::prelude::*;

/// State of one group at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Backend servers of the group, in a stable order.
    pub servers: Vec<ServerView>,
    /// Number of replicas of each model that may still be loaded; zero for a model that is absent.
    pub allowance_left: HashMap<ModelId, u32>,
    /// Present use of the weight store, as far as the owner knows.
    pub store: StoreView,
}

/// Present use of the weight store by the group itself and, as far as the owner knows, by other
/// groups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreView {
    /// Model loads and prefetches from the store in progress for this group.
    pub loads_in_progress: u32,
    /// Adapter loads in flight for this group.
    pub adapters_in_flight: u32,
    /// What other groups have in progress.
    pub others: OtherGroups,
}

/// What other groups, in all data centres, have in progress at the weight store. It lags by
/// milliseconds within a data centre and by seconds between data centres.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherGroups {
    /// Whether there are other groups.
    pub exist: bool,
    /// Model loads and prefetches in progress.
    pub loads: u32,
    /// Adapter loads in flight.
    pub adapters: u32,
    /// Loads and prefetches started in the last second.
    pub starts: u32,
    /// Highest priority of demand that waits for the store; 0 if none does.
    pub waiting_priority: u8,
    /// Whether that demand precedes demand of the same priority in this group.
    pub wins_ties: bool,
}

/// One backend server.
#[derive(Clone, Debug, Default)]
pub struct ServerView {
    /// Its name.
    pub server: BackendServerId,
    /// Total accelerator memory.
    pub memory_total: u64,
    /// Accelerator memory neither used nor reserved; at most `memory_total`.
    pub memory_free: u64,
    /// Replicas in any phase, including those of unresolved orders.
    pub replicas: Vec<ReplicaView>,
    /// Models whose checkpoints are in host memory.
    pub cached_in_memory: HashSet<ModelId>,
    /// Models whose checkpoints are on disk.
    pub cached_on_disk: HashSet<ModelId>,
    /// Set once any source reports the server as leaving; it gets no decisions.
    pub leaving: bool,
    /// Set while the server must not get orders (an unresolved order, unreachable, not sealed).
    pub blocked: bool,
}

/// One replica.
#[derive(Clone, Debug)]
pub struct ReplicaView {
    /// Its id.
    pub replica: ReplicaId,
    /// The model.
    pub model: ModelId,
    /// Present phase.
    pub phase: ReplicaPhase,
    /// Accelerator memory, the adapter pool included.
    pub memory_bytes: u64,
    /// When the last request ended or the replica became ready, whichever is later. While
    /// loading, when the load started.
    pub last_used: Instant,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Adapters in the pool, least recently used first.
    pub adapters: Vec<PooledAdapter>,
}

/// An adapter in a replica's pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PooledAdapter {
    /// The adapter.
    pub adapter: AdapterId,
    /// Requests that use it at present; it may be evicted only at zero.
    pub running: u32,
}

impl View {
    /// Replicas of a model with their servers, in any phase.
    pub fn replicas_of<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = (&'a ServerView, &'a ReplicaView)> {
        self.servers.iter().flat_map(move |s| {
            s.replicas.iter().filter(move |r| &*r.model == model).map(move |r| (s, r))
        })
    }

    /// The server with this name.
    pub fn server(&self, name: &str) -> Option<&ServerView> {
        self.servers.iter().find(|s| &*s.server == name)
    }
}

impl ServerView {
    /// Whether the server may get decisions at present.
    pub fn is_usable(&self) -> bool {
        !self.leaving && !self.blocked
    }

    /// The nearest source of a checkpoint.
    pub fn nearest_source(&self, model: &str) -> LoadSource {
        if self.cached_in_memory.contains(model) {
            LoadSource::Memory
        } else if self.cached_on_disk.contains(model) {
            LoadSource::Disk
        } else {
            LoadSource::Remote
        }
    }
}

impl ReplicaView {
    /// Whether the replica is ready and has no requests.
    pub fn is_idle(&self) -> bool {
        self.phase == ReplicaPhase::Ready && self.running == 0 && self.queued == 0
    }

    /// Whether an adapter is in the pool.
    pub fn has_adapter(&self, adapter: &str) -> bool {
        self.adapters.iter().any(|a| &*a.adapter == adapter)
    }
}
