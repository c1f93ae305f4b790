//! Loads adapters into the pools of ready replicas.

use types::prelude::*;

use crate::event::{AdapterLoadEnded, Decision};
use crate::placement::Placement;
use crate::view::{ReplicaView, ServerView, View};

/// Limit on adapter loads that wait for a store slot. Demand beyond it is dropped; its instance
/// sends it again.
const MAX_PENDING_LOADS: usize = 1024;

#[derive(Clone, Debug)]
struct PendingLoad {
    model: ModelId,
    adapter: AdapterId,
    deadline: Instant,
}

#[derive(Clone, Debug)]
struct InFlightLoad {
    replica: ReplicaId,
    adapter: AdapterId,
    evict: Option<AdapterId>,
}

/// Adapter loads that wait for a store slot, and those in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdapterQueue {
    pending: VecDeque<PendingLoad>,
    in_flight: Vec<InFlightLoad>,
}

impl AdapterQueue {
    /// Queues the load of an adapter. Repeated demand only extends the deadline.
    pub(crate) fn request(&mut self, model: &ModelId, adapter: &AdapterId, deadline: Instant) {
        let queued = self.pending.iter_mut().find(|p| p.adapter == *adapter && p.model == *model);
        if let Some(p) = queued {
            p.deadline = p.deadline.max(deadline);
        } else if self.pending.len() < MAX_PENDING_LOADS {
            let (model, adapter) = (model.clone(), adapter.clone());
            self.pending.push_back(PendingLoad { model, adapter, deadline });
        }
    }

    pub(crate) fn ended(&mut self, e: &AdapterLoadEnded) {
        self.in_flight.retain(|f| !(f.replica == e.replica && f.adapter == e.adapter));
    }

    pub(crate) fn rejected(&mut self, decision: &Decision) {
        if let Decision::LoadAdapter { replica, adapter, .. } = decision {
            self.in_flight.retain(|f| !(f.replica == *replica && f.adapter == *adapter));
        }
    }

    /// Removes loads whose adapter is in the pool and loads into replicas that are gone. Loads do
    /// not time out: one that ends late still takes its slot in the pool.
    fn prune_in_flight(&mut self, view: &View) {
        if self.in_flight.is_empty() {
            return;
        }
        let pools: HashMap<ReplicaId, &ReplicaView> =
            view.servers.iter().flat_map(|s| &s.replicas).map(|r| (r.replica, r)).collect();
        self.in_flight
            .retain(|f| pools.get(&f.replica).is_some_and(|r| !r.has_adapter(&f.adapter)));
    }

    /// Number of adapters in flight to a replica that the view does not show in its pool yet.
    fn unconfirmed_in_flight(&self, r: &ReplicaView) -> usize {
        self.in_flight_to(r).filter(|f| !r.has_adapter(&f.adapter)).count()
    }

    fn in_flight_to(&self, r: &ReplicaView) -> impl Iterator<Item = &InFlightLoad> {
        self.in_flight.iter().filter(move |f| f.replica == r.replica)
    }
}

/// What to do with a pending adapter load.
enum AdapterAction {
    Done,
    Wait,
    Load { server: BackendServerId, replica: ReplicaId, evict: Option<AdapterId> },
}

impl Placement {
    /// Starts pending adapter loads, up to the concurrency limit of the store.
    pub(crate) fn start_adapters(&mut self, view: &View, now: Instant, out: &mut Vec<Decision>) {
        self.adapters.prune_in_flight(view);
        let mut pending = std::mem::take(&mut self.adapters.pending);
        pending.retain(|p| p.deadline > now && self.start_or_wait(p, view, out));
        self.adapters.pending = pending;
    }

    /// Starts one adapter load if possible; returns whether it stays pending.
    fn start_or_wait(&mut self, p: &PendingLoad, view: &View, out: &mut Vec<Decision>) -> bool {
        let own = view.store.adapters_in_flight.max(self.adapters.in_flight.len() as u32);
        // One load may always be in flight, so that busy groups do not starve this one.
        if own > 0 && own + view.store.others.adapters >= self.settings.store_concurrent_adapters {
            return true;
        }
        match self.adapter_action(p, view) {
            AdapterAction::Done => false,
            AdapterAction::Wait => true,
            AdapterAction::Load { server, replica, evict } => {
                let adapter = p.adapter.clone();
                let load = InFlightLoad { replica, adapter: adapter.clone(), evict: evict.clone() };
                self.adapters.in_flight.push(load);
                out.push(Decision::LoadAdapter { server, replica, adapter, evict });
                false
            }
        }
    }

    fn adapter_action(&self, p: &PendingLoad, view: &View) -> AdapterAction {
        let slots = self.catalogue.models.get(&p.model).map_or(0, |m| m.adapter_slots) as usize;
        if slots == 0 {
            return AdapterAction::Done;
        }
        let ready = |(s, r): &(&ServerView, &ReplicaView)| {
            r.phase == ReplicaPhase::Ready
                && s.is_usable()
                && !self.outstanding.is_unloading(&s.server, r.replica)
        };
        let mut best: Option<(u32, AdapterAction)> = None;
        for (s, r) in view.replicas_of(&p.model).filter(ready) {
            if r.has_adapter(&p.adapter)
                || self.adapters.in_flight_to(r).any(|f| f.adapter == p.adapter)
            {
                return AdapterAction::Done;
            }
            let Some(evict) = self.pool_slot(r, slots) else { continue };
            let requests = r.running + r.queued;
            if best.as_ref().is_none_or(|(n, _)| requests < *n) {
                let action =
                    AdapterAction::Load { server: s.server.clone(), replica: r.replica, evict };
                best = Some((requests, action));
            }
        }
        best.map_or(AdapterAction::Wait, |(_, action)| action)
    }

    /// The adapter to evict so that one more fits: `Some(None)` if a slot is free, `None` if every
    /// adapter in the pool is in use.
    fn pool_slot(&self, r: &ReplicaView, slots: usize) -> Option<Option<AdapterId>> {
        let is_being_evicted =
            |a: &str| self.adapters.in_flight_to(r).any(|f| f.evict.as_deref() == Some(a));
        let being_evicted = r.adapters.iter().filter(|a| is_being_evicted(&a.adapter)).count();
        if r.adapters.len() - being_evicted + self.adapters.unconfirmed_in_flight(r) < slots {
            return Some(None);
        }
        let victim = r.adapters.iter().find(|a| a.running == 0 && !is_being_evicted(&a.adapter))?;
        Some(Some(victim.adapter.clone()))
    }
}
