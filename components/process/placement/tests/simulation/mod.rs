//! A small group in virtual time whose view lags behind the decisions. It records violations.
#![allow(dead_code, unreachable_pub)]

mod check;
pub mod steps;

use std::sync::Arc;

use placement::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

use steps::Step;

pub const MODELS: usize = 6;
pub const SERVERS: usize = 3;
const SERVER_MEMORY: u64 = 100;

pub fn catalogue() -> Arc<Catalogue> {
    let mut c = Catalogue::default();
    for i in 0..MODELS {
        let model = Model {
            version: "1".into(),
            memory_bytes: 30 + 10 * (i as u64 % 3),
            accelerators: 1,
            max_replicas: 1 + i as u32 % 2,
            adapter_slots: 2 - i as u32 % 2,
            max_batch: 4,
            load_time: LoadTime {
                memory: Duration::from_millis(800),
                disk: Duration::from_millis(2_500),
                remote: Duration::from_millis(5_000),
            },
            adapters: (0..4).map(|a| format!("a{a}").into()).collect(),
        };
        c.models.insert(name(i), model);
    }
    c.deployment = Deployment { store_concurrent_adapters: 2, ..Deployment::default() };
    Arc::new(c)
}

pub fn name(model: usize) -> ModelId {
    format!("m{model}").into()
}

pub struct Simulation {
    pub placement: Placement,
    pub catalogue: Arc<Catalogue>,
    pub view: View,
    pub now: Instant,
    pub decisions: Vec<Decision>,
    pub violations: Vec<(&'static str, String)>,
    unconfirmed: VecDeque<Decision>,
    unconfirmed_since: Instant,
    store_transfers: Vec<Decision>,
    prefetches: Vec<(Decision, Instant)>,
    adapters_in_flight: Vec<(BackendServerId, ReplicaId, AdapterId, Instant)>,
    store_starts: VecDeque<Instant>,
    next_replica: ReplicaId,
    rng: ChaCha8Rng,
}

impl Simulation {
    pub fn new(weight: u8) -> Self {
        let now = Instant::now();
        let catalogue = catalogue();
        let settings =
            Settings { cold_start_weight: weight, ..Settings::from(&catalogue.deployment) };
        let mut view = View::default();
        for i in 0..SERVERS {
            view.servers.push(empty_server(i));
        }
        for (n, m) in &catalogue.models {
            view.allowance_left.insert(n.clone(), m.max_replicas);
        }
        Self {
            placement: Placement::new(catalogue.clone(), settings, now, Duration::ZERO),
            catalogue,
            view,
            now,
            decisions: Vec::new(),
            violations: Vec::new(),
            unconfirmed: VecDeque::new(),
            unconfirmed_since: now,
            store_transfers: Vec::new(),
            prefetches: Vec::new(),
            adapters_in_flight: Vec::new(),
            store_starts: VecDeque::new(),
            next_replica: 0,
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    pub fn send(&mut self, event: Event) {
        let mut out = Vec::new();
        self.placement.handle(&event, &self.view, self.now, &mut self.rng, &mut out);
        for d in out {
            self.check(&d);
            if self.unconfirmed.is_empty() {
                self.unconfirmed_since = self.now;
            }
            if !matches!(d, Decision::Unreachable { .. }) {
                self.unconfirmed.push_back(d.clone());
            }
            self.decisions.push(d);
        }
    }

    pub fn demand(&mut self, model: usize, from: usize, adapter: Option<usize>, slack: Duration) {
        let demand = Demand {
            from: format!("i{from}").into(),
            target: Target { model: name(model), adapter: adapter.map(|a| format!("a{a}").into()) },
            waiting: 1,
            worth_milli: 1_000,
            deadline: self.now + slack,
        };
        self.send(Event::Demand(demand));
    }

    pub fn update_view(&mut self) {
        while let Some(d) = self.unconfirmed.pop_front() {
            self.apply(d);
        }
        self.update_store_view();
    }

    fn update_store_view(&mut self) {
        self.view.store.loads_in_progress = self.store_transfers.len() as u32;
        self.view.store.adapters_in_flight = self.adapters_in_flight.len() as u32;
    }

    fn apply(&mut self, d: Decision) {
        let now = self.now;
        match &d {
            Decision::Load { server, model, .. } => {
                let memory_bytes = self.catalogue.models[model].memory_bytes;
                let Some(s) = self.view.servers.iter_mut().find(|s| s.server == *server) else {
                    return;
                };
                s.memory_free = s.memory_free.saturating_sub(memory_bytes);
                s.replicas.push(ReplicaView {
                    replica: self.next_replica,
                    model: model.clone(),
                    phase: ReplicaPhase::Loading,
                    memory_bytes,
                    last_used: now,
                    running: 0,
                    queued: 0,
                    adapters: Vec::new(),
                });
                self.next_replica += 1;
                let left = self.view.allowance_left.get_mut(model).expect("known");
                *left = left.saturating_sub(1);
            }
            Decision::Unload { replica, .. } => {
                if let Some(r) = self.replica(*replica) {
                    r.phase = ReplicaPhase::Unloading;
                }
            }
            Decision::Prefetch { .. } => self.prefetches.push((d, now)),
            Decision::LoadAdapter { server, replica, adapter, evict } => {
                if let Some(r) = self.replica(*replica) {
                    r.adapters.retain(|a| Some(&a.adapter) != evict.as_ref());
                    self.adapters_in_flight.push((server.clone(), *replica, adapter.clone(), now));
                }
            }
            Decision::Unreachable { .. } => {}
        }
    }

    fn replica(&mut self, id: ReplicaId) -> Option<&mut ReplicaView> {
        self.view.servers.iter_mut().flat_map(|s| &mut s.replicas).find(|r| r.replica == id)
    }

    fn replicas_in(&self, phase: ReplicaPhase) -> Vec<(BackendServerId, ReplicaId)> {
        let replicas =
            self.view.servers.iter().flat_map(|s| s.replicas.iter().map(move |r| (s, r)));
        let found = replicas.filter(|(_, r)| r.phase == phase);
        found.map(|(s, r)| (s.server.clone(), r.replica)).collect()
    }

    pub fn run_step(&mut self, step: &Step) {
        match step {
            Step::Demand { model, from, adapter, slack_ms } => {
                self.demand(*model, *from, *adapter, Duration::from_millis(*slack_ms));
            }
            Step::Arrival { model } => {
                let deadline = self.now + Duration::from_secs(10);
                let model = name(*model);
                self.send(Event::Arrived(Arrival {
                    model,
                    count: 1,
                    worth_milli: 1_000,
                    deadline,
                }));
            }
            Step::Pass { ms } => {
                self.now += Duration::from_millis(*ms);
                // The owner updates the view long before placement counts a decision as lost.
                if self.now > self.unconfirmed_since + Duration::from_secs(5) {
                    self.update_view();
                }
            }
            Step::Show => {
                self.update_view();
                self.send(Event::ViewChanged);
            }
            Step::Refuse => {
                if let Some(d) = self.unconfirmed.pop_front() {
                    self.store_transfers.retain(|s| *s != d);
                    self.send(Event::Rejected(d));
                }
            }
            Step::LoadEnds { which, succeeded } => self.end_load(*which, *succeeded),
            Step::PrefetchEnds { which } => self.end_prefetch(*which),
            Step::AdapterEnds { which } => self.end_adapter_load(*which),
            Step::UnloadEnds { which } => {
                let ids = self.replicas_in(ReplicaPhase::Unloading);
                if let Some((server, id)) = ids.get(which % ids.len().max(1)).cloned() {
                    self.remove_replica(&server, id);
                    self.send(Event::ViewChanged);
                }
            }
            Step::Busy { which, running } => {
                let ids = self.replicas_in(ReplicaPhase::Ready);
                let now = self.now;
                if let Some((_, id)) = ids.get(which % ids.len().max(1)) {
                    let unloads = |d: &&Decision| {
                        matches!(d, Decision::Unload { replica, .. }
                        if replica == id)
                    };
                    let is_unloading = self.unconfirmed.iter().any(|d| unloads(&d));
                    let r = self.replica(*id).expect("listed");
                    r.running = if is_unloading { 0 } else { *running };
                    r.last_used = now;
                }
            }
            Step::Dies { server } => self.remove_server(*server),
            Step::Returns { server } => {
                let returned = empty_server(*server);
                if !self.view.servers.iter().any(|s| s.server == returned.server) {
                    self.view.servers.push(returned);
                }
            }
            Step::Leaves { server } => {
                let s = empty_server(*server).server;
                self.view
                    .servers
                    .iter_mut()
                    .filter(|x| x.server == s)
                    .for_each(|x| x.leaving = true);
            }
            Step::Blocks { server, blocked } => {
                let s = empty_server(*server).server;
                let found = self.view.servers.iter_mut().filter(|x| x.server == s);
                found.for_each(|x| x.blocked = *blocked);
            }
            Step::Tick => self.send(Event::Tick),
        }
        self.update_store_view();
    }

    pub fn end_load(&mut self, which: usize, succeeded: bool) {
        let ids = self.replicas_in(ReplicaPhase::Loading);
        let Some((server, id)) = ids.get(which % ids.len().max(1)).cloned() else { return };
        let now = self.now;
        let r = self.replica(id).expect("listed");
        let (model, started) = (r.model.clone(), r.last_used);
        r.phase = ReplicaPhase::Ready;
        r.last_used = now;
        let is_affected = |d: &Decision| {
            matches!(d, Decision::Load { server: s, model: m, .. }
            if *s == server && *m == model)
        };
        let remote = self.store_transfers.iter().position(is_affected);
        let source = if remote.is_some() { LoadSource::Remote } else { LoadSource::Memory };
        remote.map(|i| self.store_transfers.remove(i));
        if succeeded {
            let s = self.view.servers.iter_mut().find(|s| s.server == server).expect("listed");
            s.cached_in_memory.insert(model.clone());
        } else {
            self.remove_replica(&server, id);
        }
        self.update_store_view();
        self.send(Event::LoadEnded(LoadEnded { server, model, source, started, succeeded }));
    }

    fn end_prefetch(&mut self, which: usize) {
        if self.prefetches.is_empty() {
            return;
        }
        let (d, started) = self.prefetches.swap_remove(which % self.prefetches.len());
        self.store_transfers.retain(|s| *s != d);
        let Decision::Prefetch { server, model, source } = d else { return };
        if let Some(s) = self.view.servers.iter_mut().find(|s| s.server == server) {
            s.cached_in_memory.insert(model.clone());
        }
        self.update_store_view();
        let succeeded = true;
        self.send(Event::PrefetchEnded(LoadEnded { server, model, source, started, succeeded }));
    }

    fn end_adapter_load(&mut self, which: usize) {
        if self.adapters_in_flight.is_empty() {
            return;
        }
        let (_, replica, adapter, started) =
            self.adapters_in_flight.swap_remove(which % self.adapters_in_flight.len());
        if let Some(r) = self.replica(replica) {
            r.adapters.push(PooledAdapter { adapter: adapter.clone(), running: 0 });
        }
        self.update_store_view();
        self.send(Event::AdapterLoadEnded(AdapterLoadEnded {
            replica,
            adapter,
            started,
            succeeded: true,
        }));
    }

    fn remove_replica(&mut self, server: &str, id: ReplicaId) {
        let s = self.view.servers.iter_mut().find(|s| &*s.server == server).expect("listed");
        let i = s.replicas.iter().position(|r| r.replica == id).expect("listed");
        let r = s.replicas.remove(i);
        s.memory_free += r.memory_bytes;
        *self.view.allowance_left.get_mut(&r.model).expect("known") += 1;
        self.adapters_in_flight.retain(|f| f.1 != id);
        let is_affected =
            |d: &Decision| matches!(d, Decision::LoadAdapter { replica, .. } if *replica == id);
        self.unconfirmed.retain(|d| !is_affected(d));
    }

    fn remove_server(&mut self, server: usize) {
        let gone = empty_server(server).server;
        self.update_view();
        let replicas: Vec<ReplicaId> = self
            .view
            .server(&gone)
            .map_or(Vec::new(), |s| s.replicas.iter().map(|r| r.replica).collect());
        for id in replicas {
            self.remove_replica(&gone, id);
        }
        self.view.servers.retain(|s| s.server != gone);
        let is_affected = |d: &Decision| match d {
            Decision::Load { server, .. } | Decision::Prefetch { server, .. } => *server == gone,
            _ => false,
        };
        self.store_transfers.retain(|d| !is_affected(d));
        self.prefetches.retain(|(d, _)| !is_affected(d));
        self.update_store_view();
        self.send(Event::ViewChanged);
    }
}

fn empty_server(i: usize) -> ServerView {
    ServerView {
        server: format!("s{i}").into(),
        memory_total: SERVER_MEMORY,
        memory_free: SERVER_MEMORY,
        cached_on_disk: HashSet::from([name(i)]),
        ..ServerView::default()
    }
}
