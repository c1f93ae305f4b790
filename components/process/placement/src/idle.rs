//! Keeps or unloads idle replicas.

use types::prelude::*;

use crate::event::Decision;
use crate::placement::Placement;
use crate::view::{ReplicaView, ServerView, View};

/// A replica that became ready is kept this long for the requests that it was loaded for, which
/// the instances send once they see it as ready.
pub(crate) const FRESH: Duration = Duration::from_secs(2);
/// A kept replica is looked at again after its idle time divided by this.
const RECHECK_PART: u32 = 8;
/// Weight of the newest busy time in the mean.
const HOLD_GAIN: f64 = 0.05;
/// Longer busy times (batch work) are cut to this.
const LONGEST_HOLD: Duration = Duration::from_secs(30);
/// Time ahead for which the loss of unloading a replica is estimated.
const LOSS_HORIZON: Duration = Duration::from_secs(300);

impl Placement {
    /// Unloads each idle replica that costs more to keep than it is expected to save.
    pub(crate) fn unload_idle(&mut self, view: &View, now: Instant, out: &mut Vec<Decision>) {
        self.fresh.retain(|_, until| *until > now);
        self.loaded_ahead.retain(|_, until| *until > now);
        self.kept.retain(|_, (_, until)| *until > now);
        let at = self.clock.slot(now);
        let active = self.activity.relative(at);
        for server in view.servers.iter().filter(|s| s.is_usable()) {
            for r in server.replicas.iter().filter(|r| r.is_idle()) {
                self.note_hold(r);
                if self.is_fresh(r, now)
                    || self.loaded_ahead.contains_key(&r.model)
                    || self.outstanding.unloads(&server.server, r.replica)
                    || self.kept(server, r, active, now)
                {
                    continue;
                }
                self.unload(server, r.replica, now, out);
            }
        }
    }

    /// Learns how long replicas stay busy once they are ready.
    fn note_hold(&mut self, r: &ReplicaView) {
        let served = self.ready_at.get(&r.model).is_some_and(|&t| r.last_used > t);
        if served && let Some(ready) = self.ready_at.remove(&r.model) {
            let hold = r.last_used.saturating_duration_since(ready).min(LONGEST_HOLD);
            self.hold_s += HOLD_GAIN * (hold.as_secs_f64() - self.hold_s);
        }
    }

    /// Whether an idle replica is kept for now; the verdict is looked at again only after some
    /// part of its idle time.
    fn kept(&mut self, server: &ServerView, r: &ReplicaView, active: f32, now: Instant) -> bool {
        let known = self.kept.get(&r.replica);
        if known.is_some_and(|&(used, until)| used == r.last_used && until > now) {
            return true;
        }
        let keep = self.worth_keeping(server, r, active, now);
        if keep {
            let idle = now.saturating_duration_since(r.last_used);
            self.kept.insert(r.replica, (r.last_used, now + idle / RECHECK_PART));
        }
        keep
    }

    /// Whether a replica has just become ready and has served nothing yet.
    pub(crate) fn is_fresh(&self, r: &ReplicaView, now: Instant) -> bool {
        // `last_used` later than the end of the load means that a request has run.
        self.fresh.get(&r.model).is_some_and(|&until| until > now && r.last_used + FRESH <= until)
    }

    /// Whether the expected saving exceeds the cost of idle time for any horizon.
    fn worth_keeping(
        &self,
        server: &ServerView,
        r: &ReplicaView,
        active: f32,
        now: Instant,
    ) -> bool {
        let Some(model) = self.catalogue.models.get(&r.model) else { return false };
        let Some(history) = self.histories.get(&r.model) else { return false };
        let weight = f32::from(self.settings.cold_start_weight.min(100));
        let saving = weight * self.loss_of_reload(&r.model, server);
        let cost = (100.0 - weight)
            * self.settings.idle_second_cost_milli as f32
            * model.accelerators.max(1) as f32;
        let idle = now.saturating_duration_since(history.last);
        history
            .gaps
            .horizons(&self.all_gaps, idle)
            .any(|(chance, seconds)| saving * chance * active > cost * seconds)
    }

    /// Loss, in thousandths, if the next burst for a model waits for a reload from the nearest
    /// copy on this server.
    fn loss_of_reload(&self, name: &ModelId, server: &ServerView) -> f32 {
        let (Some(model), Some(history)) =
            (self.catalogue.models.get(name), self.histories.get(name))
        else {
            return 0.0;
        };
        history.loss_of_wait(self.estimates.load(model, server.nearest_source(name)))
    }

    /// Expected loss if a replica is unloaded now.
    pub(crate) fn loss_of_unload(&self, r: &ReplicaView, server: &ServerView, now: Instant) -> f32 {
        let Some(history) = self.histories.get(&r.model) else { return 0.0 };
        let idle = now.saturating_duration_since(history.last);
        let chance = history.gaps.chance_within(&self.all_gaps, idle, LOSS_HORIZON);
        chance * self.loss_of_reload(&r.model, server)
    }
}
