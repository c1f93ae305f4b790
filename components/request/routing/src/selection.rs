//! Routing requests and their outcomes.

use types::prelude::*;

use crate::demand::Demand;

/// A request to be routed.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Requested model and adapter.
    pub target: &'a Target,
    /// Prefix hashes of the prompt, shortest first.
    pub prefix: &'a [u64],
    /// Replicas that already failed this request.
    pub exclude: &'a [ReplicaRef],
    /// Requests that wait for the model, this one included.
    pub waiting: usize,
    /// Earliest first-token deadline of the waiting requests.
    pub earliest_deadline: Instant,
    /// Total worth of the waiting requests, in thousandths.
    pub worth_milli: u64,
}

/// Result of a routing decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteOutcome {
    /// Send the request to this replica.
    Replica(ReplicaSelection),
    /// No replica in this data centre is usable and unsaturated; the named data centre reports free
    /// capacity.
    DataCentre(DataCentreId),
    /// No replica is usable here, and no other data centre reports free capacity. The caller must
    /// send the demand, if any, to the owner now.
    NoReplica(Option<Demand>),
}

/// The replica selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSelection {
    /// The replica.
    pub replica: ReplicaRef,
    /// Its backend server.
    pub server: BackendServerId,
    /// Address of the backend server as `IP:PORT`.
    pub address: Box<str>,
    /// Whether the adapter must be loaded first because it is not in the replica's pool.
    pub needs_adapter_load: bool,
    /// Requests on the replica: the reported number, corrected by this instance's own requests.
    pub load: u32,
    /// Maximum number of requests that the replica runs at once.
    pub max_batch: u32,
}

/// The backend server selected for a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSelection {
    /// The backend server.
    pub server: BackendServerId,
    /// Its address as `IP:PORT`.
    pub address: Box<str>,
}
