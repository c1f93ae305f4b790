//! Fake backend server with its own counters.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use group::OrderResult;
use types::prelude::*;

const MEMORY: u64 = 100;

pub(crate) struct Loaded {
    pub(crate) model: ModelId,
    memory: u64,
    order: OrderId,
    ready_at: Instant,
    fails: bool,
    gone_at: Option<(Instant, OrderId)>,
    adapters: Vec<AdapterId>,
    adapter_fencing: u64,
}

pub(crate) struct FakeServer {
    pub(crate) name: BackendServerId,
    pub(crate) group: usize,
    pub(crate) checks: bool,
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) highest: u64,
    pub(crate) loaded: BTreeMap<ReplicaId, Loaded>,
    outcomes: VecDeque<OrderOutcome>,
    pub(crate) load_time: Duration,
    pub(crate) loads_fail: bool,
    pub(crate) refuses_roles: bool,
    pub(crate) roles_set: usize,
    role: ServerRole,
    /// Whether the owner learns the result of each order before it can give up on it.
    pub(crate) knows_all: bool,
}

impl FakeServer {
    pub(crate) fn new(name: &str, group: usize, checks: bool) -> Self {
        Self {
            name: name.into(),
            group,
            checks,
            incarnation: 1,
            alive: true,
            highest: 0,
            loaded: BTreeMap::new(),
            outcomes: VecDeque::new(),
            load_time: Duration::from_secs(2),
            loads_fail: false,
            refuses_roles: false,
            roles_set: 0,
            role: ServerRole::Mixed,
            knows_all: true,
        }
    }

    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.highest = 0;
        self.loaded.clear();
        self.outcomes.clear();
        self.role = ServerRole::Mixed;
    }

    fn outcome(&mut self, order: OrderId, succeeded: bool) {
        self.outcomes.push_back(OrderOutcome { order, succeeded });
        if self.outcomes.len() > 4 {
            self.outcomes.pop_front();
        }
    }

    /// Loads whatever is asked for, so that overcommitment by the owner shows.
    pub(crate) fn deliver(&mut self, now: Instant, order: &Order) -> OrderResult {
        self.advance(now);
        if self.checks && order.fencing < self.highest {
            return OrderResult::StaleFencing;
        }
        if self.checks {
            self.highest = order.fencing;
        }
        match &order.kind {
            OrderKind::Load { replica, model, memory_bytes, .. } => {
                let loaded = Loaded {
                    model: model.clone(),
                    memory: *memory_bytes,
                    order: order.order,
                    ready_at: now + self.load_time,
                    fails: self.loads_fail,
                    gone_at: None,
                    adapters: Vec::new(),
                    adapter_fencing: 0,
                };
                assert!(self.loaded.insert(*replica, loaded).is_none(), "replica loaded twice");
                assert!(self.used() <= MEMORY, "{}: {} of {MEMORY} used", self.name, self.used());
            }
            OrderKind::Unload { replica } => match self.loaded.get_mut(replica) {
                Some(loaded) => loaded.gone_at = Some((now + Duration::from_secs(1), order.order)),
                None => return OrderResult::Refused,
            },
            OrderKind::LoadAdapter { replica, adapter, evict } => {
                let Some(loaded) = self.loaded.get_mut(replica) else {
                    return OrderResult::Refused;
                };
                loaded.adapters.retain(|a| Some(a) != evict.as_ref() && a != adapter);
                if loaded.adapters.len() == 2 {
                    // Late orders and those of an earlier owner are not recorded anywhere.
                    let known = self.knows_all && loaded.adapter_fencing == order.fencing;
                    assert!(!known, "adapter pool overfilled");
                    return OrderResult::Refused;
                }
                loaded.adapters.push(adapter.clone());
                loaded.adapter_fencing = order.fencing;
                self.outcome(order.order, true);
            }
            OrderKind::SetRole { .. } if self.refuses_roles => return OrderResult::Refused,
            OrderKind::SetRole { role } => {
                self.roles_set += 1;
                self.role = *role;
                self.outcome(order.order, true);
            }
            OrderKind::Seal | OrderKind::Prefetch { .. } => self.outcome(order.order, true),
        }
        OrderResult::Accepted
    }

    pub(crate) fn advance(&mut self, now: Instant) {
        let mut ended = Vec::new();
        self.loaded.retain(|_, loaded| {
            let failed = loaded.fails && loaded.ready_at <= now;
            let gone = loaded.gone_at.filter(|(at, _)| *at <= now);
            if failed {
                ended.push((loaded.order, false));
            }
            ended.extend(gone.map(|(_, order)| (order, true)));
            !failed && gone.is_none()
        });
        ended.into_iter().for_each(|(order, succeeded)| self.outcome(order, succeeded));
    }

    fn used(&self) -> u64 {
        self.loaded.values().map(|loaded| loaded.memory).sum()
    }

    pub(crate) fn report(&mut self, now: Instant) -> ServerReport {
        self.advance(now);
        let phase = |loaded: &Loaded| match loaded {
            Loaded { gone_at: Some(_), .. } => ReplicaPhase::Unloading,
            Loaded { ready_at, .. } if *ready_at <= now => ReplicaPhase::Ready,
            _ => ReplicaPhase::Loading,
        };
        let replicas = self.loaded.iter().map(|(id, loaded)| ReplicaReport {
            replica: *id,
            model: loaded.model.clone(),
            version: "1".into(),
            phase: phase(loaded),
            memory_bytes: loaded.memory,
            adapters: loaded.adapters.clone(),
            running: 0,
            queued: 0,
        });
        ServerReport {
            server: self.name.clone(),
            incarnation: self.incarnation,
            checks_fencing: self.checks,
            highest_fencing: self.highest,
            memory_total: MEMORY,
            memory_used: self.used(),
            role: self.role,
            leaving: false,
            replicas: replicas.collect(),
            outcomes: self.outcomes.iter().cloned().collect(),
            cached_in_memory: Vec::new(),
            cached_on_disk: Vec::new(),
            load_age_ms: 0,
        }
    }
}
