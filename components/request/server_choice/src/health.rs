//! Server health by outcome of requests, for servers that fail some requests although their health
//! check succeeds.

use std::time::{Duration, Instant};

/// Time in which the weight of a failure halves.
const HALF_LIFE: Duration = Duration::from_millis(2_500);

/// Backoff after the first failure to reach a server; doubles with each consecutive one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum backoff for an unreachable server.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Recent failures of one server, counted by the outcomes of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: f64,
    updated_at: Option<Instant>,
    consecutive_unreachable: u32,
    /// The server gets no requests before this time unless no other server is left.
    backoff_until: Option<Instant>,
}

impl Health {
    /// Count of recent failures, decayed to `now`.
    pub fn failures(&self, now: Instant) -> f64 {
        let Some(at) = self.updated_at else { return 0.0 };
        let half_lives = now.saturating_duration_since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failures * (-half_lives).exp2()
    }

    /// Whether requests should avoid the server because it could not be reached recently.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| until > now)
    }

    /// Records a failure; `weight` is 1 for a failed request and less for a rejected one.
    pub fn record_failure(&mut self, now: Instant, weight: f64) {
        self.failures = self.failures(now) + weight;
        self.updated_at = Some(now);
    }

    /// Records that the server could not be reached. Returns the end of the backoff if one begins.
    pub fn record_unreachable(&mut self, now: Instant) -> Option<Instant> {
        self.record_failure(now, 1.0);
        if self.is_backing_off(now) {
            return None;
        }
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.consecutive_unreachable.min(8));
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
        self.consecutive_unreachable += 1;
        self.backoff_until
    }

    /// Records an answer, which ends the backoff.
    pub fn record_answer(&mut self, now: Instant) {
        self.failures = self.failures(now) * 0.8;
        self.updated_at = Some(now);
        self.consecutive_unreachable = 0;
        self.backoff_until = None;
    }
}
