//! State of an engine stand-in.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;
use types::prelude::*;

use super::attempt::Attempt;
use super::config::{EngineConfig, EngineCounters, EngineFaults};
use super::generate::Slot;
use super::prefix_cache::PrefixCache;
use crate::weight_store::WeightStore;

/// Number of order outcomes in a report; older ones are dropped.
const MAX_OUTCOMES: usize = 64;

/// Number of attempts that are retained for resumption, and of prompt hashes for tests.
const MAX_ATTEMPTS: usize = 4_096;

/// State shared by the server tasks of one engine.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) cfg: EngineConfig,
    pub(super) store: WeightStore,
    /// Notified when a call requests a restart.
    pub(super) restart_requested: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) incarnation: Incarnation,
    pub(super) highest_fencing: FencingNumber,
    pub(super) role: ServerRole,
    pub(super) leaving_since: Option<Instant>,
    pub(super) replicas: BTreeMap<ReplicaId, Replica>,
    pub(super) outcomes: VecDeque<OrderOutcome>,
    pub(super) seen_orders: HashSet<OrderId>,
    /// Orders without an outcome in a report yet, and whether each is a load.
    pub(super) unresolved_orders: BTreeMap<OrderId, bool>,
    pub(super) memory_cache: ModelCache,
    pub(super) disk_cache: ModelCache,
    pub(super) attempts: HashMap<AttemptId, Arc<Attempt>>,
    pub(super) attempt_order: VecDeque<AttemptId>,
    /// Prompt hashes of the latest accepted requests, over all incarnations.
    pub(super) accepted_prompt_hashes: VecDeque<u64>,
    pub(super) prefixes: PrefixCache,
    /// Load figures after each change, oldest first; of those from before the report lag only the
    /// newest.
    load_history: VecDeque<(Instant, LoadFigures)>,
    pub(super) faults: EngineFaults,
    pub(super) counters: EngineCounters,
    /// Tasks of orders and requests; they end with the incarnation.
    pub(super) tasks: JoinSet<()>,
    arrivals: u64,
}

/// Running and queued requests by replica.
pub(super) type LoadFigures = BTreeMap<ReplicaId, (u32, u32)>;

/// One replica in any phase. It uses its memory from the load order on.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) model: ModelId,
    pub(super) version: Box<str>,
    pub(super) phase: ReplicaPhase,
    pub(super) memory_bytes: u64,
    pub(super) adapter_slots: u32,
    pub(super) adapters: Vec<AdapterId>,
    /// Adapters that are being loaded; each occupies a slot.
    pub(super) loading_adapters: Vec<AdapterId>,
    pub(super) running: u32,
    /// Waiting requests by priority and arrival, the next one first.
    pub(super) queue: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<Slot>>,
    /// The load in progress: its order and its task.
    pub(super) load: Option<(OrderId, AbortHandle)>,
}

impl Replica {
    /// Number of waiting requests that were not cancelled.
    pub(super) fn queued(&self) -> u32 {
        self.queue.values().filter(|waiting| !waiting.is_closed()).count() as u32
    }
}

/// LRU cache of checkpoints, least recently used first.
#[derive(Clone, Debug)]
pub(super) struct ModelCache {
    capacity: usize,
    models: VecDeque<ModelId>,
}

impl ModelCache {
    pub(super) fn new(capacity: usize, models: &[ModelId]) -> Self {
        Self { capacity, models: models.iter().cloned().collect() }
    }

    pub(super) fn contains(&self, model: &ModelId) -> bool {
        self.models.contains(model)
    }

    pub(super) fn insert(&mut self, model: &ModelId) {
        self.models.retain(|cached| cached != model);
        self.models.push_back(model.clone());
        while self.models.len() > self.capacity {
            self.models.pop_front();
        }
    }

    pub(super) fn list(&self) -> Vec<ModelId> {
        self.models.iter().cloned().collect()
    }
}

impl Inner {
    pub(super) fn new(cfg: EngineConfig, store: WeightStore, incarnation: Incarnation) -> Self {
        let state = State {
            incarnation,
            highest_fencing: 0,
            role: ServerRole::default(),
            leaving_since: None,
            replicas: BTreeMap::new(),
            outcomes: VecDeque::new(),
            seen_orders: HashSet::new(),
            unresolved_orders: BTreeMap::new(),
            memory_cache: ModelCache::new(cfg.memory_cache_models, &[]),
            disk_cache: ModelCache::new(cfg.disk_cache_models, &cfg.cached_on_disk),
            attempts: HashMap::new(),
            attempt_order: VecDeque::new(),
            accepted_prompt_hashes: VecDeque::new(),
            prefixes: PrefixCache::new(cfg.cache_blocks),
            load_history: VecDeque::new(),
            faults: EngineFaults::default(),
            counters: EngineCounters::default(),
            tasks: JoinSet::new(),
            arrivals: 0,
        };
        Self { cfg, store, restart_requested: Notify::new(), state: Mutex::new(state) }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Discards all state that a restart loses and starts the incarnation `next`.
    pub(super) fn reset(&self, next: Incarnation) {
        let mut state = self.state();
        state.tasks.abort_all();
        state.tasks.detach_all();
        for replica in std::mem::take(&mut state.replicas).into_values() {
            self.store.remove_replica(&replica.model);
        }
        state.incarnation = next;
        if !self.cfg.persists_fencing {
            state.highest_fencing = 0;
        }
        state.role = ServerRole::default();
        state.leaving_since = None;
        state.outcomes.clear();
        state.unresolved_orders.clear();
        state.memory_cache = ModelCache::new(self.cfg.memory_cache_models, &[]);
        state.attempts.clear();
        state.attempt_order.clear();
        state.prefixes = PrefixCache::new(self.cfg.cache_blocks);
        state.load_history.clear();
    }

    /// Returns the counters, including the highest replica counts of the weight store.
    pub(super) fn counters(&self) -> EngineCounters {
        let max_replicas = self.store.max_replicas();
        EngineCounters { max_replicas, ..self.state().counters.clone() }
    }

    /// Removes a replica and frees its memory.
    pub(super) fn remove_replica(&self, state: &mut State, replica: ReplicaId) {
        if let Some(removed) = state.replicas.remove(&replica) {
            state.prefixes.evict_replica(replica, Instant::now());
            self.store.remove_replica(&removed.model);
        }
    }
}

impl State {
    pub(super) fn memory_used(&self) -> u64 {
        self.replicas.values().map(|replica| replica.memory_bytes).sum()
    }

    pub(super) fn load_figures(&self) -> LoadFigures {
        let figures = |replica: &Replica| (replica.running, replica.queued());
        self.replicas.iter().map(|(id, replica)| (*id, figures(replica))).collect()
    }

    /// Records the load figures after a request was admitted or has ended.
    pub(super) fn record_load(&mut self, now: Instant, lag: Duration) {
        self.load_history.push_back((now, self.load_figures()));
        while self.load_history.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.load_history.pop_front();
        }
    }

    /// The load figures as of `lag` before `now`.
    pub(super) fn load_figures_at(&self, now: Instant, lag: Duration) -> LoadFigures {
        if self.load_history.back().is_none_or(|(at, _)| *at + lag <= now) {
            // No change since then.
            return self.load_figures();
        }
        let known = self.load_history.iter().rev().find(|(at, _)| *at + lag <= now);
        known.map(|(_, figures)| figures.clone()).unwrap_or_default()
    }

    /// Marks the load orders as resolved when a report is sent: it lists every replica, including
    /// those being loaded, so that its reader knows of these loads.
    pub(super) fn mark_loads_reported(&mut self) {
        self.unresolved_orders.retain(|_, is_load| !*is_load);
    }

    pub(super) fn resolve(&mut self, order: OrderId, succeeded: bool) {
        self.unresolved_orders.remove(&order);
        self.record_outcome(order, succeeded);
    }

    pub(super) fn record_outcome(&mut self, order: OrderId, succeeded: bool) {
        self.outcomes.push_back(OrderOutcome { order, succeeded });
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
    }

    /// Spawns a task that ends with the incarnation.
    pub(super) fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        while self.tasks.try_join_next().is_some() {}
        self.tasks.spawn(task)
    }

    pub(super) fn next_arrival(&mut self) -> u64 {
        self.arrivals += 1;
        self.arrivals
    }

    pub(super) fn record_attempt(&mut self, attempt: Arc<Attempt>) {
        self.accepted_prompt_hashes.push_back(attempt.prompt_hash);
        if self.accepted_prompt_hashes.len() > MAX_ATTEMPTS {
            self.accepted_prompt_hashes.pop_front();
        }
        self.attempt_order.push_back(attempt.id.clone());
        self.attempts.insert(attempt.id.clone(), attempt);
        if self.attempt_order.len() > MAX_ATTEMPTS
            && let Some(oldest) = self.attempt_order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
    }
}

/// Uses up one of the `remaining` faults; returns false if there is none.
pub(super) fn consume_fault(remaining: &mut u32) -> bool {
    let is_hit = *remaining > 0;
    *remaining -= u32::from(is_hit);
    is_hit
}
