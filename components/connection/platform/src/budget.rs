//! Call budget of one instance: token buckets and backoff.

use rand::Rng;
use types::object::CallPriority;
use types::prelude::*;

/// Part of the platform's rates that all instances use at most when all of them are busy.
const USED_PART: f64 = 0.8;

/// Fewest calls that a full bucket allows at once. A claim takes two writes in a row.
const MIN_BURST: f64 = 2.0;

/// A full bucket holds the calls of this many seconds, if that is more than `MIN_BURST`.
const BURST_SECONDS: f64 = 0.5;

/// First delay after a failure.
const FIRST_DELAY: Duration = Duration::from_millis(100);

/// Longest delay between two attempts during an outage, unless it is set. A lease of 9 s then lapses, but every
/// instance finds the platform again soon after the outage and spread over half this time.
const MAX_DELAY: Duration = Duration::from_secs(4);

/// How long lease calls may use a retry before all others do.
const LEASE_HEAD_START: Duration = Duration::from_millis(20);

/// How long other calls wait for the first attempt after a failure.
const PROBE_LIMIT: Duration = Duration::from_secs(1);

/// Rate of one bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Calls a second in the long run.
    pub per_second: f64,
    /// Calls that a full bucket allows at once.
    pub burst: f64,
}

/// Rates of one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Reads, lists, watches and instance lists.
    pub reads: Rate,
    /// Writes and deletes.
    pub writes: Rate,
}

impl Rates {
    /// Equal share of the platform's rates for one of `instances`.
    pub fn share(reads_per_second: u32, writes_per_second: u32, instances: u32) -> Self {
        let share = |total: u32| {
            let per_second = f64::from(total) * USED_PART / f64::from(instances.max(1));
            Rate { per_second, burst: (per_second * BURST_SECONDS).max(MIN_BURST) }
        };
        Self { reads: share(reads_per_second), writes: share(writes_per_second) }
    }
}

/// Whether a call may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it.
    Go,
    /// Ask again then.
    Wait(Instant),
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: Rate,
    /// Between -1 (a lease call went ahead) and `rate.burst`.
    tokens: f64,
    filled_at: Instant,
}

impl Bucket {
    fn new(now: Instant, rate: Rate) -> Self {
        Self { rate, tokens: rate.burst, filled_at: now }
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate.per_second).min(self.rate.burst);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes a token if at least `needed` are there.
    fn take(&mut self, now: Instant, needed: f64) -> Admission {
        self.fill(now);
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Admission::Go;
        }
        let missing = (needed - self.tokens) / self.rate.per_second;
        // Rounded up so that the tokens are there at that time.
        Admission::Wait(now + Duration::from_secs_f64(missing) + Duration::from_millis(1))
    }
}

/// Call budget of one instance.
///
/// Ordinary calls wait for a token. Lease calls may take one token in advance, which ordinary
/// calls then wait for longer. After a failure only one call is tried at a time, after a jittered
/// delay that doubles with each failure; the first success empties the buckets, so that the calls
/// that waited do not come all at once.
#[derive(Clone, Debug)]
pub struct Budget {
    reads: Bucket,
    writes: Bucket,
    failures: u32,
    /// No call before this time; matters while `failures` is not zero.
    retry_at: Instant,
    /// Until then the result of the present attempt is awaited.
    probe_until: Option<Instant>,
    /// Longest delay between two attempts during an outage.
    longest_delay: Duration,
}

impl Budget {
    /// A budget with full buckets.
    pub fn new(now: Instant, rates: Rates) -> Self {
        Self {
            reads: Bucket::new(now, rates.reads),
            writes: Bucket::new(now, rates.writes),
            failures: 0,
            retry_at: now,
            probe_until: None,
            longest_delay: MAX_DELAY,
        }
    }

    /// Changes the longest delay between two attempts during an outage.
    pub fn set_longest_delay(&mut self, delay: Duration) {
        self.longest_delay = delay;
    }

    /// Changes the rates, for example with the number of instances.
    pub fn set_rates(&mut self, now: Instant, rates: Rates) {
        for (bucket, rate) in [(&mut self.reads, rates.reads), (&mut self.writes, rates.writes)] {
            bucket.fill(now);
            bucket.rate = rate;
            bucket.tokens = bucket.tokens.min(rate.burst);
        }
    }

    /// Whether the last attempt failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Asks to send a call now. `Go` uses the budget up.
    pub fn admit(&mut self, now: Instant, is_write: bool, priority: CallPriority) -> Admission {
        let is_lease = priority == CallPriority::Lease;
        if self.failures > 0 {
            let head_start = if is_lease { Duration::ZERO } else { LEASE_HEAD_START };
            let wait = self.probe_until.unwrap_or(self.retry_at + head_start);
            if wait > now {
                return Admission::Wait(wait);
            }
        }
        let bucket = if is_write { &mut self.writes } else { &mut self.reads };
        let admission = bucket.take(now, if is_lease { 0.0 } else { 1.0 });
        if self.failures > 0 && admission == Admission::Go {
            self.probe_until = Some(now + PROBE_LIMIT);
        }
        admission
    }

    /// The platform answered a call, be it with a conflict.
    pub fn succeeded(&mut self, now: Instant) {
        if self.failures > 0 {
            for bucket in [&mut self.reads, &mut self.writes] {
                bucket.fill(now);
                bucket.tokens = bucket.tokens.min(0.0);
            }
        }
        self.failures = 0;
        self.probe_until = None;
    }

    /// A call failed or was refused because of the rates.
    pub fn failed(&mut self, now: Instant, rng: &mut impl Rng) {
        // Calls that were sent before the first failure fail with it and count once.
        let is_counted = self.failures > 0 && self.probe_until.is_none();
        if is_counted && now < self.retry_at {
            return;
        }
        self.retry_at = now + backoff::delay(FIRST_DELAY, self.longest_delay, self.failures, rng);
        self.failures += 1;
        self.probe_until = None;
    }
}
