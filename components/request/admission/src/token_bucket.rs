//! Token bucket for a rate with a burst.

use types::prelude::*;

use crate::request::LocalLimits;

/// One token, in thousandths of a token times nanoseconds.
const TOKEN: i128 = 1_000 * NANOS_PER_SECOND;
const NANOS_PER_SECOND: i128 = 1_000_000_000;

/// Rate and capacity of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BucketLimits {
    /// Thousandths of a token per second.
    pub(crate) rate_milli: u64,
    /// Largest level, in thousandths of a token.
    pub(crate) burst_milli: u64,
}

impl BucketLimits {
    /// Up to one second of the rate, and at least one token.
    fn one_second(rate_milli: u64) -> Self {
        Self { rate_milli, burst_milli: rate_milli.max(1_000) }
    }

    fn capacity(&self) -> i128 {
        i128::from(self.burst_milli) * NANOS_PER_SECOND
    }
}

/// Token bucket.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    /// Never above the capacity; below zero by what is reserved and not refilled yet.
    level: i128,
    limits: BucketLimits,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that holds up to one second of its rate.
    pub(crate) fn new(limits: &LocalLimits, now: Instant) -> Self {
        let limits = BucketLimits::one_second(limits.rate_milli);
        Self { level: limits.capacity(), limits, refilled_at: now }
    }

    /// Creates an empty bucket.
    pub(crate) fn empty(limits: BucketLimits, now: Instant) -> Self {
        Self { level: 0, limits, refilled_at: now }
    }

    /// Changes the rate of a bucket that holds one second of it, without raising the level, so that
    /// moving a share between instances creates no tokens. At rate zero the bucket keeps its tokens
    /// but does not hand them out; if they were dropped, the first request after each idle period
    /// would be refused.
    pub(crate) fn set_rate(&mut self, rate_milli: u64, now: Instant) {
        let limits = match rate_milli {
            0 => BucketLimits { rate_milli, ..self.limits },
            _ => BucketLimits::one_second(rate_milli),
        };
        self.set_limits(limits, now);
    }

    /// Changes the limits without raising the level.
    pub(crate) fn set_limits(&mut self, limits: BucketLimits, now: Instant) {
        self.refill(now);
        self.limits = limits;
        self.level = self.level.min(limits.capacity());
    }

    /// Takes tokens. If they are not there, returns when they will be, or `None` if they never will.
    pub(crate) fn try_take(&mut self, cost: u64, now: Instant) -> Result<(), Option<Instant>> {
        self.reserve(cost, now, now).map(|_| ())
    }

    /// Takes tokens that will be there by `latest`, and returns from when on they may be used.
    /// Otherwise returns when they will be there, or `None` if they never will.
    pub(crate) fn reserve(
        &mut self,
        cost: u64,
        latest: Instant,
        now: Instant,
    ) -> Result<Instant, Option<Instant>> {
        self.refill(now);
        let cost = i128::from(cost) * TOKEN;
        if self.limits.rate_milli == 0 || cost > self.limits.capacity() {
            return Err(None);
        }
        let missing = (cost - self.level).max(0).unsigned_abs();
        let nanos = missing.div_ceil(u128::from(self.limits.rate_milli));
        let wait = u64::try_from(nanos).map_err(|_| None)?;
        let ready_at = now.checked_add(Duration::from_nanos(wait)).ok_or(None)?;
        if ready_at > latest.max(now) {
            return Err(Some(ready_at));
        }
        self.level -= cost;
        Ok(ready_at)
    }

    /// Whole tokens in the bucket.
    pub(crate) fn level(&mut self, now: Instant) -> u64 {
        self.refill(now);
        u64::try_from(self.level / TOKEN).unwrap_or(0)
    }

    /// Whether the bucket holds its burst.
    pub(crate) fn is_full(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.level >= self.limits.capacity()
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_nanos();
        self.refilled_at = self.refilled_at.max(now);
        if self.limits.rate_milli > 0 {
            let gained = elapsed.saturating_mul(u128::from(self.limits.rate_milli));
            let gained = i128::try_from(gained).unwrap_or(i128::MAX);
            self.level = self.level.saturating_add(gained).min(self.limits.capacity());
        }
    }
}
