//! Loads adapters into the pools of ready replicas.

use types::prelude::*;

use crate::event::{AdapterLoadEnded, Decision};
use crate::placement::Placement;
use crate::view::{ReplicaView, ServerView, View};

/// Adapter loads that wait for a place at the store; further demand is repeated by its instance.
const QUEUE_LIMIT: usize = 1024;

#[derive(Clone, Debug)]
struct Wanted {
    model: ModelId,
    adapter: AdapterId,
    deadline: Instant,
}

#[derive(Clone, Debug)]
struct Flying {
    replica: ReplicaId,
    adapter: AdapterId,
    evict: Option<AdapterId>,
}

/// Adapter loads that wait and that are in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdapterQueue {
    wanted: VecDeque<Wanted>,
    flying: Vec<Flying>,
}

impl AdapterQueue {
    /// Notes demand for an adapter; repeats have no effect.
    pub(crate) fn want(&mut self, model: &ModelId, adapter: &AdapterId, deadline: Instant) {
        let known = self.wanted.iter_mut().find(|w| w.adapter == *adapter && w.model == *model);
        if let Some(w) = known {
            w.deadline = w.deadline.max(deadline);
        } else if self.wanted.len() < QUEUE_LIMIT {
            let (model, adapter) = (model.clone(), adapter.clone());
            self.wanted.push_back(Wanted { model, adapter, deadline });
        }
    }

    pub(crate) fn ended(&mut self, e: &AdapterLoadEnded) {
        self.flying.retain(|f| !(f.replica == e.replica && f.adapter == e.adapter));
    }

    pub(crate) fn rejected(&mut self, decision: &Decision) {
        if let Decision::LoadAdapter { replica, adapter, .. } = decision {
            self.flying.retain(|f| !(f.replica == *replica && f.adapter == *adapter));
        }
    }

    /// Drops loads whose adapter is in the pool and loads of replicas that are gone. There is no
    /// time limit: a load that ends late still takes its place in the pool.
    fn drop_shown(&mut self, view: &View) {
        if self.flying.is_empty() {
            return;
        }
        let pools: HashMap<ReplicaId, &ReplicaView> =
            view.servers.iter().flat_map(|s| &s.replicas).map(|r| (r.replica, r)).collect();
        self.flying.retain(|f| pools.get(&f.replica).is_some_and(|r| !r.has_adapter(&f.adapter)));
    }

    /// Adapters on their way into a pool that the view does not show there yet.
    fn on_the_way(&self, r: &ReplicaView) -> usize {
        self.flying_to(r).filter(|f| !r.has_adapter(&f.adapter)).count()
    }

    fn flying_to(&self, r: &ReplicaView) -> impl Iterator<Item = &Flying> {
        self.flying.iter().filter(move |f| f.replica == r.replica)
    }
}

/// What becomes of a wanted adapter.
enum Step {
    Done,
    Wait,
    Load { server: BackendServerId, replica: ReplicaId, evict: Option<AdapterId> },
}

impl Placement {
    /// Starts wanted adapter loads while the store takes more of them.
    pub(crate) fn start_adapters(&mut self, view: &View, now: Instant, out: &mut Vec<Decision>) {
        self.adapters.drop_shown(view);
        let mut wanted = std::mem::take(&mut self.adapters.wanted);
        wanted.retain(|w| w.deadline > now && self.adapter_waits(w, view, out));
        self.adapters.wanted = wanted;
    }

    /// Starts one adapter load if possible; returns whether it has to wait.
    fn adapter_waits(&mut self, w: &Wanted, view: &View, out: &mut Vec<Decision>) -> bool {
        let own = view.store.adapters_in_flight.max(self.adapters.flying.len() as u32);
        // One adapter may always be on its way, so that busy groups do not shut this one out.
        if own > 0 && own + view.store.others.adapters >= self.settings.store_concurrent_adapters {
            return true;
        }
        match self.adapter_step(w, view) {
            Step::Done => false,
            Step::Wait => true,
            Step::Load { server, replica, evict } => {
                let adapter = w.adapter.clone();
                let flying = Flying { replica, adapter: adapter.clone(), evict: evict.clone() };
                self.adapters.flying.push(flying);
                out.push(Decision::LoadAdapter { server, replica, adapter, evict });
                false
            }
        }
    }

    fn adapter_step(&self, w: &Wanted, view: &View) -> Step {
        let slots = self.catalogue.models.get(&w.model).map_or(0, |m| m.adapter_slots) as usize;
        if slots == 0 {
            return Step::Done;
        }
        let ready = |(s, r): &(&ServerView, &ReplicaView)| {
            r.phase == ReplicaPhase::Ready
                && s.is_usable()
                && !self.outstanding.unloads(&s.server, r.replica)
        };
        let mut best: Option<(u32, Step)> = None;
        for (s, r) in view.replicas_of(&w.model).filter(ready) {
            if r.has_adapter(&w.adapter)
                || self.adapters.flying_to(r).any(|f| f.adapter == w.adapter)
            {
                return Step::Done;
            }
            let Some(evict) = self.place_in_pool(r, slots) else { continue };
            let load = r.running + r.queued;
            if best.as_ref().is_none_or(|(l, _)| load < *l) {
                let step = Step::Load { server: s.server.clone(), replica: r.replica, evict };
                best = Some((load, step));
            }
        }
        best.map_or(Step::Wait, |(_, step)| step)
    }

    /// The adapter to drop so that one more fits: `Some(None)` if there is room, `None` if all
    /// adapters in the pool are in use.
    fn place_in_pool(&self, r: &ReplicaView, slots: usize) -> Option<Option<AdapterId>> {
        let evicted = |a: &str| self.adapters.flying_to(r).any(|f| f.evict.as_deref() == Some(a));
        let leaving = r.adapters.iter().filter(|a| evicted(&a.adapter)).count();
        if r.adapters.len() - leaving + self.adapters.on_the_way(r) < slots {
            return Some(None);
        }
        let victim = r.adapters.iter().find(|a| a.running == 0 && !evicted(&a.adapter))?;
        Some(Some(victim.adapter.clone()))
    }
}
