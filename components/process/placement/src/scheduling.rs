//! Schedules loads for waiting demand: chooses their order, servers and sources, and the replicas
//! to unload for them.

use types::prelude::*;

use crate::estimate::UNLOAD_TIME;
use crate::event::Decision;
use crate::outstanding::{Action, server_index};
use crate::pending::{PendingDemand, Reservation};
use crate::placement::Placement;
use crate::view::{ReplicaView, ServerView, View};

/// Memory that is being freed stays reserved for one load at most this long, so that an unload that
/// hangs does not block the demand.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Demand with more slack does not displace replicas whose expected loss is higher than the value
/// of the demand.
const NON_URGENT_SLACK: Duration = Duration::from_secs(300);

/// Of several busy replicas, the first is expected to become idle after this fraction of the mean
/// time to idle.
const EARLY_FINISH_FRACTION: f64 = 0.8;

/// A way to serve the demand for one model.
struct LoadPlan {
    model: ModelId,
    server: usize,
    /// Replicas to unload first.
    victims: Vec<ReplicaId>,
    /// Value served per second of loading.
    value_rate: f32,
}

/// Memory that a server can provide for a load.
pub(crate) struct ServerCapacity<'a> {
    pub(crate) index: usize,
    pub(crate) server: &'a ServerView,
    /// Memory that a load can use at once.
    pub(crate) free: u64,
    /// Idle replicas that may be unloaded.
    pub(crate) idle_replicas: Vec<&'a ReplicaView>,
}

impl Placement {
    /// Starts the loads that can start now and frees memory for the others, most urgent first.
    pub(crate) fn start_loads(&mut self, view: &View, now: Instant, out: &mut Vec<Decision>) {
        self.prune_pending(view, now);
        if self.pending.is_empty() {
            return;
        }
        self.start_reserved(view, now, out);
        let mut capacities = self.capacities(view, now);
        if capacities.is_empty() {
            return;
        }
        for (name, p) in &mut self.pending {
            p.refresh_sources(name, view, now);
        }
        while let Some(plan) = self.best_plan(view, &capacities, now) {
            self.execute(plan, view, now, out);
            capacities = self.capacities(view, now);
        }
    }

    /// Removes demand that has expired or that a replica or a load in progress covers, and
    /// reservations that have expired or whose server is leaving or gone.
    fn prune_pending(&mut self, view: &View, now: Instant) {
        let Self { pending, outstanding, catalogue, .. } = self;
        if pending.is_empty() {
            return;
        }
        let mut covered: HashSet<&str> = HashSet::new();
        for s in view.servers.iter().filter(|s| !s.leaving) {
            for r in &s.replicas {
                let max_batch = catalogue.models.get(&r.model).map_or(1, |m| m.max_batch.max(1));
                let can_serve = match r.phase {
                    ReplicaPhase::Loading => true,
                    ReplicaPhase::Ready => r.running + r.queued < max_batch,
                    ReplicaPhase::Unloading => false,
                };
                if can_serve {
                    covered.insert(&r.model);
                }
            }
        }
        pending.retain(|name, p| {
            if covered.contains(&**name)
                || p.latest_deadline <= now
                || outstanding.loads_of(name).next().is_some()
            {
                return false;
            }
            p.reservation.take_if(|r| {
                let server = server_index(view, &r.server, r.index_hint).map(|i| &view.servers[i]);
                r.until <= now || server.is_none_or(|s| s.leaving)
            });
            true
        });
    }

    /// Starts loads whose reserved memory has become free.
    fn start_reserved(&mut self, view: &View, now: Instant, out: &mut Vec<Decision>) {
        let reserved: Vec<ModelId> = self
            .pending
            .iter()
            .filter(|(_, p)| p.reservation.is_some())
            .map(|(m, _)| m.clone())
            .collect();
        for name in reserved {
            let Some(reservation) = self.pending[&name].reservation.clone() else { continue };
            let Some(index) = server_index(view, &reservation.server, reservation.index_hint)
            else {
                continue;
            };
            let server = &view.servers[index];
            let source = server.nearest_source(&name);
            let free = server
                .memory_free
                .saturating_sub(self.outstanding.unconfirmed_memory(&server.server));
            let fits = free >= reservation.memory && server.is_usable();
            if fits && self.allowance(view, &name) > 0 && self.can_load_from(view, source, now) {
                self.load(&name, server, source, now, out);
                self.pending.remove(&name);
            }
        }
    }

    /// Capacity of each usable server that has any.
    pub(crate) fn capacities<'a>(&self, view: &'a View, now: Instant) -> Vec<ServerCapacity<'a>> {
        let mut reserved: HashMap<&str, u64> = HashMap::new();
        for r in self.pending.values().filter_map(|p| p.reservation.as_ref()) {
            *reserved.entry(&r.server).or_insert(0) += r.memory;
        }
        let usable = view.servers.iter().enumerate().filter(|(_, s)| s.is_usable());
        let capacities = usable.map(|(index, s)| {
            let reserved = reserved.get(&*s.server).copied().unwrap_or(0);
            self.capacity(index, s, reserved, now)
        });
        capacities.filter(|c| c.free > 0 || !c.idle_replicas.is_empty()).collect()
    }

    fn capacity<'a>(
        &self,
        index: usize,
        server: &'a ServerView,
        reserved: u64,
        now: Instant,
    ) -> ServerCapacity<'a> {
        let is_unloading = |r: &&ReplicaView| {
            r.phase == ReplicaPhase::Unloading
                || self.outstanding.is_unloading(&server.server, r.replica)
        };
        let being_freed: u64 =
            server.replicas.iter().filter(is_unloading).map(|r| r.memory_bytes).sum();
        let unconfirmed = self.outstanding.unconfirmed_memory(&server.server);
        let free_now = server.memory_free.saturating_sub(unconfirmed);
        let free_later = (server.memory_free + being_freed).saturating_sub(unconfirmed + reserved);
        let idle_replicas = server
            .replicas
            .iter()
            .filter(|r| r.is_idle() && !is_unloading(r) && !self.is_in_grace_period(r, now))
            .collect();
        ServerCapacity { index, server, free: free_now.min(free_later), idle_replicas }
    }

    /// Idle replicas to unload so that `memory` bytes fit, least loss first, and their total loss;
    /// `None` if that much cannot be freed.
    fn victims(
        &self,
        capacity: &ServerCapacity<'_>,
        memory: u64,
        now: Instant,
    ) -> Option<(Vec<ReplicaId>, f32)> {
        let (mut free, mut loss, mut victims) = (capacity.free, 0.0, Vec::new());
        if free + capacity.idle_replicas.iter().map(|r| r.memory_bytes).sum::<u64>() < memory {
            return None;
        }
        if free < memory {
            let with_loss = |r: &&ReplicaView| {
                (self.unload_loss(r, capacity.server, now), r.replica, r.memory_bytes)
            };
            let mut idle: Vec<_> = capacity.idle_replicas.iter().map(with_loss).collect();
            idle.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (l, replica, bytes) in idle {
                if free < memory {
                    free += bytes;
                    loss += l;
                    victims.push(replica);
                }
            }
        }
        Some((victims, loss))
    }

    /// The plan that serves the most value per second of loading.
    fn best_plan(
        &self,
        view: &View,
        capacities: &[ServerCapacity<'_>],
        now: Instant,
    ) -> Option<LoadPlan> {
        if capacities.is_empty() {
            return None;
        }
        let is_store_open = self.can_load_from(view, LoadSource::Remote, now);
        let mut best: Option<LoadPlan> = None;
        for (name, p) in self.pending.iter().filter(|(_, p)| p.reservation.is_none()) {
            let Some(model) = self.catalogue.models.get(name) else { continue };
            if self.allowance(view, name) == 0 {
                continue;
            }
            let urgency = p.urgency(now);
            let is_non_urgent = p.deadline.saturating_duration_since(now) > NON_URGENT_SLACK;
            let max_load_time = self.memory_load_wait(p, view, model, now);
            // Nearest sources first, so that the loop ends early.
            let mut options: Vec<_> = capacities
                .iter()
                .map(|capacity| {
                    (p.sources.get(capacity.index).copied().unwrap_or(LoadSource::Remote), capacity)
                })
                .filter(|(source, _)| *source != LoadSource::Remote || is_store_open)
                .map(|(source, capacity)| (self.estimates.load_time(model, source), capacity))
                .collect();
            options.sort_by_key(|(time, ..)| *time);
            for (mut time, capacity) in options {
                if max_load_time.is_some_and(|limit| time > limit) {
                    break;
                }
                let bound = urgency / time.as_secs_f32().max(0.01);
                if best.as_ref().is_some_and(|b| bound <= b.value_rate) {
                    break;
                }
                let Some((victims, loss)) = self.victims(capacity, model.memory_bytes, now) else {
                    continue;
                };
                if is_non_urgent && loss > p.value() {
                    continue;
                }
                if !victims.is_empty() {
                    time += UNLOAD_TIME;
                }
                // The loss of the unloaded replicas breaks ties between servers that are equally
                // near.
                let value_rate =
                    urgency / (time.as_secs_f32().max(0.01) * (1.0 + loss / (loss + 1e4)));
                if best.as_ref().is_none_or(|b| value_rate > b.value_rate) {
                    let model = name.clone();
                    best = Some(LoadPlan { model, server: capacity.index, victims, value_rate });
                }
            }
        }
        best
    }

    /// Expected time until the model is loaded from host memory if the load waits for a busy
    /// replica to finish on a server that has the checkpoint there. A farther source that takes
    /// longer is not worth its store slot: at the start of a shift all replicas are busy and one
    /// finishes every few hundred milliseconds, while a load from the store holds its slot for
    /// seconds.
    fn memory_load_wait(
        &self,
        p: &PendingDemand,
        view: &View,
        model: &Model,
        now: Instant,
    ) -> Option<Duration> {
        let time_to_idle =
            Duration::from_secs_f64(self.mean_time_to_idle_s * EARLY_FINISH_FRACTION);
        let cached = view.servers.iter().zip(&p.sources);
        let cached = cached.filter(|(s, source)| **source == LoadSource::Memory && !s.leaving);
        let busy = cached.flat_map(|(s, _)| &s.replicas).filter(|r| !r.is_idle());
        let free_at =
            busy.filter_map(|r| self.ready_since.get(&r.model)).map(|&t| t + time_to_idle).min()?;
        let wait = free_at.saturating_duration_since(now).max(time_to_idle / 16);
        let total = wait + UNLOAD_TIME + self.estimates.load_time(model, LoadSource::Memory);
        (now + total * 2 < p.deadline).then_some(total)
    }

    fn execute(&mut self, plan: LoadPlan, view: &View, now: Instant, out: &mut Vec<Decision>) {
        let server = &view.servers[plan.server];
        if plan.victims.is_empty() {
            let source = server.nearest_source(&plan.model);
            if !self.can_load_from(view, source, now) {
                // The cached copy has gone since the sources were looked up.
                if let Some(p) = self.pending.get_mut(&plan.model) {
                    p.invalidate_sources();
                    p.refresh_sources(&plan.model, view, now);
                }
                return;
            }
            self.load(&plan.model, server, source, now, out);
            self.pending.remove(&plan.model);
            return;
        }
        for replica in plan.victims {
            self.unload(server, replica, now, out);
        }
        let memory = self.catalogue.models[&plan.model].memory_bytes;
        let until = now + RESERVATION_TIMEOUT;
        let pending = self.pending.get_mut(&plan.model).expect("the plan is for pending demand");
        pending.reservation = Some(Reservation {
            server: server.server.clone(),
            memory,
            until,
            index_hint: plan.server,
        });
    }

    /// Whether a load from this source may start now.
    pub(crate) fn can_load_from(&self, view: &View, source: LoadSource, now: Instant) -> bool {
        source != LoadSource::Remote || self.can_start_store_load(view, now)
    }

    /// Decides a load. The caller has checked memory, allowance and store.
    pub(crate) fn load(
        &mut self,
        name: &ModelId,
        server: &ServerView,
        source: LoadSource,
        now: Instant,
        out: &mut Vec<Decision>,
    ) {
        let model = &self.catalogue.models[name];
        let existing =
            server.replicas.iter().filter(|r| r.model == *name).map(|r| r.replica).collect();
        let expected_end = now + self.estimates.load_time(model, source);
        let action =
            Action::Load { model: name.clone(), memory: model.memory_bytes, source, existing };
        self.outstanding.add(server, action, now, expected_end);
        if source == LoadSource::Remote {
            self.record_store_start(now);
        }
        out.push(Decision::Load { server: server.server.clone(), model: name.clone(), source });
    }

    /// Decides an unload.
    pub(crate) fn unload(
        &mut self,
        server: &ServerView,
        replica: ReplicaId,
        now: Instant,
        out: &mut Vec<Decision>,
    ) {
        self.outstanding.add(server, Action::Unload { replica }, now, now + UNLOAD_TIME);
        out.push(Decision::Unload { server: server.server.clone(), replica });
    }
}
