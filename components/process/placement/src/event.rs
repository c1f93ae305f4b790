//! Events that placement handles and decisions that it returns.

use types::prelude::*;

/// An input of `Placement::handle`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Requests arrived; updates the arrival history and returns no decisions.
    Arrived(Arrival),
    /// Requests wait because no replica can serve them.
    Demand(Demand),
    /// A model load ended.
    LoadEnded(LoadEnded),
    /// A prefetch to host memory ended; the view shows the result.
    PrefetchEnded(LoadEnded),
    /// An adapter load ended.
    AdapterLoadEnded(AdapterLoadEnded),
    /// The caller could not carry out a decision, for example because the order was refused.
    Rejected(Decision),
    /// The view has changed: a replica became idle, memory was freed, or a server was added or
    /// removed.
    ViewChanged,
    /// Time has passed. Sent about once a second and at `Placement::next_wakeup`.
    Tick,
}

/// Requests of one model that arrived together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The model.
    pub model: ModelId,
    /// Number of requests.
    pub count: u32,
    /// Value of one of these requests in thousandths, from the class of the contract.
    pub worth_milli: u32,
    /// Deadline for the first token.
    pub deadline: Instant,
}

/// Requests for a target that an instance cannot serve at present. Instances send demand
/// repeatedly; any number of demands for one model leads to one load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The instance at which the requests wait.
    pub from: InstanceId,
    /// The model and, if named, the adapter.
    pub target: Target,
    /// Number of requests that wait at that instance.
    pub waiting: u32,
    /// Value of one of these requests in thousandths, from the class of the contract.
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

/// A decision that the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Load a model as a new replica.
    Load {
        /// The backend server, which has enough free memory.
        server: BackendServerId,
        /// The model.
        model: ModelId,
        /// Where to load it from.
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
        /// Where to read it from.
        source: LoadSource,
    },
    /// Load an adapter into the pool of a ready replica. The load counts as in flight until the
    /// caller reports [`Event::AdapterLoadEnded`] or [`Event::Rejected`], or the replica is gone.
    LoadAdapter {
        /// The backend server.
        server: BackendServerId,
        /// The replica.
        replica: ReplicaId,
        /// The adapter.
        adapter: AdapterId,
        /// Adapter to evict first, if the pool is full.
        evict: Option<AdapterId>,
    },
    /// The demand cannot be met by its deadline; its requests can be refused at once.
    Unreachable {
        /// The instance that sent the demand.
        from: InstanceId,
        /// The target of the demand.
        target: Target,
        /// When the target could be ready; `None` if it cannot be loaded.
        expected_ready: Option<Instant>,
    },
}
