//! Prefetches checkpoints to host memory and preloads models ahead of predicted arrivals.

use rand::Rng;
use types::prelude::*;

use crate::clock::SLOT_LENGTH;
use crate::event::{Decision, LoadEnded};
use crate::outstanding::Action;
use crate::placement::Placement;
use crate::view::{ServerView, View};

/// Models examined for a prefetch in one tick, which bounds the cost of a tick.
const MODELS_PER_SCAN: usize = 16;
/// Pause after a scan of all models has found nothing to prefetch.
const SCAN_PAUSE: Duration = Duration::from_secs(30);
/// A model with recent use gets this many cached copies in host memory, so that one of them is
/// likely to be on a server with free accelerator memory.
const MAX_CACHED_COPIES: usize = 3;
/// Minimum time between two prefetches of a model: a cached copy that vanishes earlier was
/// displaced.
const PREFETCH_COOLDOWN: Duration = Duration::from_secs(600);
/// Prefetch concurrency limit of a server.
const PREFETCHES_PER_SERVER: usize = 1;
/// Minimum probability of an arrival in a slot for preloading a model.
const MIN_PRELOAD_PROBABILITY: f32 = 0.3;
/// Models are preloaded this long before the slot in which requests are expected.
const PRELOAD_LEAD: Duration = Duration::from_secs(30);

/// Progress of the scan for models to prefetch.
#[derive(Debug, Default)]
pub(crate) struct PrefetchState {
    names: Vec<ModelId>,
    next_index: usize,
    /// Models examined since the last prefetch.
    scanned: usize,
    /// No scan before this time: all models were examined and none needed a prefetch.
    scan_paused_until: Option<Instant>,
    /// When a model may be prefetched again.
    cooldown_until: HashMap<ModelId, Instant>,
    /// Number of checkpoints in the host memory of a server when its prefetch started.
    cached_before: HashMap<BackendServerId, usize>,
    /// Servers whose host memory was full, with the number of checkpoints that it held.
    full_at: HashMap<BackendServerId, usize>,
    /// The last slot for which models were considered for preloading.
    last_preload_slot: Option<usize>,
}

impl PrefetchState {
    pub(crate) fn configure(&mut self, catalogue: &Catalogue) {
        self.names = catalogue.models.keys().cloned().collect();
        self.next_index = 0;
        self.cooldown_until.retain(|m, _| catalogue.models.contains_key(m));
    }

    /// Infers from the number of checkpoints after a prefetch whether host memory is full.
    pub(crate) fn ended(&mut self, e: &LoadEnded, view: &View) {
        let Some(cached_before) = self.cached_before.remove(&e.server) else { return };
        let Some(server) = view.server(&e.server) else { return };
        let cached = server.cached_in_memory.len();
        if e.succeeded && cached <= cached_before {
            self.full_at.insert(e.server.clone(), cached);
        } else {
            self.full_at.remove(&e.server);
        }
    }

    fn is_host_memory_full(&self, server: &ServerView) -> bool {
        self.full_at.get(&server.server).is_some_and(|&n| server.cached_in_memory.len() >= n)
    }
}

impl Placement {
    /// Copies checkpoints to host memory while the store has spare capacity.
    pub(crate) fn prefetch(
        &mut self,
        view: &View,
        now: Instant,
        rng: &mut impl Rng,
        out: &mut Vec<Decision>,
    ) {
        // One store slot stays free for demand.
        let slots = self.settings.store_concurrent_loads.saturating_sub(1).max(1);
        if self.prefetch.scan_paused_until.is_some_and(|t| t > now) {
            return;
        }
        if self.prefetch.scanned >= self.prefetch.names.len() {
            self.prefetch.scanned = 0;
            self.prefetch.scan_paused_until = Some(now + SCAN_PAUSE);
            return;
        }
        for _ in 0..MODELS_PER_SCAN.min(self.prefetch.names.len()) {
            let is_store_open = self.store_loads_in_progress(view) < slots
                && self.can_load_from(view, LoadSource::Remote, now)
                && view.store.others.waiting_priority == 0
                && self.pending.is_empty();
            let name = self.prefetch.names[self.prefetch.next_index].clone();
            self.prefetch.next_index = (self.prefetch.next_index + 1) % self.prefetch.names.len();
            self.prefetch.scanned += 1;
            let is_cooling_down = self.prefetch.cooldown_until.get(&name).is_some_and(|&t| t > now);
            if !is_cooling_down && !self.outstanding.is_prefetching(&name) {
                self.prefetch_model(&name, view, is_store_open, now, rng, out);
            }
        }
    }

    fn prefetch_model(
        &mut self,
        name: &ModelId,
        view: &View,
        is_store_open: bool,
        now: Instant,
        rng: &mut impl Rng,
        out: &mut Vec<Decision>,
    ) {
        let cached_copies =
            view.servers.iter().filter(|s| !s.leaving && s.cached_in_memory.contains(name)).count();
        let wanted_copies = if self.histories.contains_key(name) { MAX_CACHED_COPIES } else { 1 };
        if cached_copies >= wanted_copies {
            return;
        }
        let Some(server) = self.prefetch_server(name, cached_copies, view, is_store_open, rng)
        else {
            return;
        };
        let source = server.nearest_source(name);
        let expected_end = now + self.estimates.load_time(&self.catalogue.models[name], source);
        self.outstanding.add(
            server,
            Action::Prefetch { model: name.clone(), source },
            now,
            expected_end,
        );
        if source == LoadSource::Remote {
            self.record_store_start(now);
        }
        self.prefetch.scanned = 0;
        self.prefetch.cooldown_until.insert(name.clone(), now + PREFETCH_COOLDOWN);
        self.prefetch.cached_before.insert(server.server.clone(), server.cached_in_memory.len());
        let server = server.server.clone();
        out.push(Decision::Prefetch { server, model: name.clone(), source });
    }

    /// The server with the fewest checkpoints in host memory; among equals one with the checkpoint
    /// on disk, then a random one.
    fn prefetch_server<'a>(
        &self,
        name: &ModelId,
        cached_copies: usize,
        view: &'a View,
        is_store_open: bool,
        rng: &mut impl Rng,
    ) -> Option<&'a ServerView> {
        let memory = self.catalogue.models.get(name)?.memory_bytes;
        let has_history = self.histories.contains_key(name);
        view.servers
            .iter()
            .filter(|s| {
                s.is_usable() && s.memory_total >= memory && !s.cached_in_memory.contains(name)
            })
            .filter(|s| self.outstanding.prefetch_count(&s.server) < PREFETCHES_PER_SERVER)
            .filter(|s| is_store_open || s.cached_on_disk.contains(name))
            .filter(|s| {
                (cached_copies == 0 && has_history) || !self.prefetch.is_host_memory_full(s)
            })
            .min_by_key(|s| {
                (s.cached_in_memory.len(), !s.cached_on_disk.contains(name), rng.random::<u8>())
            })
    }

    /// Loads models into free memory ahead of a slot of the day in which requests for them usually
    /// arrive.
    pub(crate) fn preload_models(&mut self, view: &View, now: Instant, out: &mut Vec<Decision>) {
        let upcoming = self.clock.slot(now + PRELOAD_LEAD);
        if self.prefetch.last_preload_slot == Some(upcoming.slot) {
            return;
        }
        self.prefetch.last_preload_slot = Some(upcoming.slot);
        let mut candidates: Vec<(f32, ModelId)> = self
            .histories
            .iter()
            .filter_map(|(name, h)| {
                let probability = h.pattern.probability(upcoming);
                let gain = self.preload_gain(name, probability)?;
                (probability >= MIN_PRELOAD_PROBABILITY && gain > 0.0).then(|| (gain, name.clone()))
            })
            .collect();
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (_, name) in candidates {
            self.preload_model(&name, view, now, out);
        }
    }

    /// Expected saving of preloading a model for a slot, less the idle cost.
    fn preload_gain(&self, name: &ModelId, probability: f32) -> Option<f32> {
        let model = self.catalogue.models.get(name)?;
        let wait = self.estimates.load_time(model, LoadSource::Memory);
        let weight = f32::from(self.settings.cold_start_weight.min(100));
        let saving = weight * probability * self.histories.get(name)?.wait_loss(wait);
        let idle =
            (SLOT_LENGTH / 2 + PRELOAD_LEAD).as_secs_f32() * model.accelerators.max(1) as f32;
        Some(saving - (100.0 - weight) * idle * self.settings.idle_second_cost_milli as f32)
    }

    fn preload_model(
        &mut self,
        name: &ModelId,
        view: &View,
        now: Instant,
        out: &mut Vec<Decision>,
    ) {
        let is_loaded = view.replicas_of(name).any(|(_, r)| r.phase != ReplicaPhase::Unloading);
        if is_loaded || self.outstanding.loads_of(name).next().is_some() {
            self.preloaded.insert(name.clone(), now + PRELOAD_LEAD + SLOT_LENGTH);
            return;
        }
        let memory = self.catalogue.models[name].memory_bytes;
        let best = self
            .capacities(view, now)
            .into_iter()
            .filter(|c| c.free >= memory)
            .map(|c| (c.server.nearest_source(name), c.server))
            .min_by_key(|(source, _)| *source);
        let Some((source, server)) = best else { return };
        if self.allowance(view, name) > 0 && self.can_load_from(view, source, now) {
            self.load(name, server, source, now, out);
            self.preloaded.insert(name.clone(), now + PRELOAD_LEAD + SLOT_LENGTH);
        }
    }
}
