//! A small group in virtual time whose view lags behind the decisions, and the violations seen.
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
const TOTAL: u64 = 100;

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

pub struct World {
    pub placement: Placement,
    pub catalogue: Arc<Catalogue>,
    pub view: View,
    pub now: Instant,
    pub decisions: Vec<Decision>,
    pub violations: Vec<(&'static str, String)>,
    unshown: VecDeque<Decision>,
    unshown_since: Instant,
    store: Vec<Decision>,
    prefetches: Vec<(Decision, Instant)>,
    flying: Vec<(BackendServerId, ReplicaId, AdapterId, Instant)>,
    starts: VecDeque<Instant>,
    next_replica: ReplicaId,
    rng: ChaCha8Rng,
}

impl World {
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
            unshown: VecDeque::new(),
            unshown_since: now,
            store: Vec::new(),
            prefetches: Vec::new(),
            flying: Vec::new(),
            starts: VecDeque::new(),
            next_replica: 0,
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    pub fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.placement.handle(&event, &self.view, self.now, &mut self.rng, &mut out);
        for d in out {
            self.check(&d);
            if self.unshown.is_empty() {
                self.unshown_since = self.now;
            }
            if !matches!(d, Decision::Unreachable { .. }) {
                self.unshown.push_back(d.clone());
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
        self.tell(Event::Demand(demand));
    }

    pub fn show(&mut self) {
        while let Some(d) = self.unshown.pop_front() {
            self.apply(d);
        }
        self.update_store();
    }

    fn update_store(&mut self) {
        self.view.store.loads_in_progress = self.store.len() as u32;
        self.view.store.adapters_in_flight = self.flying.len() as u32;
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
                    self.flying.push((server.clone(), *replica, adapter.clone(), now));
                }
            }
            Decision::Unreachable { .. } => {}
        }
    }

    fn replica(&mut self, id: ReplicaId) -> Option<&mut ReplicaView> {
        self.view.servers.iter_mut().flat_map(|s| &mut s.replicas).find(|r| r.replica == id)
    }

    fn ids(&self, phase: ReplicaPhase) -> Vec<(BackendServerId, ReplicaId)> {
        let replicas =
            self.view.servers.iter().flat_map(|s| s.replicas.iter().map(move |r| (s, r)));
        let found = replicas.filter(|(_, r)| r.phase == phase);
        found.map(|(s, r)| (s.server.clone(), r.replica)).collect()
    }

    pub fn run(&mut self, step: &Step) {
        match step {
            Step::Demand { model, from, adapter, slack_ms } => {
                self.demand(*model, *from, *adapter, Duration::from_millis(*slack_ms));
            }
            Step::Arrival { model } => {
                let deadline = self.now + Duration::from_secs(10);
                let model = name(*model);
                self.tell(Event::Arrived(Arrival {
                    model,
                    count: 1,
                    worth_milli: 1_000,
                    deadline,
                }));
            }
            Step::Pass { ms } => {
                self.now += Duration::from_millis(*ms);
                // The owner shows a decision long before placement takes it as lost.
                if self.now > self.unshown_since + Duration::from_secs(5) {
                    self.show();
                }
            }
            Step::Show => {
                self.show();
                self.tell(Event::ViewChanged);
            }
            Step::Refuse => {
                if let Some(d) = self.unshown.pop_front() {
                    self.store.retain(|s| *s != d);
                    self.tell(Event::Rejected(d));
                }
            }
            Step::LoadEnds { which, succeeded } => self.load_ends(*which, *succeeded),
            Step::PrefetchEnds { which } => self.prefetch_ends(*which),
            Step::AdapterEnds { which } => self.adapter_ends(*which),
            Step::UnloadEnds { which } => {
                let ids = self.ids(ReplicaPhase::Unloading);
                if let Some((server, id)) = ids.get(which % ids.len().max(1)).cloned() {
                    self.drop_replica(&server, id);
                    self.tell(Event::ViewChanged);
                }
            }
            Step::Busy { which, running } => {
                let ids = self.ids(ReplicaPhase::Ready);
                let now = self.now;
                if let Some((_, id)) = ids.get(which % ids.len().max(1)) {
                    let unloads = |d: &&Decision| matches!(d, Decision::Unload { replica, .. } if replica == id);
                    let leaving = self.unshown.iter().any(|d| unloads(&d));
                    let r = self.replica(*id).expect("listed");
                    r.running = if leaving { 0 } else { *running };
                    r.last_used = now;
                }
            }
            Step::Dies { server } => self.dies(*server),
            Step::Returns { server } => {
                let fresh = empty_server(*server);
                if !self.view.servers.iter().any(|s| s.server == fresh.server) {
                    self.view.servers.push(fresh);
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
            Step::Tick => self.tell(Event::Tick),
        }
        self.update_store();
    }

    pub fn load_ends(&mut self, which: usize, succeeded: bool) {
        let ids = self.ids(ReplicaPhase::Loading);
        let Some((server, id)) = ids.get(which % ids.len().max(1)).cloned() else { return };
        let now = self.now;
        let r = self.replica(id).expect("listed");
        let (model, started) = (r.model.clone(), r.last_used);
        r.phase = ReplicaPhase::Ready;
        r.last_used = now;
        let of = |d: &Decision| matches!(d, Decision::Load { server: s, model: m, .. } if *s == server && *m == model);
        let remote = self.store.iter().position(of);
        let source = if remote.is_some() { LoadSource::Remote } else { LoadSource::Memory };
        remote.map(|i| self.store.remove(i));
        if succeeded {
            let s = self.view.servers.iter_mut().find(|s| s.server == server).expect("listed");
            s.cached_in_memory.insert(model.clone());
        } else {
            self.drop_replica(&server, id);
        }
        self.update_store();
        self.tell(Event::LoadEnded(LoadEnded { server, model, source, started, succeeded }));
    }

    fn prefetch_ends(&mut self, which: usize) {
        if self.prefetches.is_empty() {
            return;
        }
        let (d, started) = self.prefetches.swap_remove(which % self.prefetches.len());
        self.store.retain(|s| *s != d);
        let Decision::Prefetch { server, model, source } = d else { return };
        if let Some(s) = self.view.servers.iter_mut().find(|s| s.server == server) {
            s.cached_in_memory.insert(model.clone());
        }
        self.update_store();
        let succeeded = true;
        self.tell(Event::PrefetchEnded(LoadEnded { server, model, source, started, succeeded }));
    }

    fn adapter_ends(&mut self, which: usize) {
        if self.flying.is_empty() {
            return;
        }
        let (_, replica, adapter, started) = self.flying.swap_remove(which % self.flying.len());
        if let Some(r) = self.replica(replica) {
            r.adapters.push(PooledAdapter { adapter: adapter.clone(), running: 0 });
        }
        self.update_store();
        self.tell(Event::AdapterLoadEnded(AdapterLoadEnded {
            replica,
            adapter,
            started,
            succeeded: true,
        }));
    }

    fn drop_replica(&mut self, server: &str, id: ReplicaId) {
        let s = self.view.servers.iter_mut().find(|s| &*s.server == server).expect("listed");
        let i = s.replicas.iter().position(|r| r.replica == id).expect("listed");
        let r = s.replicas.remove(i);
        s.memory_free += r.memory_bytes;
        *self.view.allowance_left.get_mut(&r.model).expect("known") += 1;
        self.flying.retain(|f| f.1 != id);
        let of =
            |d: &Decision| matches!(d, Decision::LoadAdapter { replica, .. } if *replica == id);
        self.unshown.retain(|d| !of(d));
    }

    fn dies(&mut self, server: usize) {
        let gone = empty_server(server).server;
        self.show();
        let replicas: Vec<ReplicaId> = self
            .view
            .server(&gone)
            .map_or(Vec::new(), |s| s.replicas.iter().map(|r| r.replica).collect());
        for id in replicas {
            self.drop_replica(&gone, id);
        }
        self.view.servers.retain(|s| s.server != gone);
        let of = |d: &Decision| match d {
            Decision::Load { server, .. } | Decision::Prefetch { server, .. } => *server == gone,
            _ => false,
        };
        self.store.retain(|d| !of(d));
        self.prefetches.retain(|(d, _)| !of(d));
        self.update_store();
        self.tell(Event::ViewChanged);
    }
}

fn empty_server(i: usize) -> ServerView {
    ServerView {
        server: format!("s{i}").into(),
        memory_total: TOTAL,
        memory_free: TOTAL,
        cached_on_disk: HashSet::from([name(i)]),
        ..ServerView::default()
    }
}
