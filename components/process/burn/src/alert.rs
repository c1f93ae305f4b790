//! Alerts on burn rates, each over a long and a short window.

use serde::Serialize;
use types::prelude::*;

use crate::window::{Counts, WINDOWS};

/// Burn rate over 1 hour and 5 minutes from which an operator is paged, in thousandths. At this
/// rate, one hour uses 2% of a 30-day error budget.
pub const PAGE_BURN_RATE_MILLI: u64 = 14_400;

/// Burn rate over 6 hours and 1 hour from which a ticket is opened, in thousandths. At this rate,
/// six hours use 5% of a 30-day error budget.
pub const TICKET_BURN_RATE_MILLI: u64 = 6_000;

/// Minimum number of requests in the last hour for a page. At an objective of 99%, 14.4% of 20
/// requests are 2.88, so that three bad requests reach the threshold and two do not.
pub const PAGE_MIN_REQUESTS: u64 = 20;

/// Minimum number of requests in the last 6 hours for a ticket. At an objective of 99%, three bad
/// requests of 50 are the 6% that reach the threshold.
pub const TICKET_MIN_REQUESTS: u64 = 50;

/// Minimum number of bad requests in the longer window of an alert. With a stricter objective than
/// 99%, one bad request of hundreds gives a high burn rate; two bad requests may be chance with any
/// objective.
pub const MIN_BAD_REQUESTS: u64 = 3;

// Indices in `WINDOWS`.
pub(crate) const FIVE_MINUTES: usize = 0;
pub(crate) const ONE_HOUR: usize = 1;
pub(crate) const SIX_HOURS: usize = 2;

/// Urgency of the action that an operator has to take. The short window of each alert makes it end
/// soon after its cause is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// No action is needed.
    None,
    /// The error budget is used up too fast to be ignored: burn rate 6 over 6 h and 1 h.
    Ticket,
    /// The error budget will be used up within days: burn rate 14.4 over 1 h and 5 min.
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

/// An alert whose burn rates reach the thresholds but that is not raised, because there are too few
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct HeldBack {
    /// Alert that is not raised.
    pub alert: Alert,
    /// Name of the window in which requests are counted: the longer window of the alert.
    pub window: &'static str,
    /// Requests in the window.
    pub requests: u64,
    /// Minimum number of requests in the window for the alert.
    pub least_requests: u64,
    /// Bad requests in the window.
    pub bad: u64,
    /// Minimum number of bad requests in the window for the alert.
    pub least_bad: u64,
}

/// Condition of an alert: thresholds over two windows, given by their indices in [`WINDOWS`].
struct AlertRule {
    alert: Alert,
    long_window: usize,
    short_window: usize,
    min_burn_rate_milli: u64,
    min_requests: u64,
}

/// Alert rules, most urgent first.
const ALERT_RULES: [AlertRule; 2] = [
    AlertRule {
        alert: Alert::Page,
        long_window: ONE_HOUR,
        short_window: FIVE_MINUTES,
        min_burn_rate_milli: PAGE_BURN_RATE_MILLI,
        min_requests: PAGE_MIN_REQUESTS,
    },
    AlertRule {
        alert: Alert::Ticket,
        long_window: SIX_HOURS,
        short_window: ONE_HOUR,
        min_burn_rate_milli: TICKET_BURN_RATE_MILLI,
        min_requests: TICKET_MIN_REQUESTS,
    },
];

/// Returns the most urgent alert to raise, and the most urgent one above it that is held back
/// because of too few requests.
///
/// Only the longer window of a rule requires a minimum number of requests: the short window merely
/// ends the alert, and 20 requests per hour are fewer than two in 5 minutes.
pub(crate) fn evaluate_alerts(
    sums: [Counts; 3],
    objective: BasisPoints,
) -> (Alert, Option<HeldBack>) {
    let mut held_back = None;
    for rule in &ALERT_RULES {
        let reaches_threshold =
            |window: usize| reaches_threshold(sums[window], objective, rule.min_burn_rate_milli);
        if !reaches_threshold(rule.long_window) || !reaches_threshold(rule.short_window) {
            continue;
        }
        let counts = sums[rule.long_window];
        let (requests, bad) = (counts.total(), u64::from(counts.bad));
        if requests >= rule.min_requests && bad >= MIN_BAD_REQUESTS {
            return (rule.alert, held_back);
        }
        held_back.get_or_insert(HeldBack {
            alert: rule.alert,
            window: WINDOWS[rule.long_window].name,
            requests,
            least_requests: rule.min_requests,
            bad,
            least_bad: MIN_BAD_REQUESTS,
        });
    }
    (Alert::None, held_back)
}

/// Fraction of requests that may be bad, in basis points; at least one, so that no burn rate is
/// infinite.
fn error_budget(objective: BasisPoints) -> u64 {
    u64::from(HUNDRED_PERCENT.saturating_sub(objective).max(1))
}

/// Burn rate in thousandths, rounded to the nearest.
pub fn burn_rate_milli(counts: Counts, objective: BasisPoints) -> u64 {
    let scaled = u64::from(counts.bad) * 1000 * u64::from(HUNDRED_PERCENT);
    let divisor = counts.total() * error_budget(objective);
    (scaled + divisor / 2).checked_div(divisor).unwrap_or(0)
}

/// Whether a burn rate, without rounding, is at least a threshold in thousandths.
fn reaches_threshold(counts: Counts, objective: BasisPoints, threshold_milli: u64) -> bool {
    let scaled = u128::from(counts.bad) * 1000 * u128::from(HUNDRED_PERCENT);
    let bound = u128::from(threshold_milli)
        * u128::from(counts.total())
        * u128::from(error_budget(objective));
    counts.bad > 0 && scaled >= bound
}
