//! Baselines: load on demand in order of arrival, from the nearest copy, and keep replicas by a
//! fixed rule.

use placement::*;
use types::prelude::*;

use crate::site::Site;
use crate::world::Policy;

/// When an idle replica is unloaded, apart from making room for a load.
#[derive(Clone, Copy)]
pub(crate) enum Keep {
    /// After a fixed idle time.
    For(Duration),
    /// Never: only the least recently used one is, when room is needed.
    UntilNeeded,
}

pub(crate) struct Baseline<'a> {
    site: &'a Site,
    keep: Keep,
    /// Models with demand, first come first served, with the latest deadline.
    queue: Vec<(ModelId, Instant)>,
    /// Memory being freed for a model on a server.
    claims: HashMap<ModelId, usize>,
    starts: VecDeque<Instant>,
}

/// A replica that became ready is kept this long for the requests that wait for it.
const FRESH: Duration = Duration::from_millis(500);

impl<'a> Baseline<'a> {
    pub(crate) fn new(site: &'a Site, keep: Keep) -> Self {
        let (queue, claims, starts) = Default::default();
        Self { site, keep, queue, claims, starts }
    }

    fn store_open(&self, view: &View, now: Instant) -> bool {
        let d = &self.site.catalogue.deployment;
        let rate = d.store_loads_per_second as usize;
        let recent = self.starts.iter().filter(|&&s| s + Duration::from_secs(1) > now).count();
        view.store.loads_in_progress < d.store_concurrent_loads && recent < rate
    }

    /// Starts the load of one model or frees memory for it; returns whether it has to wait.
    fn try_start(
        &mut self,
        name: &ModelId,
        view: &mut Shadow<'_>,
        now: Instant,
        out: &mut Vec<Decision>,
    ) -> bool {
        let loaded = |r: &ReplicaView| r.model == *name && r.phase != ReplicaPhase::Unloading;
        if view.view.servers.iter().any(|s| s.replicas.iter().any(loaded)) {
            self.claims.remove(name);
            return false;
        }
        let need = self.site.catalogue.models[name].memory_bytes;
        let open = view.store_open && self.store_open(view.view, now);
        let claimed = self.claims.get(name).copied();
        let fits = |i: usize| view.free[i] >= need && claimed.is_none_or(|c| c == i);
        let usable =
            |i: usize| open || view.view.servers[i].nearest_source(name) != LoadSource::Remote;
        let n = view.view.servers.len();
        let nearest = |i: &usize| view.view.servers[*i].nearest_source(name);
        if let Some(i) = (0..n).filter(|&i| fits(i) && usable(i)).min_by_key(nearest) {
            let server = &view.view.servers[i];
            let source = server.nearest_source(name);
            if source == LoadSource::Remote {
                view.store_open = false;
                self.starts.retain(|&s| s + Duration::from_secs(1) > now);
                self.starts.push_back(now);
            }
            view.free[i] -= need;
            self.claims.remove(name);
            let (server, model) = (server.server.clone(), name.clone());
            out.push(Decision::Load { server, model, source });
            return false;
        }
        if claimed.is_none() {
            self.make_room(name, need, view, now, out);
        }
        true
    }

    /// Unloads the least recently used idle replicas of the server where the oldest one is.
    fn make_room(
        &mut self,
        name: &ModelId,
        need: u64,
        view: &mut Shadow<'_>,
        now: Instant,
        out: &mut Vec<Decision>,
    ) {
        let mut best: Option<(Instant, usize, Vec<ReplicaId>)> = None;
        for (i, s) in view.view.servers.iter().enumerate() {
            let mut idle: Vec<&ReplicaView> = s
                .replicas
                .iter()
                .filter(|r| r.is_idle() && now >= r.last_used + FRESH)
                .filter(|r| !view.unloading.contains(&r.replica))
                .collect();
            idle.sort_by_key(|r| r.last_used);
            let claimed = self.claims.values().any(|&c| c == i);
            let (mut free, mut victims) = (if claimed { 0 } else { view.free[i] }, Vec::new());
            for r in &idle {
                if free < need {
                    free += r.memory_bytes;
                    victims.push(r.replica);
                }
            }
            let oldest = idle.first().map(|r| r.last_used);
            if let (true, Some(t)) = (free >= need && !victims.is_empty(), oldest)
                && best.as_ref().is_none_or(|(b, ..)| t < *b)
            {
                best = Some((t, i, victims));
            }
        }
        if let Some((_, i, victims)) = best {
            self.claims.insert(name.clone(), i);
            for replica in victims {
                view.unloading.push(replica);
                let server = view.view.servers[i].server.clone();
                out.push(Decision::Unload { server, replica });
            }
        }
    }
}

/// The view with what this event has already decided.
struct Shadow<'a> {
    view: &'a View,
    free: Vec<u64>,
    unloading: Vec<ReplicaId>,
    store_open: bool,
}

impl Policy for Baseline<'_> {
    fn handle(&mut self, event: &Event, view: &View, now: Instant, out: &mut Vec<Decision>) {
        match event {
            Event::Demand(d) => {
                let ready =
                    view.replicas_of(&d.target.model).find(|(_, r)| r.phase == ReplicaPhase::Ready);
                if let (Some((s, r)), Some(a)) = (ready, &d.target.adapter) {
                    return self.load_adapter(s, r, a, out);
                }
                match self.queue.iter_mut().find(|(m, _)| *m == d.target.model) {
                    Some((_, deadline)) => *deadline = (*deadline).max(d.deadline),
                    None => self.queue.push((d.target.model.clone(), d.deadline)),
                }
            }
            Event::Tick | Event::ViewChanged => self.unload_idle(view, now, out),
            Event::Arrived(_) => return,
            _ => {}
        }
        let unloading = out
            .iter()
            .filter_map(|d| {
                if let Decision::Unload { replica, .. } = d { Some(*replica) } else { None }
            })
            .collect();
        let free = view.servers.iter().map(|s| s.memory_free).collect();
        let mut shadow = Shadow { view, free, unloading, store_open: true };
        // A demand changes nothing for the models that could not be started before.
        let only = match event {
            Event::Demand(d) => Some(&d.target.model),
            _ => None,
        };
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|(m, deadline)| {
            if only.is_some_and(|o| o != m) {
                return true;
            }
            let waits = *deadline > now && self.try_start(m, &mut shadow, now, out);
            if !waits {
                self.claims.remove(m);
            }
            waits
        });
        self.queue = queue;
    }
}

impl Baseline<'_> {
    fn unload_idle(&self, view: &View, now: Instant, out: &mut Vec<Decision>) {
        let Keep::For(keep) = self.keep else { return };
        for s in &view.servers {
            for r in
                s.replicas.iter().filter(|r| r.is_idle() && now >= r.last_used + keep.max(FRESH))
            {
                out.push(Decision::Unload { server: s.server.clone(), replica: r.replica });
            }
        }
    }

    fn load_adapter(
        &self,
        s: &ServerView,
        r: &ReplicaView,
        adapter: &AdapterId,
        out: &mut Vec<Decision>,
    ) {
        if r.has_adapter(adapter) {
            return;
        }
        let slots = self.site.catalogue.models[&r.model].adapter_slots as usize;
        let full = r.adapters.len() >= slots;
        let victim = r.adapters.iter().find(|a| a.running == 0).map(|a| a.adapter.clone());
        let evict = if full { victim } else { None };
        let (server, replica, adapter) = (s.server.clone(), r.replica, adapter.clone());
        out.push(Decision::LoadAdapter { server, replica, adapter, evict });
    }
}
