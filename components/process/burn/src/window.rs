//! Rings of counters that cover one window each.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Good and bad requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Requests that met their targets.
    pub good: u32,
    /// Requests that did not.
    pub bad: u32,
}

impl Counts {
    /// All requests.
    pub fn total(self) -> u64 {
        u64::from(self.good) + u64::from(self.bad)
    }

    /// Adds other counts. Counts saturate: at four thousand million requests in one bucket the ratio
    /// no longer changes noticeably.
    pub fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

/// Length and resolution of a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowShape {
    /// Name in reports.
    pub name: &'static str,
    /// Time of one bucket.
    pub bucket: Duration,
    /// Buckets that cover the window. One more is kept, since the newest one is incomplete, so that
    /// a window covers at least its length and at most one bucket more.
    pub buckets: u16,
}

/// The windows: 5 minutes, 1 hour and 6 hours. They take 165 buckets of 8 bytes per series.
pub const WINDOWS: [WindowShape; 3] = [
    WindowShape { name: "5m", bucket: Duration::from_secs(10), buckets: 30 },
    WindowShape { name: "1h", bucket: Duration::from_secs(60), buckets: 60 },
    WindowShape { name: "6h", bucket: Duration::from_secs(300), buckets: 72 },
];

/// Counters of one window.
#[derive(Clone, Debug)]
pub(crate) struct Ring {
    shape: WindowShape,
    buckets: Box<[Counts]>,
    /// Number of the newest bucket, counted from the start of the process.
    newest: u64,
}

impl Ring {
    pub(crate) fn new(shape: WindowShape) -> Self {
        let buckets = vec![Counts::default(); usize::from(shape.buckets) + 1].into();
        Self { shape, buckets, newest: 0 }
    }

    /// Counts requests at a time since the start of the process.
    pub(crate) fn record(&mut self, elapsed: Duration, counts: Counts) {
        self.advance(elapsed);
        let slot = self.slot(self.newest);
        self.buckets[slot].add(counts);
    }

    /// Counts by age in buckets, newest first, without empty buckets.
    pub(crate) fn by_age(&self, elapsed: Duration) -> Vec<(u16, Counts)> {
        let now = self.number(elapsed).max(self.newest);
        (0..=self.shape.buckets)
            .filter_map(|age| {
                let number = now.checked_sub(u64::from(age))?;
                let kept =
                    number <= self.newest && self.newest - number <= u64::from(self.shape.buckets);
                let counts = if kept { self.buckets[self.slot(number)] } else { Counts::default() };
                (counts.total() > 0).then_some((age, counts))
            })
            .collect()
    }

    /// Drops buckets that have left the window. Time that runs backwards counts as the newest time.
    fn advance(&mut self, elapsed: Duration) {
        let now = self.number(elapsed);
        let steps = now.saturating_sub(self.newest).min(self.buckets.len() as u64);
        for step in 0..steps {
            let slot = self.slot(now - step);
            self.buckets[slot] = Counts::default();
        }
        self.newest = self.newest.max(now);
    }

    fn number(&self, elapsed: Duration) -> u64 {
        elapsed.as_secs() / self.shape.bucket.as_secs()
    }

    fn slot(&self, number: u64) -> usize {
        usize::try_from(number % self.buckets.len() as u64).unwrap_or_default()
    }
}
