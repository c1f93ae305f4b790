//! Server health by outcome of requests, for servers that fail some requests although their health
//! check succeeds.

use std::time::{Duration, Instant};

/// Time in which the weight of a failure halves.
const HALF_LIFE: Duration = Duration::from_millis(2_500);

/// Backoff after the first failure to reach a server; doubles with each consecutive one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum backoff for an unreachable server.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Longest pause that a server can ask for.
pub const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Requests in flight from this instance at which the limit after a pause ends.
const END_OF_RAMP: u32 = 32;

/// A pause that a server asked for, and the time after it in which requests return gradually.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Instant,
    /// Most requests in flight from this instance after the pause; doubles with each answer.
    limit: u32,
}

/// Recent failures of one server, counted by the outcomes of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    pause: Option<Pause>,
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

    /// Begins a pause that the server asked for, at most [`MAX_PAUSE`]. Returns its end.
    pub fn begin_pause(&mut self, now: Instant, length: Duration) -> Instant {
        let until = now + length.min(MAX_PAUSE);
        let until = self.pause.map_or(until, |pause| pause.until.max(until));
        self.pause = Some(Pause { until, limit: 1 });
        until
    }

    /// When the pause ends that the server asked for, if it lasts.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.pause.map(|pause| pause.until).filter(|until| *until > now)
    }

    /// Whether a pause of the server, or the time after one, leaves room for another request while
    /// this instance has `own_in_flight` there.
    pub fn admits(&self, now: Instant, own_in_flight: u32) -> bool {
        match self.pause {
            Some(pause) => pause.until <= now && own_in_flight < pause.limit,
            None => true,
        }
    }

    /// Records an answer, which ends the backoff.
    pub fn record_answer(&mut self, now: Instant) {
        if let Some(pause) = &mut self.pause
            && pause.until <= now
        {
            pause.limit *= 2;
            self.pause = self.pause.filter(|pause| pause.limit < END_OF_RAMP);
        }
        self.failures = self.failures(now) * 0.8;
        self.updated_at = Some(now);
        self.consecutive_unreachable = 0;
        self.backoff_until = None;
    }
}
