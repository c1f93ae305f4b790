//! Starts loads for waiting demand: chooses the order, the server, the copy and what to unload.

use types::prelude::*;

use crate::estimate::UNLOAD;
use crate::event::Decision;
use crate::outstanding::{What, position};
use crate::pending::{Claim, Pending};
use crate::placement::Placement;
use crate::view::{ReplicaView, ServerView, View};

/// Memory that is being freed stays claimed for one load at most this long, so that an unload
/// that hangs does not hold up the demand.
const CLAIM_LIMIT: Duration = Duration::from_secs(30);
/// Demand with more slack does not displace a replica that is worth more than the demand.
const PATIENT_SLACK: Duration = Duration::from_secs(300);

/// Of several busy replicas, the first is expected to finish after this part of the mean.
const EARLY_PART: f64 = 0.8;

/// A way to serve one model's demand.
struct Choice {
    model: ModelId,
    server: usize,
    /// Replicas to unload first.
    victims: Vec<ReplicaId>,
    /// Worth served for each second of loading.
    rate: f32,
}

/// What a server can offer a load at present.
pub(crate) struct Room<'a> {
    pub(crate) index: usize,
    pub(crate) server: &'a ServerView,
    /// Memory that can be used at once.
    pub(crate) free: u64,
    /// Idle replicas that may be unloaded.
    pub(crate) idle: Vec<&'a ReplicaView>,
}

impl Placement {
    /// Starts what can be started now and frees memory for the rest, most urgent first.
    pub(crate) fn start_loads(&mut self, view: &View, now: Instant, out: &mut Vec<Decision>) {
        self.drop_settled(view, now);
        if self.pending.is_empty() {
            return;
        }
        self.start_claimed(view, now, out);
        let mut rooms = self.rooms(view, now);
        if rooms.is_empty() {
            return;
        }
        for (name, p) in &mut self.pending {
            p.find_copies(name, view, now);
        }
        while let Some(choice) = self.best_choice(view, &rooms, now) {
            self.carry_out(choice, view, now, out);
            rooms = self.rooms(view, now);
        }
    }

    /// Drops demand that has lapsed or that a replica covers, and claims that came to nothing.
    fn drop_settled(&mut self, view: &View, now: Instant) {
        let Self { pending, outstanding, catalogue, .. } = self;
        if pending.is_empty() {
            return;
        }
        let mut covered: HashSet<&str> = HashSet::new();
        for s in view.servers.iter().filter(|s| !s.leaving) {
            for r in &s.replicas {
                let batch = catalogue.models.get(&r.model).map_or(1, |m| m.max_batch.max(1));
                let covers = match r.phase {
                    ReplicaPhase::Loading => true,
                    ReplicaPhase::Ready => r.running + r.queued < batch,
                    ReplicaPhase::Unloading => false,
                };
                if covers {
                    covered.insert(&r.model);
                }
            }
        }
        pending.retain(|name, p| {
            if covered.contains(&**name)
                || p.last_deadline <= now
                || outstanding.loads_of(name).next().is_some()
            {
                return false;
            }
            p.claim.take_if(|c| {
                let server = position(view, &c.server, c.hint).map(|i| &view.servers[i]);
                c.until <= now || server.is_none_or(|s| s.leaving)
            });
            true
        });
    }

    /// Starts loads whose memory has become free.
    fn start_claimed(&mut self, view: &View, now: Instant, out: &mut Vec<Decision>) {
        let claimed: Vec<ModelId> = self
            .pending
            .iter()
            .filter(|(_, p)| p.claim.is_some())
            .map(|(m, _)| m.clone())
            .collect();
        for name in claimed {
            let Some(claim) = self.pending[&name].claim.clone() else { continue };
            let Some(index) = position(view, &claim.server, claim.hint) else {
                continue;
            };
            let server = &view.servers[index];
            let source = server.nearest_source(&name);
            let free =
                server.memory_free.saturating_sub(self.outstanding.unseen_memory(&server.server));
            let fits = free >= claim.memory && server.is_usable();
            if fits && self.allowance(view, &name) > 0 && self.source_open(view, source, now) {
                self.load(&name, server, source, now, out);
                self.pending.remove(&name);
            }
        }
    }

    /// What each usable server can offer.
    pub(crate) fn rooms<'a>(&self, view: &'a View, now: Instant) -> Vec<Room<'a>> {
        let mut claimed: HashMap<&str, u64> = HashMap::new();
        for c in self.pending.values().filter_map(|p| p.claim.as_ref()) {
            *claimed.entry(&c.server).or_insert(0) += c.memory;
        }
        let usable = view.servers.iter().enumerate().filter(|(_, s)| s.is_usable());
        let rooms = usable.map(|(index, s)| {
            let claimed = claimed.get(&*s.server).copied().unwrap_or(0);
            self.room(index, s, claimed, now)
        });
        rooms.filter(|r| r.free > 0 || !r.idle.is_empty()).collect()
    }

    fn room<'a>(
        &self,
        index: usize,
        server: &'a ServerView,
        claimed: u64,
        now: Instant,
    ) -> Room<'a> {
        let leaving = |r: &&ReplicaView| {
            r.phase == ReplicaPhase::Unloading
                || self.outstanding.unloads(&server.server, r.replica)
        };
        let coming: u64 = server.replicas.iter().filter(leaving).map(|r| r.memory_bytes).sum();
        let unseen = self.outstanding.unseen_memory(&server.server);
        let now_free = server.memory_free.saturating_sub(unseen);
        let later_free = (server.memory_free + coming).saturating_sub(unseen + claimed);
        let idle = server
            .replicas
            .iter()
            .filter(|r| r.is_idle() && !leaving(r) && !self.is_fresh(r, now))
            .collect();
        Room { index, server, free: now_free.min(later_free), idle }
    }

    /// Idle replicas to unload so that `memory` fits, least loss first, and the loss; `None` if
    /// it cannot fit.
    fn victims(&self, room: &Room<'_>, memory: u64, now: Instant) -> Option<(Vec<ReplicaId>, f32)> {
        let (mut free, mut loss, mut victims) = (room.free, 0.0, Vec::new());
        if free + room.idle.iter().map(|r| r.memory_bytes).sum::<u64>() < memory {
            return None;
        }
        if free < memory {
            let judge = |r: &&ReplicaView| {
                (self.loss_of_unload(r, room.server, now), r.replica, r.memory_bytes)
            };
            let mut idle: Vec<_> = room.idle.iter().map(judge).collect();
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

    /// The choice that serves the most worth for each second of loading.
    fn best_choice(&self, view: &View, rooms: &[Room<'_>], now: Instant) -> Option<Choice> {
        if rooms.is_empty() {
            return None;
        }
        let store_open = self.source_open(view, LoadSource::Remote, now);
        let mut best: Option<Choice> = None;
        for (name, p) in self.pending.iter().filter(|(_, p)| p.claim.is_none()) {
            let Some(model) = self.catalogue.models.get(name) else { continue };
            if self.allowance(view, name) == 0 {
                continue;
            }
            let urgency = p.urgency(now);
            let patient = p.deadline.saturating_duration_since(now) > PATIENT_SLACK;
            let longest_wait = self.better_wait(p, view, model, now);
            // Nearest copies first, so that the others need no closer look.
            let mut options: Vec<_> = rooms
                .iter()
                .map(|room| (p.copies.get(room.index).copied().unwrap_or(LoadSource::Remote), room))
                .filter(|(source, _)| *source != LoadSource::Remote || store_open)
                .map(|(source, room)| (self.estimates.load(model, source), room))
                .collect();
            options.sort_by_key(|(time, ..)| *time);
            for (mut time, room) in options {
                if longest_wait.is_some_and(|limit| time > limit) {
                    break;
                }
                let bound = urgency / time.as_secs_f32().max(0.01);
                if best.as_ref().is_some_and(|b| bound <= b.rate) {
                    break;
                }
                let Some((victims, loss)) = self.victims(room, model.memory_bytes, now) else {
                    continue;
                };
                if patient && loss > p.worth() {
                    continue;
                }
                if !victims.is_empty() {
                    time += UNLOAD;
                }
                // The loss of what is unloaded breaks ties between servers that are equally near.
                let rate = urgency / (time.as_secs_f32().max(0.01) * (1.0 + loss / (loss + 1e4)));
                if best.as_ref().is_none_or(|b| rate > b.rate) {
                    let model = name.clone();
                    best = Some(Choice { model, server: room.index, victims, rate });
                }
            }
        }
        best
    }

    /// Expected time until the model is loaded from host memory if it waits for a busy replica
    /// next to such a copy to finish. A farther copy that takes longer is not worth its slot: at
    /// the start of a shift all replicas are busy and one finishes every few hundred
    /// milliseconds, while a load from the store holds its slot for seconds.
    fn better_wait(
        &self,
        p: &Pending,
        view: &View,
        model: &Model,
        now: Instant,
    ) -> Option<Duration> {
        let hold = Duration::from_secs_f64(self.hold_s * EARLY_PART);
        let near = view.servers.iter().zip(&p.copies);
        let near = near.filter(|(s, c)| **c == LoadSource::Memory && !s.leaving);
        let busy = near.flat_map(|(s, _)| &s.replicas).filter(|r| !r.is_idle());
        let free_at = busy.filter_map(|r| self.ready_at.get(&r.model)).map(|&t| t + hold).min()?;
        let wait = free_at.saturating_duration_since(now).max(hold / 16);
        let total = wait + UNLOAD + self.estimates.load(model, LoadSource::Memory);
        (now + total * 2 < p.deadline).then_some(total)
    }

    fn carry_out(&mut self, c: Choice, view: &View, now: Instant, out: &mut Vec<Decision>) {
        let server = &view.servers[c.server];
        if c.victims.is_empty() {
            let source = server.nearest_source(&c.model);
            if !self.source_open(view, source, now) {
                // The copy has gone since it was looked up.
                if let Some(p) = self.pending.get_mut(&c.model) {
                    p.forget_copies();
                    p.find_copies(&c.model, view, now);
                }
                return;
            }
            self.load(&c.model, server, source, now, out);
            self.pending.remove(&c.model);
            return;
        }
        for replica in c.victims {
            self.unload(server, replica, now, out);
        }
        let memory = self.catalogue.models[&c.model].memory_bytes;
        let until = now + CLAIM_LIMIT;
        let pending = self.pending.get_mut(&c.model).expect("the choice is for pending demand");
        pending.claim =
            Some(Claim { server: server.server.clone(), memory, until, hint: c.server });
    }

    /// Whether a load from this source may start now.
    pub(crate) fn source_open(&self, view: &View, source: LoadSource, now: Instant) -> bool {
        source != LoadSource::Remote || self.store_open(view, now)
    }

    /// Decides a load; the caller has checked memory, allowance and store.
    pub(crate) fn load(
        &mut self,
        name: &ModelId,
        server: &ServerView,
        source: LoadSource,
        now: Instant,
        out: &mut Vec<Decision>,
    ) {
        let model = &self.catalogue.models[name];
        let before =
            server.replicas.iter().filter(|r| r.model == *name).map(|r| r.replica).collect();
        let ready_at = now + self.estimates.load(model, source);
        let what = What::Load { model: name.clone(), memory: model.memory_bytes, source, before };
        self.outstanding.add(server, what, now, ready_at);
        if source == LoadSource::Remote {
            self.note_store_start(now);
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
        self.outstanding.add(server, What::Unload { replica }, now, now + UNLOAD);
        out.push(Decision::Unload { server: server.server.clone(), replica });
    }
}
