//! Baseline policies: load models on demand in order of arrival, from the nearest cached copy, and
//! unload idle replicas by a fixed rule.

use placement::*;
use types::prelude::*;

use crate::site::Site;
use crate::world::Policy;

/// When an idle replica is unloaded if no load needs its memory.
#[derive(Clone, Copy)]
pub(crate) enum KeepAlive {
    /// Unloads a replica after a fixed idle time.
    For(Duration),
    /// Unloads only the least recently used replicas, when a load needs their memory.
    UntilEvicted,
}

pub(crate) struct Baseline<'a> {
    site: &'a Site,
    keep_alive: KeepAlive,
    /// Models to load, in order of their first demand, with the latest deadline of each.
    queue: Vec<(ModelId, Instant)>,
    /// Index of the server on which memory is being freed, by model.
    reservations: HashMap<ModelId, usize>,
    recent_store_loads: VecDeque<Instant>,
}

/// Shortest idle time before a replica is unloaded, so that the requests that wait for a newly
/// ready replica can use it.
const MIN_KEEP_ALIVE: Duration = Duration::from_millis(500);

impl<'a> Baseline<'a> {
    pub(crate) fn new(site: &'a Site, keep_alive: KeepAlive) -> Self {
        let (queue, reservations, recent_store_loads) = Default::default();
        Self { site, keep_alive, queue, reservations, recent_store_loads }
    }

    fn store_has_capacity(&self, view: &View, now: Instant) -> bool {
        let d = &self.site.catalogue.deployment;
        let rate = d.store_loads_per_second as usize;
        let recent =
            self.recent_store_loads.iter().filter(|&&s| s + Duration::from_secs(1) > now).count();
        view.store.loads_in_progress < d.store_concurrent_loads && recent < rate
    }

    /// Starts the load of one model or frees memory for it. Returns whether the model must wait.
    fn try_start(
        &mut self,
        name: &ModelId,
        view: &mut AdjustedView<'_>,
        now: Instant,
        out: &mut Vec<Decision>,
    ) -> bool {
        let loaded = |r: &ReplicaView| r.model == *name && r.phase != ReplicaPhase::Unloading;
        if view.view.servers.iter().any(|s| s.replicas.iter().any(loaded)) {
            self.reservations.remove(name);
            return false;
        }
        let need = self.site.catalogue.models[name].memory_bytes;
        let open = view.store_has_capacity && self.store_has_capacity(view.view, now);
        let reserved = self.reservations.get(name).copied();
        let fits = |i: usize| view.free[i] >= need && reserved.is_none_or(|c| c == i);
        let usable =
            |i: usize| open || view.view.servers[i].nearest_source(name) != LoadSource::Remote;
        let n = view.view.servers.len();
        let nearest = |i: &usize| view.view.servers[*i].nearest_source(name);
        if let Some(i) = (0..n).filter(|&i| fits(i) && usable(i)).min_by_key(nearest) {
            let server = &view.view.servers[i];
            let source = server.nearest_source(name);
            if source == LoadSource::Remote {
                view.store_has_capacity = false;
                self.recent_store_loads.retain(|&s| s + Duration::from_secs(1) > now);
                self.recent_store_loads.push_back(now);
            }
            view.free[i] -= need;
            self.reservations.remove(name);
            let (server, model) = (server.server.clone(), name.clone());
            out.push(Decision::Load { server, model, source });
            return false;
        }
        if reserved.is_none() {
            self.make_room(name, need, view, now, out);
        }
        true
    }

    /// Unloads the least recently used idle replicas of the server that has the oldest of them,
    /// among the servers that can free enough memory.
    fn make_room(
        &mut self,
        name: &ModelId,
        need: u64,
        view: &mut AdjustedView<'_>,
        now: Instant,
        out: &mut Vec<Decision>,
    ) {
        let mut best: Option<(Instant, usize, Vec<ReplicaId>)> = None;
        for (i, s) in view.view.servers.iter().enumerate() {
            let mut idle: Vec<&ReplicaView> = s
                .replicas
                .iter()
                .filter(|r| r.is_idle() && now >= r.last_used + MIN_KEEP_ALIVE)
                .filter(|r| !view.unloading.contains(&r.replica))
                .collect();
            idle.sort_by_key(|r| r.last_used);
            let reserved = self.reservations.values().any(|&c| c == i);
            let (mut free, mut victims) = (if reserved { 0 } else { view.free[i] }, Vec::new());
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
            self.reservations.insert(name.clone(), i);
            for replica in victims {
                view.unloading.push(replica);
                let server = view.view.servers[i].server.clone();
                out.push(Decision::Unload { server, replica });
            }
        }
    }
}

/// The view, adjusted for the decisions already made for the current event.
struct AdjustedView<'a> {
    view: &'a View,
    free: Vec<u64>,
    unloading: Vec<ReplicaId>,
    store_has_capacity: bool,
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
        let mut adjusted = AdjustedView { view, free, unloading, store_has_capacity: true };
        // A demand does not help the models that could not be started before.
        let only_model = match event {
            Event::Demand(d) => Some(&d.target.model),
            _ => None,
        };
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|(m, deadline)| {
            if only_model.is_some_and(|o| o != m) {
                return true;
            }
            let is_waiting = *deadline > now && self.try_start(m, &mut adjusted, now, out);
            if !is_waiting {
                self.reservations.remove(m);
            }
            is_waiting
        });
        self.queue = queue;
    }
}

impl Baseline<'_> {
    fn unload_idle(&self, view: &View, now: Instant, out: &mut Vec<Decision>) {
        let KeepAlive::For(keep_alive) = self.keep_alive else { return };
        for s in &view.servers {
            for r in s
                .replicas
                .iter()
                .filter(|r| r.is_idle() && now >= r.last_used + keep_alive.max(MIN_KEEP_ALIVE))
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
