//! Decides which idle replicas are retained and which are unloaded.

use types::prelude::*;

use crate::event::Decision;
use crate::placement::Placement;
use crate::view::{ReplicaView, ServerView, View};

/// A replica that became ready is retained this long for the requests that it was loaded for. The
/// instances send them once they see it as ready.
pub(crate) const GRACE_PERIOD: Duration = Duration::from_secs(2);
/// A retained replica is evaluated again after its idle time divided by this.
const RECHECK_DIVISOR: u32 = 8;
/// Weight of the newest time to idle in the mean.
const TIME_TO_IDLE_GAIN: f64 = 0.05;
/// Longer times (batch work) are clamped to this.
const MAX_TIME_TO_IDLE: Duration = Duration::from_secs(30);
/// The loss of unloading a replica is estimated over this period.
const LOSS_HORIZON: Duration = Duration::from_secs(300);

impl Placement {
    /// Unloads each idle replica that costs more to retain than it is expected to save.
    pub(crate) fn unload_idle(&mut self, view: &View, now: Instant, out: &mut Vec<Decision>) {
        self.grace_until.retain(|_, until| *until > now);
        self.preloaded.retain(|_, until| *until > now);
        self.retained.retain(|_, (_, until)| *until > now);
        let at = self.clock.slot(now);
        let activity = self.activity.relative(at);
        for server in view.servers.iter().filter(|s| s.is_usable()) {
            for r in server.replicas.iter().filter(|r| r.is_idle()) {
                self.record_time_to_idle(r);
                if self.is_in_grace_period(r, now)
                    || self.preloaded.contains_key(&r.model)
                    || self.outstanding.is_unloading(&server.server, r.replica)
                    || self.is_retained(server, r, activity, now)
                {
                    continue;
                }
                self.unload(server, r.replica, now, out);
            }
        }
    }

    /// Updates the mean time from when replicas become ready until they are idle.
    fn record_time_to_idle(&mut self, r: &ReplicaView) {
        let has_served = self.ready_since.get(&r.model).is_some_and(|&t| r.last_used > t);
        if has_served && let Some(ready) = self.ready_since.remove(&r.model) {
            let time_to_idle = r.last_used.saturating_duration_since(ready).min(MAX_TIME_TO_IDLE);
            self.mean_time_to_idle_s +=
                TIME_TO_IDLE_GAIN * (time_to_idle.as_secs_f64() - self.mean_time_to_idle_s);
        }
    }

    /// Whether an idle replica is retained for now. A positive result is reused for a part of its
    /// idle time.
    fn is_retained(
        &mut self,
        server: &ServerView,
        r: &ReplicaView,
        activity: f32,
        now: Instant,
    ) -> bool {
        let previous = self.retained.get(&r.replica);
        if previous.is_some_and(|&(used, until)| used == r.last_used && until > now) {
            return true;
        }
        let retain = self.is_worth_retaining(server, r, activity, now);
        if retain {
            let idle = now.saturating_duration_since(r.last_used);
            self.retained.insert(r.replica, (r.last_used, now + idle / RECHECK_DIVISOR));
        }
        retain
    }

    /// Whether a replica has just become ready and has served nothing yet.
    pub(crate) fn is_in_grace_period(&self, r: &ReplicaView, now: Instant) -> bool {
        // `last_used` later than the end of the load means that a request has run.
        self.grace_until
            .get(&r.model)
            .is_some_and(|&until| until > now && r.last_used + GRACE_PERIOD <= until)
    }

    /// Whether the expected saving exceeds the cost of idle time for any horizon of the gap
    /// histogram.
    fn is_worth_retaining(
        &self,
        server: &ServerView,
        r: &ReplicaView,
        activity: f32,
        now: Instant,
    ) -> bool {
        let Some(model) = self.catalogue.models.get(&r.model) else { return false };
        let Some(history) = self.histories.get(&r.model) else { return false };
        let weight = f32::from(self.settings.cold_start_weight.min(100));
        let saving = weight * self.reload_loss(&r.model, server);
        let cost = (100.0 - weight)
            * self.settings.idle_second_cost_milli as f32
            * model.accelerators.max(1) as f32;
        let idle = now.saturating_duration_since(history.last_arrival);
        history
            .gaps
            .horizons(&self.all_gaps, idle)
            .any(|(probability, seconds)| saving * probability * activity > cost * seconds)
    }

    /// Loss, in thousandths, if the next burst for a model waits for a reload from the nearest
    /// source on this server.
    fn reload_loss(&self, name: &ModelId, server: &ServerView) -> f32 {
        let (Some(model), Some(history)) =
            (self.catalogue.models.get(name), self.histories.get(name))
        else {
            return 0.0;
        };
        history.wait_loss(self.estimates.load_time(model, server.nearest_source(name)))
    }

    /// Expected loss if a replica is unloaded now.
    pub(crate) fn unload_loss(&self, r: &ReplicaView, server: &ServerView, now: Instant) -> f32 {
        let Some(history) = self.histories.get(&r.model) else { return 0.0 };
        let idle = now.saturating_duration_since(history.last_arrival);
        let probability = history.gaps.probability_within(&self.all_gaps, idle, LOSS_HORIZON);
        probability * self.reload_loss(&r.model, server)
    }
}
