//! Formats cost reports as a table, CSV or JSON.

use std::fmt;
use std::time::UNIX_EPOCH;

use humantime::format_rfc3339_millis;
use types::prelude::*;

use crate::report::{CostLine, CostReport};

/// Label shown in place of a client account for unattributed time.
const UNATTRIBUTED: &str = "(unattributed)";

/// Number of hex digits of a contract version that the table shows.
const SHORT_HASH_DIGITS: usize = 8;

impl CostReport {
    /// Formats the lines as CSV with a header row. Amounts are whole accelerator-milliseconds. For
    /// unattributed time, the client account and the contract version are empty.
    pub fn to_csv(&self) -> Result<String, csv::Error> {
        let mut writer = csv::Writer::from_writer(Vec::new());
        writer.write_record([
            "client_account",
            "model",
            "contract_version",
            "tokens",
            "busy_ms",
            "idle_ms",
            "total_ms",
            "flagged_ms",
        ])?;
        for line in &self.lines {
            writer.write_record([
                line.client_account.as_deref().unwrap_or_default(),
                &line.model,
                line.contract_version.as_deref().unwrap_or_default(),
                &line.tokens.to_string(),
                &line.busy_ms.to_string(),
                &line.idle_ms.to_string(),
                &line.total_ms().to_string(),
                &line.flagged_ms.to_string(),
            ])?;
        }
        let bytes = writer.into_inner().map_err(|e| e.into_error())?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Formats the whole report as JSON.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }

    /// Sums the accelerator-milliseconds by client account, with `None` for unattributed time.
    pub fn by_client_account(&self) -> BTreeMap<Option<ClientAccountId>, u64> {
        let mut sums = BTreeMap::new();
        for line in &self.lines {
            *sums.entry(line.client_account.clone()).or_default() += line.total_ms();
        }
        sums
    }
}

impl fmt::Display for CostReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_table(f, &self.rows())?;
        writeln!(f, "\ntotal: {} accelerator-seconds", seconds(self.total_ms))?;
        for (client_account, ms) in self.by_client_account() {
            let name = client_account.as_deref().unwrap_or(UNATTRIBUTED);
            let basis_points = (u128::from(ms) * 10_000 + u128::from(self.total_ms) / 2)
                / u128::from(self.total_ms.max(1));
            writeln!(
                f,
                "  {name}: {} ({}.{:02}%)",
                seconds(ms),
                basis_points / 100,
                basis_points % 100
            )?;
        }
        if self.unmatched_tokens > 0 {
            writeln!(
                f,
                "note: {} tokens were counted while their model held no accelerator",
                self.unmatched_tokens
            )?;
        }
        for gap in &self.gaps {
            let duration = seconds(gap.to_ms - gap.from_ms);
            let at = format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(gap.from_ms));
            let (instance, incarnation) = (&gap.instance, gap.incarnation);
            let problem = if gap.died { "died and lost up to" } else { "has not written up to" };
            writeln!(
                f,
                "flagged: instance {instance}, incarnation {incarnation}, {problem} {duration} s of counted work from {at} on"
            )?;
        }
        Ok(())
    }
}

impl CostReport {
    /// The header and the cost lines as text cells.
    fn rows(&self) -> Vec<[String; 8]> {
        let header = [
            "client account",
            "model",
            "contract",
            "tokens",
            "busy s",
            "idle s",
            "total s",
            "flagged s",
        ];
        let mut rows = vec![header.map(String::from)];
        rows.extend(self.lines.iter().map(format_row));
        rows
    }
}

fn format_row(line: &CostLine) -> [String; 8] {
    let version = line.contract_version.as_deref().unwrap_or("-");
    [
        line.client_account.as_deref().unwrap_or(UNATTRIBUTED).into(),
        line.model.to_string(),
        version.get(..SHORT_HASH_DIGITS).unwrap_or(version).into(),
        line.tokens.to_string(),
        seconds(line.busy_ms),
        seconds(line.idle_ms),
        seconds(line.total_ms()),
        seconds(line.flagged_ms),
    ]
}

/// Writes a table whose columns are as wide as their widest cell. The first three columns are text
/// and left-aligned, the others are numbers and right-aligned.
fn write_table(f: &mut fmt::Formatter<'_>, rows: &[[String; 8]]) -> fmt::Result {
    let width =
        |column: usize| rows.iter().map(|r| r[column].chars().count()).max().unwrap_or_default();
    let widths: [usize; 8] = std::array::from_fn(width);
    for row in rows {
        let mut text = String::new();
        for (column, (cell, width)) in row.iter().zip(widths).enumerate() {
            match column {
                0..3 => text.push_str(&format!("{cell:<width$}  ")),
                _ => text.push_str(&format!("{cell:>width$}  ")),
            }
        }
        writeln!(f, "{}", text.trim_end())?;
    }
    Ok(())
}

/// Formats milliseconds as seconds with three decimals.
fn seconds(ms: u64) -> String {
    format!("{}.{:03}", ms / 1000, ms % 1000)
}
