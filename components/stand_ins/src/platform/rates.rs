//! Call counting against the platform's rates.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Length of the sliding window over which rates are measured.
const WINDOW: Duration = Duration::from_secs(1);

/// Seconds kept in the counters; older ones drop out.
const KEPT_SECONDS: usize = 3_600;

/// Calls of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecondCount {
    /// Reads, watches included.
    pub reads: u32,
    /// Writes and deletes.
    pub writes: u32,
}

/// Calls that the platform has seen. Refused calls are counted only as refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformCounters {
    /// Calls by kind: `get`, `list`, `watch`, `instances`, `put` and `delete`.
    pub calls: BTreeMap<Box<str>, u64>,
    /// Calls by second since the start.
    pub seconds: BTreeMap<u64, SecondCount>,
    /// Most reads in any one second (sliding window).
    pub max_reads_per_second: u32,
    /// Most writes in any one second (sliding window).
    pub max_writes_per_second: u32,
    /// Calls refused with 429.
    pub refused_above_rate: u64,
    /// Calls whose connection was closed by an outage or a cut-off.
    pub closed: u64,
    /// Writes that found another version.
    pub conflicts: u64,
    /// Writes that took effect and whose answer was lost.
    pub lost_answers: u64,
}

/// Counts calls over a sliding window.
#[derive(Debug, Default)]
struct Meter {
    recent: VecDeque<Instant>,
    max: u32,
}

impl Meter {
    /// Whether one more call at `now` stays within `limit`.
    fn has_room(&mut self, now: Instant, limit: u32) -> bool {
        while self.recent.front().is_some_and(|first| now.duration_since(*first) >= WINDOW) {
            self.recent.pop_front();
        }
        self.recent.len() < limit as usize
    }

    fn count(&mut self, now: Instant) {
        self.recent.push_back(now);
        self.max = self.max.max(self.recent.len() as u32);
    }
}

/// Measures reads and writes.
#[derive(Debug)]
pub(crate) struct Rates {
    started_at: Instant,
    reads: Meter,
    writes: Meter,
    pub(crate) counters: PlatformCounters,
}

impl Rates {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            reads: Meter::default(),
            writes: Meter::default(),
            counters: PlatformCounters::default(),
        }
    }

    /// Counts one call of `kind`; with `refuse`, returns false for a call above `limit`.
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        kind: &str,
        is_write: bool,
        limit: u32,
        refuse: bool,
    ) -> bool {
        let meter = if is_write { &mut self.writes } else { &mut self.reads };
        if !meter.has_room(now, limit) && refuse {
            self.counters.refused_above_rate += 1;
            return false;
        }
        meter.count(now);
        let counters = &mut self.counters;
        counters.max_reads_per_second = self.reads.max;
        counters.max_writes_per_second = self.writes.max;
        *counters.calls.entry(kind.into()).or_default() += 1;
        let second = now.duration_since(self.started_at).as_secs();
        let count = counters.seconds.entry(second).or_default();
        *(if is_write { &mut count.writes } else { &mut count.reads }) += 1;
        if counters.seconds.len() > KEPT_SECONDS {
            counters.seconds.pop_first();
        }
        true
    }
}
