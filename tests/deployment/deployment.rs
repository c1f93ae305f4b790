//! A deployment for tests: the stand-ins run in the test's process, the instances are child
//! processes.

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

/// Timeout of each wait, such as for a takeover or until all instances are ready. It is far above
/// the usual time, because the machine may be busy; tests that measure a time say so.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Accelerator memory of an engine. Three models of the sample fit.
const ENGINE_MEMORY_BYTES: u64 = 80 << 30;
/// The ports of a deployment are counted up from the one after this.
const BASE_PORT: u16 = 7_000;

/// An entry instance that runs as a child process.
pub(crate) struct Instance {
    pub(crate) name: String,
    /// Name of the settings file and the log file, without the extension.
    file_stem: String,
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

    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("kill");
        self.child.wait().expect("wait");
    }

    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("wait") {
                return status;
            }
            assert!(Instant::now() < deadline, "{} did not exit in time", self.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Killing a child that has ended returns an error, which is harmless here.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stand-ins and instances that form one deployment.
pub(crate) struct Deployment {
    pub(crate) platform: Platform,
    pub(crate) store: WeightStore,
    pub(crate) engines: Vec<Engine>,
    pub(crate) ledger: Service,
    pub(crate) instances: Vec<Instance>,
    dir: PathBuf,
    /// Loopback address of this deployment. Each has its own, so that ports cannot collide.
    ip: Ipv4Addr,
    next_port: u16,
}

impl Deployment {
    /// Starts two instances in the north, with one engine that checks fencing numbers and one that
    /// ignores them, and one instance in the south, with an engine that checks them.
    pub(crate) async fn start(name: &str) -> Self {
        Self::start_with_memory(name, ENGINE_MEMORY_BYTES).await
    }

    /// Like [`Self::start`], with the given accelerator memory in each engine.
    pub(crate) async fn start_with_memory(name: &str, engine_memory: u64) -> Self {
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
        let mut deployment = Self {
            platform,
            store,
            engines,
            ledger,
            instances: Vec::new(),
            dir,
            ip: unused_loopback_ip(),
            next_port: BASE_PORT,
        };
        deployment.apply("samples/demo").await;
        for (name, data_centre) in
            [("entry-1", "north"), ("entry-2", "north"), ("entry-3", "south")]
        {
            deployment.add_instance(name, data_centre);
        }
        deployment.wait_until_ready().await;
        deployment
    }

    /// Starts an instance and adds it to the platform's list.
    pub(crate) fn add_instance(&mut self, name: &str, data_centre: &'static str) {
        self.add_incarnation(name, name, data_centre);
    }

    /// Starts an incarnation of an instance; its settings and log are named after `file_stem`.
    pub(crate) fn add_incarnation(
        &mut self,
        name: &str,
        file_stem: &str,
        data_centre: &'static str,
    ) {
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
        let path = self.dir.join(format!("{file_stem}.ini"));
        fs::write(&path, settings).expect("settings");
        let log = fs::File::create(self.dir.join(format!("{file_stem}.log"))).expect("log");
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
        let (name, file_stem) = (name.to_owned(), file_stem.to_owned());
        self.instances.push(Instance { name, file_stem, data_centre, callers, operators, child });
    }

    /// Runs the `apply` command on a directory of contracts. Another thread waits for the command,
    /// because this thread serves the platform stand-in that the command calls.
    pub(crate) async fn apply(&self, dir: &str) {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(dir);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sequoiawell"));
        command.arg("apply").arg(path).arg("--platform").arg(self.platform.address().to_string());
        let output = tokio::task::spawn_blocking(move || command.output().expect("apply")).await;
        let output = output.expect("apply");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "apply failed: {text}");
    }

    /// Fetches the status of an instance; `None` if it does not answer.
    pub(crate) async fn status(&self, instance: usize) -> Option<Value> {
        let operators = self.instances[instance].operators;
        let client = reqwest::Client::builder().timeout(Duration::from_secs(1)).build().ok()?;
        let res = client.get(format!("http://{operators}/status")).send().await.ok()?;
        res.json().await.ok()
    }

    /// Index of the instance that owns a group, according to the platform.
    pub(crate) fn owner(&self, group: &str) -> Option<usize> {
        let object = self.platform.object("group", group)?;
        let owner = object.value["owner"].as_str()?.to_owned();
        self.instances.iter().position(|i| i.name == owner)
    }

    /// Current fencing number of a group, according to the platform.
    pub(crate) fn fencing_number(&self, group: &str) -> u64 {
        let object = self.platform.object("group", group);
        object.and_then(|o| o.value["fencing"].as_u64()).unwrap_or_default()
    }

    /// Polls `check` until it returns true; panics after [`WAIT_TIMEOUT`].
    pub(crate) async fn wait_for(&self, what: &str, mut check: impl AsyncFnMut(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !check(self).await {
            assert!(
                Instant::now() < deadline,
                "timed out waiting for: {what}\n{}",
                self.log_tails()
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn wait_until_ready(&self) {
        self.wait_for("all instances ready and all groups owned", async |deployment| {
            for instance in 0..deployment.instances.len() {
                let ready = deployment.status(instance).await.is_some_and(|s| s["ready"] == true);
                if !ready {
                    return false;
                }
            }
            ["north-1", "south-1"].iter().all(|group| deployment.owner(group).is_some())
        })
        .await;
    }

    /// Reads the log of an instance.
    pub(crate) fn log(&self, instance: usize) -> String {
        let path = self.dir.join(format!("{}.log", self.instances[instance].file_stem));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the last log lines of every instance, for the messages of failed assertions.
    pub(crate) fn log_tails(&self) -> String {
        const LINES: usize = 40;
        let mut text = String::new();
        for (number, instance) in self.instances.iter().enumerate() {
            let log = self.log(number);
            let lines: Vec<&str> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(LINES)..];
            text += &format!("--- {}\n{}\n", instance.file_stem, tail.join("\n"));
        }
        text
    }

    /// Checks the invariants of every deployment with the stand-ins' counters.
    pub(crate) fn assert_invariants(&self) {
        let limits: BTreeMap<&str, u32> =
            BTreeMap::from([("summary", 2), ("tally", 2), ("quotes", 1)]);
        for (model, highest) in self.store.max_replicas() {
            let limit = limits.get(&*model).copied().unwrap_or_default();
            assert!(highest <= limit, "{highest} replicas of {model}\n{}", self.log_tails());
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

impl Drop for Deployment {
    fn drop(&mut self) {
        // The directory stays after a failure, because it holds the logs.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns a loopback address that no other deployment of this or another test process uses.
fn unused_loopback_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 1 + (high ^ number) % 250, low, 1 + number)
}
