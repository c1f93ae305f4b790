//! State and entry points of the placement of one group.

use std::sync::Arc;

use rand::Rng;
use types::prelude::*;

use crate::adapters::AdapterQueue;
use crate::clock::{Activity, DayClock};
use crate::estimate::LoadTimeEstimates;
use crate::event::*;
use crate::history::{GapHistogram, History, MAX_URGENT_SLACK};
use crate::memory_release::BusyTimes;
use crate::outstanding::Outstanding;
use crate::pending::PendingDemand;
use crate::settings::Settings;
use crate::store_rate::StoreRateLimiter;
use crate::store_sharing::PublishedPriority;
use crate::view::{ServerView, View};

/// Maximum time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Placement of one group of backend servers.
///
/// The state takes less than a kilobyte per model. Adapters appear only in the bounded queue of
/// adapter loads, so no cost grows with their number.
#[derive(Debug)]
pub struct Placement {
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) settings: Settings,
    pub(crate) clock: DayClock,
    pub(crate) histories: HashMap<ModelId, History>,
    pub(crate) all_gaps: GapHistogram,
    pub(crate) activity: Activity,
    pub(crate) estimates: LoadTimeEstimates,
    pub(crate) pending: BTreeMap<ModelId, PendingDemand>,
    pub(crate) outstanding: Outstanding,
    pub(crate) store_rate: StoreRateLimiter,
    /// Loads and prefetches from the store that were decided in the present call and that its view
    /// cannot show.
    pub(crate) store_starts_in_call: u32,
    /// Since when this group has left a store slot to the more urgent demand of another group.
    pub(crate) yielding_since: Option<Instant>,
    /// Published priority of the demand that waits for the store.
    pub(crate) store_priority: PublishedPriority,
    pub(crate) adapters: AdapterQueue,
    /// Models loaded ahead of demand, retained until the time stored here.
    pub(crate) preloaded: HashMap<ModelId, Instant>,
    /// Models that became ready for waiting demand, with the end of their grace period.
    pub(crate) grace_until: HashMap<ModelId, Instant>,
    /// When models became ready that have not been idle since.
    pub(crate) ready_since: HashMap<ModelId, Instant>,
    /// Mean time from when a replica becomes ready until it is idle, in seconds.
    pub(crate) mean_time_to_idle_s: f64,
    /// How long replicas stay busy.
    pub(crate) busy: BusyTimes,
    /// Idle replicas that are retained: their last use and when to evaluate them again.
    pub(crate) retained: HashMap<ReplicaId, (Instant, Instant)>,
    pub(crate) prefetch: crate::prefetch::PrefetchState,
}

impl Placement {
    /// Creates a placement without history. `time_of_day` is the local time at `now`, since
    /// midnight.
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
            all_gaps: GapHistogram::default(),
            activity: Activity::new(clock.slot(now).day),
            estimates: LoadTimeEstimates::default(),
            pending: BTreeMap::new(),
            outstanding: Outstanding::default(),
            store_rate: StoreRateLimiter::default(),
            store_starts_in_call: 0,
            yielding_since: None,
            store_priority: PublishedPriority::default(),
            adapters: AdapterQueue::default(),
            preloaded: HashMap::new(),
            grace_until: HashMap::new(),
            ready_since: HashMap::new(),
            mean_time_to_idle_s: 0.0,
            busy: BusyTimes::default(),
            retained: HashMap::new(),
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

    /// Handles one event and appends decisions to `out`. The caller carries them out in order and
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
            return self.record_arrival(a, now);
        }
        self.outstanding.resolve(view, now);
        self.store_starts_in_call = 0;
        self.update_yielding(view, now);
        if matches!(event, Event::ViewChanged | Event::Tick) {
            self.busy.update(view, now);
        }
        match event {
            Event::Arrived(_) | Event::ViewChanged => {}
            Event::Demand(d) => self.handle_demand(d, view, now, out),
            Event::LoadEnded(e) => self.load_ended(e, now),
            Event::PrefetchEnded(e) => {
                self.outstanding.prefetch_ended(&e.server, &e.model);
                self.prefetch.ended(e, view);
                self.record_load_time(e, now);
            }
            Event::AdapterLoadEnded(e) => {
                if e.succeeded {
                    self.estimates.record_adapter_load(now.saturating_duration_since(e.started));
                }
                self.adapters.ended(e);
            }
            Event::Rejected(d) => {
                self.outstanding.rejected(d);
                self.adapters.rejected(d);
            }
            Event::Tick => {
                self.unload_idle(view, now, out);
                self.preload_models(view, now, out);
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

    /// Latest time for the next [`Event::Tick`].
    pub fn next_wakeup(&self, now: Instant) -> Instant {
        now + TICK_INTERVAL
    }

    /// When a target is expected to be ready, for admission control; `None` if it cannot be loaded.
    ///
    /// The result is the earliest possible time. It takes into account the queue of the store, the
    /// nearest source and how long busy replicas usually hold their memory.
    pub fn expected_ready(&self, view: &View, target: &Target, now: Instant) -> Option<Instant> {
        let model = self.catalogue.models.get(&target.model)?;
        let adapter = target.adapter.as_ref();
        let adapter_time = adapter.map_or(Duration::ZERO, |_| self.estimates.adapter_load_time());
        let mut ready: Option<Instant> = None;
        for (server, r) in view.replicas_of(&target.model) {
            if server.leaving {
                continue;
            }
            let at = match r.phase {
                ReplicaPhase::Ready if adapter.is_none_or(|a| r.has_adapter(a)) => now,
                ReplicaPhase::Ready => now + adapter_time,
                ReplicaPhase::Loading => {
                    let loads = self.outstanding.loads_of(&target.model);
                    let end =
                        loads.filter(|d| d.server == server.server).map(|d| d.expected_end).max();
                    let end = end.unwrap_or_else(|| {
                        r.last_used + self.estimates.load_time(model, LoadSource::Remote)
                    });
                    end.max(now) + adapter_time
                }
                ReplicaPhase::Unloading => continue,
            };
            ready = Some(ready.map_or(at, |t| t.min(at)));
        }
        if let Some(end) = self.outstanding.loads_of(&target.model).map(|d| d.expected_end).min() {
            let at = end.max(now) + adapter_time;
            ready = Some(ready.map_or(at, |t| t.min(at)));
        }
        if ready.is_some() {
            return ready;
        }
        if self.allowance(view, &target.model) == 0 {
            return None;
        }
        let candidates =
            view.servers.iter().filter(|s| !s.leaving && s.memory_total >= model.memory_bytes);
        let cold =
            candidates.map(|s| self.cold_start_ready(view, s, &target.model, model, now)).min()?;
        Some(cold + adapter_time)
    }

    /// When a model could be ready on one server if its load were next in the queue.
    fn cold_start_ready(
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
        let memory_free_at = self.earliest_free_memory(server, model.memory_bytes, now);
        start.max(memory_free_at) + self.estimates.load_time(model, source)
    }

    /// When the store could start one more load, after the loads that already wait for it.
    fn next_store_start(&self, view: &View, name: &ModelId, now: Instant) -> Instant {
        let start = self.next_start_by_rate(view, now);
        let slots = self.settings.store_concurrent_loads;
        let in_progress = self.store_loads_in_progress(view);
        let waiting = self.pending.keys().filter(|m| *m != name).take(64).count() as u32;
        if in_progress + waiting < slots {
            return start;
        }
        let rounds = (in_progress + waiting) / slots;
        let load_time = self.mean_store_load_time();
        let first_end = self.outstanding.next_store_end().unwrap_or(now + load_time).max(now);
        start.max(first_end + load_time * (rounds - 1))
    }

    /// Mean expected time of a load from the store, over the models that wait for one.
    fn mean_store_load_time(&self) -> Duration {
        let models = self.pending.keys().filter_map(|m| self.catalogue.models.get(m)).take(8);
        let (n, sum) = models.fold((0u32, Duration::ZERO), |(n, sum), m| {
            (n + 1, sum + self.estimates.load_time(m, LoadSource::Remote))
        });
        if n == 0 { Duration::ZERO } else { sum / n }
    }

    /// Number of replicas of a model that may still be loaded, less the loads that the view does not
    /// show yet.
    pub(crate) fn allowance(&self, view: &View, model: &str) -> u32 {
        let left = view.allowance_left.get(model).copied().unwrap_or(0);
        left.saturating_sub(self.outstanding.unconfirmed_loads_of(model))
    }

    fn record_arrival(&mut self, a: &Arrival, now: Instant) {
        let slack = a.deadline.saturating_duration_since(now);
        if slack > MAX_URGENT_SLACK || !self.catalogue.models.contains_key(&a.model) {
            return;
        }
        let at = self.clock.slot(now);
        let loss = a.count as f32 * a.worth_milli as f32 / slack.as_secs_f32().max(0.1);
        if !self.histories.contains_key(&a.model) {
            self.histories.insert(a.model.clone(), History::new(now, at));
        }
        let history = self.histories.get_mut(&a.model).expect("inserted above");
        if let Some(gap) = history.record(now, at, loss) {
            self.all_gaps.record(gap);
            self.activity.record(at);
        }
    }

    fn handle_demand(&mut self, d: &Demand, view: &View, now: Instant, out: &mut Vec<Decision>) {
        let Some(model) = self.catalogue.models.get(&d.target.model) else {
            return out.push(unreachable(d, None));
        };
        let ready: Vec<_> = view
            .replicas_of(&d.target.model)
            .filter(|(s, r)| !s.leaving && r.phase == ReplicaPhase::Ready)
            .collect();
        let has_capacity = ready.iter().any(|(_, r)| r.running + r.queued < model.max_batch.max(1));
        if has_capacity {
            if let Some(adapter) = &d.target.adapter {
                self.adapters.request(&d.target.model, adapter, d.deadline);
            }
            return;
        }
        if let Some(p) = self.pending.get_mut(&d.target.model) {
            // The queue was considered when the first demand arrived; from then on only the load
            // time counts.
            let nearest = p.sources.iter().min().copied().unwrap_or(LoadSource::Memory);
            let expected = now + self.estimates.load_time(model, nearest);
            if expected > d.deadline {
                return out.push(unreachable(d, Some(expected)));
            }
            return p.merge(d);
        }
        let expected = self.expected_ready(view, &d.target, now);
        if ready.is_empty() && expected.is_none_or(|t| t > d.deadline) {
            return out.push(unreachable(d, expected));
        }
        let is_loading = self.outstanding.loads_of(&d.target.model).next().is_some()
            || view.replicas_of(&d.target.model).any(|(_, r)| r.phase == ReplicaPhase::Loading);
        if is_loading || self.allowance(view, &d.target.model) == 0 {
            return;
        }
        self.pending.insert(d.target.model.clone(), PendingDemand::new(d, now));
    }

    fn load_ended(&mut self, e: &LoadEnded, now: Instant) {
        self.outstanding.load_ended(&e.server, &e.model);
        if e.succeeded {
            self.grace_until.insert(e.model.clone(), now + crate::idle::GRACE_PERIOD);
            self.ready_since.insert(e.model.clone(), now);
        }
        self.record_load_time(e, now);
    }

    fn record_load_time(&mut self, e: &LoadEnded, now: Instant) {
        if let (true, Some(model)) = (e.succeeded, self.catalogue.models.get(&e.model)) {
            let took = now.saturating_duration_since(e.started);
            self.estimates.record_load(model, e.source, took);
        }
    }
}

fn unreachable(d: &Demand, expected_ready: Option<Instant>) -> Decision {
    Decision::Unreachable { from: d.from.clone(), target: d.target.clone(), expected_ready }
}
