//! Burn rates, budgets and alerts.

use std::fmt;

use serde::Serialize;
use types::prelude::*;

use crate::state::{BurnState, SeriesState};
use crate::window::{Counts, WINDOWS};

/// Burn rate over 1 hour and 5 minutes from which an operator is paged, in thousandths: 2% of a
/// 30-day budget in one hour.
pub const PAGE_RATE_MILLI: u64 = 14_400;

/// Burn rate over 6 hours and 1 hour from which a ticket is opened, in thousandths: 5% of a 30-day
/// budget in six hours.
pub const TICKET_RATE_MILLI: u64 = 6_000;

// Indices in `WINDOWS`.
const SHORT: usize = 0;
const MIDDLE: usize = 1;
const LONG: usize = 2;

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

/// One window of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WindowRow {
    /// Name of the window.
    pub window: &'static str,
    /// Requests that met their targets.
    pub good: u32,
    /// Requests that did not.
    pub bad: u32,
    /// Burn rate in thousandths; zero without requests.
    pub burn_rate_milli: u64,
}

/// One customer and class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BurnRow {
    /// The customer.
    pub customer: CustomerId,
    /// The class.
    pub class: ClassId,
    /// Part of requests that must be good, in basis points.
    pub objective: BasisPoints,
    /// The windows, shortest first.
    pub windows: Vec<WindowRow>,
    /// What is left of the error budget of the last 6 hours, in basis points of the budget; negative
    /// if more was used than there is. The whole without requests.
    pub budget_left: i64,
    /// Alert state.
    pub alert: Alert,
    /// Burn rate in thousandths over the last 6 hours in steps of 5 minutes, oldest first; `None`
    /// without requests.
    pub history_milli: Vec<Option<u64>>,
}

/// Burn of all customers and classes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct BurnReport {
    /// Rows sorted by customer and class.
    pub rows: Vec<BurnRow>,
    /// Requests that were not counted because there were too many customers and classes.
    pub uncounted: u64,
    /// Instances whose counts are missing from the report, each with the reason.
    pub missing: Vec<Box<str>>,
}

impl BurnReport {
    /// Computes the report from merged counts.
    pub fn new(state: &BurnState) -> Self {
        Self {
            rows: state.series.iter().map(row).collect(),
            uncounted: state.uncounted,
            missing: Vec::new(),
        }
    }

    /// The most urgent alert.
    pub fn worst(&self) -> Alert {
        self.rows.iter().map(|row| row.alert).max().unwrap_or(Alert::None)
    }

    /// The whole report as JSON.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }
}

fn row(series: &SeriesState) -> BurnRow {
    let sums = [SHORT, MIDDLE, LONG].map(|window| series.sum(window));
    let windows = WINDOWS.iter().zip(sums).map(|(shape, counts)| WindowRow {
        window: shape.name,
        good: counts.good,
        bad: counts.bad,
        burn_rate_milli: burn_rate_milli(counts, series.objective),
    });
    BurnRow {
        customer: series.customer.clone(),
        class: series.class.clone(),
        objective: series.objective,
        windows: windows.collect(),
        budget_left: budget_left(sums[LONG], series.objective),
        alert: alert(sums, series.objective),
        history_milli: history(series),
    }
}

/// The part of requests that may be bad; at least one basis point, so that no rate is infinite.
fn allowed(objective: BasisPoints) -> u64 {
    u64::from(WHOLE_BASIS_POINTS.saturating_sub(objective).max(1))
}

/// Burn rate in thousandths, rounded to the nearest.
pub fn burn_rate_milli(counts: Counts, objective: BasisPoints) -> u64 {
    let scaled = u64::from(counts.bad) * 1000 * u64::from(WHOLE_BASIS_POINTS);
    let divisor = counts.total() * allowed(objective);
    (scaled + divisor / 2).checked_div(divisor).unwrap_or(0)
}

/// Whether a burn rate is at least a threshold in thousandths, without rounding.
fn burns(counts: Counts, objective: BasisPoints, threshold_milli: u64) -> bool {
    let scaled = u128::from(counts.bad) * 1000 * u128::from(WHOLE_BASIS_POINTS);
    let bound =
        u128::from(threshold_milli) * u128::from(counts.total()) * u128::from(allowed(objective));
    counts.bad > 0 && scaled >= bound
}

fn alert(sums: [Counts; 3], objective: BasisPoints) -> Alert {
    let both = |a: usize, b: usize, threshold| {
        burns(sums[a], objective, threshold) && burns(sums[b], objective, threshold)
    };
    if both(MIDDLE, SHORT, PAGE_RATE_MILLI) {
        Alert::Page
    } else if both(LONG, MIDDLE, TICKET_RATE_MILLI) {
        Alert::Ticket
    } else {
        Alert::None
    }
}

fn budget_left(counts: Counts, objective: BasisPoints) -> i64 {
    let used_milli = i64::try_from(burn_rate_milli(counts, objective)).unwrap_or(i64::MAX / 100);
    i64::from(WHOLE_BASIS_POINTS) - used_milli * 10
}

fn history(series: &SeriesState) -> Vec<Option<u64>> {
    let mut history = vec![None; usize::from(WINDOWS[LONG].buckets) + 1];
    for (age, counts) in series.windows.get(LONG).into_iter().flatten() {
        let newest = history.len() - 1;
        if let Some(point) = newest.checked_sub(usize::from(*age)).and_then(|n| history.get_mut(n))
        {
            *point = Some(burn_rate_milli(*counts, series.objective));
        }
    }
    history
}

/// Thousandths as a decimal number with two decimals.
pub(crate) fn rate(milli: u64) -> String {
    let hundredths = (milli + 5) / 10;
    format!("{}.{:02}", hundredths / 100, hundredths % 100)
}

/// Basis points as a percentage with two decimals.
pub(crate) fn percentage(basis_points: i64) -> String {
    let sign = if basis_points < 0 { "-" } else { "" };
    let n = basis_points.unsigned_abs();
    format!("{sign}{}.{:02}%", n / 100, n % 100)
}

impl fmt::Display for BurnReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = vec![
            [
                "customer",
                "class",
                "objective",
                "burn 5m",
                "burn 1h",
                "burn 6h",
                "good 6h",
                "bad 6h",
                "budget left",
                "alert",
            ]
            .map(String::from),
        ];
        table.extend(self.rows.iter().map(cells));
        let width = |column: usize| {
            table.iter().map(|r| r[column].chars().count()).max().unwrap_or_default()
        };
        let widths: [usize; 10] = std::array::from_fn(width);
        for row in &table {
            let mut text = String::new();
            for (column, (cell, width)) in row.iter().zip(widths).enumerate() {
                match column {
                    0 | 1 | 9 => text.push_str(&format!("{cell:<width$}  ")),
                    _ => text.push_str(&format!("{cell:>width$}  ")),
                }
            }
            writeln!(f, "{}", text.trim_end())?;
        }
        if self.uncounted > 0 {
            writeln!(
                f,
                "note: {} requests were not counted; there are too many customers and classes",
                self.uncounted
            )?;
        }
        for missing in &self.missing {
            writeln!(f, "missing: {missing}")?;
        }
        Ok(())
    }
}

fn cells(row: &BurnRow) -> [String; 10] {
    let long = &row.windows[LONG];
    [
        row.customer.to_string(),
        row.class.to_string(),
        percentage(row.objective.into()),
        rate(row.windows[SHORT].burn_rate_milli),
        rate(row.windows[MIDDLE].burn_rate_milli),
        rate(long.burn_rate_milli),
        long.good.to_string(),
        long.bad.to_string(),
        percentage(row.budget_left),
        row.alert.as_str().into(),
    ]
}
