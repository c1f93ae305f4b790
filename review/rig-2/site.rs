//! A small deployment like those of `sites/`: routes, services, limits and models.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Case;
use crate::http::{self, Message};
use crate::instance::{Instance, Machine};
use crate::replica::{Config, Replica};
use crate::store::Store;

pub const HOST: &str = "barn.example";
/// Streams that may not be resumed: the time budget and latency target of `merge-reconcile`.
pub const MERGE: &str = "/merge/";
/// Streams that may be resumed: those of `barn-summary`.
pub const SUMMARY: &str = "/summary/";
pub const BOOK: &str = "/book/";
pub const READ: &str = "/read/";

pub const ENGINES: &str = "ledger-assistant";
pub const LEDGER: &str = "barn-ledger";
pub const ZONES: [&str; 2] = ["attica-a", "attica-b"];

/// The configuration with `models` models m0, m1 and so on.
pub fn config(version: u64, models: usize) -> String {
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 timeout: u32,
                 target: u32,
                 service: &str,
                 attempts: u32,
                 resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":{target},\
             \"priority\":1,\"service\":\"{service}\",\"max_attempts\":{attempts},\
             \"session_affinity\":true,\"resumable\":{resumable},\"gap_aim_ms\":250}}"
        )
    };
    let routes = [
        route("merge", MERGE, "streaming", 30_000, 4_000, ENGINES, 1, false),
        route("summary", SUMMARY, "streaming", 12_000, 500, ENGINES, 2, true),
        route("book", BOOK, "non_idempotent", 1_500, 300, LEDGER, 1, false),
        route("read", READ, "idempotent", 1_500, 300, LEDGER, 2, false),
    ];
    let models: Vec<String> = (0..models)
        .map(|n| {
            format!(
                "{{\"name\":\"m{n}\",\"weights_mb\":72700.0,\"load_time_s\":6.9,\"adapters\":23,\
                 \"adapter_size_mb\":66.0,\"warmup_s\":0.6,\"disk_load_s\":1.7}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"route_table\":[{}],\"services\":[\
         {{\"name\":\"{ENGINES}\",\"health_check_path\":\"/healthz\",\"max_connections\":240,\
         \"protocol\":\"h1\",\"tls\":false,\"inference_engine\":{{\"slots\":32,\
         \"kv_cache_capacity\":125876,\"kv_bytes\":163840,\"stride\":6,\"host_memory_mb\":150000.0,\
         \"disk_mb\":1300000.0,\"models\":[{}],\"weights_mb\":230000.0,\"adapter_capacity\":8,\
         \"loads_per_s\":4.2}}}},\
         {{\"name\":\"{LEDGER}\",\"health_check_path\":\"/healthz\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        models.join(",")
    )
}

/// An engine that holds up to three models.
pub fn engine(id: &str, zone: &'static str, models: &[&str]) -> Config {
    Config {
        id: id.into(),
        service: ENGINES,
        zone,
        slots: 32,
        models: Some(models.iter().map(|model| model.to_string()).collect()),
        load_time: Duration::from_millis(6_900),
        max_models: 3,
        events: 10,
        interval: Duration::from_millis(20),
        work: Duration::ZERO,
    }
}

/// A replica of the stock ledger.
pub fn ledger(id: &str, zone: &'static str) -> Config {
    Config {
        id: id.into(),
        service: LEDGER,
        zone,
        slots: 6,
        models: None,
        load_time: Duration::ZERO,
        max_models: 0,
        events: 0,
        interval: Duration::ZERO,
        work: Duration::from_millis(60),
    }
}

/// A running deployment: two engines that hold m0, two ledgers, and instances.
pub struct Site {
    pub instances: Vec<Instance>,
    _replicas: Vec<Arc<Replica>>,
}

impl Site {
    /// Starts everything and waits until the instances are ready.
    pub fn start(
        case: &Case,
        instances: usize,
        machine: Machine,
        models: usize,
    ) -> Result<Self, String> {
        let store = Store::start("127.0.0.1:0");
        store.put("config", "main", &config(7, models));
        let replica = |config| Replica::start("127.0.0.1:0", config, &store, &case.record, None);
        let engines =
            ZONES.iter().zip(["e1", "e2"]).map(|(zone, id)| replica(engine(id, zone, &["m0"])));
        let ledgers = ZONES.iter().zip(["l1", "l2"]).map(|(zone, id)| replica(ledger(id, zone)));
        let replicas = engines.chain(ledgers).collect();
        let address = store.address;
        let instances = (0..instances).map(|n| {
            let (name, zone) = (format!("edge-{n}"), ZONES[n % ZONES.len()]);
            Instance::new(&case.dir, &format!("127.0.0.{}", n + 2), &name, zone, address, machine)
        });
        let instances = instances.collect();
        let mut site = Self { instances, _replicas: replicas };
        site.instances.iter_mut().for_each(Instance::start);
        let is_ready = http::wait_for(Duration::from_secs(15), || {
            site.instances.iter().all(Instance::is_ready)
        });
        match is_ready {
            true => Ok(site),
            false => Err("the instances were not ready in 15 s".into()),
        }
    }
}

/// A request in the form of PROTOCOL.md; `prompt` is the model and the prefix.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    prompt: Option<(&str, &str)>,
    deadline_ms: u32,
) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n");
    if let Some((model, prefix)) = prompt {
        head.push_str(&format!(
            "X-Model: {model}\r\nX-Token-Usage: 1460,80\r\nX-Prompt-Prefix: {prefix}\r\n"
        ));
    }
    head.push_str(&format!("X-Deadline-Ms: {deadline_ms}\r\n"));
    if method == "POST" {
        head.push_str("Content-Length: 0\r\n");
    }
    head.push_str("\r\n");
    head.into_bytes()
}

/// Whether a response is a success with the proof and the whole body.
pub fn is_served(answer: &std::io::Result<Message>) -> bool {
    answer.as_ref().is_ok_and(|answer| {
        answer.status() == 200
            && answer.is_complete
            && answer.header("x-response-signature").is_some()
    })
}

/// An ordinary request for m0, on a new connection.
pub fn ordinary(front: SocketAddr, id: &str) -> std::io::Result<Message> {
    let prompt = Some(("m0", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"));
    http::call(
        front,
        &request("POST", &format!("{MERGE}2f"), id, prompt, 30_000),
        Duration::from_secs(20),
    )
}
