//! A deployment of real processes: stand-ins in the test's process, instances as children.

use std::collections::BTreeMap;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use stand_ins::engine::{Engine, EngineConfig};
use stand_ins::platform::{Platform, PlatformConfig};
use stand_ins::service::Service;
use stand_ins::weight_store::{WeightStore, WeightStoreConfig};
use types::prelude::{ListedInstance, ListedRole, ListedState, LoadTime};

/// Time for instances to be ready, for a takeover and so on. Far above the usual time, because the
/// machine may be busy; tests that measure a time say so.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(40);
/// Accelerator memory of an engine: three models of the sample fit.
const ENGINE_MEMORY: u64 = 80 << 30;
/// Port before the first one of a deployment.
const FIRST_PORT: u16 = 7_000;

/// One entry instance as a child process.
pub(crate) struct Instance {
    pub(crate) name: String,
    /// Name of its settings and log.
    files: String,
    pub(crate) data_centre: &'static str,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    child: Child,
}

impl Instance {
    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).expect("a pid");
        kill_process(pid, signal).expect("signal");
    }

    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub(crate) fn wake(&self) {
        self.signal(Signal::CONT);
    }

    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("kill");
        self.child.wait().expect("wait");
    }

    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    pub(crate) async fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + WAIT_LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().expect("wait") {
                return status;
            }
            assert!(Instant::now() < deadline, "{} does not end", self.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Already ended children give an error that does not matter.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The whole deployment.
pub(crate) struct World {
    pub(crate) platform: Platform,
    pub(crate) store: WeightStore,
    pub(crate) engines: Vec<Engine>,
    pub(crate) ledger: Service,
    pub(crate) instances: Vec<Instance>,
    dir: PathBuf,
    /// Loopback address of this deployment; each has its own, so that ports cannot collide.
    ip: Ipv4Addr,
    next_port: u16,
}

impl World {
    /// Two instances in the north with one engine that checks fencing numbers and one that ignores
    /// them, one instance in the south with an engine that checks them.
    pub(crate) async fn start(name: &str) -> Self {
        Self::with_memory(name, ENGINE_MEMORY).await
    }

    /// The same deployment with this accelerator memory in each engine.
    pub(crate) async fn with_memory(name: &str, engine_memory: u64) -> Self {
        let dir = std::env::temp_dir().join(format!("sequoiawell-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir).expect("a directory");
        let platform = Platform::start(PlatformConfig::default()).await.expect("platform");
        let store = WeightStore::new(WeightStoreConfig {
            loads_per_second: 20.0,
            ..WeightStoreConfig::default()
        });
        let mut engines = Vec::new();
        for (engine, data_centre, checks_fencing) in
            [("engine-1", "north", true), ("engine-2", "north", false), ("engine-3", "south", true)]
        {
            let cfg = EngineConfig {
                name: engine.into(),
                checks_fencing,
                memory_total: engine_memory,
                load_time: LoadTime {
                    memory: Duration::from_millis(100),
                    disk: Duration::from_millis(400),
                    remote: Duration::from_millis(1_200),
                },
                ..EngineConfig::default()
            };
            let engine = Engine::start(cfg, store.clone()).await.expect("engine");
            platform
                .upsert_instance(engine.listed_instance(data_centre, &format!("{data_centre}-1")));
            engines.push(engine);
        }
        let ledger = Service::start(None).await.expect("ledger");
        for data_centre in ["north", "south"] {
            platform.upsert_instance(ListedInstance {
                name: format!("ledger-{data_centre}").into(),
                role: ListedRole::Service("ledger".into()),
                data_centre: data_centre.into(),
                group: "".into(),
                address: ledger.address().to_string().into(),
                state: ListedState::Live,
                checks_fencing: false,
            });
        }
        let mut world = Self {
            platform,
            store,
            engines,
            ledger,
            instances: Vec::new(),
            dir,
            ip: own_ip(),
            next_port: FIRST_PORT,
        };
        world.apply("samples/demo").await;
        for (name, data_centre) in
            [("entry-1", "north"), ("entry-2", "north"), ("entry-3", "south")]
        {
            world.add(name, data_centre);
        }
        world.wait_until_ready().await;
        world
    }

    /// Starts an instance and lists it.
    pub(crate) fn add(&mut self, name: &str, data_centre: &'static str) {
        self.add_run(name, name, data_centre);
    }

    /// Starts a run of an instance, with a name for its files.
    pub(crate) fn add_run(&mut self, name: &str, files: &str, data_centre: &'static str) {
        let [callers, operators, peers] = std::array::from_fn(|_| {
            self.next_port += 1;
            SocketAddr::from((self.ip, self.next_port))
        });
        let settings = format!(
            "[instance]\nname = {name}\ndata_centre = {data_centre}\n\
             [callers]\naddress = {callers}\n[operators]\naddress = {operators}\n\
             [peers]\naddress = {peers}\n\
             [platform]\naddresses = {}\nreads_per_second = 100\nwrites_per_second = 50\n\
             [lease]\nrenewal = 500ms\nlength = 2s\nmargin = 500ms\n\
             [log]\nlevel = debug\n",
            self.platform.address()
        );
        let path = self.dir.join(format!("{files}.ini"));
        fs::write(&path, settings).expect("settings");
        let log = fs::File::create(self.dir.join(format!("{files}.log"))).expect("log");
        let child = Command::new(env!("CARGO_BIN_EXE_sequoiawell"))
            .arg("serve")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("serve");
        self.platform.upsert_instance(ListedInstance {
            name: name.into(),
            role: ListedRole::Entry,
            data_centre: data_centre.into(),
            group: "".into(),
            address: peers.to_string().into(),
            state: ListedState::Live,
            checks_fencing: false,
        });
        let (name, files) = (name.to_owned(), files.to_owned());
        self.instances.push(Instance { name, files, data_centre, callers, operators, child });
    }

    /// Applies a directory of contracts with the command. Another thread waits for the command,
    /// because it talks to the stand-in that this thread serves.
    pub(crate) async fn apply(&self, dir: &str) {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(dir);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sequoiawell"));
        command.arg("apply").arg(path).arg("--platform").arg(self.platform.address().to_string());
        let output = tokio::task::spawn_blocking(move || command.output().expect("apply")).await;
        let output = output.expect("apply");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "apply failed: {text}");
    }

    /// What an instance says about itself; `None` if it does not answer.
    pub(crate) async fn status(&self, instance: usize) -> Option<Value> {
        let operators = self.instances[instance].operators;
        let client = reqwest::Client::builder().timeout(Duration::from_secs(1)).build().ok()?;
        let res = client.get(format!("http://{operators}/status")).send().await.ok()?;
        res.json().await.ok()
    }

    /// Number of the instance that owns a group, according to the platform.
    pub(crate) fn owner(&self, group: &str) -> Option<usize> {
        let object = self.platform.object("group", group)?;
        let owner = object.value["owner"].as_str()?.to_owned();
        self.instances.iter().position(|i| i.name == owner)
    }

    /// Fencing number of a group.
    pub(crate) fn fencing(&self, group: &str) -> u64 {
        let object = self.platform.object("group", group);
        object.and_then(|o| o.value["fencing"].as_u64()).unwrap_or_default()
    }

    /// Waits until `check` holds.
    pub(crate) async fn wait_for(&self, what: &str, mut check: impl AsyncFnMut(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_LIMIT;
        while !check(self).await {
            assert!(Instant::now() < deadline, "waited in vain for: {what}\n{}", self.logs());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn wait_until_ready(&self) {
        self.wait_for("all instances ready and all groups owned", async |world| {
            for instance in 0..world.instances.len() {
                let ready = world.status(instance).await.is_some_and(|s| s["ready"] == true);
                if !ready {
                    return false;
                }
            }
            ["north-1", "south-1"].iter().all(|group| world.owner(group).is_some())
        })
        .await;
    }

    /// The log of an instance.
    pub(crate) fn log(&self, instance: usize) -> String {
        let path = self.dir.join(format!("{}.log", self.instances[instance].files));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// The last log lines of every instance, for failed assertions.
    pub(crate) fn logs(&self) -> String {
        const LINES: usize = 40;
        let mut text = String::new();
        for (number, instance) in self.instances.iter().enumerate() {
            let log = self.log(number);
            let lines: Vec<&str> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(LINES)..];
            text += &format!("--- {}\n{}\n", instance.files, tail.join("\n"));
        }
        text
    }

    /// Checks what must always hold, by the stand-ins' counters.
    pub(crate) fn assert_invariants(&self) {
        let limits: BTreeMap<&str, u32> =
            BTreeMap::from([("summary", 2), ("tally", 2), ("quotes", 1)]);
        for (model, highest) in self.store.max_replicas() {
            let limit = limits.get(&*model).copied().unwrap_or_default();
            assert!(highest <= limit, "{highest} replicas of {model}\n{}", self.logs());
        }
        for engine in &self.engines {
            let counters = engine.counters();
            let name = engine.name();
            assert_eq!(counters.overcommit_violations, 0, "{name}: memory overcommitted");
            assert_eq!(counters.repeated_orders, 0, "{name}: an order was sent twice");
            assert_eq!(counters.overlapping_orders, 0, "{name}: two orders outstanding");
            assert_eq!(counters.repeated_attempts, 0, "{name}: an attempt id was used twice");
        }
        for (id, count) in self.ledger.counters().withdrawals {
            assert_eq!(count, 1, "{id} was booked {count} times");
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // Kept after a failure, for the logs.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// A loopback address that no other deployment of this or another test process uses.
fn own_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 1 + (high ^ number) % 250, low, 1 + number)
}
