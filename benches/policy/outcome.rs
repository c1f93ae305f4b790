//! Results of one run of a policy.
//!
//! Cold start: the time from a request's arrival until its model (and adapter) is ready on a
//! replica; zero if it is ready on arrival. The figures cover all interactive requests of the
//! measured days. A request that is refused or not served by its deadline counts with its whole
//! time to the deadline, so that no policy gains by refusing.

use std::time::Duration;

use crate::trace::{MEASURED_FROM_MS, Request};

#[derive(Default)]
pub(crate) struct Outcome {
    cold_starts_ms: Vec<u64>,
    idle_ms: u64,
    pub(crate) refused: u64,
    /// Requests whose deadline passed while they waited.
    pub(crate) late: u64,
    pub(crate) overcommitted: u64,
    pub(crate) beyond_allowance: u64,
    /// Requests neither served nor refused by their deadline.
    pub(crate) unanswered: u64,
    /// Decisions that the simulation could not execute.
    pub(crate) rejected: u64,
    /// Number of loads from host memory, disk and the weight store.
    pub(crate) loads: [u64; 3],
    pub(crate) prefetches: u64,
    decisions: u64,
    deciding: Duration,
}

impl Outcome {
    pub(crate) fn record_served(&mut self, r: &Request, wait: u64) {
        self.record_wait(r, wait);
    }

    pub(crate) fn record_refused(&mut self, r: &Request) {
        self.record_wait(r, r.deadline - r.at);
        self.refused += u64::from(is_measured(r.at));
    }

    pub(crate) fn record_late(&mut self, r: &Request) {
        self.record_wait(r, r.deadline - r.at);
        self.late += u64::from(is_measured(r.at));
    }

    fn record_wait(&mut self, r: &Request, wait: u64) {
        if r.interactive && is_measured(r.at) {
            self.cold_starts_ms.push(wait);
        }
    }

    /// Adds a span in which a replica occupied accelerators without a running request.
    pub(crate) fn add_idle(&mut self, since: Option<u64>, now: u64, accelerators: u32) {
        if let Some(since) = since {
            let span = now.saturating_sub(since.max(MEASURED_FROM_MS));
            self.idle_ms += span * u64::from(accelerators);
        }
    }

    pub(crate) fn record_decision(&mut self, took: Duration) {
        self.decisions += 1;
        self.deciding += took;
    }

    pub(crate) fn quantile(&mut self, q: f64) -> u64 {
        quantile(&mut self.cold_starts_ms, q)
    }

    pub(crate) fn idle_hours(&self) -> f64 {
        self.idle_ms as f64 / 3_600_000.0
    }

    pub(crate) fn violations(&self) -> u64 {
        self.overcommitted + self.beyond_allowance + self.unanswered
    }

    /// Mean time to handle one event, in microseconds.
    pub(crate) fn decision_us(&self) -> f64 {
        self.deciding.as_secs_f64() * 1e6 / self.decisions.max(1) as f64
    }
}

/// Returns the smallest value that at least a fraction `q` of all values do not exceed.
pub(crate) fn quantile(values: &mut [u64], q: f64) -> u64 {
    values.sort_unstable();
    let rank = (values.len() as f64 * q).ceil() as usize;
    values.get(rank.max(1) - 1).copied().unwrap_or(0)
}

/// Whether a request that arrives at this time belongs to the measured days.
fn is_measured(at: u64) -> bool {
    at >= MEASURED_FROM_MS
}
