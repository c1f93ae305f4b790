//! Routes, services and models of one configuration version.
//!
//! A request uses the version under which it was admitted for its whole duration: it holds an `Rc`
//! of its [`Deployment`].

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

mod accounts;
#[cfg(test)]
mod tests;

pub use accounts::{AccountName, Accounts, ClientAccount, KeyHash, Quota, QuotaUnit};

/// Name of a service.
pub type ServiceName = Box<str>;
/// Name of a base model.
pub type ModelName = Box<str>;
/// Name of an adapter of a model.
pub type AdapterName = Box<str>;
/// Version of a configuration. Versions only increase.
pub type DeploymentVersion = u64;

/// Whether a call may run more than once, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per attempt of the client.
    NonIdempotent,
    /// Answers with a stream of events and runs at most once.
    Stream,
    /// Answers with a stream of events that may be continued at another server.
    ResumableStream,
}

impl CallKind {
    /// Whether the call may run a second time.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service to which a route sends requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Weight of the target relative to the other targets of the route.
    pub weight: u32,
}

/// Minimum time that the caller of a stream waits for the next event, including the first one.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// The same wait in multiples of the latency target and of the maximum event gap. The longest of
/// the three applies, as specified in the users' pages.
const EVENT_TIMEOUT_LATENCY_TARGETS: u32 = 4;
const EVENT_TIMEOUT_EVENT_GAPS: u32 = 8;

/// Rules for the requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, unique within a version.
    pub name: Box<str>,
    /// Host in lower case, without a port.
    pub host: Box<str>,
    /// Path prefix that begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether the calls may run more than once or are streams.
    pub kind: CallKind,
    /// Maximum time that a request may wait.
    pub timeout: Duration,
    /// Response time up to which a response has its full benefit.
    pub latency_target: Duration,
    /// Maximum time between two events of a stream that is on time.
    pub event_gap: Duration,
    /// Priority rank; 0 is the most urgent.
    pub priority: u8,
    /// Targets; never empty, with at least one positive weight.
    pub targets: Box<[Target]>,
    /// Maximum number of servers at which one attempt of a client may run.
    pub max_attempts: u32,
    /// Whether requests need no key although the configuration has client accounts.
    pub is_public: bool,
}

impl Route {
    /// Chooses a target by weight; `draw` is uniform in `0..1`.
    pub fn choose_target(&self, draw: f64) -> &Target {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut remaining = draw * total as f64;
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return target;
            }
        }
        &self.targets[self.targets.len() - 1]
    }

    /// Time without an event after which the caller of a stream disconnects, including the wait for
    /// the first event; `None` if the answer is not a stream.
    pub fn event_timeout(&self) -> Option<Duration> {
        let longest = MIN_EVENT_TIMEOUT
            .max(self.latency_target * EVENT_TIMEOUT_LATENCY_TARGETS)
            .max(self.event_gap * EVENT_TIMEOUT_EVENT_GAPS);
        self.kind.is_stream().then_some(longest)
    }
}

/// A base model that a service can serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name, unique within a service.
    pub name: ModelName,
    /// Accelerator memory that the weights occupy, in MB.
    pub weights_mb: f64,
    /// Load time from the weight store.
    pub store_load_time: Duration,
    /// Load time from the server's disk.
    pub disk_load_time: Duration,
    /// Load time from the server's memory.
    pub memory_load_time: Duration,
    /// Accelerator memory that one adapter occupies, in MB.
    pub adapter_mb: f64,
}

/// The engines of a service and the models they can load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that one server runs concurrently.
    pub slots: u32,
    /// Accelerator memory for weights and adapters, in MB.
    pub accelerator_memory_mb: f64,
    /// Main memory of a server for cached copies of weights, in MB.
    pub host_memory_mb: f64,
    /// Maximum number of adapters on a server.
    pub max_adapters: u32,
    /// Loads per second that may start from the weight store, over all servers.
    pub store_loads_per_second: f64,
    /// Models by name.
    pub models: HashMap<ModelName, Model>,
}

/// A service: a group of backend servers that serve the same calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name, unique within a version.
    pub name: ServiceName,
    /// Maximum number of connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Present if the servers are model engines.
    pub engine: Option<Engine>,
}

/// Limits on requests and connections of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a request head to its last one.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

/// One configuration version.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The version.
    pub version: DeploymentVersion,
    /// Routes by host, longest prefix first.
    routes: HashMap<Box<str>, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Limits for clients.
    pub limits: ClientLimits,
    /// Client accounts.
    pub accounts: Accounts,
    /// Tightest latency target of the streams of each service.
    stream_targets: HashMap<ServiceName, Duration>,
    /// Longest time that a request of each rank may wait for a model engine.
    engine_waits: BTreeMap<u8, Duration>,
}

impl Deployment {
    /// Creates a version and sorts its routes for matching.
    pub fn new(
        version: DeploymentVersion,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        limits: ClientLimits,
        accounts: Accounts,
    ) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<Rc<Route>>> = HashMap::new();
        let mut stream_targets: HashMap<ServiceName, Duration> = HashMap::new();
        for route in routes {
            for target in route.targets.iter().filter(|_| route.kind.is_stream()) {
                let tightest = stream_targets.entry(target.service.clone());
                let tightest = tightest.or_insert(route.latency_target);
                *tightest = route.latency_target.min(*tightest);
            }
            by_host.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services: HashMap<ServiceName, Service> =
            services.into_iter().map(|s| (s.name.clone(), s)).collect();
        let is_engine = |target: &Target| {
            services.get(&target.service).is_some_and(|service| service.engine.is_some())
        };
        let engine_routes = by_host.values().flatten();
        let engine_routes = engine_routes.filter(|route| route.targets.iter().any(is_engine));
        let mut engine_waits: BTreeMap<u8, Duration> = BTreeMap::new();
        // An account with a rank of its own may use any route.
        let of_accounts: BTreeSet<u8> =
            accounts.iter().filter_map(|account| account.rank).collect();
        for route in engine_routes {
            for rank in of_accounts.iter().copied().chain([route.priority]) {
                let longest = engine_waits.entry(rank).or_default();
                *longest = route.timeout.max(*longest);
            }
        }
        Self { version, routes: by_host, services, limits, accounts, stream_targets, engine_waits }
    }

    /// Longest time that a request may wait for a model engine, by rank.
    pub fn engine_waits(&self) -> &BTreeMap<u8, Duration> {
        &self.engine_waits
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.routes.get(host.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Tightest latency target of the streams of a service, if any route leads streams to it.
    pub fn tightest_stream_target(&self, service: &str) -> Option<Duration> {
        self.stream_targets.get(service).copied()
    }

    /// All routes, in no order of hosts.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values().flatten()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Services whose servers are model engines.
    pub fn engines(&self) -> impl Iterator<Item = (&ServiceName, &Engine)> {
        self.services.iter().filter_map(|(name, s)| Some((name, s.engine.as_ref()?)))
    }
}
