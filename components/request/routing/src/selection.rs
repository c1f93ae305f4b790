//! What a choice is made for, and its result.

use types::prelude::*;

use crate::demand::Demand;

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
pub enum RouteOutcome {
    /// Send to this replica.
    Replica(ReplicaSelection),
    /// No local replica can take the request; this data centre reports free capacity.
    DataCentre(DataCentreId),
    /// No replica is ready anywhere. The demand, if any, is to be sent to the owner now.
    NoReplica(Option<Demand>),
}

/// A chosen replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSelection {
    /// The replica.
    pub replica: ReplicaRef,
    /// Its backend server.
    pub server: BackendServerId,
    /// Address of the backend server as `IP:PORT`.
    pub address: Box<str>,
    /// The adapter is not in the replica's pool and must be loaded first.
    pub needs_adapter_load: bool,
    /// Requests on the replica, as corrected by own sends and ends.
    pub load: u32,
    /// Requests that the replica runs at one time.
    pub max_batch: u32,
}

/// A chosen backend server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSelection {
    /// The backend server.
    pub server: BackendServerId,
    /// Its address as `IP:PORT`.
    pub address: Box<str>,
}
