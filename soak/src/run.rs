//! One run: a deployment, callers, the faults of a seed, and the checks.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use platform_stand_in::{
    Addresses, Call, Caller, Fault, Instance, Model, RouteKind, Server, ServerConfig, Store,
    StoreFault, configuration,
};
use rustix::process::Signal;

use crate::checks::{Told, findings};
use crate::plan::{Event, Kind, plan};
use crate::proxy::{Mode, Proxy};

const ROUTES: &[(&str, RouteKind, &str)] = &[
    ("/read/", RouteKind::Idempotent, "ledger"),
    ("/book/", RouteKind::NonIdempotent, "ledger"),
    ("/note/", RouteKind::Stream, "engines"),
    ("/chat/", RouteKind::Resumable, "engines"),
];
const MODELS: &[(&str, f64)] = &[("m1", 0.3), ("m2", 0.3), ("m3", 0.3), ("m4", 0.3)];
/// Callers, each with one request at a time.
const CALLERS: u64 = 12;
/// Time after the last fault by which everything is served again: leases, watches and pauses.
const RECOVERY: Duration = Duration::from_secs(9);
/// Length of the calm time at the end, in which every request must be served.
const CALM: Duration = Duration::from_secs(2);
/// Time for all instances to be ready.
const START: Duration = Duration::from_secs(30);
/// Grace period of a planned stop, as the settings of the processes say, and its end.
const GRACE: Duration = Duration::from_secs(6);

/// Time after a planned stop in which new requests are still taken: a little less than the 2.8 s
/// of the processes, because a request may be on its way when that ends.
const LEAVING: Duration = Duration::from_millis(2_400);

/// What a run injected, checked and found.
pub(crate) struct Report {
    seed: u64,
    injected: BTreeMap<String, u32>,
    outcomes: BTreeMap<String, u32>,
    pub(crate) findings: Vec<String>,
    logs: std::path::PathBuf,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = |map: &BTreeMap<String, u32>| {
            map.iter().map(|(name, n)| format!("{name} {n}")).collect::<Vec<_>>().join(", ")
        };
        writeln!(f, "seed {}: injected {}", self.seed, list(&self.injected))?;
        write!(f, "seed {}: told {}", self.seed, list(&self.outcomes))?;
        for finding in &self.findings {
            write!(f, "\nseed {}: FOUND {finding}", self.seed)?;
        }
        if !self.findings.is_empty() {
            write!(f, "\nseed {}: logs in {}", self.seed, self.logs.display())?;
        }
        Ok(())
    }
}

struct World {
    store: Store,
    store_way: Proxy,
    servers: Vec<Server>,
    ways: Vec<Proxy>,
    instances: Vec<Mutex<Instance>>,
    /// Faults of each instance that have begun, and that are over.
    disturbed: Vec<(AtomicU64, AtomicU64)>,
    version: AtomicU64,
}

fn engine(id: &str, loaded: &[&'static str]) -> ServerConfig {
    let model =
        |(name, s): &(&'static str, f64)| Model { name, disk_load: Duration::from_secs_f64(*s) };
    ServerConfig {
        id: id.into(),
        service: "engines",
        loaded: loaded.to_vec(),
        models: MODELS.iter().map(model).collect(),
        max_loaded_models: 2,
        event_interval: Duration::from_millis(25),
        events: 6,
        report_lag: Duration::from_millis(200),
        initial_load: None,
    }
}

impl World {
    async fn start(binary: &Path, dir: &Path, seed: u64, count: u16) -> std::io::Result<Self> {
        let store = Store::start().await;
        store.put("config", "main", configuration(3, ROUTES, MODELS));
        let mut configs = vec![
            engine("e1", &["m1", "m2"]),
            engine("e2", &["m2", "m3"]),
            engine("e3", &["m1", "m4"]),
        ];
        configs
            .extend(["l1", "l2"].map(|id| ServerConfig { service: "ledger", ..engine(id, &[]) }));
        let (mut servers, mut ways) = (Vec::new(), Vec::new());
        for cfg in configs {
            let server = Server::start(cfg).await;
            let way = Proxy::start(server.address).await?;
            store.put("servers", &server.cfg.id, server.entry_at(way.address, false));
            servers.push(server);
            ways.push(way);
        }
        let store_way = Proxy::start(store.address).await?;
        // Loopback addresses of this process and seed, apart from those of the tests.
        let base = 20_000 + (std::process::id() as u16 % 40) * 1_000 + (seed % 4) as u16 * 250;
        let instances: Vec<_> = (0..count)
            .map(|n| {
                let ports = Addresses::for_host(base + n);
                let name = format!("entry-{n}");
                Mutex::new(Instance::start(binary, dir, &name, ports, store_way.address))
            })
            .collect();
        let disturbed = instances.iter().map(|_| Default::default()).collect();
        let version = AtomicU64::new(3);
        Ok(Self { store, store_way, servers, ways, instances, disturbed, version })
    }

    fn with_instance(&self, at: usize, change: impl FnOnce(&mut Instance)) {
        change(&mut self.instances[at].lock().unwrap_or_else(PoisonError::into_inner));
    }

    async fn are_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        for at in 0..self.instances.len() {
            loop {
                let url = {
                    let instance =
                        self.instances[at].lock().unwrap_or_else(PoisonError::into_inner);
                    instance.addresses
                };
                if Instance::is_ready_at(url).await {
                    break;
                }
                if Instant::now() > until {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        true
    }

    /// Begins a fault, waits, and ends it.
    async fn inject(&self, Event { at, lasts, kind }: Event, began: Instant) {
        tokio::time::sleep_until((began + at).into()).await;
        match kind {
            Kind::Store(fault) => {
                self.store.set_fault(fault);
                tokio::time::sleep(lasts).await;
                self.store.set_fault(StoreFault::None);
            }
            Kind::StoreWay(mode) => {
                self.store_way.set(mode);
                tokio::time::sleep(lasts).await;
                self.store_way.set(Mode::Pass);
            }
            Kind::Server(server, fault) => {
                self.servers[server].set_fault(fault);
                tokio::time::sleep(lasts).await;
                self.servers[server].set_fault(Fault::None);
            }
            Kind::ServerWay(server, mode) => {
                self.ways[server].set(mode);
                tokio::time::sleep(lasts).await;
                self.ways[server].set(Mode::Pass);
            }
            Kind::Drain(server) => {
                self.register(server, true);
                tokio::time::sleep(lasts).await;
                self.register(server, false);
            }
            Kind::Kill(at) => {
                self.disturb(at, |instance| instance.kill());
                tokio::time::sleep(lasts).await;
                self.with_instance(at, Instance::restart);
                self.settle(at).await;
            }
            Kind::Pause(at) => {
                self.disturb(at, |instance| instance.signal(Signal::STOP));
                tokio::time::sleep(lasts).await;
                self.with_instance(at, |instance| instance.signal(Signal::CONT));
                self.settle(at).await;
            }
            Kind::Stop(at) => {
                self.with_instance(at, |instance| instance.signal(Signal::TERM));
                // Until it takes no new connections, what is sent must get an answer.
                tokio::time::sleep(LEAVING).await;
                self.disturb(at, |_| ());
                tokio::time::sleep(GRACE - LEAVING).await;
                self.with_instance(at, Instance::restart);
                self.settle(at).await;
            }
            Kind::Configuration => {
                let version = self.version.fetch_add(2, Ordering::Relaxed) + 2;
                self.store.put("config", "main", configuration(version, ROUTES, MODELS));
            }
        }
    }

    fn register(&self, server: usize, is_draining: bool) {
        let entry = self.servers[server].entry_at(self.ways[server].address, is_draining);
        self.store.put("servers", &self.servers[server].cfg.id, entry);
    }

    fn disturb(&self, at: usize, change: impl FnOnce(&mut Instance)) {
        self.disturbed[at].0.fetch_add(1, Ordering::SeqCst);
        self.with_instance(at, change);
    }

    /// Callers may count on the instance again once it listens.
    async fn settle(&self, at: usize) {
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.disturbed[at].1.fetch_add(1, Ordering::SeqCst);
    }

    /// Faults of an instance that have begun, and whether all of them are over.
    fn disturbances(&self, at: usize) -> (u64, bool) {
        let (begun, over) = &self.disturbed[at];
        let over = over.load(Ordering::SeqCst);
        let begun = begun.load(Ordering::SeqCst);
        (begun, begun == over)
    }
}

async fn call(
    world: Arc<World>,
    caller_id: u64,
    told: Arc<Mutex<Vec<Told>>>,
    is_over: Arc<AtomicBool>,
    is_calm: Arc<AtomicBool>,
) {
    let caller = Caller::default();
    let mut n = 0_u64;
    while !is_over.load(Ordering::Relaxed) {
        n += 1;
        let (path, kind, _) = ROUTES[((caller_id + n) % 4) as usize];
        let at = ((caller_id * 7 + n) % world.instances.len() as u64) as usize;
        let id = format!("c{caller_id}n{n}");
        let model = MODELS[((caller_id + n / 4) % 4) as usize].0;
        let is_stream = matches!(kind, RouteKind::Stream | RouteKind::Resumable);
        let request = Call {
            model: is_stream.then_some(model),
            body: (kind != RouteKind::Idempotent).then_some("{}"),
            timeout: Duration::from_secs(6),
            ..Call::new(&id, path)
        };
        let to = {
            let instance = world.instances[at].lock().unwrap_or_else(PoisonError::into_inner);
            instance.addresses.callers
        };
        let (before, is_sound) = world.disturbances(at);
        let calm = is_calm.load(Ordering::SeqCst);
        let outcome = caller.call(to, &request).await;
        let (after, _) = world.disturbances(at);
        let is_excused = !is_sound || before != after;
        let entry = Told { kind, outcome, is_excused, is_calm: calm, id };
        told.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
}

/// Plays one seed.
pub(crate) async fn run(binary: &Path, seed: u64, length: Duration, instances: u16) -> Report {
    let logs = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    let mut report = Report {
        seed,
        injected: BTreeMap::new(),
        outcomes: BTreeMap::new(),
        findings: Vec::new(),
        logs: logs.clone(),
    };
    let world = match std::fs::create_dir_all(&logs) {
        Ok(()) => World::start(binary, &logs, seed, instances).await,
        Err(error) => Err(error),
    };
    let world = match world {
        Ok(world) => Arc::new(world),
        Err(error) => {
            report.findings.push(format!("not started: {error}"));
            return report;
        }
    };
    if !world.are_ready(START).await {
        report.findings.push("instances not ready at the start".into());
        return report;
    }
    let told = Arc::new(Mutex::new(Vec::new()));
    let (is_over, is_calm) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            tokio::spawn(call(world.clone(), n, told.clone(), is_over.clone(), is_calm.clone()))
        })
        .collect();
    let began = Instant::now();
    let events = plan(seed, length, world.servers.len(), world.instances.len());
    let mut faults = tokio::task::JoinSet::new();
    for event in events {
        let name = format!("{:?}", event.kind);
        let name = name.split(['(', ' ']).next().unwrap_or("").to_owned();
        *report.injected.entry(name).or_default() += 1;
        let world = world.clone();
        faults.spawn(async move { world.inject(event, began).await });
    }
    while faults.join_next().await.is_some() {}
    for server in 0..world.servers.len() {
        world.servers[server].set_fault(Fault::None);
        world.register(server, false);
    }
    tokio::time::sleep(RECOVERY).await;
    is_calm.store(true, Ordering::SeqCst);
    tokio::time::sleep(CALM).await;
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        if let Err(error) = caller.await {
            report.findings.push(format!("caller: {error}"));
        }
    }
    let told = told.lock().unwrap_or_else(PoisonError::into_inner).clone();
    for request in &told {
        let status = request.outcome.status.map_or("none".into(), |s| s.to_string());
        *report.outcomes.entry(format!("{:?}:{status}", request.kind)).or_default() += 1;
    }
    report.findings.extend(findings(&told, &world.servers));
    if report.findings.is_empty() {
        // Logs are only of use with a finding; a folder that stays behind does no harm.
        let _ = std::fs::remove_dir_all(&logs);
    }
    report
}
