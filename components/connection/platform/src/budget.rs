//! Call budget of one instance: token buckets for reads and writes, and backoff after failures.

use rand::Rng;
use types::object::CallPriority;
use types::prelude::*;

/// Fraction of the platform's rates that all instances together use at most, when all are busy.
const USABLE_FRACTION: f64 = 0.8;

/// Minimum burst of a bucket in calls. A claim makes two writes in a row.
const MIN_BURST_CALLS: f64 = 2.0;

/// Burst of a bucket in seconds of its rate, unless `MIN_BURST_CALLS` is more.
const BURST_SECONDS: f64 = 0.5;

/// Delay after the first failure, before jitter.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Default of the longest delay between two attempts during an outage. A lease of 9 s expires
/// during such an outage, but every instance reaches the platform soon after its end, and the
/// attempts of all instances are spread over half of this delay.
const DEFAULT_MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Time after the backoff during which only lease calls may use the retry.
const LEASE_HEAD_START: Duration = Duration::from_millis(20);

/// Longest time that other calls wait for the result of a probe, which is the single attempt
/// after a failure.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Rate and burst of one token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Sustained rate in calls per second.
    pub per_second: f64,
    /// Capacity of the bucket in calls.
    pub burst: f64,
}

/// Rate limits of one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Reads, lists, watches and instance lists.
    pub reads: Rate,
    /// Writes and deletes.
    pub writes: Rate,
}

impl Rates {
    /// Returns the rates of one instance if `instances` instances share the platform's rates
    /// equally.
    pub fn share(reads_per_second: u32, writes_per_second: u32, instances: u32) -> Self {
        let share = |total: u32| {
            let per_second = f64::from(total) * USABLE_FRACTION / f64::from(instances.max(1));
            Rate { per_second, burst: (per_second * BURST_SECONDS).max(MIN_BURST_CALLS) }
        };
        Self { reads: share(reads_per_second), writes: share(writes_per_second) }
    }
}

/// Decision of [`Budget::admit`] on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call may be sent now.
    Admitted,
    /// The call must be submitted again at this time.
    WaitUntil(Instant),
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: Rate,
    /// Between -1, after a lease call borrowed a token, and `rate.burst`.
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    fn new(now: Instant, rate: Rate) -> Self {
        Self { rate, tokens: rate.burst, refilled_at: now }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate.per_second).min(self.rate.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Consumes a token if the bucket holds at least `needed` tokens.
    fn consume(&mut self, now: Instant, needed: f64) -> Admission {
        self.refill(now);
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Admission::Admitted;
        }
        let wait_seconds = (needed - self.tokens) / self.rate.per_second;
        // The added millisecond ensures that the bucket holds the tokens at that time.
        Admission::WaitUntil(now + Duration::from_secs_f64(wait_seconds) + Duration::from_millis(1))
    }
}

/// Call budget of one instance.
///
/// Ordinary calls wait for a token. Lease calls may borrow one token, which makes ordinary calls
/// wait longer. After a failure the budget admits one call at a time as a probe, after a jittered
/// delay that doubles with each failure. The first success empties the buckets, so that the
/// waiting calls are not all sent at once.
#[derive(Clone, Debug)]
pub struct Budget {
    reads: Bucket,
    writes: Bucket,
    failures: u32,
    /// Earliest time of the next call; used only while `failures` is not zero.
    retry_at: Instant,
    /// Time until which other calls wait for the result of the probe in flight.
    probe_until: Option<Instant>,
    /// Longest delay between two attempts during an outage.
    max_backoff: Duration,
}

impl Budget {
    /// Creates a budget with full buckets.
    pub fn new(now: Instant, rates: Rates) -> Self {
        Self {
            reads: Bucket::new(now, rates.reads),
            writes: Bucket::new(now, rates.writes),
            failures: 0,
            retry_at: now,
            probe_until: None,
            max_backoff: DEFAULT_MAX_BACKOFF,
        }
    }

    /// Sets the longest delay between two attempts during an outage.
    pub fn set_max_backoff(&mut self, delay: Duration) {
        self.max_backoff = delay;
    }

    /// Sets the rates, for example when the number of instances changes.
    pub fn set_rates(&mut self, now: Instant, rates: Rates) {
        for (bucket, rate) in [(&mut self.reads, rates.reads), (&mut self.writes, rates.writes)] {
            bucket.refill(now);
            bucket.rate = rate;
            bucket.tokens = bucket.tokens.min(rate.burst);
        }
    }

    /// Returns true if the last attempt failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Decides whether a call may be sent now. `Admitted` consumes a token.
    pub fn admit(&mut self, now: Instant, is_write: bool, priority: CallPriority) -> Admission {
        let is_lease = priority == CallPriority::Lease;
        if self.failures > 0 {
            let head_start = if is_lease { Duration::ZERO } else { LEASE_HEAD_START };
            let admit_at = self.probe_until.unwrap_or(self.retry_at + head_start);
            if admit_at > now {
                return Admission::WaitUntil(admit_at);
            }
        }
        let bucket = if is_write { &mut self.writes } else { &mut self.reads };
        let admission = bucket.consume(now, if is_lease { 0.0 } else { 1.0 });
        if self.failures > 0 && admission == Admission::Admitted {
            self.probe_until = Some(now + PROBE_TIMEOUT);
        }
        admission
    }

    /// Records that the platform responded to a call; a conflict counts as a success.
    pub fn record_success(&mut self, now: Instant) {
        if self.failures > 0 {
            for bucket in [&mut self.reads, &mut self.writes] {
                bucket.refill(now);
                bucket.tokens = bucket.tokens.min(0.0);
            }
        }
        self.failures = 0;
        self.probe_until = None;
    }

    /// Records that a call failed or that the platform refused it for its rate.
    pub fn record_failure(&mut self, now: Instant, rng: &mut impl Rng) {
        // Calls that were already in flight at the first failure count as one failure with it.
        let is_already_counted = self.failures > 0 && self.probe_until.is_none();
        if is_already_counted && now < self.retry_at {
            return;
        }
        self.retry_at = now + backoff::delay(INITIAL_BACKOFF, self.max_backoff, self.failures, rng);
        self.failures += 1;
        self.probe_until = None;
    }
}
