//! Routes, services and models of one configuration version.
//!
//! A request keeps the version it was admitted under: it holds an `Rc` of its [`Deployment`].

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Name of a service.
pub type ServiceName = Box<str>;
/// Name of a base model.
pub type ModelName = Box<str>;
/// Name of an adapter of a model.
pub type AdapterName = Box<str>;
/// Version of a configuration. Versions only rise.
pub type DeploymentVersion = u64;

/// What may be done with a call more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the client.
    NonIdempotent,
    /// Answers with a series of events and runs at most once.
    Stream,
    /// Answers with a series of events and may be continued at another server.
    ResumableStream,
}

impl CallKind {
    /// Whether a second run of the call is allowed.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// Least time for which a caller of a stream waits for the next event, the first included.
const LEAST_EVENT_PATIENCE: Duration = Duration::from_secs(2);
/// The same in latency targets, and in longest pauses between two events; the longest of the three
/// counts. The figures are those of the users' pages.
const EVENT_PATIENCE_IN_TARGETS: u32 = 4;
const EVENT_PATIENCE_IN_GAPS: u32 = 8;

/// How requests of one host and path prefix are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, unique in a version.
    pub name: Box<str>,
    /// Host in lower case, without a port.
    pub host: Box<str>,
    /// Begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time within which a response earns its full benefit.
    pub latency_target: Duration,
    /// Longest pause between two events of a stream that is still on time.
    pub event_gap: Duration,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u8,
    /// Never empty; at least one weight is positive.
    pub targets: Box<[Target]>,
    /// Most servers at which one attempt of a client may run.
    pub max_attempts: u32,
}

impl Route {
    /// Picks a target by weight; `draw` is uniform in `0..1`.
    pub fn choose_target(&self, draw: f64) -> &Target {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = draw * total as f64;
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return target;
            }
        }
        &self.targets[self.targets.len() - 1]
    }

    /// Time without an event after which the caller of a stream leaves, the first event included;
    /// `None` if the answer is no stream.
    pub fn event_timeout(&self) -> Option<Duration> {
        let longest = LEAST_EVENT_PATIENCE
            .max(self.latency_target * EVENT_PATIENCE_IN_TARGETS)
            .max(self.event_gap * EVENT_PATIENCE_IN_GAPS);
        self.kind.is_stream().then_some(longest)
    }
}

/// A base model that a service can serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name, unique in a service.
    pub name: ModelName,
    /// Accelerator memory of the weights, in MB.
    pub weights_mb: f64,
    /// Load time from the weight store.
    pub store_load_time: Duration,
    /// Load time from the server's disk.
    pub disk_load_time: Duration,
    /// Load time from the server's memory.
    pub memory_load_time: Duration,
    /// Accelerator memory of one adapter, in MB.
    pub adapter_mb: f64,
}

/// The engines of a service and the models they can load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that one server runs at once.
    pub slots: u32,
    /// Accelerator memory for weights and adapters, in MB.
    pub accelerator_memory_mb: f64,
    /// Main memory of a server for copies of weights, in MB.
    pub host_memory_mb: f64,
    /// Adapters that a server holds at most.
    pub max_adapters: u32,
    /// Loads that may begin a second at the weight store, over all servers.
    pub store_loads_per_second: f64,
    /// Models by name.
    pub models: HashMap<ModelName, Model>,
}

/// A service: a group of backend servers that serve the same calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name, unique in a version.
    pub name: ServiceName,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Present if the servers are model engines.
    pub engine: Option<Engine>,
}

/// What clients may send, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time that a connection may be idle. It also bounds the time for a head, because the HTTP
    /// library measures both with one timer.
    pub idle_timeout: Duration,
}

/// One configuration version.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The version.
    pub version: DeploymentVersion,
    /// Routes, longest prefix first for each host.
    routes: HashMap<Box<str>, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Limits for clients.
    pub limits: ClientLimits,
}

impl Deployment {
    /// Sorts the routes for matching.
    pub fn new(
        version: DeploymentVersion,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        limits: ClientLimits,
    ) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self { version, routes: by_host, services, limits }
    }

    /// The route with the longest prefix that begins `path`, among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.routes.get(host.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
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
