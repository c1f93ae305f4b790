//! Prefetches checkpoints to host memory and loads models ahead of predicted arrivals.

use rand::Rng;
use types::prelude::*;

use crate::clock::SLOT;
use crate::event::{Decision, LoadEnded};
use crate::outstanding::What;
use crate::placement::Placement;
use crate::view::{ServerView, View};

/// Models looked at for a prefetch in one tick, which bounds the cost of a tick.
const PREFETCH_SCAN: usize = 16;
/// Rest after all models were looked at in vain.
const PREFETCH_REST: Duration = Duration::from_secs(30);
/// Copies in host memory wanted of a model with recent use, so that one of them is likely to be
/// on a server with room.
const COPIES_IN_USE: usize = 3;
/// A model is not prefetched again for this long: a copy that vanishes earlier was displaced.
const PREFETCH_PAUSE: Duration = Duration::from_secs(600);
/// Prefetches of one server at a time.
const PREFETCHES_PER_SERVER: usize = 1;
/// Least chance of an arrival in a slot for a load ahead of it.
const LEAST_CHANCE: f32 = 0.3;
/// A slot's loads ahead start this long before it, plus the load time.
const LEAD: Duration = Duration::from_secs(30);

/// Where the search for models to prefetch stands.
#[derive(Debug, Default)]
pub(crate) struct PrefetchState {
    names: Vec<ModelId>,
    next: usize,
    /// Models looked at since one was last prefetched.
    looked_at: usize,
    /// No search before this time: all models were looked at and none needed a prefetch.
    rest_until: Option<Instant>,
    /// Next time at which a model may be prefetched again.
    pause: HashMap<ModelId, Instant>,
    /// Checkpoints that a server held when its prefetch started.
    held: HashMap<BackendServerId, usize>,
    /// Servers whose host memory was full, with the number of checkpoints it held.
    full: HashMap<BackendServerId, usize>,
    /// The slot for which loads ahead were last considered.
    slot_done: Option<usize>,
}

impl PrefetchState {
    pub(crate) fn configure(&mut self, catalogue: &Catalogue) {
        self.names = catalogue.models.keys().cloned().collect();
        self.next = 0;
        self.pause.retain(|m, _| catalogue.models.contains_key(m));
    }

    /// Learns from the number of checkpoints after a prefetch whether host memory is full.
    pub(crate) fn ended(&mut self, e: &LoadEnded, view: &View) {
        let Some(before) = self.held.remove(&e.server) else { return };
        let Some(server) = view.server(&e.server) else { return };
        let held = server.cached_in_memory.len();
        if e.succeeded && held <= before {
            self.full.insert(e.server.clone(), held);
        } else {
            self.full.remove(&e.server);
        }
    }

    fn host_memory_full(&self, server: &ServerView) -> bool {
        self.full.get(&server.server).is_some_and(|&n| server.cached_in_memory.len() >= n)
    }
}

impl Placement {
    /// Copies checkpoints to host memory while the store is idle enough.
    pub(crate) fn prefetch(
        &mut self,
        view: &View,
        now: Instant,
        rng: &mut impl Rng,
        out: &mut Vec<Decision>,
    ) {
        // One place at the store stays free for demand.
        let places = self.settings.store_concurrent_loads.saturating_sub(1).max(1);
        if self.prefetch.rest_until.is_some_and(|t| t > now) {
            return;
        }
        if self.prefetch.looked_at >= self.prefetch.names.len() {
            self.prefetch.looked_at = 0;
            self.prefetch.rest_until = Some(now + PREFETCH_REST);
            return;
        }
        for _ in 0..PREFETCH_SCAN.min(self.prefetch.names.len()) {
            let store = self.store_in_progress(view) < places
                && self.source_open(view, LoadSource::Remote, now)
                && view.store.others.waiting_priority == 0
                && self.pending.is_empty();
            let name = self.prefetch.names[self.prefetch.next].clone();
            self.prefetch.next = (self.prefetch.next + 1) % self.prefetch.names.len();
            self.prefetch.looked_at += 1;
            let paused = self.prefetch.pause.get(&name).is_some_and(|&t| t > now);
            if !paused && !self.outstanding.prefetches(&name) {
                self.prefetch_model(&name, view, store, now, rng, out);
            }
        }
    }

    fn prefetch_model(
        &mut self,
        name: &ModelId,
        view: &View,
        store_open: bool,
        now: Instant,
        rng: &mut impl Rng,
        out: &mut Vec<Decision>,
    ) {
        let copies =
            view.servers.iter().filter(|s| !s.leaving && s.cached_in_memory.contains(name)).count();
        let wanted = if self.histories.contains_key(name) { COPIES_IN_USE } else { 1 };
        if copies >= wanted {
            return;
        }
        let Some(server) = self.prefetch_server(name, copies, view, store_open, rng) else {
            return;
        };
        let source = server.nearest_source(name);
        let ready_at = now + self.estimates.load(&self.catalogue.models[name], source);
        self.outstanding.add(server, What::Prefetch { model: name.clone(), source }, now, ready_at);
        if source == LoadSource::Remote {
            self.note_store_start(now);
        }
        self.prefetch.looked_at = 0;
        self.prefetch.pause.insert(name.clone(), now + PREFETCH_PAUSE);
        self.prefetch.held.insert(server.server.clone(), server.cached_in_memory.len());
        let server = server.server.clone();
        out.push(Decision::Prefetch { server, model: name.clone(), source });
    }

    /// The server with the fewest checkpoints in host memory; one with a copy on disk first.
    fn prefetch_server<'a>(
        &self,
        name: &ModelId,
        copies: usize,
        view: &'a View,
        store_open: bool,
        rng: &mut impl Rng,
    ) -> Option<&'a ServerView> {
        let memory = self.catalogue.models.get(name)?.memory_bytes;
        let used = self.histories.contains_key(name);
        view.servers
            .iter()
            .filter(|s| {
                s.is_usable() && s.memory_total >= memory && !s.cached_in_memory.contains(name)
            })
            .filter(|s| self.outstanding.prefetches_on(&s.server) < PREFETCHES_PER_SERVER)
            .filter(|s| store_open || s.cached_on_disk.contains(name))
            .filter(|s| (copies == 0 && used) || !self.prefetch.host_memory_full(s))
            .min_by_key(|s| {
                (s.cached_in_memory.len(), !s.cached_on_disk.contains(name), rng.random::<u8>())
            })
    }

    /// Loads models ahead of a slot of the day in which they are usually asked for, into memory
    /// that is free.
    pub(crate) fn load_ahead(&mut self, view: &View, now: Instant, out: &mut Vec<Decision>) {
        let soon = self.clock.slot(now + LEAD);
        if self.prefetch.slot_done == Some(soon.slot) {
            return;
        }
        self.prefetch.slot_done = Some(soon.slot);
        let mut wanted: Vec<(f32, ModelId)> = self
            .histories
            .iter()
            .filter_map(|(name, h)| {
                let chance = h.pattern.chance(soon);
                let gain = self.gain_ahead(name, chance)?;
                (chance >= LEAST_CHANCE && gain > 0.0).then(|| (gain, name.clone()))
            })
            .collect();
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (_, name) in wanted {
            self.load_one_ahead(&name, view, now, out);
        }
    }

    /// Expected saving of a load ahead of a slot less its idle cost.
    fn gain_ahead(&self, name: &ModelId, chance: f32) -> Option<f32> {
        let model = self.catalogue.models.get(name)?;
        let wait = self.estimates.load(model, LoadSource::Memory);
        let weight = f32::from(self.settings.cold_start_weight.min(100));
        let saving = weight * chance * self.histories.get(name)?.loss_of_wait(wait);
        let idle = (SLOT / 2 + LEAD).as_secs_f32() * model.accelerators.max(1) as f32;
        Some(saving - (100.0 - weight) * idle * self.settings.idle_second_cost_milli as f32)
    }

    fn load_one_ahead(
        &mut self,
        name: &ModelId,
        view: &View,
        now: Instant,
        out: &mut Vec<Decision>,
    ) {
        let loaded = view.replicas_of(name).any(|(_, r)| r.phase != ReplicaPhase::Unloading);
        if loaded || self.outstanding.loads_of(name).next().is_some() {
            self.loaded_ahead.insert(name.clone(), now + LEAD + SLOT);
            return;
        }
        let memory = self.catalogue.models[name].memory_bytes;
        let best = self
            .rooms(view, now)
            .into_iter()
            .filter(|r| r.free >= memory)
            .map(|r| (r.server.nearest_source(name), r.server))
            .min_by_key(|(source, _)| *source);
        let Some((source, server)) = best else { return };
        if self.allowance(view, name) > 0 && self.source_open(view, source, now) {
            self.load(name, server, source, now, out);
            self.loaded_ahead.insert(name.clone(), now + LEAD + SLOT);
        }
    }
}
