//! Simulates the owners of two groups, their servers and the platform in virtual time.

#[path = "../../../types/tests/fakes/platform.rs"]
pub(crate) mod platform;
pub(crate) mod server;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use group::{Action, Decision, DecisionObject, Group, OrderResult, PoolObject, Settings};
use platform::FakePlatform;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use server::FakeServer;
use types::object::{ObjectAnswer, decode};
use types::prelude::*;

pub(crate) const DECLARED: u32 = 3;
const LEASE: Duration = Duration::from_secs(9);

pub(crate) fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn must_be_recorded(kind: &OrderKind) -> bool {
    matches!(kind, OrderKind::Load { .. } | OrderKind::Unload { .. } | OrderKind::SetRole { .. })
}

/// An instance with its state machine for one group. It may own the group.
pub(crate) struct Owner {
    pub(crate) machine: Group,
    pub(crate) group: usize,
    owns_group: bool,
    renewed_at: Instant,
    is_dead: bool,
    paused_until: Instant,
    is_cut_off: bool,
    is_released: bool,
}

enum Event {
    Deliver { owner: usize, server: usize, order: Order, incarnation: u64 },
    Result { owner: usize, server: usize, order: OrderId, result: OrderResult },
    Snapshot { owner: usize, server: usize, requested: Instant },
    Report { owner: usize, requested: Instant, report: Box<ServerReport> },
    Answer { owner: usize, call: u64, answer: ObjectAnswer },
    Poll,
}

pub(crate) struct Simulation {
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) platform: FakePlatform,
    pub(crate) servers: Vec<FakeServer>,
    pub(crate) owners: Vec<Owner>,
    events: BTreeMap<(Instant, u64), Event>,
    next_event: u64,
    fencing: [u64; 2],
    /// Fraction of the orders that are delayed after the check of the lease, and the maximum delay.
    pub(crate) late_orders: (f64, Duration),
    pub(crate) lost_results: f64,
    /// Whether a late order may reach a later incarnation of the server.
    pub(crate) late_orders_survive_restart: bool,
    pub(crate) runs_policy: bool,
    sent_orders: BTreeSet<(usize, OrderId)>,
    recorded_orders: BTreeSet<(usize, OrderId)>,
    history_read: usize,
    pub(crate) loads_delivered: usize,
}

impl Simulation {
    /// Creates two instances for each of two groups. Each group has servers that check fencing
    /// numbers and one that ignores them.
    pub(crate) fn new(seed: u64) -> Self {
        let start = Instant::now();
        let servers = (0..2).flat_map(|g| {
            [("checks", true), ("also", true), ("ignores", false)]
                .map(|(name, checks)| FakeServer::new(&format!("{name}{g}"), g, checks))
        });
        let owners = (0..4).map(|n| Owner {
            machine: Group::new(Settings::new(format!("g{}", n / 2), format!("i{n}"))),
            group: n / 2,
            owns_group: false,
            renewed_at: start,
            is_dead: false,
            paused_until: start,
            is_cut_off: false,
            is_released: false,
        });
        let mut sim = Self {
            start,
            now: start,
            rng: ChaCha8Rng::seed_from_u64(seed),
            platform: FakePlatform::new(),
            servers: servers.collect(),
            owners: owners.collect(),
            events: BTreeMap::new(),
            next_event: 0,
            fencing: [0; 2],
            late_orders: (0.0, Duration::ZERO),
            lost_results: 0.0,
            late_orders_survive_restart: false,
            runs_policy: true,
            sent_orders: BTreeSet::new(),
            recorded_orders: BTreeSet::new(),
            history_read: 0,
            loads_delivered: 0,
        };
        let model = |n: u32| Model {
            version: "1".into(),
            memory_bytes: 25 + u64::from(n) * 10,
            accelerators: 1,
            max_replicas: DECLARED,
            adapter_slots: 2,
            max_batch: 4,
            load_time: LoadTime { memory: secs(1.0), disk: secs(2.0), remote: secs(4.0) },
            adapters: BTreeSet::new(),
        };
        let models = (0..3).map(|n| (format!("m{n}").into(), model(n))).collect();
        let catalogue = Arc::new(Catalogue { models, ..Default::default() });
        for owner in &mut sim.owners {
            owner.machine.set_catalogue(1, catalogue.clone());
            owner.machine.set_permit_models((0..3).map(|n| format!("m{n}").into()).collect());
        }
        sim.push(start, Event::Poll);
        sim.gain(0);
        sim.gain(2);
        sim
    }

    /// Creates a simulation in which only the test makes decisions.
    pub(crate) fn idle(seed: u64) -> Self {
        let mut sim = Self::new(seed);
        sim.runs_policy = false;
        sim.run_until(1.0);
        sim
    }

    /// Moves allowance from the pool to the group.
    pub(crate) fn allot(&mut self, owner: usize, model: &str, count: u32) {
        self.request(owner, model, count);
        self.run_for(3.0);
        let view = self.owners[owner].machine.view(self.now);
        assert_eq!(view.allowance_left.get(model), Some(&count));
    }

    pub(crate) fn run_for(&mut self, seconds: f64) {
        self.run_until((self.now - self.start).as_secs_f64() + seconds);
    }

    /// Lets the other instance of a group take over if the owner cannot continue.
    pub(crate) fn replace_failed_owners(&mut self) {
        for group in 0..2 {
            let owner = self.owner_of(group);
            let o = &self.owners[owner];
            if o.is_dead || o.is_cut_off || o.is_released || o.paused_until > self.now {
                self.take_over(owner);
            }
        }
    }

    pub(crate) fn has_working_instance(&self, group: usize) -> bool {
        self.owners.iter().any(|o| o.group == group && !o.is_dead && !o.is_cut_off)
    }

    pub(crate) fn end_faults(&mut self) {
        self.platform.faults.latency_ms = 2..8;
        self.platform.faults.answer_loss = 0.0;
        self.late_orders = (0.0, Duration::ZERO);
        self.lost_results = 0.0;
        for server in &mut self.servers {
            server.loads_fail = false;
            server.load_time = secs(2.0);
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + (self.now - self.start)
    }

    fn is_awake(&self, owner: usize) -> bool {
        !self.owners[owner].is_dead && self.owners[owner].paused_until <= self.now
    }

    fn lease_end(&self, owner: usize) -> Instant {
        self.owners[owner].renewed_at + LEASE
    }

    /// Gives the group to the instance. The caller ensures that the other instance's lease has
    /// ended.
    pub(crate) fn gain(&mut self, owner: usize) {
        let group = self.owners[owner].group;
        self.fencing[group] += 1;
        for other in 0..self.owners.len() {
            if other != owner && self.owners[other].group == group {
                self.owners[other].owns_group = false;
            }
        }
        let (now, until) = (self.now, self.now + LEASE);
        let o = &mut self.owners[owner];
        (o.owns_group, o.renewed_at, o.is_released) = (true, now, false);
        let fencing = self.fencing[group];
        let actions = self.owners[owner].machine.on_gained(now, fencing, until, &mut self.rng);
        self.run_actions(owner, actions);
    }

    /// Lets the other instance of the group take over if the lease has ended; returns whether it
    /// did.
    pub(crate) fn take_over(&mut self, owner: usize) -> bool {
        let successor = owner ^ 1;
        let ended = self.now >= self.lease_end(owner) + secs(1.0) || self.owners[owner].is_released;
        let can_gain = ended && !self.owners[successor].is_cut_off;
        if self.owners[owner].owns_group
            && can_gain
            && self.is_awake(successor)
            && !self.is_platform_down()
        {
            self.gain(successor);
            return true;
        }
        false
    }

    pub(crate) fn kill(&mut self, owner: usize) {
        self.owners[owner].is_dead = true;
    }

    pub(crate) fn pause(&mut self, owner: usize, time: Duration) {
        self.owners[owner].paused_until = self.now + time;
    }

    /// Cuts an instance off from the platform permanently, but not from its servers.
    pub(crate) fn cut_off(&mut self, owner: usize) {
        self.owners[owner].is_cut_off = true;
        self.platform.faults.partitions.push((owner, self.now..self.now + secs(1e6)));
    }

    pub(crate) fn release(&mut self, owner: usize) {
        let actions = self.owners[owner].machine.release(self.now, &mut self.rng);
        self.run_actions(owner, actions);
    }

    fn is_platform_down(&self) -> bool {
        self.platform.faults.outages.iter().any(|when| when.contains(&self.now))
    }

    pub(crate) fn owner_of(&self, group: usize) -> usize {
        (0..4)
            .find(|n| self.owners[*n].group == group && self.owners[*n].owns_group)
            .expect("an owner")
    }

    pub(crate) fn decide(&mut self, owner: usize, decision: Decision) -> bool {
        let (now, wall) = (self.now, self.wall());
        match self.owners[owner].machine.decide(now, wall, decision, &mut self.rng) {
            Ok(actions) => {
                self.run_actions(owner, actions);
                true
            }
            Err(_) => false,
        }
    }

    pub(crate) fn load(&mut self, owner: usize, server: &str, model: &str) -> bool {
        let source = LoadSource::Remote;
        self.decide(owner, Decision::Load { server: server.into(), model: model.into(), source })
    }

    pub(crate) fn request(&mut self, owner: usize, model: &str, count: u32) {
        let now = self.now;
        let actions =
            self.owners[owner].machine.request_allowance(now, model, count, &mut self.rng);
        self.run_actions(owner, actions);
    }

    fn run_actions(&mut self, owner: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call { call, request } => {
                    self.platform.submit(self.now, owner, call, request, &mut self.rng);
                }
                Action::SendOrder { server, order, .. } => self.send(owner, &server, order),
                Action::ReadReport { server, .. } => {
                    if let Some(server) = self.servers.iter().position(|s| s.name == server) {
                        self.request_report(owner, server);
                    }
                }
                Action::RaiseFencing if self.owners[owner].owns_group => self.gain(owner),
                Action::Released => self.owners[owner].is_released = true,
                Action::RaiseFencing | Action::Superseded | Action::Publish => {}
            }
        }
    }

    fn send(&mut self, owner: usize, server: &str, order: Order) {
        let group = self.owners[owner].group;
        let Some(index) = self.servers.iter().position(|s| *s.name == *server) else { return };
        assert!(self.sent_orders.insert((group, order.order)), "order {} sent twice", order.order);
        self.read_history();
        let is_recorded_kind = must_be_recorded(&order.kind);
        let has_lapsed = self.now >= self.lease_end(owner);
        let is_fenced_unload = has_lapsed && matches!(order.kind, OrderKind::Unload { .. });
        if is_recorded_kind && !(is_fenced_unload && self.servers[index].checks_fencing) {
            let is_recorded = self.recorded_orders.contains(&(group, order.order));
            assert!(is_recorded, "order {order:?} was sent before it was recorded");
        }
        if let OrderKind::Unload { replica } = order.kind
            && let Some(phase) = self.published_phase(owner, replica)
        {
            assert_eq!(phase, ReplicaPhase::Unloading, "published while its unload is sent");
        }
        // Orders that reserve nothing are not recorded, so a successor cannot count them as
        // outstanding.
        let is_same_target = |event: &Event| match event {
            Event::Deliver { server, order, incarnation, .. } => {
                *server == index
                    && *incarnation == self.servers[index].incarnation
                    && must_be_recorded(&order.kind)
            }
            _ => false,
        };
        let has_undelivered_order = is_recorded_kind && self.events.values().any(is_same_target);
        let checks = self.servers[index].checks_fencing;
        assert!(checks || !has_undelivered_order, "two outstanding orders at {server}");
        let incarnation = self.servers[index].incarnation;
        let is_late = self.late_orders.0 > 0.0 && self.rng.random_bool(self.late_orders.0);
        let max_delay = if is_late { self.late_orders.1 } else { secs(0.01) };
        let at = self.now + max_delay.mul_f64(self.rng.random_range(0.1..1.0));
        if at - self.now > secs(2.0) {
            let result = OrderResult::Lost;
            let lost = Event::Result { owner, server: index, order: order.order, result };
            self.push(self.now + secs(2.0), lost);
        }
        self.push(at, Event::Deliver { owner, server: index, order, incarnation });
    }

    /// Collects the order numbers that any written decision object has recorded or covered by a
    /// permit.
    fn read_history(&mut self) {
        for (_, key, value) in &self.platform.history[self.history_read..] {
            if key.kind != "decision" {
                continue;
            }
            let object: DecisionObject = decode(value).expect("a decision object");
            let group = usize::from(&*key.name != "g0");
            for server in object.servers.values() {
                self.recorded_orders.extend(server.orders.keys().map(|id| (group, *id)));
                if let Some(permit) = &server.permit {
                    let loads = u64::from(permit.loads);
                    assert!(server.checks_fencing || loads == 1);
                    assert!(server.checks_fencing || server.orders.is_empty());
                    self.recorded_orders
                        .extend((0..loads).map(|n| (group, permit.first_order + n)));
                }
            }
        }
        self.history_read = self.platform.history.len();
    }

    fn request_report(&mut self, owner: usize, server: usize) {
        let delay = secs(self.rng.random_range(0.001..0.01));
        self.push(self.now + delay, Event::Snapshot { owner, server, requested: self.now });
    }

    fn poll(&mut self) {
        for owner in 0..self.owners.len() {
            let group = self.owners[owner].group;
            if !self.is_awake(owner) {
                continue;
            }
            let o = &mut self.owners[owner];
            let is_unavailable =
                o.is_cut_off || self.platform.faults.outages.iter().any(|w| w.contains(&self.now));
            if o.owns_group && !is_unavailable {
                if self.now >= o.renewed_at + LEASE {
                    // Like the `ownership` crate, claims the group again after the lease lapsed.
                    self.gain(owner);
                } else if !o.is_released {
                    o.renewed_at = self.now;
                    o.machine.set_lease(self.now + LEASE);
                }
            }
            for server in 0..self.servers.len() {
                if self.servers[server].group == group {
                    self.request_report(owner, server);
                }
            }
            let listed = self.servers.iter().filter(|s| s.alive).map(|s| ListedInstance {
                name: s.name.clone(),
                role: ListedRole::Engine,
                data_centre: "dc".into(),
                group: format!("g{}", s.group).into(),
                address: "127.0.0.1:1".into(),
                state: ListedState::Live,
                checks_fencing: s.checks_fencing,
            });
            let listed: Vec<_> = listed.collect();
            let (now, wall) = (self.now, self.wall());
            let machine = &mut self.owners[owner].machine;
            let actions = machine.on_server_list(now, wall, &listed, &mut self.rng);
            self.run_actions(owner, actions);
            if self.runs_policy {
                self.run_random_policy(owner);
            }
        }
    }

    /// Makes one random decision.
    fn run_random_policy(&mut self, owner: usize) {
        let group = self.owners[owner].group;
        let model: ModelId = format!("m{}", self.rng.random_range(0..3)).into();
        let names = ["checks", "also", "ignores"];
        let server = format!("{}{group}", names[self.rng.random_range(0..3)]);
        let view = self.owners[owner].machine.view(self.now);
        let replicas = view.servers.values().flat_map(|s| s.replicas.keys().copied());
        let replicas: Vec<ReplicaId> = replicas.collect();
        let replica =
            (!replicas.is_empty()).then(|| replicas[self.rng.random_range(0..replicas.len())]);
        let now = self.now;
        match (self.rng.random_range(0..10), replica) {
            (0..4, _) => {
                if !self.load(owner, &server, &model) {
                    self.request(owner, &model, 1);
                }
            }
            (4..6, Some(replica)) => {
                self.decide(owner, Decision::Unload { replica });
            }
            (6..8, Some(replica)) => {
                let adapter: AdapterId = format!("a{}", self.rng.random_range(0..3)).into();
                self.decide(owner, Decision::LoadAdapter { replica, adapter, evict: None });
            }
            (8, _) => {
                let role = ServerRole::Prefill;
                self.decide(owner, Decision::SetRole { server: server.into(), role });
            }
            _ => {
                let machine = &mut self.owners[owner].machine;
                let actions = machine.return_allowance(now, &model, 1, &mut self.rng);
                self.run_actions(owner, actions);
            }
        }
    }

    pub(crate) fn run_until(&mut self, seconds: f64) {
        let end = self.start + secs(seconds);
        while self.now < end {
            let timers =
                (0..self.owners.len()).filter(|n| !self.owners[*n].is_dead).filter_map(|n| {
                    let at = self.owners[n].machine.next_timer()?;
                    Some(at.max(self.owners[n].paused_until))
                });
            let events = self.events.keys().next().map(|(at, _)| *at);
            let next =
                timers.chain(events).chain(self.platform.next_event_at()).min().unwrap_or(end);
            self.now = next.max(self.now).min(end);
            for (owner, call, answer) in self.platform.step(self.now) {
                self.push(self.now, Event::Answer { owner, call, answer });
            }
            while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
                let event = entry.remove();
                self.handle(event);
            }
            for owner in 0..self.owners.len() {
                let due = self.owners[owner].machine.next_timer().is_some_and(|at| at <= self.now);
                if due && self.is_awake(owner) {
                    let actions = self.owners[owner].machine.on_timer(self.now, &mut self.rng);
                    self.run_actions(owner, actions);
                }
            }
            self.check_invariants();
        }
    }

    fn handle(&mut self, event: Event) {
        let (now, wall) = (self.now, self.wall());
        match event {
            Event::Poll => {
                self.push(now + secs(0.25), Event::Poll);
                self.poll();
            }
            Event::Deliver { owner, server, order, incarnation } => {
                let target = &mut self.servers[server];
                let is_reachable =
                    target.incarnation == incarnation || self.late_orders_survive_restart;
                let result = match target.alive && is_reachable {
                    true => target.deliver(now, &order),
                    false => OrderResult::Lost,
                };
                let is_load = matches!(order.kind, OrderKind::Load { .. });
                self.loads_delivered += usize::from(is_load && result == OrderResult::Accepted);
                let is_lost = self.lost_results > 0.0 && self.rng.random_bool(self.lost_results);
                let result = if is_lost { OrderResult::Lost } else { result };
                self.push(
                    now + secs(0.002),
                    Event::Result { owner, server, order: order.order, result },
                );
            }
            Event::Snapshot { owner, server, requested } if self.servers[server].alive => {
                let report = Box::new(self.servers[server].report(now));
                self.push(now + secs(0.003), Event::Report { owner, requested, report });
            }
            Event::Snapshot { .. } => {}
            Event::Result { owner, .. }
            | Event::Report { owner, .. }
            | Event::Answer { owner, .. }
                if !self.is_awake(owner) =>
            {
                if !self.owners[owner].is_dead {
                    self.push(self.owners[owner].paused_until, event);
                }
            }
            Event::Result { owner, server, order, result } => {
                let name = self.servers[server].name.clone();
                let machine = &mut self.owners[owner].machine;
                let actions = machine.on_order_result(now, &name, order, result, &mut self.rng);
                self.run_actions(owner, actions);
            }
            Event::Report { owner, requested, report } => {
                let machine = &mut self.owners[owner].machine;
                let actions = machine.on_report(now, wall, requested, &report, &mut self.rng);
                self.run_actions(owner, actions);
            }
            Event::Answer { owner, call, answer } => {
                let machine = &mut self.owners[owner].machine;
                let actions = machine.on_answer(now, call, answer, &mut self.rng);
                self.run_actions(owner, actions);
            }
        }
    }

    /// The phase in which an owner publishes a replica.
    pub(crate) fn published_phase(&mut self, owner: usize, id: ReplicaId) -> Option<ReplicaPhase> {
        let state = self.owners[owner].machine.state_to_publish(self.now)?;
        let mut replicas = state.servers.iter().flat_map(|server| &server.replicas);
        replicas.find(|replica| replica.replica == id).map(|replica| replica.phase)
    }

    /// Number of replicas of a model on all servers, as the servers count them.
    pub(crate) fn loaded(&self, model: &str) -> usize {
        let servers = self.servers.iter().filter(|server| server.alive);
        servers.flat_map(|s| s.loaded.values()).filter(|loaded| &*loaded.model == model).count()
    }

    fn check_invariants(&mut self) {
        for server in &mut self.servers {
            server.advance(self.now);
        }
        for model in ["m0", "m1", "m2"] {
            let loaded = self.loaded(model);
            assert!(loaded <= DECLARED as usize, "{loaded} replicas of {model}");
        }
    }

    /// Sum of the allowances for a model in all objects, counting each transfer once.
    pub(crate) fn allowances(&self, model: &str) -> i64 {
        let mut sum = 0;
        let mut transfers = BTreeMap::new();
        let mut received = BTreeSet::new();
        for (key, (_, value)) in &self.platform.objects {
            if key.kind == "pool" && &*key.name == model {
                let pool: PoolObject = decode(value).expect("a pool");
                sum += pool.free;
                transfers.extend(pool.transfers.iter().map(|t| (t.nonce, i64::from(t.count))));
                received.extend(pool.receipts.iter().map(|receipt| receipt.nonce));
            } else if key.kind == "decision" {
                let object: DecisionObject = decode(value).expect("a decision object");
                sum += object.allowances.get(model).copied().map_or(0, i64::from);
                let own = object.transfers.iter().filter(|t| &*t.model == model);
                transfers.extend(own.map(|t| (t.nonce, i64::from(t.count))));
                received.extend(object.receipts.iter().map(|receipt| receipt.nonce));
            }
        }
        transfers.retain(|nonce, _| !received.contains(nonce));
        sum + transfers.values().sum::<i64>()
    }
}
