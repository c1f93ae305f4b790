//! Alerts from burn rates over pairs of windows.

use serde::Serialize;
use types::prelude::*;

use crate::window::{Counts, WINDOWS};

/// Burn rate over 1 hour and 5 minutes from which an operator is paged, in thousandths: 2% of a
/// 30-day budget in one hour.
pub const PAGE_BURN_RATE_MILLI: u64 = 14_400;

/// Burn rate over 6 hours and 1 hour from which a ticket is opened, in thousandths: 5% of a 30-day
/// budget in six hours.
pub const TICKET_BURN_RATE_MILLI: u64 = 6_000;

/// Least requests in the last hour for a page: at an objective of 99%, 14.4% of 20 requests are 2.88,
/// so that three bad ones reach the threshold and two do not.
pub const PAGE_MIN_REQUESTS: u64 = 20;

/// Least requests in the last 6 hours for a ticket: at an objective of 99%, three bad ones of 50 are
/// the 6% that reach the threshold.
pub const TICKET_MIN_REQUESTS: u64 = 50;

/// Least bad requests in the longer window of a pair. A stricter objective than 99% turns one bad
/// request of hundreds into a high rate; two bad ones may be chance whatever the objective is.
pub const MIN_BAD_REQUESTS: u64 = 3;

// Indices in `WINDOWS`.
pub(crate) const SHORT: usize = 0;
pub(crate) const MIDDLE: usize = 1;
pub(crate) const LONG: usize = 2;

/// Whether somebody has to act. The short window of each pair ends an alert soon after its cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Nothing to do.
    None,
    /// The budget is used up too fast to be left alone: 6 over 6 h and 1 h.
    Ticket,
    /// The budget is used up within days: 14.4 over 1 h and 5 min.
    Page,
}

impl Alert {
    /// The name in reports and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Ticket => "ticket",
            Self::Page => "page",
        }
    }
}

/// An alert that the burn rates call for and that too few requests hold back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct HeldBack {
    /// The alert that is not raised.
    pub alert: Alert,
    /// Window in which the requests are counted: the longer one of the pair.
    pub window: &'static str,
    /// Requests in the window.
    pub requests: u64,
    /// Requests from which the alert may be raised.
    pub least_requests: u64,
    /// Bad requests in the window.
    pub bad: u64,
    /// Bad requests from which the alert may be raised.
    pub least_bad: u64,
}

/// A pair of windows with its thresholds.
struct Pair {
    alert: Alert,
    long: usize,
    short: usize,
    rate_milli: u64,
    least_requests: u64,
}

/// The pairs, most urgent first.
const PAIRS: [Pair; 2] = [
    Pair {
        alert: Alert::Page,
        long: MIDDLE,
        short: SHORT,
        rate_milli: PAGE_BURN_RATE_MILLI,
        least_requests: PAGE_MIN_REQUESTS,
    },
    Pair {
        alert: Alert::Ticket,
        long: LONG,
        short: MIDDLE,
        rate_milli: TICKET_BURN_RATE_MILLI,
        least_requests: TICKET_MIN_REQUESTS,
    },
];

/// The most urgent alert, and the most urgent one above it that too few requests hold back.
///
/// Only the longer window of a pair needs a number of requests: the short one merely ends the alert,
/// and 20 requests an hour are fewer than two in 5 minutes.
pub(crate) fn alert(sums: [Counts; 3], objective: BasisPoints) -> (Alert, Option<HeldBack>) {
    let mut held_back = None;
    for pair in &PAIRS {
        let burns = |window: usize| burns(sums[window], objective, pair.rate_milli);
        if !burns(pair.long) || !burns(pair.short) {
            continue;
        }
        let counts = sums[pair.long];
        let (requests, bad) = (counts.total(), u64::from(counts.bad));
        if requests >= pair.least_requests && bad >= MIN_BAD_REQUESTS {
            return (pair.alert, held_back);
        }
        held_back.get_or_insert(HeldBack {
            alert: pair.alert,
            window: WINDOWS[pair.long].name,
            requests,
            least_requests: pair.least_requests,
            bad,
            least_bad: MIN_BAD_REQUESTS,
        });
    }
    (Alert::None, held_back)
}

/// The part of requests that may be bad; at least one basis point, so that no rate is infinite.
fn allowed(objective: BasisPoints) -> u64 {
    u64::from(HUNDRED_PERCENT.saturating_sub(objective).max(1))
}

/// Burn rate in thousandths, rounded to the nearest.
pub fn burn_rate_milli(counts: Counts, objective: BasisPoints) -> u64 {
    let scaled = u64::from(counts.bad) * 1000 * u64::from(HUNDRED_PERCENT);
    let divisor = counts.total() * allowed(objective);
    (scaled + divisor / 2).checked_div(divisor).unwrap_or(0)
}

/// Whether a burn rate is at least a threshold in thousandths, without rounding.
fn burns(counts: Counts, objective: BasisPoints, threshold_milli: u64) -> bool {
    let scaled = u128::from(counts.bad) * 1000 * u128::from(HUNDRED_PERCENT);
    let bound =
        u128::from(threshold_milli) * u128::from(counts.total()) * u128::from(allowed(objective));
    counts.bad > 0 && scaled >= bound
}
