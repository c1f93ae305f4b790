//! Retry budget: the retries of all instances together must not exceed a limit, also if requests
//! fail at many instances at once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of its share that an instance uses, because the windows of the instances are not
/// aligned and the number of instances is known with a delay.
const SAFETY_FACTOR: f64 = 0.8;

/// Limits on the retries of one service over all instances.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in the window regardless of requests, over all instances.
    pub base_retries: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and retries of one service at this instance within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

fn expire(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|at| now.saturating_duration_since(*at) >= window) {
        times.pop_front();
    }
}

impl RetryBudget {
    /// Records a client request.
    pub fn record_request(&mut self, now: Instant, limits: &RetryLimits) {
        expire(&mut self.requests, now, limits.window);
        self.requests.push_back(now);
    }

    /// Whether this instance's share of the limits allows another retry.
    pub fn has_retry_left(&mut self, now: Instant, limits: &RetryLimits, instances: usize) -> bool {
        expire(&mut self.requests, now, limits.window);
        expire(&mut self.retries, now, limits.window);
        let extra = limits.base_retries / instances.max(1) as f64;
        let allowed = (self.requests.len() as f64 * limits.ratio + extra) * SAFETY_FACTOR;
        (self.retries.len() + 1) as f64 <= allowed
    }

    /// Consumes one retry if the share allows it, and returns whether it did.
    pub fn consume_retry(&mut self, now: Instant, limits: &RetryLimits, instances: usize) -> bool {
        let is_allowed = self.has_retry_left(now, limits, instances);
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }
}
