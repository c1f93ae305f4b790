//! Settings, faults and counters of an engine stand-in.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Name of the backend server.
    pub name: BackendServerId,
    /// Address on loopback; `None` selects a free port.
    pub address: Option<SocketAddr>,
    /// Whether the engine refuses orders with a stale fencing number.
    pub checks_fencing: bool,
    /// Whether the highest fencing number survives a restart.
    pub persists_fencing: bool,
    /// Total accelerator memory in bytes.
    pub memory_total: u64,
    /// Load times of models that are not in `load_times`.
    pub load_time: LoadTime,
    /// Load times by model, without waiting for the weight store.
    pub load_times: BTreeMap<ModelId, LoadTime>,
    /// Time that an unload takes once the replica has no requests left.
    pub unload_time: Duration,
    /// Number of checkpoints that fit in host memory.
    pub memory_cache_models: usize,
    /// Number of checkpoints that fit on disk.
    pub disk_cache_models: usize,
    /// Checkpoints that are cached on disk at the start.
    pub cached_on_disk: Vec<ModelId>,
    /// Maximum number of requests that one replica runs concurrently.
    pub max_batch: u32,
    /// Maximum number of requests that wait at one replica.
    pub max_queue: usize,
    /// Prefill time per uncached prompt token.
    pub prompt_token_time: Duration,
    /// Decode time per generated token.
    pub token_time: Duration,
    /// Number of tokens to generate if the request gives no maximum.
    pub default_tokens: u64,
    /// Lag of the load figures in reports.
    pub report_lag: Duration,
    /// Delay until readers see a cache event.
    pub cache_event_lag: Duration,
    /// Drop every n-th cache event; zero drops none.
    pub cache_event_drop_interval: u64,
    /// Number of prefix blocks that fit in the cache.
    pub cache_blocks: usize,
    /// How long a request keeps running without a reader, so that its stream can be resumed.
    pub resume_grace: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            name: "engine-1".into(),
            address: None,
            checks_fencing: true,
            persists_fencing: true,
            memory_total: 80_000_000_000,
            load_time: LoadTime {
                memory: Duration::from_millis(200),
                disk: Duration::from_millis(600),
                remote: Duration::from_millis(1_000),
            },
            load_times: BTreeMap::new(),
            unload_time: Duration::from_millis(20),
            memory_cache_models: 4,
            disk_cache_models: 32,
            cached_on_disk: Vec::new(),
            max_batch: 16,
            max_queue: 256,
            prompt_token_time: Duration::from_micros(50),
            token_time: Duration::from_millis(5),
            default_tokens: 16,
            report_lag: Duration::from_millis(200),
            cache_event_lag: Duration::from_millis(200),
            cache_event_drop_interval: 7,
            cache_blocks: 4_096,
            resume_grace: Duration::from_secs(2),
        }
    }
}

/// Injected faults. Each counted fault hits that many times and counts down.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Close every connection without a response and without an effect.
    pub unreachable: bool,
    /// Delay of every response in milliseconds.
    pub delay_ms: u64,
    /// Orders whose connection the engine closes after it has accepted or refused them.
    pub lose_order_answers: u32,
    /// Loads that fail at the end of their load time.
    pub fail_loads: u32,
    /// Requests that the engine refuses with 503 before they start.
    pub refuse_requests: u32,
    /// Requests whose connection the engine closes before they start.
    pub close_before_run: u32,
    /// Requests whose connection the engine closes after they ran; streams break before the end
    /// marker.
    pub close_after_run: u32,
    /// Streams that break off after `break_streams_after` tokens; the request keeps running.
    pub break_streams: u32,
    /// Number of tokens before a stream breaks off.
    pub break_streams_after: u64,
    /// Streams that end cleanly but without the end marker.
    pub omit_end_markers: u32,
    /// Responses that carry the id of another attempt.
    pub wrong_attempt_ids: u32,
}

/// Counters of one engine, over all its incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineCounters {
    /// Number of loads started, by model.
    pub loads_started: BTreeMap<ModelId, u64>,
    /// Highest number of concurrent replicas per model, over all engines that share the weight
    /// store.
    pub max_replicas: BTreeMap<ModelId, u32>,
    /// Orders that the engine refused because they would overcommit its memory. Each is a fault of
    /// the caller.
    pub overcommit_violations: u64,
    /// Orders that the engine refused because of a stale fencing number.
    pub stale_orders: u64,
    /// Orders with a number that the engine has seen before. Each is a fault of the caller, except
    /// for `seal`.
    pub repeated_orders: u64,
    /// Orders that arrived while another was unresolved, at an engine that ignores fencing numbers.
    pub overlapping_orders: u64,
    /// Load orders that arrived after the leaving flag was set.
    pub loads_after_leaving: u64,
    /// Requests that the engine accepted.
    pub requests_started: u64,
    /// Requests that the engine accepted after the leaving flag was set.
    pub requests_after_leaving: u64,
    /// Longest time between the leaving flag and an accepted request, in milliseconds.
    pub latest_after_leaving_ms: u64,
    /// Requests with an attempt id that the engine has seen before. Each is a fault of the caller.
    pub repeated_attempts: u64,
    /// Requests that the engine refused before they started.
    pub requests_refused: u64,
    /// Requests that generated all tokens.
    pub requests_finished: u64,
    /// Requests that a call cancelled.
    pub requests_cancelled: u64,
    /// Requests that ended because nobody read their response.
    pub requests_abandoned: u64,
    /// Number of tokens generated.
    pub tokens: u64,
}
