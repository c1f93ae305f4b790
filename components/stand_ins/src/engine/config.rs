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
    /// Address on loopback; `None` takes a free port.
    pub address: Option<SocketAddr>,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Whether the highest fencing number survives a restart.
    pub persists_fencing: bool,
    /// Accelerator memory in all.
    pub memory_total: u64,
    /// Load times of models that `load_times` does not name.
    pub load_time: LoadTime,
    /// Load times by model, without queueing.
    pub load_times: BTreeMap<ModelId, LoadTime>,
    /// Time to release the memory of a replica without requests.
    pub unload_time: Duration,
    /// Checkpoints that fit in host memory.
    pub memory_cache_models: usize,
    /// Checkpoints that fit on disk.
    pub disk_cache_models: usize,
    /// Checkpoints cached on disk at the start.
    pub cached_on_disk: Vec<ModelId>,
    /// Requests that one replica runs at one time.
    pub max_batch: u32,
    /// Requests that may wait at one replica.
    pub max_queue: usize,
    /// Time per uncached prompt token.
    pub prompt_token_time: Duration,
    /// Time per generated token.
    pub token_time: Duration,
    /// Tokens of requests that give no maximum.
    pub default_tokens: u64,
    /// How far the load figures of reports lag.
    pub report_lag: Duration,
    /// How late cache events are.
    pub cache_event_lag: Duration,
    /// Every how many-th cache event is lost; zero loses none.
    pub cache_event_drop_interval: u64,
    /// Prefix blocks that fit in the cache.
    pub cache_blocks: usize,
    /// How long a request without a reader goes on, so that its stream can be resumed.
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

/// Faults that are switched on. Numbers count down with each use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Close every connection without an answer and without an effect.
    pub unreachable: bool,
    /// Delay of every answer in milliseconds.
    pub delay_ms: u64,
    /// Orders whose connection is closed after they were accepted or refused.
    pub lose_order_answers: u32,
    /// Loads that fail at their end.
    pub fail_loads: u32,
    /// Requests refused with 503 before they start.
    pub refuse_requests: u32,
    /// Requests whose connection is closed before they start.
    pub close_before_run: u32,
    /// Requests whose connection is closed after they ran; streams break before the end marker.
    pub close_after_run: u32,
    /// Streams that break off after `break_streams_after` tokens; the request goes on.
    pub break_streams: u32,
    /// Tokens before a stream breaks off.
    pub break_streams_after: u64,
    /// Streams that end in good order but without the end marker.
    pub omit_end_markers: u32,
    /// Answers that name another attempt.
    pub wrong_attempt_ids: u32,
}

/// Counters of one engine, over all its incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineCounters {
    /// Loads started, by model.
    pub loads_started: BTreeMap<ModelId, u64>,
    /// Highest number of replicas per model over all engines that share the weight store.
    pub max_replicas: BTreeMap<ModelId, u32>,
    /// Orders refused because they would overcommit the memory. Each is a fault of the caller.
    pub overcommit_violations: u64,
    /// Orders refused as stale.
    pub stale_orders: u64,
    /// Order numbers seen before. Each is a fault of the caller, `seal` excepted.
    pub repeated_orders: u64,
    /// Orders that came while another was unresolved, at an engine that ignores fencing numbers.
    pub overlapping_orders: u64,
    /// Loads ordered after the leaving flag was set.
    pub loads_after_leaving: u64,
    /// Requests that were accepted.
    pub requests_started: u64,
    /// Requests that were accepted after the leaving flag was set.
    pub requests_after_leaving: u64,
    /// Latest time after the leaving flag at which a request was accepted, in milliseconds.
    pub latest_after_leaving_ms: u64,
    /// Attempt ids seen before. Each is a fault of the caller.
    pub repeated_attempts: u64,
    /// Requests refused before they started.
    pub requests_refused: u64,
    /// Requests that generated all tokens.
    pub requests_finished: u64,
    /// Requests that were cancelled by a call.
    pub requests_cancelled: u64,
    /// Requests that ended because nobody read their answer.
    pub requests_abandoned: u64,
    /// Tokens generated.
    pub tokens: u64,
}
