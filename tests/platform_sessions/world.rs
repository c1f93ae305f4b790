//! A small deployment: a store, engines, plain servers and entry processes.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use platform_stand_in::{
    Caller, Instance, Model, Ports, RouteKind, Server, ServerConfig, Store, configuration,
};

/// Time for what usually takes well below a second; far above it, because the machine may be busy.
pub(crate) const WAIT: Duration = Duration::from_secs(30);

/// Number of the next instance's loopback address in this test process.
static NEXT_HOST: AtomicU16 = AtomicU16::new(0);

/// Number of the next deployment in this test process.
static NEXT_WORLD: AtomicU16 = AtomicU16::new(0);

/// Routes of every deployment.
pub(crate) const ROUTES: &[(&str, RouteKind, &str)] = &[
    ("/read/", RouteKind::Idempotent, "ledger"),
    ("/book/", RouteKind::NonIdempotent, "ledger"),
    ("/note/", RouteKind::Stream, "engines"),
    ("/chat/", RouteKind::Resumable, "engines"),
];

/// Models and their load times from disk, in seconds.
pub(crate) const MODELS: &[(&str, f64)] = &[("m1", 0.3), ("m2", 0.3), ("m3", 0.3), ("m4", 0.3)];

pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) servers: Vec<Server>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) caller: Caller,
    dir: PathBuf,
}

/// An engine with two of the models loaded.
pub(crate) fn engine(id: &str, loaded: &[&'static str]) -> ServerConfig {
    ServerConfig {
        id: id.into(),
        service: "engines",
        loaded: loaded.to_vec(),
        models: MODELS
            .iter()
            .map(|(name, s)| Model { name, disk_load: Duration::from_secs_f64(*s) })
            .collect(),
        room: 2,
        event_gap: Duration::from_millis(20),
        events: 5,
        report_lag: Duration::from_millis(200),
        busy_with: None,
    }
}

/// A server of the plain service.
pub(crate) fn ledger(id: &str) -> ServerConfig {
    ServerConfig { service: "ledger", ..engine(id, &[]) }
}

impl World {
    /// Starts the stand-ins and registers the servers; instances are started on their own.
    pub(crate) async fn new(servers: Vec<ServerConfig>) -> Self {
        let store = Store::start().await;
        store.put("config", "main", configuration(3, ROUTES, MODELS));
        let mut running = Vec::new();
        for cfg in servers {
            let server = Server::start(cfg).await;
            store.put("servers", &server.cfg.id, server.entry(false));
            running.push(server);
        }
        let number = NEXT_WORLD.fetch_add(1, Ordering::Relaxed);
        let name = format!("platform-sessions-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("a directory for settings and logs");
        Self { store, servers: running, instances: Vec::new(), caller: Caller::default(), dir }
    }

    /// A deployment with one ready instance.
    pub(crate) async fn serving(servers: Vec<ServerConfig>) -> Self {
        let mut world = Self::new(servers).await;
        world.start_instance().await;
        world
    }

    /// Starts an instance and waits until it is ready.
    pub(crate) async fn start_instance(&mut self) {
        self.spawn_instance();
        let instance = self.instances.last().expect("an instance");
        assert!(instance.ready(WAIT).await, "{} not ready", instance.name);
    }

    /// Starts an instance without waiting for it.
    pub(crate) fn spawn_instance(&mut self) {
        let binary = Path::new(env!("CARGO_BIN_EXE_sequoiawell"));
        // The process id keeps test processes that run at the same time apart.
        let host =
            NEXT_HOST.fetch_add(1, Ordering::Relaxed) + (std::process::id() % 2_000) as u16 * 32;
        let name = format!("entry-{}", self.instances.len() + 1);
        let ports = Ports::of(host);
        self.instances.push(Instance::start(binary, &self.dir, &name, ports, self.store.address));
    }

    /// Where callers reach the first instance.
    pub(crate) fn entry(&self) -> std::net::SocketAddr {
        self.instances[0].ports.callers
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.instances.clear();
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Waits until `holds` or the time is over.
pub(crate) async fn eventually(within: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    holds()
}
