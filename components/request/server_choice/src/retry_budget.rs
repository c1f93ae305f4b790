//! Pattern: failures at many instances at once, whose repeats together must not exceed a limit.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of its share that an instance uses, because the instances' windows are not in step and
/// the number of instances is known with a delay.
const USED_PART: f64 = 0.8;

/// Limits on the repeats of one service over all instances.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Repeats allowed for each request in the window.
    pub ratio: f64,
    /// Repeats allowed besides, over all instances.
    pub base_retries: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts requests and repeats of one service at this instance.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

fn forget(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|at| now.saturating_duration_since(*at) >= window) {
        times.pop_front();
    }
}

impl RetryBudget {
    /// Counts a request of a client.
    pub fn record_request(&mut self, now: Instant, limits: &RetryLimits) {
        forget(&mut self.requests, now, limits.window);
        self.requests.push_back(now);
    }

    /// Whether this instance's share of the limits has a repeat left.
    pub fn has_retry_left(&mut self, now: Instant, limits: &RetryLimits, instances: usize) -> bool {
        forget(&mut self.requests, now, limits.window);
        forget(&mut self.repeats, now, limits.window);
        let extra = limits.base_retries / instances.max(1) as f64;
        let allowed = (self.requests.len() as f64 * limits.ratio + extra) * USED_PART;
        (self.repeats.len() + 1) as f64 <= allowed
    }

    /// Takes one repeat if one is left.
    pub fn consume_retry(&mut self, now: Instant, limits: &RetryLimits, instances: usize) -> bool {
        let is_left = self.has_retry_left(now, limits, instances);
        if is_left {
            self.repeats.push_back(now);
        }
        is_left
    }
}
