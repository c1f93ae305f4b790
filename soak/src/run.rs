//! One run: starts a deployment and callers, injects the faults of a seed and checks the outcome.

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

use crate::accounts::{self, Accounts, GUEST_KEY, HOT_KEY, KeyRecord, STEADY_KEYS, UNKNOWN_KEY};
use crate::checks::{RequestRecord, violations};
use crate::crowd;
use crate::notices::{Noticed, PAUSE_TEXT, Trip, notice_violations, way_faults};
use crate::plan::{Event, Kind, plan};
use crate::proxy::{Mode, Proxy};

const ROUTES: &[(&str, RouteKind, &str)] = &[
    ("/read/", RouteKind::Idempotent, "ledger"),
    ("/book/", RouteKind::NonIdempotent, "ledger"),
    ("/note/", RouteKind::Stream, "engines"),
    ("/chat/", RouteKind::Resumable, "engines"),
];
/// Models with their load times. The last one takes so long that a load can outlast
/// a term of the leader.
const MODELS: &[(&str, f64)] = &[("m1", 0.3), ("m2", 0.3), ("m3", 0.3), ("m4", 1.2)];
/// Number of callers, each with one request at a time.
const CALLER_COUNT: u64 = 12;
/// Time after the last fault until every request is served again: leases expire, watches reconnect
/// and backoffs end.
const RECOVERY_TIME: Duration = Duration::from_secs(9);
/// Time without faults at the end, in which every request must be served.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Memory of an instance that no fault may make it exceed: the smallest machines of the users'
/// deployments have 160 MB.
const MAX_MEMORY_BYTES: u64 = 128 << 20;
/// Interval at which the memory of the instances is read.
const MEMORY_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which all instances must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time of a graceful stop: the grace period in the settings of the processes and the exit after
/// it.
const STOP_GRACE: Duration = Duration::from_secs(6);

/// Time after the start of a graceful stop in which an instance must still answer new requests: a
/// little less than the 2.8 s of the processes, because a request may be in flight when that ends.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_400);

/// What the callers record, all together.
type Records<T> = Arc<Mutex<Vec<T>>>;

/// Injected faults, request outcomes and violations of one run.
pub(crate) struct Report {
    seed: u64,
    injected: BTreeMap<String, u32>,
    outcomes: BTreeMap<String, u32>,
    pub(crate) violations: Vec<String>,
    logs: std::path::PathBuf,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = |map: &BTreeMap<String, u32>| {
            map.iter().map(|(name, n)| format!("{name} {n}")).collect::<Vec<_>>().join(", ")
        };
        writeln!(f, "seed {}: injected {}", self.seed, list(&self.injected))?;
        write!(f, "seed {}: outcomes {}", self.seed, list(&self.outcomes))?;
        for violation in &self.violations {
            write!(f, "\nseed {}: VIOLATION {violation}", self.seed)?;
        }
        if !self.violations.is_empty() {
            write!(f, "\nseed {}: logs in {}", self.seed, self.logs.display())?;
        }
        Ok(())
    }
}

struct Deployment {
    store: Store,
    store_proxy: Proxy,
    servers: Vec<Server>,
    server_proxies: Vec<Proxy>,
    instances: Vec<Mutex<Instance>>,
    /// For each instance, how many faults have begun and how many have ended.
    instance_faults: Vec<(AtomicU64, AtomicU64)>,
    version: AtomicU64,
    /// Client accounts, if the run has any.
    accounts: Option<Accounts>,
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

fn full_configuration(version: u64, accounts: Option<&Accounts>) -> serde_json::Value {
    let plain = configuration(version, ROUTES, MODELS);
    match accounts {
        Some(accounts) => accounts.add_to(plain),
        None => plain,
    }
}

impl Deployment {
    /// Starts a store, the servers and `count` instances of `binary`, and registers the servers.
    /// Instances reach the store and the servers through proxies that can inject faults. Settings
    /// and logs of the instances are written to `dir`; their loopback addresses depend on the id of
    /// this process and `seed`. Does not wait until the instances are ready; see
    /// [`Deployment::wait_until_ready`].
    async fn start(
        binary: &Path,
        dir: &Path,
        seed: u64,
        count: u16,
        accounts: Option<Accounts>,
    ) -> std::io::Result<Self> {
        let store = Store::start().await;
        store.put("config", "main", full_configuration(3, accounts.as_ref()));
        let mut configs = vec![
            engine("e1", &["m1", "m2"]),
            engine("e2", &["m2", "m3"]),
            engine("e3", &["m1", "m4"]),
        ];
        configs
            .extend(["l1", "l2"].map(|id| ServerConfig { service: "ledger", ..engine(id, &[]) }));
        let (mut servers, mut server_proxies) = (Vec::new(), Vec::new());
        for cfg in configs {
            let server = Server::start(cfg).await;
            let proxy = Proxy::start(server.address).await?;
            store.put("servers", &server.cfg.id, server.entry_at(proxy.address, false));
            servers.push(server);
            server_proxies.push(proxy);
        }
        let store_proxy = Proxy::start(store.address).await?;
        // Gives each process and seed its own loopback addresses, apart from those of the tests.
        let base = 20_000 + (std::process::id() as u16 % 40) * 1_000 + (seed % 4) as u16 * 250;
        let instances: Vec<_> = (0..count)
            .map(|n| {
                let ports = Addresses::for_host(base + n);
                let name = format!("entry-{n}");
                Mutex::new(Instance::start(binary, dir, &name, ports, store_proxy.address))
            })
            .collect();
        let instance_faults = instances.iter().map(|_| Default::default()).collect();
        let version = AtomicU64::new(3);
        Ok(Self {
            store,
            store_proxy,
            servers,
            server_proxies,
            instances,
            instance_faults,
            version,
            accounts,
        })
    }

    fn with_instance(&self, index: usize, change: impl FnOnce(&mut Instance)) {
        change(&mut self.instances[index].lock().unwrap_or_else(PoisonError::into_inner));
    }

    async fn wait_until_ready(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        for index in 0..self.instances.len() {
            loop {
                let url = {
                    let instance =
                        self.instances[index].lock().unwrap_or_else(PoisonError::into_inner);
                    instance.addresses
                };
                if Instance::is_ready_at(url).await {
                    break;
                }
                if Instant::now() > deadline {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        true
    }

    /// Waits for the start time of a fault, injects it, and ends it after its duration.
    async fn inject(&self, Event { at, duration, kind }: Event, started_at: Instant) {
        tokio::time::sleep_until((started_at + at).into()).await;
        match kind {
            Kind::Store(fault) => {
                self.store.set_fault(fault);
                tokio::time::sleep(duration).await;
                self.store.set_fault(StoreFault::None);
            }
            Kind::StoreWay(mode) => {
                self.store_proxy.set_mode(mode);
                tokio::time::sleep(duration).await;
                self.store_proxy.set_mode(Mode::Pass);
            }
            Kind::Server(server, fault) => {
                self.servers[server].set_fault(fault);
                tokio::time::sleep(duration).await;
                self.servers[server].set_fault(Fault::None);
            }
            Kind::ServerWay(server, mode) => {
                self.server_proxies[server].set_mode(mode);
                tokio::time::sleep(duration).await;
                self.server_proxies[server].set_mode(Mode::Pass);
            }
            Kind::Drain(server) => {
                self.register(server, true);
                tokio::time::sleep(duration).await;
                self.register(server, false);
            }
            Kind::Leaving(server) => {
                self.servers[server].set_leaving(true);
                tokio::time::sleep(duration).await;
                self.servers[server].begin_new_run();
                self.register(server, false);
            }
            Kind::Pausing(server) => {
                self.servers[server].set_pause(Some(PAUSE_TEXT));
                tokio::time::sleep(duration).await;
                self.servers[server].set_pause(None);
            }
            Kind::Kill(index) => {
                self.begin_fault(index, |instance| instance.kill());
                tokio::time::sleep(duration).await;
                self.with_instance(index, Instance::restart);
                self.end_fault(index).await;
            }
            Kind::Pause(index) => {
                self.begin_fault(index, |instance| instance.signal(Signal::STOP));
                tokio::time::sleep(duration).await;
                self.with_instance(index, |instance| instance.signal(Signal::CONT));
                self.end_fault(index).await;
            }
            Kind::Stop(index) => {
                self.with_instance(index, |instance| instance.signal(Signal::TERM));
                // Until the instance refuses new connections, each request must get a response.
                tokio::time::sleep(STOP_ACCEPT_TIME).await;
                self.begin_fault(index, |_| ());
                tokio::time::sleep(STOP_GRACE - STOP_ACCEPT_TIME).await;
                self.with_instance(index, Instance::restart);
                self.end_fault(index).await;
            }
            Kind::Configuration => self.publish_configuration(),
        }
    }

    fn publish_configuration(&self) {
        let version = self.version.fetch_add(2, Ordering::Relaxed) + 2;
        self.store.put("config", "main", full_configuration(version, self.accounts.as_ref()));
    }

    /// Waits for the time of a change of the accounts and publishes it.
    async fn change_accounts(&self, at: Duration, change: accounts::Change, started_at: Instant) {
        tokio::time::sleep_until((started_at + at).into()).await;
        if let Some(accounts) = &self.accounts {
            accounts.apply(change);
            self.publish_configuration();
        }
    }

    fn register(&self, server: usize, is_draining: bool) {
        let entry = self.servers[server].entry_at(self.server_proxies[server].address, is_draining);
        self.store.put("servers", &self.servers[server].cfg.id, entry);
    }

    fn begin_fault(&self, index: usize, change: impl FnOnce(&mut Instance)) {
        self.instance_faults[index].0.fetch_add(1, Ordering::SeqCst);
        self.with_instance(index, change);
    }

    /// Ends the fault after a second, by which time the instance listens again, so that callers may
    /// rely on it.
    async fn end_fault(&self, index: usize) {
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.instance_faults[index].1.fetch_add(1, Ordering::SeqCst);
    }

    /// Number of faults of an instance that have begun, and whether all of them have ended.
    fn fault_state(&self, index: usize) -> (u64, bool) {
        let (begun, ended) = &self.instance_faults[index];
        let ended = ended.load(Ordering::SeqCst);
        let begun = begun.load(Ordering::SeqCst);
        (begun, begun == ended)
    }
}

/// Reads the memory of the instances until the run is over; returns a line for each that exceeds its
/// limit.
async fn watch_memory(deployment: Arc<Deployment>, is_over: Arc<AtomicBool>) -> Vec<String> {
    let mut largest = vec![0; deployment.instances.len()];
    while !is_over.load(Ordering::Relaxed) {
        for (index, largest) in largest.iter_mut().enumerate() {
            deployment.with_instance(index, |instance| {
                *largest = instance.memory().unwrap_or(0).max(*largest);
            });
        }
        tokio::time::sleep(MEMORY_INTERVAL).await;
    }
    let exceeding = largest.iter().enumerate().filter(|(_, bytes)| **bytes > MAX_MEMORY_BYTES);
    exceeding.map(|(index, bytes)| format!("instance {index}: {} MB", bytes >> 20)).collect()
}

async fn run_caller(
    deployment: Arc<Deployment>,
    caller_id: u64,
    (requests, trips): (Records<RequestRecord>, Records<Trip>),
    is_over: Arc<AtomicBool>,
    has_recovered: Arc<AtomicBool>,
) {
    let caller = Caller::default();
    let mut n = 0_u64;
    while !is_over.load(Ordering::Relaxed) {
        n += 1;
        let (path, kind, _) = ROUTES[((caller_id + n) % 4) as usize];
        let index = ((caller_id * 7 + n) % deployment.instances.len() as u64) as usize;
        let id = format!("c{caller_id}n{n}");
        let model = MODELS[((caller_id + n / 4) % 4) as usize].0;
        let is_stream = matches!(kind, RouteKind::Stream | RouteKind::Resumable);
        let request = Call {
            model: is_stream.then_some(model),
            body: (kind != RouteKind::Idempotent).then_some("{}"),
            timeout: Duration::from_secs(6),
            key: deployment.accounts.is_some().then_some(STEADY_KEYS[caller_id as usize % 3]),
            ..Call::new(&id, path)
        };
        let to = {
            let instance =
                deployment.instances[index].lock().unwrap_or_else(PoisonError::into_inner);
            instance.addresses.callers
        };
        let (before, is_faultless) = deployment.fault_state(index);
        let is_after_faults = has_recovered.load(Ordering::SeqCst);
        let sent_at = Instant::now();
        let outcome = caller.call(to, &request).await;
        let (after, _) = deployment.fault_state(index);
        let trip = Trip {
            id: id.clone(),
            instance: index,
            sent_at,
            ended_at: Instant::now(),
            faults: (before, after),
            answered_by: outcome.signature.clone().filter(|_| outcome.status == Some(200)),
        };
        trips.lock().unwrap_or_else(PoisonError::into_inner).push(trip);
        let overlaps_fault = !is_faultless || before != after;
        let record = RequestRecord { kind, outcome, overlaps_fault, is_after_faults, id };
        requests.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
}

/// Sends requests with one key, each after the pause.
async fn run_key(
    deployment: Arc<Deployment>,
    key: &'static str,
    caller_id: usize,
    pause: Duration,
    records: Arc<Mutex<Vec<KeyRecord>>>,
    (is_over, has_recovered): (Arc<AtomicBool>, Arc<AtomicBool>),
) {
    let caller = Caller::default();
    let mut n = caller_id;
    while !is_over.load(Ordering::Relaxed) {
        n += 1;
        let index = n % deployment.instances.len();
        let id = format!("{key}-{caller_id}n{n}");
        let call = Call { key: Some(key), ..Call::new(&id, "/read/x") };
        let to = {
            let instance = &deployment.instances[index];
            instance.lock().unwrap_or_else(PoisonError::into_inner).addresses.callers
        };
        let is_after_faults = has_recovered.load(Ordering::SeqCst);
        let sent_at = Instant::now();
        let outcome = caller.call(to, &call).await;
        let ended_at = Instant::now();
        let record = KeyRecord { id, key, sent_at, ended_at, outcome, is_after_faults };
        records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        tokio::time::sleep(pause).await;
    }
}

/// Number of callers of the hot account. Together they ask for more than any of its quotas.
const HOT_CALLERS: usize = 6;
/// Pause between two requests of the hot account's callers, and of those with other keys.
const PAUSES: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(120));

/// Runs the fault plan of one seed.
pub(crate) async fn run(
    binary: &Path,
    seed: u64,
    fault_duration: Duration,
    instances: u16,
    has_accounts: bool,
) -> Report {
    let logs = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    let mut report = Report {
        seed,
        injected: BTreeMap::new(),
        outcomes: BTreeMap::new(),
        violations: Vec::new(),
        logs: logs.clone(),
    };
    let deployment = match std::fs::create_dir_all(&logs) {
        Ok(()) => {
            let accounts = has_accounts.then(Accounts::default);
            Deployment::start(binary, &logs, seed, instances, accounts).await
        }
        Err(error) => Err(error),
    };
    let deployment = match deployment {
        Ok(deployment) => Arc::new(deployment),
        Err(error) => {
            report.violations.push(format!("failed to start: {error}"));
            return report;
        }
    };
    if !deployment.wait_until_ready(START_TIMEOUT).await {
        report.violations.push("instances did not become ready".into());
        return report;
    }
    let (requests, trips) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
    let (is_over, has_recovered) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let mut callers: Vec<_> = (0..CALLER_COUNT)
        .map(|n| {
            tokio::spawn(run_caller(
                deployment.clone(),
                n,
                (requests.clone(), trips.clone()),
                is_over.clone(),
                has_recovered.clone(),
            ))
        })
        .collect();
    let records = Arc::new(Mutex::new(Vec::new()));
    if has_accounts {
        let hot = (0..HOT_CALLERS).map(|n| (HOT_KEY, n, PAUSES.0));
        let others = [GUEST_KEY, UNKNOWN_KEY].map(|key| (key, 0, PAUSES.1));
        callers.extend(hot.chain(others).map(|(key, n, pause)| {
            let flags = (is_over.clone(), has_recovered.clone());
            tokio::spawn(run_key(deployment.clone(), key, n, pause, records.clone(), flags))
        }));
    }
    let memory = tokio::spawn(watch_memory(deployment.clone(), is_over.clone()));
    let started_at = Instant::now();
    let events = plan(seed, fault_duration, deployment.servers.len(), deployment.instances.len());
    let mut faults = tokio::task::JoinSet::new();
    for event in events.clone() {
        let name = format!("{:?}", event.kind);
        let name = name.split(['(', ' ']).next().unwrap_or("").to_owned();
        *report.injected.entry(name).or_default() += 1;
        let deployment = deployment.clone();
        faults.spawn(async move { deployment.inject(event, started_at).await });
    }
    if has_accounts {
        for (at, change) in accounts::changes(seed, fault_duration) {
            *report.injected.entry(format!("Accounts{change:?}")).or_default() += 1;
            let deployment = deployment.clone();
            faults.spawn(async move { deployment.change_accounts(at, change, started_at).await });
        }
    }
    for crowd in crowd::plan(seed, fault_duration, deployment.instances.len()) {
        *report.injected.entry("Crowd".into()).or_default() += 1;
        let mut addresses = None;
        deployment.with_instance(crowd.instance, |instance| addresses = Some(instance.addresses));
        if let Some(addresses) = addresses {
            faults.spawn(crowd.play(addresses, started_at));
        }
    }
    while faults.join_next().await.is_some() {}
    for server in 0..deployment.servers.len() {
        deployment.servers[server].set_fault(Fault::None);
        deployment.register(server, false);
    }
    tokio::time::sleep(RECOVERY_TIME).await;
    has_recovered.store(true, Ordering::SeqCst);
    tokio::time::sleep(CALM_TIME).await;
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        if let Err(error) = caller.await {
            report.violations.push(format!("caller: {error}"));
        }
    }
    match memory.await {
        Ok(violations) => report.violations.extend(violations),
        Err(error) => report.violations.push(format!("memory: {error}")),
    }
    let requests = requests.lock().unwrap_or_else(PoisonError::into_inner).clone();
    for request in &requests {
        let status = request.outcome.status.map_or("none".into(), |s| s.to_string());
        *report.outcomes.entry(format!("{:?}:{status}", request.kind)).or_default() += 1;
    }
    report.violations.extend(violations(&requests, &deployment.servers));
    let trips = trips.lock().unwrap_or_else(PoisonError::into_inner).clone();
    for (index, server) in deployment.servers.iter().enumerate() {
        let arrivals = server.noticed_arrivals();
        let faults = way_faults(&events, index, started_at);
        let noticed = Noticed { server: &server.cfg.id, arrivals: &arrivals, faults };
        report.violations.extend(notice_violations(&trips, &noticed));
    }
    if let Some(accounts) = &deployment.accounts {
        let records = records.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for record in &records {
            let status = record.outcome.status.map_or("none".into(), |s| s.to_string());
            *report.outcomes.entry(format!("{}:{status}", record.key)).or_default() += 1;
        }
        report.violations.extend(accounts::violations(accounts, &records, &deployment.servers));
    }
    if report.violations.is_empty() {
        // Only a violation needs the logs; a directory that cannot be removed does no harm.
        let _ = std::fs::remove_dir_all(&logs);
    }
    report
}
