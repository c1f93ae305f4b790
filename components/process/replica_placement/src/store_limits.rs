//! Pattern: a weight store whose loads get slower in proportion beyond a number that nobody tells,
//! and which allows only so many of them to begin a second.

use std::time::{Duration, Instant};

/// Part by which a load may take longer than its nominal time and still count as full speed.
const TOLERANCE: f64 = 1.25;

/// How many loads the weight store carries at full speed, learned from how long loads took. More
/// at once would end none earlier, and the first ones later.
#[derive(Clone, Copy, Debug)]
pub struct StoreConcurrencyLimit {
    limit: f64,
    most: f64,
}

impl StoreConcurrencyLimit {
    /// Begins with `first`, and never goes beyond `most`.
    pub fn new(first: usize, most: usize) -> Self {
        Self { limit: first as f64, most: most as f64 }
    }

    /// Loads that should run at once.
    pub fn limit(&self) -> usize {
        (self.limit.round() as usize).max(1)
    }

    /// A load ended after `took`, with `crowd` loads running at the most, itself included.
    pub fn record_load(&mut self, nominal: Duration, took: Duration, crowd: usize) {
        let slowed = took.as_secs_f64() / nominal.as_secs_f64().max(1e-3);
        let carried = crowd as f64 / slowed;
        if slowed > TOLERANCE {
            self.limit = carried.clamp(1.0, self.limit);
        } else if crowd as f64 >= self.limit {
            self.limit = (self.limit + 1.0).min(self.most);
        }
    }
}

/// Loads that may begin at once after a pause, beside the steady rate. The users' rules allow three
/// loads and a tenth of the rate more than the rate in a window of some seconds; half of the three
/// are left to the former order giver, whose last loads its successor does not know.
const BURST: f64 = 1.5;

/// Spaces the begin of loads from the weight store.
#[derive(Clone, Copy, Debug)]
pub struct StoreRateLimiter {
    /// When the loads that began so far would all have begun at the steady rate.
    paid_until: Instant,
}

impl StoreRateLimiter {
    /// No load began before `now`.
    pub fn new(now: Instant) -> Self {
        Self { paid_until: now }
    }

    /// Books one load at a rate of `per_second` loads and returns when it may begin. A rate of zero
    /// stands for none.
    pub fn reserve(&mut self, now: Instant, per_second: f64) -> Instant {
        if per_second <= 0.0 {
            return now;
        }
        let interval = Duration::from_secs_f64(1.0 / per_second);
        let ahead = interval.mul_f64(BURST - 1.0);
        let due = self.paid_until.max(now);
        self.paid_until = due + interval;
        due.checked_sub(ahead).map_or(now, |begin| begin.max(now))
    }
}
