//! Counts calls and compares them with the platform's rate limits.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Length of the sliding window of the rate limits.
const WINDOW: Duration = Duration::from_secs(1);

/// Number of seconds in the counters; older ones are dropped.
const MAX_SECONDS: usize = 3_600;

/// Number of calls in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecondCount {
    /// Reads, including watches.
    pub reads: u32,
    /// Writes and deletes.
    pub writes: u32,
}

/// Calls that the platform has received. A refused call counts only as refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformCounters {
    /// Calls by kind: `get`, `list`, `watch`, `instances`, `put` and `delete`.
    pub calls: BTreeMap<Box<str>, u64>,
    /// Calls by the second since the start.
    pub seconds: BTreeMap<u64, SecondCount>,
    /// Highest number of reads in any second (sliding window).
    pub max_reads_per_second: u32,
    /// Highest number of writes in any second (sliding window).
    pub max_writes_per_second: u32,
    /// Calls that the platform refused with 429.
    pub refused_above_rate: u64,
    /// Calls whose connection the platform closed because of an outage or a cut-off caller.
    pub closed: u64,
    /// Conditional writes that failed because the object had another version.
    pub conflicts: u64,
    /// Writes that took effect but got no response.
    pub lost_answers: u64,
}

/// Counts the calls within a sliding window.
#[derive(Debug, Default)]
struct SlidingWindow {
    recent: VecDeque<Instant>,
    max: u32,
}

impl SlidingWindow {
    /// Whether fewer than `limit` calls lie within the window that ends at `now`.
    fn is_below_limit(&mut self, now: Instant, limit: u32) -> bool {
        while self.recent.front().is_some_and(|first| now.duration_since(*first) >= WINDOW) {
            self.recent.pop_front();
        }
        self.recent.len() < limit as usize
    }

    fn record_call(&mut self, now: Instant) {
        self.recent.push_back(now);
        self.max = self.max.max(self.recent.len() as u32);
    }
}

/// Call rates of reads and writes, and the counters.
#[derive(Debug)]
pub(crate) struct Rates {
    started_at: Instant,
    reads: SlidingWindow,
    writes: SlidingWindow,
    pub(crate) counters: PlatformCounters,
}

impl Rates {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            reads: SlidingWindow::default(),
            writes: SlidingWindow::default(),
            counters: PlatformCounters::default(),
        }
    }

    /// Counts one call of `kind`. Returns false, without counting it, for a call above `limit` if
    /// the limit `is_enforced`.
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        kind: &str,
        is_write: bool,
        limit: u32,
        is_enforced: bool,
    ) -> bool {
        let window = if is_write { &mut self.writes } else { &mut self.reads };
        if !window.is_below_limit(now, limit) && is_enforced {
            self.counters.refused_above_rate += 1;
            return false;
        }
        window.record_call(now);
        let counters = &mut self.counters;
        counters.max_reads_per_second = self.reads.max;
        counters.max_writes_per_second = self.writes.max;
        *counters.calls.entry(kind.into()).or_default() += 1;
        let second = now.duration_since(self.started_at).as_secs();
        let count = counters.seconds.entry(second).or_default();
        *(if is_write { &mut count.writes } else { &mut count.reads }) += 1;
        if counters.seconds.len() > MAX_SECONDS {
            counters.seconds.pop_first();
        }
        true
    }
}
