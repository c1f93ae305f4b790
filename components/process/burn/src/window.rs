//! Ring buffers of counters, each covering one window.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Numbers of good and bad requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Requests that met their targets.
    pub good: u32,
    /// Requests that missed their targets.
    pub bad: u32,
}

impl Counts {
    /// Number of all requests.
    pub fn total(self) -> u64 {
        u64::from(self.good) + u64::from(self.bad)
    }

    /// Adds other counts. The sums saturate, since at four billion requests in a bucket the ratio
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
    /// Time that one bucket covers.
    pub bucket_length: Duration,
    /// Number of buckets that cover the window. The ring has one more, since its newest bucket is
    /// incomplete, so that it covers at least the length of the window and at most one bucket more.
    pub bucket_count: u16,
}

/// All windows, shortest first. They take 165 buckets of 8 bytes per series.
pub const WINDOWS: [WindowShape; 3] = [
    WindowShape { name: "5m", bucket_length: Duration::from_secs(10), bucket_count: 30 },
    WindowShape { name: "1h", bucket_length: Duration::from_secs(60), bucket_count: 60 },
    WindowShape { name: "6h", bucket_length: Duration::from_secs(300), bucket_count: 72 },
];

/// Ring buffer of the counters of one window.
#[derive(Clone, Debug)]
pub(crate) struct Ring {
    shape: WindowShape,
    buckets: Box<[Counts]>,
    /// Number of the newest bucket, counted from the start of the process.
    newest: u64,
}

impl Ring {
    pub(crate) fn new(shape: WindowShape) -> Self {
        let buckets = vec![Counts::default(); usize::from(shape.bucket_count) + 1].into();
        Self { shape, buckets, newest: 0 }
    }

    /// Adds counts at a time since the start of the process.
    pub(crate) fn record(&mut self, elapsed: Duration, counts: Counts) {
        self.advance(elapsed);
        let slot = self.slot(self.newest);
        self.buckets[slot].add(counts);
    }

    /// Returns the non-empty buckets with their ages in buckets, newest first.
    pub(crate) fn by_age(&self, elapsed: Duration) -> Vec<(u16, Counts)> {
        let now = self.bucket_number(elapsed).max(self.newest);
        (0..=self.shape.bucket_count)
            .filter_map(|age| {
                let number = now.checked_sub(u64::from(age))?;
                let is_retained = number <= self.newest
                    && self.newest - number <= u64::from(self.shape.bucket_count);
                let counts =
                    if is_retained { self.buckets[self.slot(number)] } else { Counts::default() };
                (counts.total() > 0).then_some((age, counts))
            })
            .collect()
    }

    /// Clears the buckets that have left the window. A time before the newest bucket counts as the
    /// time of the newest bucket.
    fn advance(&mut self, elapsed: Duration) {
        let now = self.bucket_number(elapsed);
        let steps = now.saturating_sub(self.newest).min(self.buckets.len() as u64);
        for step in 0..steps {
            let slot = self.slot(now - step);
            self.buckets[slot] = Counts::default();
        }
        self.newest = self.newest.max(now);
    }

    fn bucket_number(&self, elapsed: Duration) -> u64 {
        elapsed.as_secs() / self.shape.bucket_length.as_secs()
    }

    fn slot(&self, number: u64) -> usize {
        usize::try_from(number % self.buckets.len() as u64).unwrap_or_default()
    }
}
