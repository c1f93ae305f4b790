//! Limits loads from the weight store. Its loads slow down in proportion beyond a number of
//! concurrent loads that is not documented, and it limits how many may start per second.

use std::time::{Duration, Instant};

/// Ratio of a load's time to its nominal time up to which the load counts as full speed.
const FULL_SPEED_TOLERANCE: f64 = 1.25;

/// Limit on concurrent loads from the weight store, learned from load times: the number that the
/// store serves at full speed. More concurrent loads would finish none earlier and the first ones
/// later.
#[derive(Clone, Copy, Debug)]
pub struct StoreConcurrencyLimit {
    limit: f64,
    max: f64,
}

impl StoreConcurrencyLimit {
    /// Starts at `initial` and never exceeds `max`.
    pub fn new(initial: usize, max: usize) -> Self {
        Self { limit: initial as f64, max: max as f64 }
    }

    /// Maximum number of concurrent loads; at least 1.
    pub fn limit(&self) -> usize {
        (self.limit.round() as usize).max(1)
    }

    /// Adjusts the limit to a load that ended after `took`, while at most `concurrent` loads ran,
    /// itself included.
    pub fn record_load(&mut self, nominal: Duration, took: Duration, concurrent: usize) {
        let slowdown = took.as_secs_f64() / nominal.as_secs_f64().max(1e-3);
        let full_speed_loads = concurrent as f64 / slowdown;
        if slowdown > FULL_SPEED_TOLERANCE {
            self.limit = full_speed_loads.clamp(1.0, self.limit);
        } else if concurrent as f64 >= self.limit {
            self.limit = (self.limit + 1.0).min(self.max);
        }
    }
}

/// Loads that may start at once after a pause, in addition to the steady rate. In a window of some
/// seconds the users' rules allow 1.1 times the rate plus three loads. Half of the three are left
/// for the loads of the former leader, which its successor does not know.
const BURST_LOADS: f64 = 1.5;

/// Limits how many loads from the weight store start per second.
#[derive(Clone, Copy, Debug)]
pub struct StoreRateLimiter {
    /// When the next load would start if all loads kept to the steady rate.
    next_nominal_start: Instant,
}

impl StoreRateLimiter {
    /// Starts without any load before `now`.
    pub fn new(now: Instant) -> Self {
        Self { next_nominal_start: now }
    }

    /// Reserves one load at a rate of `per_second` loads and returns when it may start. A rate of
    /// zero means that there is no limit.
    pub fn reserve(&mut self, now: Instant, per_second: f64) -> Instant {
        if per_second <= 0.0 {
            return now;
        }
        let interval = Duration::from_secs_f64(1.0 / per_second);
        let burst_lead = interval.mul_f64(BURST_LOADS - 1.0);
        let nominal_start = self.next_nominal_start.max(now);
        self.next_nominal_start = nominal_start + interval;
        nominal_start.checked_sub(burst_lead).map_or(now, |start| start.max(now))
    }
}
