//! Tables of replicas and the choice among them.

use rand::Rng;
use types::prelude::*;

use crate::prefix::CacheEvent;

/// An instance sends at most one demand for a model in this time.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(100);

/// What a choice is made for.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Model and adapter.
    pub target: &'a Target,
    /// Prefix hashes of the prompt, shortest first.
    pub prefix: &'a [u64],
    /// Replicas that already failed this request.
    pub exclude: &'a [ReplicaRef],
    /// Requests that wait for the model, this one included.
    pub waiting: usize,
    /// Earliest deadline for a first token among them.
    pub earliest_deadline: Instant,
    /// Their worth.
    pub worth_milli: u64,
}

/// Result of a routing decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Send to this replica.
    Replica(Choice),
    /// No local replica can take the request; this data centre reports free capacity.
    DataCentre(DataCentreId),
    /// No replica is ready anywhere. The demand, if any, is to be sent to the owner now.
    Cold(Option<Demand>),
}

/// A chosen replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The replica.
    pub replica: ReplicaRef,
    /// Its backend server.
    pub server: BackendServerId,
    /// Address of the backend server as `IP:PORT`.
    pub address: Box<str>,
    /// The adapter is not in the replica's pool and must be loaded first.
    pub load_adapter: bool,
    /// Requests on the replica, as corrected by own sends and ends.
    pub load: u32,
    /// Requests that the replica runs at one time.
    pub max_batch: u32,
}

/// A chosen backend server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceChoice {
    /// The backend server.
    pub server: BackendServerId,
    /// Its address as `IP:PORT`.
    pub address: Box<str>,
}

/// Demand for a model that is not ready.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The model.
    pub model: ModelId,
    /// Adapter of the latest waiting request.
    pub adapter: Option<AdapterId>,
    /// Requests that wait on this instance.
    pub waiting: usize,
    /// Earliest deadline among them.
    pub earliest_deadline: Instant,
    /// Their worth.
    pub worth_milli: u64,
}

/// What is known of another data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreSummary {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Ready models with the number of requests that they can take at once.
    pub free: Vec<(ModelId, u32)>,
}

/// Routing tables of one instance.
#[derive(Debug, Default)]
pub struct Router {}

impl Router {
    /// Empty tables.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a publication. Returns false if it is older than what is known.
    pub fn publish(&mut self, _state: &GroupState, _now: Instant) -> bool {
        false
    }

    /// Drops a group that no longer exists.
    pub fn forget_group(&mut self, _group: &str) {}

    /// Takes the leaving flag from a backend server's own report.
    pub fn server_report(&mut self, _server: &str, _incarnation: Incarnation, _leaving: bool) {}

    /// Takes leaving flags and plain services from the platform's list. Only entries of the own
    /// data centre are to be given.
    pub fn platform_list(&mut self, _list: &[ListedInstance]) {}

    /// Excludes a backend server until `until`, for example while its circuit breaker is open.
    pub fn exclude_server(&mut self, _server: &str, _until: Instant) {}

    /// Takes a summary of another data centre.
    pub fn summary(&mut self, _summary: DataCentreSummary, _now: Instant) {}

    /// Takes cache events of one replica, in the order received.
    pub fn cache_events(&mut self, _replica: &ReplicaRef, _events: &[CacheEvent]) {}

    /// Chooses a replica.
    pub fn route(
        &mut self,
        _request: &RouteRequest<'_>,
        _now: Instant,
        _rng: &mut impl Rng,
    ) -> Outcome {
        Outcome::Cold(None)
    }

    /// Chooses a backend server of a plain service.
    pub fn route_service(
        &mut self,
        _service: &str,
        _exclude: &[BackendServerId],
        _now: Instant,
        _rng: &mut impl Rng,
    ) -> Option<ServiceChoice> {
        None
    }

    /// Whether a usable replica of the model can start one more request without queueing.
    pub fn has_room(&self, _model: &str) -> bool {
        false
    }

    /// Usable replicas of the model.
    pub fn ready_replicas(&self, _model: &str) -> usize {
        0
    }

    /// Counts a request as sent to a replica and remembers its prefixes there.
    pub fn sent(&mut self, _replica: &ReplicaRef, _prefix: &[u64], _now: Instant) {}

    /// Counts a request sent at `sent_at` as ended, in whichever way.
    pub fn ended(&mut self, _replica: &ReplicaRef, _sent_at: Instant, _now: Instant) {}

    /// Counts a call as sent to a plain service's backend server.
    pub fn service_sent(&mut self, _server: &str) {}

    /// Counts such a call as ended.
    pub fn service_ended(&mut self, _server: &str) {}

    /// Demands held back by the interval that are due now.
    pub fn due_demands(&mut self, _now: Instant) -> Vec<Demand> {
        Vec::new()
    }

    /// When `due_demands` has something next.
    pub fn next_demand_at(&self) -> Option<Instant> {
        None
    }
}
