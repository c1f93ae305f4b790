//! Token bucket for requests a second.

use types::prelude::*;

use crate::request::LocalLimits;

/// One request, in thousandths of a request times nanoseconds.
const REQUEST: u128 = 1_000 * NANOS_PER_SECOND;
/// Nanoseconds in the time whose requests may arrive at once.
const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Token bucket; holds at most one second's requests, but at least one.
#[derive(Debug)]
pub(crate) struct Bucket {
    level: u128,
    rate_milli: u64,
    at: Instant,
}

impl Bucket {
    /// A full bucket.
    pub(crate) fn new(limits: &LocalLimits, now: Instant) -> Self {
        Self { level: Self::capacity(limits.rate_milli), rate_milli: limits.rate_milli, at: now }
    }

    /// Changes the rate. The level never rises by that, so moving a share creates no tokens. While
    /// the share is away the tokens earned under it are kept, but cannot be used; otherwise each
    /// first request after a quiet time would be refused.
    pub(crate) fn set_rate(&mut self, rate_milli: u64, now: Instant) {
        self.refill(now);
        self.rate_milli = rate_milli;
        self.refill(now);
    }

    /// Takes a token for one request, or says when there will be one.
    pub(crate) fn take(&mut self, now: Instant) -> Result<(), Option<Instant>> {
        self.refill(now);
        if self.level >= REQUEST && self.rate_milli > 0 {
            self.level -= REQUEST;
            return Ok(());
        }
        let missing = REQUEST.saturating_sub(self.level);
        let nanos = (self.rate_milli > 0).then(|| missing.div_ceil(u128::from(self.rate_milli)));
        Err(nanos.and_then(|n| now.checked_add(Duration::from_nanos(u64::try_from(n).ok()?))))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_nanos();
        self.at = self.at.max(now);
        if self.rate_milli > 0 {
            let gained = elapsed.saturating_mul(u128::from(self.rate_milli));
            self.level = self.level.saturating_add(gained).min(Self::capacity(self.rate_milli));
        }
    }

    fn capacity(rate_milli: u64) -> u128 {
        (u128::from(rate_milli) * NANOS_PER_SECOND).max(REQUEST)
    }
}
