//! Burn rates, budgets and alerts.

use std::fmt;

use serde::Serialize;
use types::prelude::*;

use crate::alert::{Alert, HeldBack, LONG, MIDDLE, SHORT, alert, burn_rate_milli};
use crate::state::{BurnState, SeriesState};
use crate::window::{Counts, WINDOWS};

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

/// One client account and class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BurnRow {
    /// The client account.
    pub client_account: ClientAccountId,
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
    /// A more urgent alert that the rates call for but the number of requests does not allow.
    pub held_back: Option<HeldBack>,
    /// Burn rate in thousandths over the last 6 hours in steps of 5 minutes, oldest first; `None`
    /// without requests.
    pub history_milli: Vec<Option<u64>>,
}

/// Burn of all client accounts and classes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct BurnReport {
    /// Rows sorted by client account and class.
    pub rows: Vec<BurnRow>,
    /// Requests that were not counted because there were too many client accounts and classes.
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
    pub fn most_urgent_alert(&self) -> Alert {
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
    let (alert, held_back) = alert(sums, series.objective);
    BurnRow {
        client_account: series.client_account.clone(),
        class: series.class.clone(),
        objective: series.objective,
        windows: windows.collect(),
        budget_left: budget_left(sums[LONG], series.objective),
        alert,
        held_back,
        history_milli: history(series),
    }
}

fn budget_left(counts: Counts, objective: BasisPoints) -> i64 {
    let used_milli = i64::try_from(burn_rate_milli(counts, objective)).unwrap_or(i64::MAX / 100);
    i64::from(HUNDRED_PERCENT) - used_milli * 10
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
                "client account",
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
                "note: {} requests were not counted; there are too many client accounts and classes",
                self.uncounted
            )?;
        }
        for missing in &self.missing {
            writeln!(f, "missing: {missing}")?;
        }
        Ok(())
    }
}

/// The alert, and why a more urgent one is not raised although the rates are high.
pub(crate) fn alert_cell(row: &BurnRow) -> String {
    let alert = row.alert.as_str();
    let Some(held) = &row.held_back else { return alert.into() };
    format!(
        "{alert} ({} held back: {} bad of {} requests in {}, needs {} of {})",
        held.alert.as_str(),
        held.bad,
        held.requests,
        held.window,
        held.least_bad,
        held.least_requests
    )
}

fn cells(row: &BurnRow) -> [String; 10] {
    let long = &row.windows[LONG];
    [
        row.client_account.to_string(),
        row.class.to_string(),
        percentage(row.objective.into()),
        rate(row.windows[SHORT].burn_rate_milli),
        rate(row.windows[MIDDLE].burn_rate_milli),
        rate(long.burn_rate_milli),
        long.good.to_string(),
        long.bad.to_string(),
        percentage(row.budget_left),
        alert_cell(row),
    ]
}
