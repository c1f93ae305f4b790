//! The weight store that engine stand-ins share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use types::prelude::*;

/// Adapter load time at full speed, in milliseconds.
const ADAPTER_MILLIS: std::ops::RangeInclusive<f64> = 5.0..=14.0;

/// A rest of a load below this many seconds is left out: rounding can leave one that is shorter
/// than the clock's resolution, which never ends in virtual time.
const NEGLIGIBLE_S: f64 = 1e-6;

/// Settings of a weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreConfig {
    /// Loads that may start a second.
    pub loads_per_second: f64,
    /// Loads at one time at full speed; beyond, all loads slow down in proportion.
    pub concurrent_loads: u32,
    /// Adapter loads at one time at full speed; beyond, they take longer in proportion.
    pub concurrent_adapters: u32,
    /// Seed of the adapter load times.
    pub seed: u64,
}

impl Default for WeightStoreConfig {
    fn default() -> Self {
        Self { loads_per_second: 4.0, concurrent_loads: 4, concurrent_adapters: 32, seed: 0 }
    }
}

/// Handle of a weight store. All engines started with clones of one handle share its rates.
#[derive(Clone, Debug)]
pub struct WeightStore {
    cfg: WeightStoreConfig,
    state: Arc<Mutex<State>>,
    /// Wakes loads in progress when their speed changes.
    changed: Arc<watch::Sender<()>>,
}

#[derive(Debug)]
struct State {
    rng: ChaCha8Rng,
    next_start_at: Instant,
    loads: u32,
    adapters: u32,
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
            next_start_at: Instant::now(),
            loads: 0,
            adapters: 0,
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

    /// Makes loads take `factor` times as long, those in progress included.
    pub fn set_slowdown(&self, factor: f64) {
        self.state().slowdown = factor.max(0.001);
        self.changed.send_replace(());
    }

    /// Loads started so far, prefetches included.
    pub fn loads_started(&self) -> u64 {
        self.state().loads_started
    }

    /// Highest number of loads at one time, prefetches included.
    pub fn max_concurrent_loads(&self) -> u32 {
        self.state().max_concurrent_loads
    }

    /// Highest number of replicas per model at one time, in any phase, over all engines that
    /// share the store.
    pub fn max_replicas(&self) -> BTreeMap<ModelId, u32> {
        self.state().max_replicas.clone()
    }

    /// Waits for a start and then for a load that takes `full_speed` when the store is not shared.
    pub async fn load(&self, full_speed: Duration) {
        let start_at = {
            let mut state = self.state();
            let start_at = state.next_start_at.max(Instant::now());
            state.next_start_at =
                start_at + Duration::from_secs_f64(1.0 / self.cfg.loads_per_second);
            start_at
        };
        sleep_until(start_at).await;
        let _in_flight = InFlight::enter(self, |state| &mut state.loads);
        {
            let mut state = self.state();
            state.loads_started += 1;
            state.max_concurrent_loads = state.max_concurrent_loads.max(state.loads);
        }
        let mut changed = self.changed.subscribe();
        let mut remaining = full_speed.as_secs_f64();
        while remaining > NEGLIGIBLE_S {
            changed.borrow_and_update();
            let speed = self.speed();
            let from = Instant::now();
            let needed = Duration::from_secs_f64(remaining / speed);
            // An error means that the speed did not change for that time.
            let _ = timeout(needed, changed.changed()).await;
            remaining -= from.elapsed().as_secs_f64() * speed;
        }
    }

    /// Present speed of each load; 1 is full speed.
    fn speed(&self) -> f64 {
        let state = self.state();
        let share = f64::from(self.cfg.concurrent_loads) / f64::from(state.loads.max(1));
        share.min(1.0) / state.slowdown
    }

    /// Waits for an adapter load.
    pub(crate) async fn load_adapter(&self) {
        let _in_flight = InFlight::enter(self, |state| &mut state.adapters);
        let millis = {
            let mut state = self.state();
            let share = f64::from(state.adapters) / f64::from(self.cfg.concurrent_adapters);
            state.rng.random_range(ADAPTER_MILLIS) * share.max(1.0) * state.slowdown
        };
        sleep(Duration::from_secs_f64(millis / 1_000.0)).await;
    }

    pub(crate) fn replica_added(&self, model: &ModelId) {
        let mut state = self.state();
        let present = state.replicas.entry(model.clone()).or_default();
        *present += 1;
        let present = *present;
        let max = state.max_replicas.entry(model.clone()).or_default();
        *max = present.max(*max);
    }

    pub(crate) fn replica_removed(&self, model: &ModelId) {
        if let Some(present) = self.state().replicas.get_mut(model) {
            *present = present.saturating_sub(1);
        }
    }
}

/// Counts one load as in flight until dropped, also when its task is aborted.
struct InFlight<'a> {
    store: &'a WeightStore,
    count: fn(&mut State) -> &mut u32,
}

impl<'a> InFlight<'a> {
    fn enter(store: &'a WeightStore, count: fn(&mut State) -> &mut u32) -> Self {
        *count(&mut store.state()) += 1;
        store.changed.send_replace(());
        Self { store, count }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        *(self.count)(&mut self.store.state()) -= 1;
        self.store.changed.send_replace(());
    }
}
