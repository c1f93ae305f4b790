//! Contracts, the catalogue and the configuration that they form.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::*;

/// A share in basis points: 10,000 is 100%.
pub type BasisPoints = u32;

/// 100% in basis points.
pub const HUNDRED_PERCENT: BasisPoints = 10_000;

/// One client account's contract.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Name of the client account; unique within a configuration.
    pub client_account: ClientAccountId,
    /// SHA-256 hashes of the bearer keys, lower-case hex. No two client accounts share one.
    pub key_hashes: BTreeSet<Box<str>>,
    /// Models that the client account may use. Each is declared in the catalogue.
    pub models: BTreeSet<ModelId>,
    /// Adapters that the client account may use, by model. Each model is also in `models`.
    pub adapters: BTreeMap<ModelId, BTreeSet<AdapterId>>,
    /// Urgency classes. Never empty.
    pub classes: BTreeMap<ClassId, UrgencyClass>,
    /// Class of requests that name none; a key of `classes`.
    pub default_class: ClassId,
    /// Share of capacity. The shares of all client accounts add up to 100%.
    pub capacity_share: BasisPoints,
    /// Share of cost. The shares of all client accounts add up to 100%.
    pub cost_share: BasisPoints,
    /// Limits over all data centres.
    pub limits: Limits,
    /// Plain services that the client account may call.
    pub services: BTreeSet<ServiceId>,
}

/// Latency targets, priority and worth of one class of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UrgencyClass {
    /// Target for the first token, counted from arrival.
    pub first_token: Duration,
    /// Target for the complete answer, counted from arrival. At least `first_token`.
    pub completion: Duration,
    /// Fraction of requests that must meet the targets; less than 100%.
    pub objective: BasisPoints,
    /// Priority passed to engines, which serve higher priorities first.
    pub priority: u8,
    /// Worth of one request served within its target, in thousandths of the joint unit of account.
    pub worth_milli: u32,
}

/// Limits of one client account over all data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests per second.
    pub requests_per_second: u32,
    /// Maximum number of requests in progress.
    pub concurrent_requests: u32,
    /// Maximum number of waiting requests.
    pub queued_requests: u32,
}

/// The declared models and plain services, and the operator's settings for the deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// Models by name.
    pub models: BTreeMap<ModelId, Model>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Settings for the whole deployment.
    pub deployment: Deployment,
}

/// A model that engines can load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version of the weights.
    pub version: Box<str>,
    /// Accelerator memory of one replica, including its adapter pool.
    pub memory_bytes: u64,
    /// Number of accelerators of one replica.
    pub accelerators: u32,
    /// Maximum number of replicas loaded at the same time in all data centres.
    pub max_replicas: u32,
    /// Adapters that fit in the pool of one replica.
    pub adapter_slots: u32,
    /// Requests that one replica runs concurrently.
    pub max_batch: u32,
    /// Expected time to load from each source, without queueing.
    pub load_time: LoadTime,
    /// Adapters by name.
    pub adapters: BTreeSet<AdapterId>,
}

/// Expected time to load a model from each source, without queueing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadTime {
    /// From the backend server's host memory.
    pub memory: Duration,
    /// From the backend server's disk.
    pub disk: Duration,
    /// From the weight store at full speed.
    pub remote: Duration,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Calls that may be retried, by method and path prefix. All other calls must not be retried.
    pub idempotent_calls: Vec<CallPattern>,
    /// Default timeout of one call.
    pub timeout: Duration,
}

/// Pattern that matches calls of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallPattern {
    /// HTTP method in upper case.
    pub method: Box<str>,
    /// Path prefix, beginning with a slash, without `/services/NAME`.
    pub path_prefix: Box<str>,
}

/// Settings for the whole deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Weight of avoiding cold starts against avoiding idle accelerator time, 0 to 100.
    pub cold_start_weight: u8,
    /// Loads that the weight store starts per second.
    pub store_loads_per_second: u32,
    /// Concurrent loads that the weight store serves at full speed.
    pub store_concurrent_loads: u32,
    /// Concurrent adapter loads that the weight store serves at full speed.
    pub store_concurrent_adapters: u32,
    /// Cost of one accelerator that is idle for one second, in thousandths of the joint unit of
    /// account.
    pub idle_second_cost_milli: u32,
}

impl Default for Deployment {
    fn default() -> Self {
        Self {
            cold_start_weight: 50,
            store_loads_per_second: 4,
            store_concurrent_loads: 4,
            store_concurrent_adapters: 32,
            idle_second_cost_milli: 10,
        }
    }
}

/// One accepted version of the configuration. Immutable.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Version; zero before the first accepted configuration.
    pub version: ConfigurationVersion,
    /// Contracts by client account.
    pub contracts: BTreeMap<ClientAccountId, Arc<Contract>>,
    /// Models, services and deployment settings.
    pub catalogue: Arc<Catalogue>,
}

/// The model, with or without an adapter, that a request names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The model.
    pub model: ModelId,
    /// The adapter, if one is named.
    pub adapter: Option<AdapterId>,
}

impl Target {
    /// Parses `MODEL` or `MODEL:ADAPTER`.
    pub fn parse(text: &str) -> Self {
        match text.split_once(':') {
            Some((model, adapter)) => Self { model: model.into(), adapter: Some(adapter.into()) },
            None => Self { model: text.into(), adapter: None },
        }
    }
}

impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}:{adapter}", self.model),
            None => f.write_str(&self.model),
        }
    }
}
