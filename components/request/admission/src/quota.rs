//! Quotas of client accounts over all instances.
//!
//! Each of `N` instances owns `1 / N` of the rate and the burst of each quota, its share. An
//! instance uses its share itself, or it pledges the share to another instance, a holder, which
//! fills one bucket for each account from all shares pledged to it and hands out whole requests.
//! A pledge ends at a deadline and is for one holder, so that a share counts at one place at a time
//! whoever fails, and no election is needed: any instance may be a holder. In a window `W`, all
//! instances together let through at most `rate * (W + TOKEN_LIFE + MAX_RESERVATION) + burst`.
//!
//! [`QuotaPool`] is the state of a holder and [`QuotaShare`] that of an instance that asks. Both do
//! no I/O. Their times are to be on a clock that counts suspension.

mod account_tokens;
mod decision;
mod holders;
mod messages;
mod pledge;
mod pool;
mod share;
mod stock;

use types::prelude::*;

use crate::token_bucket::BucketLimits;

pub use decision::{QuotaDecision, QuotaUse, QuotaVerdict, ShareState, Ticket};
pub use messages::{
    AccountKey, InstanceKey, PledgeEcho, QuotaAnswer, QuotaAsk, QuotaGrant, QuotaRequest, RunKey,
};
pub use pool::QuotaPool;
pub use share::QuotaShare;

/// How long a share is pledged, from when the holder's message arrived that the pledge answers.
pub const PLEDGE_TERM: Duration = Duration::from_millis(1_200);
/// Time after which granted tokens are void.
pub const TOKEN_LIFE: Duration = Duration::from_millis(500);
/// Longest time in advance for which a holder grants tokens that its bucket does not have yet.
pub const MAX_RESERVATION: Duration = Duration::from_millis(250);
/// Part of [`PLEDGE_TERM`] that a holder does not count, for clocks that differ in their rates.
const PLEDGE_MARGIN: Duration = Duration::from_millis(10);

/// Rate and burst of a quota over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaLimits {
    /// Units per second.
    pub per_second: u64,
    /// Units that may be used at once after a pause.
    pub burst: u64,
}

impl QuotaLimits {
    /// Limits of the bucket for `shares` of `instances` shares; nothing while the number of instances
    /// is not known, that is `0`.
    fn part(&self, shares: usize, instances: usize) -> BucketLimits {
        let shares = if instances == 0 { 0 } else { shares };
        let instances = instances.max(shares).max(1) as u128;
        let part = |units: u64| {
            let milli = u128::from(units) * 1_000 * shares as u128 / instances;
            u64::try_from(milli).unwrap_or(u64::MAX)
        };
        BucketLimits { rate_milli: part(self.per_second), burst_milli: part(self.burst) }
    }
}
