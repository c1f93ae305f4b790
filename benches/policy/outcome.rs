//! What one run of a policy came to.
//!
//! Cold start: the time from a request's arrival until its model (and adapter) is ready on a
//! replica, zero if it is ready on arrival, over all interactive requests of the measured days. A
//! request that is refused or not served by its deadline counts with all its time to the
//! deadline, so that no policy gains by refusing.

use std::time::Duration;

use crate::trace::{MEASURED_FROM, Request};

#[derive(Default)]
pub(crate) struct Outcome {
    waits: Vec<u64>,
    idle_ms: u64,
    pub(crate) refused: u64,
    /// Requests that waited in vain until their deadline.
    pub(crate) late: u64,
    pub(crate) overcommitted: u64,
    pub(crate) beyond_allowance: u64,
    /// Requests neither served nor refused by their deadline.
    pub(crate) unanswered: u64,
    /// Orders that the stand-in could not carry out.
    pub(crate) rejected: u64,
    /// Loads from memory, disk and store.
    pub(crate) loads: [u64; 3],
    pub(crate) prefetches: u64,
    decisions: u64,
    deciding: Duration,
}

impl Outcome {
    pub(crate) fn answered(&mut self, r: &Request, wait: u64) {
        self.note_wait(r, wait);
    }

    pub(crate) fn refused(&mut self, r: &Request) {
        self.note_wait(r, r.deadline - r.at);
        self.refused += u64::from(measured(r.at));
    }

    pub(crate) fn late(&mut self, r: &Request) {
        self.note_wait(r, r.deadline - r.at);
        self.late += u64::from(measured(r.at));
    }

    fn note_wait(&mut self, r: &Request, wait: u64) {
        if r.interactive && measured(r.at) {
            self.waits.push(wait);
        }
    }

    /// Adds a span in which a replica occupied accelerators without a running request.
    pub(crate) fn idle(&mut self, since: Option<u64>, now: u64, accelerators: u32) {
        if let Some(since) = since {
            let span = now.saturating_sub(since.max(MEASURED_FROM));
            self.idle_ms += span * u64::from(accelerators);
        }
    }

    pub(crate) fn decided(&mut self, took: Duration) {
        self.decisions += 1;
        self.deciding += took;
    }

    pub(crate) fn quantile(&mut self, q: f64) -> u64 {
        quantile(&mut self.waits, q)
    }

    pub(crate) fn idle_hours(&self) -> f64 {
        self.idle_ms as f64 / 3_600_000.0
    }

    pub(crate) fn promises_broken(&self) -> u64 {
        self.overcommitted + self.beyond_allowance + self.unanswered
    }

    /// Mean cost of one event in microseconds.
    pub(crate) fn decision_us(&self) -> f64 {
        self.deciding.as_secs_f64() * 1e6 / self.decisions.max(1) as f64
    }
}

/// The smallest value that at least a part `q` of all values do not exceed.
pub(crate) fn quantile(values: &mut [u64], q: f64) -> u64 {
    values.sort_unstable();
    let rank = (values.len() as f64 * q).ceil() as usize;
    values.get(rank.max(1) - 1).copied().unwrap_or(0)
}

/// Whether a request that arrives then counts.
fn measured(at: u64) -> bool {
    at >= MEASURED_FROM
}
