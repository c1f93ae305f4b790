//! One instance with low limits, its store and servers, and the checks after a crowd.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use platform_stand_in::{
    Addresses, Call, Caller, EndlessResponse, EndlessServer, Instance, Model, RouteKind, Server,
    ServerConfig, Store, configuration,
};
use tokio::sync::{Mutex, MutexGuard};

/// `[instance] memory_mb` of the instance.
const MEMORY_MB: u64 = 16;
/// `[instance] descriptors` of the instance.
const DESCRIPTORS: usize = 640;
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// Timeout for steps that usually take well below a second, on a busy machine.
const WAIT: Duration = Duration::from_secs(30);
/// A stream without end, 400 bytes each 10 ms.
const STREAM: EndlessResponse = EndlessResponse {
    start: "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: s\r\n\r\n",
    repeated: "id: 1\ndata: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
               xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
               xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
               xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
               xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n",
    pause: Duration::from_millis(10),
};

/// Held for as long as a test runs, so that the tests run one at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// An instance with low limits and the memory that it took before any crowd.
pub(crate) struct Harness {
    pub(crate) instance: Instance,
    caller: Caller,
    memory_before: u64,
    /// Memory that callers may take beyond what the instance took before: five eighths of its memory.
    /// The other three eighths are for the process itself.
    max_growth: u64,
    max_descriptors: usize,
    dir: PathBuf,
    _store: Store,
    _ledger: Server,
    _engines: Vec<EndlessServer>,
    _turn: MutexGuard<'static, ()>,
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.instance.kill();
        if std::thread::panicking() {
            eprintln!("settings and log of the failed test are in {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Harness {
    pub(crate) async fn start(number: u16) -> Self {
        Self::start_with(number, MEMORY_MB, DESCRIPTORS).await
    }

    /// Starts an instance with `memory_mb` and `descriptors`.
    pub(crate) async fn start_with(number: u16, memory_mb: u64, descriptors: usize) -> Self {
        let turn = TURN.lock().await;
        let store = Store::start().await;
        let routes =
            [("/read/", RouteKind::Idempotent, "ledger"), ("/note/", RouteKind::Stream, "engines")];
        store.put("config", "main", configuration(3, &routes, &[("m1", 0.3)]));
        let ledger = Server::start(ServerConfig {
            id: "l1".into(),
            service: "ledger",
            loaded: Vec::new(),
            models: vec![Model { name: "m1", disk_load: Duration::from_millis(300) }],
            max_loaded_models: 2,
            event_interval: Duration::from_millis(20),
            events: 5,
            report_lag: Duration::from_millis(200),
            initial_load: None,
        })
        .await;
        store.put("servers", "l1", ledger.entry(false));
        let mut engines = Vec::new();
        for id in ["e1", "e2", "e3", "e4"] {
            let engine = EndlessServer::start(id, STREAM).await;
            let mut entry = engine.entry("engines", &["m1"]);
            entry["slots"] = 400.into();
            store.put("servers", id, entry);
            engines.push(engine);
        }
        let dir =
            std::env::temp_dir().join(format!("caller-limits-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("directory for settings and logs cannot be created");
        let binary = Path::new(env!("CARGO_BIN_EXE_sequoiawell"));
        let host = number + 200 + (std::process::id() % 200) as u16 * 256;
        let lines = format!("memory_mb = {memory_mb}\ndescriptors = {descriptors}\n");
        let addresses = Addresses::for_host(host);
        let instance =
            Instance::start_with(binary, &dir, "entry-1", addresses, store.address, &lines);
        assert!(instance.wait_until_ready(WAIT).await, "instance not ready");
        let mut harness = Self {
            instance,
            caller: Caller::default(),
            memory_before: 0,
            max_growth: (memory_mb << 20) / 8 * 5,
            max_descriptors: descriptors - FILE_DESCRIPTORS,
            dir,
            _store: store,
            _ledger: ledger,
            _engines: engines,
            _turn: turn,
        };
        harness.expect_ordinary_service().await;
        harness.memory_before = harness.instance.peak_memory().expect("instance has ended");
        harness
    }

    /// Waits until a request to `/read/` is answered by its server.
    async fn expect_ordinary_service(&self) {
        let deadline = Instant::now() + WAIT;
        loop {
            let call = Call { body: Some("{}"), ..Call::new("good", "/read/level") };
            let outcome = self.caller.call(self.instance.addresses.callers, &call).await;
            if outcome.status == Some(200) {
                return;
            }
            assert!(Instant::now() < deadline, "ordinary request not answered: {outcome:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Waits until `url` is answered with a success.
    async fn expect_success(&self, url: &str) {
        let deadline = Instant::now() + WAIT;
        loop {
            let response = tokio::time::timeout(Duration::from_secs(2), reqwest::get(url)).await;
            if matches!(&response, Ok(Ok(response)) if response.status().is_success()) {
                return;
            }
            assert!(Instant::now() < deadline, "{url} not answered: {response:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Limits that the instance exceeds now or has exceeded.
    pub(crate) fn exceeded(&mut self) -> Vec<String> {
        if !self.instance.is_running() {
            return vec!["the process ended".into()];
        }
        let mut exceeded = Vec::new();
        let growth = self
            .instance
            .peak_memory()
            .expect("memory of the instance cannot be read")
            .saturating_sub(self.memory_before);
        if growth > self.max_growth {
            exceeded.push(format!("memory grew by {growth} bytes of {}", self.max_growth));
        }
        let descriptors =
            self.instance.descriptors().expect("descriptors of the instance cannot be read");
        if descriptors > self.max_descriptors {
            exceeded.push(format!("{descriptors} descriptors open"));
        }
        exceeded
    }

    /// Checks that each listener still serves an ordinary request.
    pub(crate) async fn expect_service(&self) {
        let Addresses { readiness, metrics, peers, .. } = self.instance.addresses;
        self.expect_ordinary_service().await;
        self.expect_success(&format!("http://{readiness}/api/readyz")).await;
        self.expect_success(&format!("http://{metrics}/metrics")).await;
        // Passed on to the store.
        self.expect_success(&format!("http://{peers}/api/objects/config")).await;
    }
}
