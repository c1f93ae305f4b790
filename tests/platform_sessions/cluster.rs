//! A test cluster: a store, engines, servers of a plain service and entry processes.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use platform_stand_in::{
    Addresses, Caller, EndlessServer, Instance, Model, RouteKind, Server, ServerConfig, Store,
    configuration,
};

/// Timeout for steps that usually take well below a second. It is much longer because the machine
/// that runs the tests may be busy.
pub(crate) const WAIT: Duration = Duration::from_secs(30);

/// Host number of the next instance in this test process, see `Addresses::for_host`.
static NEXT_HOST: AtomicU16 = AtomicU16::new(0);

/// Number of the next test cluster in this test process.
static NEXT_CLUSTER: AtomicU16 = AtomicU16::new(0);

/// Routes of all test clusters: path prefix, kind and service.
pub(crate) const ROUTES: &[(&str, RouteKind, &str)] = &[
    ("/read/", RouteKind::Idempotent, "ledger"),
    ("/book/", RouteKind::NonIdempotent, "ledger"),
    ("/note/", RouteKind::Stream, "engines"),
    ("/chat/", RouteKind::Resumable, "engines"),
];

/// Models with their load times from disk, in seconds.
pub(crate) const MODELS: &[(&str, f64)] = &[("m1", 0.3), ("m2", 0.3), ("m3", 0.3), ("m4", 0.3)];

pub(crate) struct TestCluster {
    pub(crate) store: Store,
    pub(crate) servers: Vec<Server>,
    pub(crate) endless: Vec<EndlessServer>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) caller: Caller,
    dir: PathBuf,
}

/// Configuration of an engine that has room for two models and starts with `loaded`.
pub(crate) fn engine(id: &str, loaded: &[&'static str]) -> ServerConfig {
    ServerConfig {
        id: id.into(),
        service: "engines",
        loaded: loaded.to_vec(),
        models: MODELS
            .iter()
            .map(|(name, s)| Model { name, disk_load: Duration::from_secs_f64(*s) })
            .collect(),
        max_loaded_models: 2,
        event_interval: Duration::from_millis(20),
        events: 5,
        report_lag: Duration::from_millis(200),
        initial_load: None,
    }
}

/// Configuration of a server of the plain service `ledger`.
pub(crate) fn ledger(id: &str) -> ServerConfig {
    ServerConfig { service: "ledger", ..engine(id, &[]) }
}

impl TestCluster {
    /// Starts the store and the servers and registers the servers. Instances are started
    /// separately.
    pub(crate) async fn new(servers: Vec<ServerConfig>) -> Self {
        let store = Store::start().await;
        store.put("config", "main", configuration(3, ROUTES, MODELS));
        let mut running = Vec::new();
        for cfg in servers {
            let server = Server::start(cfg).await;
            store.put("servers", &server.cfg.id, server.entry(false));
            running.push(server);
        }
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let name = format!("platform-sessions-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("directory for settings and logs cannot be created");
        Self {
            store,
            servers: running,
            endless: Vec::new(),
            instances: Vec::new(),
            caller: Caller::default(),
            dir,
        }
    }

    /// Starts a cluster with one ready instance.
    pub(crate) async fn with_instance(servers: Vec<ServerConfig>) -> Self {
        let mut cluster = Self::new(servers).await;
        cluster.start_instance().await;
        cluster
    }

    /// Starts an instance and waits until it is ready.
    pub(crate) async fn start_instance(&mut self) {
        self.spawn_instance();
        let instance = self.instances.last().expect("no instance");
        assert!(instance.wait_until_ready(WAIT).await, "{} not ready", instance.name);
    }

    /// Starts an instance without waiting until it is ready.
    pub(crate) fn spawn_instance(&mut self) {
        self.spawn_instance_with_store(self.store.address);
    }

    /// Starts an instance that reaches the store at `store`.
    pub(crate) fn spawn_instance_with_store(&mut self, store: std::net::SocketAddr) {
        let binary = Path::new(env!("CARGO_BIN_EXE_sequoiawell"));
        // The process id separates the addresses of test processes that run at the same time.
        let host =
            NEXT_HOST.fetch_add(1, Ordering::Relaxed) + (std::process::id() % 2_000) as u16 * 32;
        let name = format!("entry-{}", self.instances.len() + 1);
        let addresses = Addresses::for_host(host);
        self.instances.push(Instance::start(binary, &self.dir, &name, addresses, store));
    }

    /// Address of the first instance for callers.
    pub(crate) fn entry_address(&self) -> std::net::SocketAddr {
        self.instances[0].addresses.callers
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.instances.clear();
        if std::thread::panicking() {
            eprintln!("settings and logs of the failed test are in {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Polls `condition` until it is true or the time is over; returns its last value.
pub(crate) async fn wait_for(within: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + within;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    condition()
}
