//! Report of burn rates, error budgets and alerts.

use std::fmt;

use serde::Serialize;
use types::prelude::*;

use crate::alert::{
    Alert, FIVE_MINUTES, HeldBack, ONE_HOUR, SIX_HOURS, burn_rate_milli, evaluate_alerts,
};
use crate::state::{BurnState, SeriesState};
use crate::window::{Counts, WINDOWS};

/// Counts and burn rate of one window in a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WindowRow {
    /// Name of the window.
    pub window: &'static str,
    /// Requests that met their targets.
    pub good: u32,
    /// Requests that missed their targets.
    pub bad: u32,
    /// Burn rate in thousandths; zero without requests.
    pub burn_rate_milli: u64,
}

/// Burn rates, error budget and alert of one client account and class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BurnRow {
    /// The client account.
    pub client_account: ClientAccountId,
    /// The class.
    pub class: ClassId,
    /// Fraction of requests that must be good, in basis points.
    pub objective: BasisPoints,
    /// The windows, shortest first.
    pub windows: Vec<WindowRow>,
    /// Remaining fraction of the error budget of the last 6 hours, in basis points of the budget. It
    /// is negative if the budget is overspent, and the whole budget if there were no requests.
    pub budget_left: i64,
    /// Alert that is raised.
    pub alert: Alert,
    /// A more urgent alert that the burn rates call for but that is held back because of too few
    /// requests.
    pub held_back: Option<HeldBack>,
    /// Burn rates in thousandths over the last 6 hours in steps of 5 minutes, oldest first; `None`
    /// for a step without requests.
    pub history_milli: Vec<Option<u64>>,
}

/// Burn report of all client accounts and classes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct BurnReport {
    /// Rows sorted by client account and class.
    pub rows: Vec<BurnRow>,
    /// Requests that were not counted because there were too many client accounts and classes.
    pub uncounted: u64,
    /// Instances whose counts are missing from the report, with the reason for each.
    pub missing: Vec<Box<str>>,
}

impl BurnReport {
    /// Computes the report from merged counts.
    pub fn new(state: &BurnState) -> Self {
        Self {
            rows: state.series.iter().map(build_row).collect(),
            uncounted: state.uncounted,
            missing: Vec::new(),
        }
    }

    /// The most urgent alert of all rows.
    pub fn most_urgent_alert(&self) -> Alert {
        self.rows.iter().map(|row| row.alert).max().unwrap_or(Alert::None)
    }

    /// Renders the report as JSON.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }
}

fn build_row(series: &SeriesState) -> BurnRow {
    let sums = [FIVE_MINUTES, ONE_HOUR, SIX_HOURS].map(|window| series.sum(window));
    let windows = WINDOWS.iter().zip(sums).map(|(shape, counts)| WindowRow {
        window: shape.name,
        good: counts.good,
        bad: counts.bad,
        burn_rate_milli: burn_rate_milli(counts, series.objective),
    });
    let (alert, held_back) = evaluate_alerts(sums, series.objective);
    BurnRow {
        client_account: series.client_account.clone(),
        class: series.class.clone(),
        objective: series.objective,
        windows: windows.collect(),
        budget_left: budget_left(sums[SIX_HOURS], series.objective),
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
    let mut history = vec![None; usize::from(WINDOWS[SIX_HOURS].bucket_count) + 1];
    for (age, counts) in series.windows.get(SIX_HOURS).into_iter().flatten() {
        let newest = history.len() - 1;
        if let Some(point) = newest.checked_sub(usize::from(*age)).and_then(|n| history.get_mut(n))
        {
            *point = Some(burn_rate_milli(*counts, series.objective));
        }
    }
    history
}

/// Formats thousandths as a decimal number with two decimals.
pub(crate) fn format_rate(milli: u64) -> String {
    let hundredths = (milli + 5) / 10;
    format!("{}.{:02}", hundredths / 100, hundredths % 100)
}

/// Formats basis points as a percentage with two decimals.
pub(crate) fn format_percentage(basis_points: i64) -> String {
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
        table.extend(self.rows.iter().map(text_cells));
        let width = |column: usize| {
            table.iter().map(|r| r[column].chars().count()).max().unwrap_or_default()
        };
        let widths: [usize; 10] = std::array::from_fn(width);
        for row in &table {
            let mut line = String::new();
            for (column, (cell, width)) in row.iter().zip(widths).enumerate() {
                match column {
                    0 | 1 | 9 => line.push_str(&format!("{cell:<width$}  ")),
                    _ => line.push_str(&format!("{cell:>width$}  ")),
                }
            }
            writeln!(f, "{}", line.trim_end())?;
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

/// Formats the alert and, if a more urgent one is held back, the reason.
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

fn text_cells(row: &BurnRow) -> [String; 10] {
    let six_hours = &row.windows[SIX_HOURS];
    [
        row.client_account.to_string(),
        row.class.to_string(),
        format_percentage(row.objective.into()),
        format_rate(row.windows[FIVE_MINUTES].burn_rate_milli),
        format_rate(row.windows[ONE_HOUR].burn_rate_milli),
        format_rate(six_hours.burn_rate_milli),
        six_hours.good.to_string(),
        six_hours.bad.to_string(),
        format_percentage(row.budget_left),
        alert_cell(row),
    ]
}
