//! Fake backend server that keeps its own count of memory and replicas.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use group::OrderResult;
use types::prelude::*;

const MEMORY_BYTES: u64 = 100;

pub(crate) struct Loaded {
    pub(crate) model: ModelId,
    memory_bytes: u64,
    order: OrderId,
    ready_at: Instant,
    will_fail: bool,
    unloaded_at: Option<(Instant, OrderId)>,
    adapters: Vec<AdapterId>,
    adapter_fencing: u64,
}

pub(crate) struct FakeServer {
    pub(crate) name: BackendServerId,
    pub(crate) group: usize,
    pub(crate) checks_fencing: bool,
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) highest_fencing: u64,
    pub(crate) loaded: BTreeMap<ReplicaId, Loaded>,
    outcomes: VecDeque<OrderOutcome>,
    pub(crate) load_time: Duration,
    pub(crate) loads_fail: bool,
    pub(crate) refuses_role_changes: bool,
    pub(crate) role_changes: usize,
    role: ServerRole,
    /// Whether the owner always learns the result of an order before the order times out.
    pub(crate) results_arrive_in_time: bool,
}

impl FakeServer {
    pub(crate) fn new(name: &str, group: usize, checks_fencing: bool) -> Self {
        Self {
            name: name.into(),
            group,
            checks_fencing,
            incarnation: 1,
            alive: true,
            highest_fencing: 0,
            loaded: BTreeMap::new(),
            outcomes: VecDeque::new(),
            load_time: Duration::from_secs(2),
            loads_fail: false,
            refuses_role_changes: false,
            role_changes: 0,
            role: ServerRole::Mixed,
            results_arrive_in_time: true,
        }
    }

    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.highest_fencing = 0;
        self.loaded.clear();
        self.outcomes.clear();
        self.role = ServerRole::Mixed;
    }

    fn record_outcome(&mut self, order: OrderId, succeeded: bool) {
        self.outcomes.push_back(OrderOutcome { order, succeeded });
        if self.outcomes.len() > 4 {
            self.outcomes.pop_front();
        }
    }

    /// Carries out every load, so that overcommitment by the owner is detected.
    pub(crate) fn deliver(&mut self, now: Instant, order: &Order) -> OrderResult {
        self.advance(now);
        if self.checks_fencing && order.fencing < self.highest_fencing {
            return OrderResult::StaleFencing;
        }
        if self.checks_fencing {
            self.highest_fencing = order.fencing;
        }
        match &order.kind {
            OrderKind::Load { replica, model, memory_bytes, .. } => {
                let loaded = Loaded {
                    model: model.clone(),
                    memory_bytes: *memory_bytes,
                    order: order.order,
                    ready_at: now + self.load_time,
                    will_fail: self.loads_fail,
                    unloaded_at: None,
                    adapters: Vec::new(),
                    adapter_fencing: 0,
                };
                assert!(self.loaded.insert(*replica, loaded).is_none(), "replica loaded twice");
                assert!(
                    self.memory_used() <= MEMORY_BYTES,
                    "{}: {} of {MEMORY_BYTES} used",
                    self.name,
                    self.memory_used()
                );
            }
            OrderKind::Unload { replica } => match self.loaded.get_mut(replica) {
                Some(loaded) => {
                    loaded.unloaded_at = Some((now + Duration::from_secs(1), order.order))
                }
                None => return OrderResult::Refused,
            },
            OrderKind::LoadAdapter { replica, adapter, evict } => {
                let Some(loaded) = self.loaded.get_mut(replica) else {
                    return OrderResult::Refused;
                };
                loaded.adapters.retain(|a| Some(a) != evict.as_ref() && a != adapter);
                if loaded.adapters.len() == 2 {
                    // The owner cannot know of adapters that a late order or an earlier owner
                    // loaded, because adapter orders are not recorded.
                    let is_known =
                        self.results_arrive_in_time && loaded.adapter_fencing == order.fencing;
                    assert!(!is_known, "adapter pool overfilled");
                    return OrderResult::Refused;
                }
                loaded.adapters.push(adapter.clone());
                loaded.adapter_fencing = order.fencing;
                self.record_outcome(order.order, true);
            }
            OrderKind::SetRole { .. } if self.refuses_role_changes => return OrderResult::Refused,
            OrderKind::SetRole { role } => {
                self.role_changes += 1;
                self.role = *role;
                self.record_outcome(order.order, true);
            }
            OrderKind::Seal | OrderKind::Prefetch { .. } => self.record_outcome(order.order, true),
        }
        OrderResult::Accepted
    }

    pub(crate) fn advance(&mut self, now: Instant) {
        let mut ended = Vec::new();
        self.loaded.retain(|_, loaded| {
            let failed = loaded.will_fail && loaded.ready_at <= now;
            let gone = loaded.unloaded_at.filter(|(at, _)| *at <= now);
            if failed {
                ended.push((loaded.order, false));
            }
            ended.extend(gone.map(|(_, order)| (order, true)));
            !failed && gone.is_none()
        });
        ended.into_iter().for_each(|(order, succeeded)| self.record_outcome(order, succeeded));
    }

    fn memory_used(&self) -> u64 {
        self.loaded.values().map(|loaded| loaded.memory_bytes).sum()
    }

    pub(crate) fn report(&mut self, now: Instant) -> ServerReport {
        self.advance(now);
        let phase = |loaded: &Loaded| match loaded {
            Loaded { unloaded_at: Some(_), .. } => ReplicaPhase::Unloading,
            Loaded { ready_at, .. } if *ready_at <= now => ReplicaPhase::Ready,
            _ => ReplicaPhase::Loading,
        };
        let replicas = self.loaded.iter().map(|(id, loaded)| ReplicaReport {
            replica: *id,
            model: loaded.model.clone(),
            version: "1".into(),
            phase: phase(loaded),
            memory_bytes: loaded.memory_bytes,
            adapters: loaded.adapters.clone(),
            running: 0,
            queued: 0,
        });
        ServerReport {
            server: self.name.clone(),
            incarnation: self.incarnation,
            checks_fencing: self.checks_fencing,
            highest_fencing: self.highest_fencing,
            memory_total: MEMORY_BYTES,
            memory_used: self.memory_used(),
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
