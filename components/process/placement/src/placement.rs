//! The state of one group's placement and the entry points.

use std::sync::Arc;

use rand::Rng;
use types::prelude::*;

use crate::adapters::AdapterQueue;
use crate::clock::{Activity, DayClock};
use crate::estimate::Estimates;
use crate::event::*;
use crate::history::{Gaps, History, URGENT_SPAN};
use crate::outstanding::Outstanding;
use crate::pending::Pending;
use crate::release::BusyTimes;
use crate::settings::Settings;
use crate::store::StoreRate;
use crate::turn::ToldPriority;
use crate::view::{ServerView, View};

/// Longest time between two ticks.
const TICK: Duration = Duration::from_secs(1);

/// Placement of one group of backend servers.
///
/// State is kept per model (under a kilobyte each); adapters appear only in the bounded queue of
/// adapter loads, so no cost grows with their number.
#[derive(Debug)]
pub struct Placement {
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) settings: Settings,
    pub(crate) clock: DayClock,
    pub(crate) histories: HashMap<ModelId, History>,
    pub(crate) all_gaps: Gaps,
    pub(crate) activity: Activity,
    pub(crate) estimates: Estimates,
    pub(crate) pending: BTreeMap<ModelId, Pending>,
    pub(crate) outstanding: Outstanding,
    pub(crate) store: StoreRate,
    /// Loads and prefetches from the store decided in the present call, which its view cannot show.
    pub(crate) store_starts_in_call: u32,
    /// Since when a place at the store is left to another group's more urgent demand.
    pub(crate) yields_since: Option<Instant>,
    /// Priority of the demand that waits for the store, as the other groups hear it.
    pub(crate) store_priority: ToldPriority,
    pub(crate) adapters: AdapterQueue,
    /// Models loaded ahead of demand, kept until the time stored here.
    pub(crate) loaded_ahead: HashMap<ModelId, Instant>,
    /// Models that became ready for waiting demand, kept until the time stored here.
    pub(crate) fresh: HashMap<ModelId, Instant>,
    /// When models became ready that have not been seen idle since.
    pub(crate) ready_at: HashMap<ModelId, Instant>,
    /// Mean time from a replica's becoming ready until it is idle again, in seconds.
    pub(crate) hold_s: f64,
    /// How long replicas stay busy.
    pub(crate) busy: BusyTimes,
    /// Idle replicas that are kept: their last use and when to look at them again.
    pub(crate) kept: HashMap<ReplicaId, (Instant, Instant)>,
    pub(crate) prefetch: crate::ahead::PrefetchState,
}

impl Placement {
    /// A placement without history. `time_of_day` is the local time at `now`, since midnight.
    pub fn new(
        catalogue: Arc<Catalogue>,
        settings: Settings,
        now: Instant,
        time_of_day: Duration,
    ) -> Self {
        let clock = DayClock::new(now, time_of_day);
        let mut placement = Self {
            catalogue: Arc::default(),
            settings,
            clock,
            histories: HashMap::new(),
            all_gaps: Gaps::default(),
            activity: Activity::new(clock.slot(now).day),
            estimates: Estimates::default(),
            pending: BTreeMap::new(),
            outstanding: Outstanding::default(),
            store: StoreRate::default(),
            store_starts_in_call: 0,
            yields_since: None,
            store_priority: ToldPriority::default(),
            adapters: AdapterQueue::default(),
            loaded_ahead: HashMap::new(),
            fresh: HashMap::new(),
            ready_at: HashMap::new(),
            hold_s: 0.0,
            busy: BusyTimes::default(),
            kept: HashMap::new(),
            prefetch: Default::default(),
        };
        placement.configure(catalogue, settings);
        placement
    }

    /// Replaces catalogue and settings when a new configuration takes effect.
    pub fn configure(&mut self, catalogue: Arc<Catalogue>, settings: Settings) {
        self.histories.retain(|m, _| catalogue.models.contains_key(m));
        self.pending.retain(|m, _| catalogue.models.contains_key(m));
        self.prefetch.configure(&catalogue);
        self.catalogue = catalogue;
        self.settings = settings;
    }

    /// Takes one event and appends decisions to `out`. The caller carries them out in order and
    /// reports each one that it drops as [`Event::Rejected`].
    pub fn handle(
        &mut self,
        event: &Event,
        view: &View,
        now: Instant,
        rng: &mut impl Rng,
        out: &mut Vec<Decision>,
    ) {
        if let Event::Arrived(a) = event {
            return self.note_arrival(a, now);
        }
        self.outstanding.resolve(view, now);
        self.store_starts_in_call = 0;
        self.note_turn(view, now);
        if matches!(event, Event::ViewChanged | Event::Tick) {
            self.busy.update(view, now);
        }
        match event {
            Event::Arrived(_) | Event::ViewChanged => {}
            Event::Demand(d) => self.demand(d, view, now, out),
            Event::LoadEnded(e) => self.load_ended(e, now),
            Event::PrefetchEnded(e) => {
                self.outstanding.prefetch_ended(&e.server, &e.model);
                self.prefetch.ended(e, view);
                self.measure(e, now);
            }
            Event::AdapterLoadEnded(e) => {
                if e.succeeded {
                    self.estimates.adapter_measured(now.saturating_duration_since(e.started));
                }
                self.adapters.ended(e);
            }
            Event::Rejected(d) => {
                self.outstanding.rejected(d);
                self.adapters.rejected(d);
            }
            Event::Tick => {
                self.unload_idle(view, now, out);
                self.load_ahead(view, now, out);
            }
        }
        // A rejected decision is not repeated before the next event: the same state would lead
        // to the same rejection.
        if !matches!(event, Event::Rejected(_)) {
            self.start_loads(view, now, out);
            self.start_adapters(view, now, out);
        }
        if matches!(event, Event::Tick) {
            self.prefetch(view, now, rng, out);
        }
    }

    /// When the next [`Event::Tick`] is of use at the latest.
    pub fn next_wakeup(&self, now: Instant) -> Instant {
        now + TICK
    }

    /// When a target is expected to be ready, for admission; `None` if it cannot be loaded.
    ///
    /// The answer is the earliest possible time: it takes the store's queue, the nearest copy and
    /// the usual time into account for which busy replicas hold their memory.
    pub fn expected_ready(&self, view: &View, target: &Target, now: Instant) -> Option<Instant> {
        let model = self.catalogue.models.get(&target.model)?;
        let adapter = target.adapter.as_ref();
        let adapter_time = adapter.map_or(Duration::ZERO, |_| self.estimates.adapter());
        let mut ready: Option<Instant> = None;
        for (server, r) in view.replicas_of(&target.model) {
            if server.leaving {
                continue;
            }
            let at = match r.phase {
                ReplicaPhase::Ready if adapter.is_none_or(|a| r.has_adapter(a)) => now,
                ReplicaPhase::Ready => now + adapter_time,
                ReplicaPhase::Loading => {
                    let known = self.outstanding.loads_of(&target.model);
                    let end = known.filter(|i| i.server == server.server).map(|i| i.ready_at).max();
                    let end = end.unwrap_or_else(|| {
                        r.last_used + self.estimates.load(model, LoadSource::Remote)
                    });
                    end.max(now) + adapter_time
                }
                ReplicaPhase::Unloading => continue,
            };
            ready = Some(ready.map_or(at, |t| t.min(at)));
        }
        if let Some(i) = self.outstanding.loads_of(&target.model).map(|i| i.ready_at).min() {
            let at = i.max(now) + adapter_time;
            ready = Some(ready.map_or(at, |t| t.min(at)));
        }
        if ready.is_some() {
            return ready;
        }
        if self.allowance(view, &target.model) == 0 {
            return None;
        }
        let starts =
            view.servers.iter().filter(|s| !s.leaving && s.memory_total >= model.memory_bytes);
        let cold = starts.map(|s| self.cold_ready(view, s, &target.model, model, now)).min()?;
        Some(cold + adapter_time)
    }

    /// When a model could be ready on one server if its load had the next place in the queue.
    fn cold_ready(
        &self,
        view: &View,
        server: &ServerView,
        name: &ModelId,
        model: &Model,
        now: Instant,
    ) -> Instant {
        let source = server.nearest_source(name);
        let start = match source {
            LoadSource::Remote => self.next_store_start(view, name, now),
            _ => now,
        };
        let room_at = self.earliest_room(server, model.memory_bytes, now);
        start.max(room_at) + self.estimates.load(model, source)
    }

    /// When the store could start one more load, after the ones that wait for it already.
    fn next_store_start(&self, view: &View, name: &ModelId, now: Instant) -> Instant {
        let start = self.next_rate_start(view, now);
        let places = self.settings.store_concurrent_loads;
        let busy = self.store_in_progress(view);
        let ahead = self.pending.keys().filter(|m| *m != name).take(64).count() as u32;
        if busy + ahead < places {
            return start;
        }
        let rounds = (busy + ahead) / places;
        let one = self.mean_store_load();
        let first = self.outstanding.next_store_end().unwrap_or(now + one).max(now);
        start.max(first + one * (rounds - 1))
    }

    /// Expected time of a load from the store, over the models that wait for one.
    fn mean_store_load(&self) -> Duration {
        let models = self.pending.keys().filter_map(|m| self.catalogue.models.get(m)).take(8);
        let (n, sum) = models.fold((0u32, Duration::ZERO), |(n, sum), m| {
            (n + 1, sum + self.estimates.load(m, LoadSource::Remote))
        });
        if n == 0 { Duration::ZERO } else { sum / n }
    }

    /// Replicas of a model that may still be loaded, those just decided excluded.
    pub(crate) fn allowance(&self, view: &View, model: &str) -> u32 {
        let left = view.allowance_left.get(model).copied().unwrap_or(0);
        left.saturating_sub(self.outstanding.unseen_loads_of(model))
    }

    fn note_arrival(&mut self, a: &Arrival, now: Instant) {
        let span = a.deadline.saturating_duration_since(now);
        if span > URGENT_SPAN || !self.catalogue.models.contains_key(&a.model) {
            return;
        }
        let at = self.clock.slot(now);
        let loss = a.count as f32 * a.worth_milli as f32 / span.as_secs_f32().max(0.1);
        if !self.histories.contains_key(&a.model) {
            self.histories.insert(a.model.clone(), History::new(now, at));
        }
        let history = self.histories.get_mut(&a.model).expect("inserted above");
        if let Some(gap) = history.note(now, at, loss) {
            self.all_gaps.add(gap);
            self.activity.note(at);
        }
    }

    fn demand(&mut self, d: &Demand, view: &View, now: Instant, out: &mut Vec<Decision>) {
        let Some(model) = self.catalogue.models.get(&d.target.model) else {
            return out.push(unreachable(d, None));
        };
        let ready: Vec<_> = view
            .replicas_of(&d.target.model)
            .filter(|(s, r)| !s.leaving && r.phase == ReplicaPhase::Ready)
            .collect();
        let has_room = ready.iter().any(|(_, r)| r.running + r.queued < model.max_batch.max(1));
        if has_room {
            if let Some(adapter) = &d.target.adapter {
                self.adapters.want(&d.target.model, adapter, d.deadline);
            }
            return;
        }
        if let Some(p) = self.pending.get_mut(&d.target.model) {
            // The queue was taken into account when the demand came first; from then on only the
            // load itself counts.
            let nearest = p.copies.iter().min().copied().unwrap_or(LoadSource::Memory);
            let expected = now + self.estimates.load(model, nearest);
            if expected > d.deadline {
                return out.push(unreachable(d, Some(expected)));
            }
            return p.merge(d);
        }
        let expected = self.expected_ready(view, &d.target, now);
        if ready.is_empty() && expected.is_none_or(|t| t > d.deadline) {
            return out.push(unreachable(d, expected));
        }
        let loading = self.outstanding.loads_of(&d.target.model).next().is_some()
            || view.replicas_of(&d.target.model).any(|(_, r)| r.phase == ReplicaPhase::Loading);
        if loading || self.allowance(view, &d.target.model) == 0 {
            return;
        }
        self.pending.insert(d.target.model.clone(), Pending::new(d, now));
    }

    fn load_ended(&mut self, e: &LoadEnded, now: Instant) {
        self.outstanding.load_ended(&e.server, &e.model);
        if e.succeeded {
            self.fresh.insert(e.model.clone(), now + crate::idle::FRESH);
            self.ready_at.insert(e.model.clone(), now);
        }
        self.measure(e, now);
    }

    fn measure(&mut self, e: &LoadEnded, now: Instant) {
        if let (true, Some(model)) = (e.succeeded, self.catalogue.models.get(&e.model)) {
            let took = now.saturating_duration_since(e.started);
            self.estimates.measured(model, e.source, took);
        }
    }
}

fn unreachable(d: &Demand, expected_ready: Option<Instant>) -> Decision {
    Decision::Unreachable { from: d.from.clone(), target: d.target.clone(), expected_ready }
}
