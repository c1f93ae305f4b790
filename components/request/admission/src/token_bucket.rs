//! Token bucket for a limit of requests per second.

use types::prelude::*;

use crate::request::LocalLimits;

/// Cost of one request, in thousandths of a request times nanoseconds.
const TOKEN: u128 = 1_000 * NANOS_PER_SECOND;
/// Length of the period whose requests may arrive in one burst.
const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Token bucket that holds up to one second of its rate, and at least one token.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    level: u128,
    rate_milli: u64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(limits: &LocalLimits, now: Instant) -> Self {
        Self {
            level: Self::capacity(limits.rate_milli),
            rate_milli: limits.rate_milli,
            refilled_at: now,
        }
    }

    /// Changes the rate without raising the level, so that moving a share between instances creates
    /// no tokens. At rate zero the bucket keeps its tokens but does not hand them out; if they were
    /// dropped, the first request after each idle period would be refused.
    pub(crate) fn set_rate(&mut self, rate_milli: u64, now: Instant) {
        self.refill(now);
        self.rate_milli = rate_milli;
        self.refill(now);
    }

    /// Takes the token for one request. If there is none, returns when there will be one, or `None`
    /// if the rate is zero.
    pub(crate) fn try_take(&mut self, now: Instant) -> Result<(), Option<Instant>> {
        self.refill(now);
        if self.level >= TOKEN && self.rate_milli > 0 {
            self.level -= TOKEN;
            return Ok(());
        }
        let missing = TOKEN.saturating_sub(self.level);
        let nanos = (self.rate_milli > 0).then(|| missing.div_ceil(u128::from(self.rate_milli)));
        Err(nanos.and_then(|n| now.checked_add(Duration::from_nanos(u64::try_from(n).ok()?))))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_nanos();
        self.refilled_at = self.refilled_at.max(now);
        if self.rate_milli > 0 {
            let gained = elapsed.saturating_mul(u128::from(self.rate_milli));
            self.level = self.level.saturating_add(gained).min(Self::capacity(self.rate_milli));
        }
    }

    fn capacity(rate_milli: u64) -> u128 {
        (u128::from(rate_milli) * NANOS_PER_SECOND).max(TOKEN)
    }
}
