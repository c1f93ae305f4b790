//! Simulates servers, the weight store and entry instances in virtual time. Only load times, memory
//! and the limits of the store are modelled.

mod orders;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use placement::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

use crate::outcome::Outcome;
use crate::site::{DISK_CHECKPOINTS, HOST_CHECKPOINTS, SERVER_MEMORY, Site};
use crate::trace::{DAY_MS, INSTANCES, Request, days};

/// A policy under test.
pub(crate) trait Policy {
    fn handle(&mut self, event: &Event, view: &View, now: Instant, out: &mut Vec<Decision>);
}

/// Time to unload a replica and release its memory.
pub(crate) const UNLOAD_MS: u64 = 200;
/// Range of the ratio of actual to declared load time.
pub(crate) const LOAD_TIME_RATIO: (f64, f64) = (0.95, 1.10);
/// Shortest time between two demands of one instance for one model that is not ready.
const DEMAND_INTERVAL_MS: u64 = 100;
/// Interval at which instances send demand again for models that still have waiting requests.
const DEMAND_REPEAT_MS: u64 = 1_000;
const TICK_MS: u64 = 2_000;

/// An event that is scheduled for a point in virtual time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimedEvent {
    Load { server: usize, replica: ReplicaId, source: LoadSource, started: u64, store: bool },
    Unload { server: usize, replica: ReplicaId },
    Prefetch { server: usize, model: usize, source: LoadSource, started: u64 },
    Adapter { server: usize, replica: ReplicaId, adapter: AdapterId, started: u64 },
    Served { server: usize, replica: ReplicaId, adapter: Option<AdapterId> },
    Deadline { request: usize },
    RepeatDemand { model: usize },
    Tick,
}

/// What the simulation records of a replica in addition to its view.
struct ReplicaRecord {
    model: usize,
    /// Since when no request has been running on the replica. The decision to load it counts as the
    /// start of the first idle span.
    idle_since: Option<u64>,
}

pub(crate) struct World<'a> {
    site: &'a Site,
    trace: &'a [Request],
    origin: Instant,
    now: u64,
    view: View,
    records: HashMap<ReplicaId, ReplicaRecord>,
    index: HashMap<ModelId, usize>,
    /// Ready replicas by model, each with the index of its server.
    ready: Vec<Vec<(usize, ReplicaId)>>,
    waiting: Vec<Vec<usize>>,
    last_demand: HashMap<(usize, usize), u64>,
    /// Models cached in host memory and on disk by server, least recently used first.
    host: Vec<Vec<usize>>,
    disk: Vec<Vec<usize>>,
    timed_events: BinaryHeap<Reverse<(u64, u64, TimedEvent)>>,
    sequence: u64,
    next_replica: ReplicaId,
    next_store_start: u64,
    done: Vec<bool>,
    rng: ChaCha8Rng,
    pub(crate) outcome: Outcome,
}

impl<'a> World<'a> {
    pub(crate) fn new(site: &'a Site, trace: &'a [Request], seed: u64) -> Self {
        let mut w = Self {
            site,
            trace,
            origin: Instant::now(),
            now: 0,
            view: View::default(),
            records: HashMap::new(),
            index: site.names.iter().cloned().zip(0..).collect(),
            ready: vec![Vec::new(); site.names.len()],
            waiting: vec![Vec::new(); site.names.len()],
            last_demand: HashMap::new(),
            host: Vec::new(),
            disk: Vec::new(),
            timed_events: BinaryHeap::new(),
            sequence: 0,
            next_replica: 1,
            next_store_start: 0,
            done: vec![false; trace.len()],
            rng: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome::default(),
        };
        for (i, (memory, disk)) in site.cached.iter().enumerate() {
            w.view.servers.push(ServerView {
                server: format!("server-{i:04}").into(),
                memory_total: SERVER_MEMORY,
                memory_free: SERVER_MEMORY,
                cached_in_memory: memory.iter().map(|&m| site.names[m].clone()).collect(),
                cached_on_disk: disk.iter().map(|&m| site.names[m].clone()).collect(),
                ..ServerView::default()
            });
            w.host.push(memory.clone());
            w.disk.push(disk.clone());
        }
        for (name, m) in &site.catalogue.models {
            w.view.allowance_left.insert(name.clone(), m.max_replicas);
        }
        w
    }

    pub(crate) fn origin(&self) -> Instant {
        self.origin
    }

    /// Replays the whole trace and continues until the last deadline has passed.
    pub(crate) fn run(mut self, policy: &mut impl Policy) -> Outcome {
        self.schedule(0, TimedEvent::Tick);
        let end = days(self.site) * DAY_MS + DAY_MS / 2;
        let mut next = 0;
        loop {
            let arrival = self.trace.get(next).map_or(u64::MAX, |r| r.at);
            let due = self.timed_events.peek().map_or(u64::MAX, |Reverse((t, ..))| *t);
            if arrival.min(due) > end {
                break;
            }
            if arrival <= due {
                self.now = arrival;
                self.on_arrival(next, policy);
                next += 1;
            } else if let Some(Reverse((t, _, event))) = self.timed_events.pop() {
                self.now = t;
                self.handle_timed_event(event, policy);
            }
        }
        self.finish()
    }

    fn finish(mut self) -> Outcome {
        let (now, replicas) = (self.now, std::mem::take(&mut self.records));
        for e in replicas.into_values() {
            self.outcome.add_idle(e.idle_since, now, self.site.model(e.model).accelerators);
        }
        self.outcome.unanswered = self.done.iter().filter(|d| !**d).count() as u64;
        self.outcome
    }

    fn schedule(&mut self, t: u64, event: TimedEvent) {
        self.sequence += 1;
        self.timed_events.push(Reverse((t, self.sequence, event)));
    }

    fn instant(&self, t: u64) -> Instant {
        self.origin + Duration::from_millis(t)
    }

    fn dispatch(&mut self, event: Event, policy: &mut impl Policy) {
        let mut queue = VecDeque::from([event]);
        let mut out = Vec::new();
        while let Some(event) = queue.pop_front() {
            let now = self.instant(self.now);
            let started = Instant::now();
            policy.handle(&event, &self.view, now, &mut out);
            self.outcome.record_decision(started.elapsed());
            for d in out.drain(..) {
                if !self.execute(&d) {
                    self.outcome.rejected += 1;
                    queue.push_back(Event::Rejected(d));
                }
            }
        }
    }

    fn on_arrival(&mut self, i: usize, policy: &mut impl Policy) {
        let r = &self.trace[i];
        let (model, instance) = (r.model, r.instance);
        let arrival = Arrival {
            model: self.site.names[model].clone(),
            count: 1,
            worth_milli: r.worth_milli,
            deadline: self.instant(r.deadline),
        };
        self.dispatch(Event::Arrived(arrival), policy);
        self.waiting[model].push(i);
        self.serve_waiting(model);
        if !self.done[i] {
            self.schedule(r.deadline, TimedEvent::Deadline { request: i });
            if self.waiting[model].len() == 1 {
                self.schedule(self.now + DEMAND_REPEAT_MS, TimedEvent::RepeatDemand { model });
            }
            self.send_demand(model, instance, policy);
        }
    }

    /// Sends one instance's demand for a model, unless the instance sent it within
    /// `DEMAND_INTERVAL_MS` and the model is not ready.
    fn send_demand(&mut self, model: usize, instance: usize, policy: &mut impl Policy) {
        let last = self.last_demand.get(&(model, instance)).copied();
        if last.is_some_and(|t| t + DEMAND_INTERVAL_MS > self.now && self.ready[model].is_empty()) {
            return;
        }
        self.last_demand.insert((model, instance), self.now);
        let is_own = |i: &&usize| self.trace[**i].instance == instance;
        let waiting: Vec<usize> = self.waiting[model].iter().filter(is_own).copied().collect();
        let mut targets: Vec<Option<usize>> =
            waiting.iter().map(|&i| self.trace[i].adapter).collect();
        targets.sort();
        targets.dedup();
        for adapter in targets {
            let matching =
                || waiting.iter().map(|&i| &self.trace[i]).filter(|r| r.adapter == adapter);
            let demand = Demand {
                from: format!("instance-{instance}").into(),
                target: Target {
                    model: self.site.names[model].clone(),
                    adapter: adapter.map(|a| self.site.adapters[model][a].clone()),
                },
                waiting: matching().count() as u32,
                worth_milli: matching().map(|r| r.worth_milli).max().unwrap_or(0),
                deadline: self.instant(matching().map(|r| r.deadline).min().unwrap_or(self.now)),
            };
            self.dispatch(Event::Demand(demand), policy);
        }
    }

    fn send_demand_of_all_instances(&mut self, model: usize, policy: &mut impl Policy) {
        for instance in 0..INSTANCES {
            if self.waiting[model].iter().any(|&i| self.trace[i].instance == instance) {
                self.send_demand(model, instance, policy);
            }
        }
    }

    /// Starts all waiting requests of a model that a ready replica can serve.
    fn serve_waiting(&mut self, model: usize) {
        if self.ready[model].is_empty() || self.waiting[model].is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.waiting[model]);
        for i in waiting {
            if !self.start_request(i) {
                self.waiting[model].push(i);
            }
        }
    }

    fn start_request(&mut self, i: usize) -> bool {
        let r = &self.trace[i];
        let adapter = r.adapter.map(|a| self.site.adapters[r.model][a].clone());
        for &(server, replica) in &self.ready[r.model] {
            let v = replica_mut(&mut self.view, server, replica);
            if let Some(a) = &adapter {
                let Some(p) = v.adapters.iter().position(|x| x.adapter == *a) else { continue };
                let mut used = v.adapters.remove(p);
                used.running += 1;
                v.adapters.push(used);
            }
            v.running += 1;
            let e = self.records.get_mut(&replica).expect("ready");
            let accelerators = self.site.model(e.model).accelerators;
            self.outcome.add_idle(e.idle_since.take(), self.now, accelerators);
            self.done[i] = true;
            self.outcome.record_served(r, self.now - r.at);
            self.schedule(self.now + r.service, TimedEvent::Served { server, replica, adapter });
            return true;
        }
        false
    }

    fn handle_timed_event(&mut self, event: TimedEvent, policy: &mut impl Policy) {
        match event {
            TimedEvent::Tick => {
                self.dispatch(Event::Tick, policy);
                self.schedule(self.now + TICK_MS, TimedEvent::Tick);
            }
            TimedEvent::RepeatDemand { model } => {
                if !self.waiting[model].is_empty() {
                    self.send_demand_of_all_instances(model, policy);
                    self.schedule(self.now + DEMAND_REPEAT_MS, TimedEvent::RepeatDemand { model });
                }
            }
            TimedEvent::Deadline { request } => self.expire(request),
            TimedEvent::Served { server, replica, adapter } => {
                let now = self.instant(self.now);
                let v = replica_mut(&mut self.view, server, replica);
                v.running -= 1;
                v.last_used = now;
                if let Some(a) = adapter {
                    v.adapters.iter_mut().filter(|x| x.adapter == a).for_each(|x| x.running -= 1);
                }
                if v.running == 0 {
                    self.records.get_mut(&replica).expect("ready").idle_since = Some(self.now);
                    self.dispatch(Event::ViewChanged, policy);
                }
            }
            TimedEvent::Load { server, replica, source, started, store } => {
                self.on_loaded(server, replica, source, started, store, policy);
            }
            TimedEvent::Prefetch { server, model, source, started } => {
                if source == LoadSource::Remote {
                    self.view.store.loads_in_progress -= 1;
                }
                self.cache(server, model);
                let e = self.load_ended(server, model, source, started);
                self.dispatch(Event::PrefetchEnded(e), policy);
            }
            TimedEvent::Unload { server, replica } => {
                let s = &mut self.view.servers[server];
                let p = s.replicas.iter().position(|r| r.replica == replica).expect("unloading");
                let v = s.replicas.remove(p);
                s.memory_free += v.memory_bytes;
                *self.view.allowance_left.get_mut(&v.model).expect("known") += 1;
                let e = self.records.remove(&replica).expect("unloading");
                self.outcome.add_idle(
                    e.idle_since,
                    self.now,
                    self.site.model(e.model).accelerators,
                );
                self.dispatch(Event::ViewChanged, policy);
            }
            TimedEvent::Adapter { server, replica, adapter, started } => {
                self.view.store.adapters_in_flight -= 1;
                let s = &mut self.view.servers[server];
                let Some(v) = s.replicas.iter_mut().find(|r| r.replica == replica) else { return };
                v.adapters.push(PooledAdapter { adapter: adapter.clone(), running: 0 });
                let model = self.records[&replica].model;
                self.serve_waiting(model);
                let started = self.instant(started);
                let e = AdapterLoadEnded { replica, adapter, started, succeeded: true };
                self.dispatch(Event::AdapterLoadEnded(e), policy);
            }
        }
    }

    fn expire(&mut self, i: usize) {
        if !self.done[i] {
            self.done[i] = true;
            self.outcome.record_late(&self.trace[i]);
            self.waiting[self.trace[i].model].retain(|&w| w != i);
        }
    }

    fn load_ended(
        &self,
        server: usize,
        model: usize,
        source: LoadSource,
        started: u64,
    ) -> LoadEnded {
        LoadEnded {
            server: self.view.servers[server].server.clone(),
            model: self.site.names[model].clone(),
            source,
            started: self.instant(started),
            succeeded: true,
        }
    }

    fn on_loaded(
        &mut self,
        server: usize,
        replica: ReplicaId,
        source: LoadSource,
        started: u64,
        store: bool,
        policy: &mut impl Policy,
    ) {
        if store {
            self.view.store.loads_in_progress -= 1;
        }
        let model = self.records[&replica].model;
        self.cache(server, model);
        let now = self.instant(self.now);
        let v = replica_mut(&mut self.view, server, replica);
        v.phase = ReplicaPhase::Ready;
        v.last_used = now;
        self.ready[model].push((server, replica));
        self.serve_waiting(model);
        let e = self.load_ended(server, model, source, started);
        self.dispatch(Event::LoadEnded(e), policy);
        self.send_demand_of_all_instances(model, policy);
    }

    /// Adds a checkpoint to host memory and disk and evicts the least recently used ones.
    fn cache(&mut self, server: usize, model: usize) {
        let s = &mut self.view.servers[server];
        let names = &self.site.names;
        insert_most_recent(
            &mut self.host[server],
            model,
            HOST_CHECKPOINTS,
            &mut s.cached_in_memory,
            names,
        );
        insert_most_recent(
            &mut self.disk[server],
            model,
            DISK_CHECKPOINTS,
            &mut s.cached_on_disk,
            names,
        );
    }
}

fn replica_mut(view: &mut View, server: usize, replica: ReplicaId) -> &mut ReplicaView {
    let replicas = &mut view.servers[server].replicas;
    replicas.iter_mut().find(|r| r.replica == replica).expect("known replica")
}

/// Makes a model the most recently used and evicts the least recently used beyond `limit`.
fn insert_most_recent(
    order: &mut Vec<usize>,
    model: usize,
    limit: usize,
    set: &mut HashSet<ModelId>,
    names: &[ModelId],
) {
    order.retain(|&m| m != model);
    order.push(model);
    set.insert(names[model].clone());
    if order.len() > limit {
        set.remove(&names[order.remove(0)]);
    }
}
