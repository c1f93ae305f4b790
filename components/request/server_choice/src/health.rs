//! Pattern: servers that fail part of their requests while their status check is good.

use std::time::{Duration, Instant};

/// Time in which a failure loses half of its weight.
const HALF_LIFE: Duration = Duration::from_millis(2_500);

/// First time for which an unreachable server is left out; doubles with each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest time for which an unreachable server is left out.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// Recent failures of one server, found from its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: f64,
    counted_at: Option<Instant>,
    unreachable_in_a_row: u32,
    /// No request before this deadline, unless no other server is left.
    paused_until: Option<Instant>,
}

impl Health {
    /// Recent failures, decayed to `now`.
    pub fn failures(&self, now: Instant) -> f64 {
        let Some(at) = self.counted_at else { return 0.0 };
        let half_lives = now.saturating_duration_since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failures * (-half_lives).exp2()
    }

    /// Whether requests should go elsewhere because the server could not be reached.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Counts a failed request; `weight` is 1 for a failed one, less for a rejected one.
    pub fn record_failure(&mut self, now: Instant, weight: f64) {
        self.failures = self.failures(now) + weight;
        self.counted_at = Some(now);
    }

    /// The server could not be reached or stayed silent.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.record_failure(now, 1.0);
        if self.is_backing_off(now) {
            return;
        }
        let pause = FIRST_PAUSE * 2_u32.pow(self.unreachable_in_a_row.min(8));
        self.paused_until = Some(now + pause.min(LONGEST_PAUSE));
        self.unreachable_in_a_row += 1;
    }

    /// Counts an answer.
    pub fn record_answer(&mut self, now: Instant) {
        self.failures = self.failures(now) * 0.8;
        self.counted_at = Some(now);
        self.unreachable_in_a_row = 0;
        self.paused_until = None;
    }
}
