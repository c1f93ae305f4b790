//! Events that placement takes and decisions that it returns.

use types::prelude::*;

/// Something that placement should know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Requests arrived; feeds the arrival history and returns no decisions.
    Arrived(Arrival),
    /// Requests wait because no replica can take them.
    Demand(Demand),
    /// A model load ended.
    LoadEnded(LoadEnded),
    /// A prefetch to host memory ended; the view shows the result.
    PrefetchEnded(LoadEnded),
    /// An adapter load ended.
    AdapterLoadEnded(AdapterLoadEnded),
    /// The caller could not carry out a decision, for example because the order was refused.
    Rejected(Decision),
    /// The view has changed: a replica became idle, memory was released, or a server came or
    /// left.
    ViewChanged,
    /// Time has passed. Expected about once a second and at `Placement::next_wakeup`.
    Tick,
}

/// Requests of one model that arrived together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The model.
    pub model: ModelId,
    /// Number of requests.
    pub count: u32,
    /// Worth of one of them, from the contract's class.
    pub worth_milli: u32,
    /// When the first token is due.
    pub deadline: Instant,
}

/// Demand for a target that an instance cannot serve at present. Repeats are expected: any
/// number of demands for one model results in one load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The instance that asks.
    pub from: InstanceId,
    /// The model and, if named, the adapter.
    pub target: Target,
    /// Requests that wait at that instance.
    pub waiting: u32,
    /// Worth of one of these requests, from the contract's class.
    pub worth_milli: u32,
    /// Earliest deadline among them.
    pub deadline: Instant,
}

/// Outcome of a load or of a prefetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadEnded {
    /// The backend server.
    pub server: BackendServerId,
    /// The model.
    pub model: ModelId,
    /// Where it was loaded from.
    pub source: LoadSource,
    /// When the order was sent.
    pub started: Instant,
    /// Whether the replica is ready, or the checkpoint in host memory.
    pub succeeded: bool,
}

/// Outcome of an adapter load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterLoadEnded {
    /// The replica.
    pub replica: ReplicaId,
    /// The adapter.
    pub adapter: AdapterId,
    /// When the order was sent.
    pub started: Instant,
    /// Whether the adapter is in the pool.
    pub succeeded: bool,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Load a model as a new replica.
    Load {
        /// The backend server; has the memory free.
        server: BackendServerId,
        /// The model.
        model: ModelId,
        /// The copy to load from.
        source: LoadSource,
    },
    /// Unload an idle replica.
    Unload {
        /// The backend server.
        server: BackendServerId,
        /// The replica.
        replica: ReplicaId,
    },
    /// Copy a checkpoint to host memory.
    Prefetch {
        /// The backend server.
        server: BackendServerId,
        /// The model.
        model: ModelId,
        /// The copy to read.
        source: LoadSource,
    },
    /// Load an adapter into the pool of a ready replica. Every such load is to end in
    /// [`Event::AdapterLoadEnded`], [`Event::Rejected`] or the end of the replica: until then it counts
    /// as in flight.
    LoadAdapter {
        /// The backend server.
        server: BackendServerId,
        /// The replica.
        replica: ReplicaId,
        /// The adapter.
        adapter: AdapterId,
        /// Adapter to drop first, if the pool is full.
        evict: Option<AdapterId>,
    },
    /// The demand cannot be met by its deadline; its requests can be refused at once.
    Unreachable {
        /// The instance that asked.
        from: InstanceId,
        /// What it asked for.
        target: Target,
        /// When the target could be ready, if ever.
        expected_ready: Option<Instant>,
    },
}
