//! Weight store shared by engine stand-ins, with a rate limit and shared bandwidth.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use types::prelude::*;

/// Range of adapter load times at full speed, in milliseconds.
const ADAPTER_LOAD_MS: std::ops::RangeInclusive<f64> = 5.0..=14.0;

/// A load with less than this many seconds remaining is complete. Rounding can leave a remainder
/// below the clock's resolution, and a sleep that short never advances virtual time.
const MIN_REMAINING_S: f64 = 1e-6;

/// Settings of a weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreConfig {
    /// Loads that may start per second.
    pub loads_per_second: f64,
    /// Concurrent loads at full speed. With more, all loads slow down in proportion.
    pub concurrent_loads: u32,
    /// Concurrent adapter loads at full speed. With more, new ones take longer in proportion.
    pub concurrent_adapters: u32,
    /// Seed of the random adapter load times.
    pub seed: u64,
}

impl Default for WeightStoreConfig {
    fn default() -> Self {
        Self { loads_per_second: 4.0, concurrent_loads: 4, concurrent_adapters: 32, seed: 0 }
    }
}

/// Handle of a weight store. Engines that are started with clones of one handle share its limits.
#[derive(Clone, Debug)]
pub struct WeightStore {
    cfg: WeightStoreConfig,
    state: Arc<Mutex<State>>,
    /// Wakes the loads in flight when their speed changes.
    changed: Arc<watch::Sender<()>>,
}

#[derive(Debug)]
struct State {
    rng: ChaCha8Rng,
    next_start: Instant,
    loads_in_flight: u32,
    adapters_in_flight: u32,
    slowdown: f64,
    loads_started: u64,
    max_concurrent_loads: u32,
    replicas: BTreeMap<ModelId, u32>,
    max_replicas: BTreeMap<ModelId, u32>,
}

impl WeightStore {
    /// Creates a store.
    pub fn new(cfg: WeightStoreConfig) -> Self {
        let state = State {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            next_start: Instant::now(),
            loads_in_flight: 0,
            adapters_in_flight: 0,
            slowdown: 1.0,
            loads_started: 0,
            max_concurrent_loads: 0,
            replicas: BTreeMap::new(),
            max_replicas: BTreeMap::new(),
        };
        let changed = Arc::new(watch::Sender::new(()));
        Self { cfg, state: Arc::new(Mutex::new(state)), changed }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes loads take `factor` times as long, including model loads in flight.
    pub fn set_slowdown(&self, factor: f64) {
        self.state().slowdown = factor.max(0.001);
        self.changed.send_replace(());
    }

    /// Number of loads started so far, including prefetches.
    pub fn loads_started(&self) -> u64 {
        self.state().loads_started
    }

    /// Highest number of concurrent loads so far, including prefetches.
    pub fn max_concurrent_loads(&self) -> u32 {
        self.state().max_concurrent_loads
    }

    /// Highest number of concurrent replicas per model, in any phase, over all engines that share
    /// the store.
    pub fn max_replicas(&self) -> BTreeMap<ModelId, u32> {
        self.state().max_replicas.clone()
    }

    /// Waits until the rate limit allows another load, then for the load itself, which takes
    /// `load_time` at full speed.
    pub async fn load(&self, load_time: Duration) {
        let starts_at = {
            let mut state = self.state();
            let starts_at = state.next_start.max(Instant::now());
            state.next_start = starts_at + Duration::from_secs_f64(1.0 / self.cfg.loads_per_second);
            starts_at
        };
        sleep_until(starts_at).await;
        let _guard = InFlightGuard::new(self, |state| &mut state.loads_in_flight);
        {
            let mut state = self.state();
            state.loads_started += 1;
            state.max_concurrent_loads = state.max_concurrent_loads.max(state.loads_in_flight);
        }
        let mut changed = self.changed.subscribe();
        let mut remaining = load_time.as_secs_f64();
        while remaining > MIN_REMAINING_S {
            changed.borrow_and_update();
            let speed = self.speed();
            let started_at = Instant::now();
            let estimated = Duration::from_secs_f64(remaining / speed);
            // A timeout means that the speed did not change during the estimated time.
            let _ = timeout(estimated, changed.changed()).await;
            remaining -= started_at.elapsed().as_secs_f64() * speed;
        }
    }

    /// Current speed of each load; 1 is full speed.
    fn speed(&self) -> f64 {
        let state = self.state();
        let share = f64::from(self.cfg.concurrent_loads) / f64::from(state.loads_in_flight.max(1));
        share.min(1.0) / state.slowdown
    }

    /// Waits for the time that an adapter load takes.
    pub(crate) async fn load_adapter(&self) {
        let _guard = InFlightGuard::new(self, |state| &mut state.adapters_in_flight);
        let load_ms = {
            let mut state = self.state();
            let share =
                f64::from(state.adapters_in_flight) / f64::from(self.cfg.concurrent_adapters);
            state.rng.random_range(ADAPTER_LOAD_MS) * share.max(1.0) * state.slowdown
        };
        sleep(Duration::from_secs_f64(load_ms / 1_000.0)).await;
    }

    pub(crate) fn add_replica(&self, model: &ModelId) {
        let mut state = self.state();
        let current = state.replicas.entry(model.clone()).or_default();
        *current += 1;
        let current = *current;
        let max = state.max_replicas.entry(model.clone()).or_default();
        *max = current.max(*max);
    }

    pub(crate) fn remove_replica(&self, model: &ModelId) {
        if let Some(current) = self.state().replicas.get_mut(model) {
            *current = current.saturating_sub(1);
        }
    }
}

/// Counts one load as in flight until dropped, also when its task is aborted.
struct InFlightGuard<'a> {
    store: &'a WeightStore,
    count: fn(&mut State) -> &mut u32,
}

impl<'a> InFlightGuard<'a> {
    fn new(store: &'a WeightStore, count: fn(&mut State) -> &mut u32) -> Self {
        *count(&mut store.state()) += 1;
        store.changed.send_replace(());
        Self { store, count }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        *(self.count)(&mut self.store.state()) -= 1;
        self.store.changed.send_replace(());
    }
}
