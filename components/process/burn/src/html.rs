//! Renders the report as a self-contained HTML page.

use std::fmt::Write;

use crate::alert::{Alert, PAGE_BURN_RATE_MILLI, TICKET_BURN_RATE_MILLI};
use crate::report::{BurnReport, BurnRow, alert_cell, format_percentage, format_rate};

// Size of a plot in pixels, and the width of the space for the scale at its left.
const WIDTH: u64 = 640;
const HEIGHT: u64 = 120;
const MARGIN: u64 = 44;

/// Minimum burn rate at the top of a plot, so that the page threshold is always visible.
const MIN_TOP_MILLI: u64 = 16_000;

const STYLE: &str = "body{font:14px sans-serif;margin:2em;color:#222}table{border-collapse:collapse}\
th,td{padding:.25em .8em;text-align:right;border-bottom:1px solid #ccc}\
th:first-child,td:first-child,th:nth-child(2),td:nth-child(2){text-align:left}\
.page{background:#f7c6c5}.ticket{background:#fdeab5}svg{display:block;margin:.3em 0 1.2em}\
text{font:11px sans-serif;fill:#555}.rate{fill:none;stroke:#1f5fa8;stroke-width:1.5}\
.dot{fill:#1f5fa8}.axis{stroke:#999}.t-page{stroke:#c0392b;stroke-dasharray:4 3}\
.t-ticket{stroke:#c98a00;stroke-dasharray:4 3}";

impl BurnReport {
    /// Renders a table of all rows and, for each row, a plot of the last six hours.
    pub fn to_html(&self) -> String {
        let mut html =
            String::from("<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n");
        let _ = writeln!(
            html,
            "<title>Service-level burn</title>\n<style>{STYLE}</style>\n</head>\n<body>"
        );
        html.push_str("<h1>Service-level burn</h1>\n");
        self.write_notes(&mut html);
        self.write_table(&mut html);
        for row in &self.rows {
            let (client_account, class) = (escape(&row.client_account), escape(&row.class));
            let _ = writeln!(html, "<h2>{client_account}, {class}</h2>");
            write_plot(row, &mut html);
        }
        html.push_str("</body>\n</html>\n");
        html
    }

    fn write_notes(&self, html: &mut String) {
        if self.uncounted > 0 {
            let _ = writeln!(
                html,
                "<p>{} requests were not counted; there are too many client accounts and classes.</p>",
                self.uncounted
            );
        }
        for missing in &self.missing {
            let _ = writeln!(html, "<p class=\"ticket\">Missing: {}</p>", escape(missing));
        }
    }

    fn write_table(&self, html: &mut String) {
        html.push_str(
            "<table>\n<tr><th>client account</th><th>class</th><th>objective</th><th>burn 5m</th>",
        );
        html.push_str("<th>burn 1h</th><th>burn 6h</th><th>budget left</th><th>alert</th></tr>\n");
        for row in &self.rows {
            let class = if row.alert == Alert::None { "" } else { row.alert.as_str() };
            let _ = write!(
                html,
                "<tr class=\"{class}\"><td>{}</td><td>{}</td>",
                escape(&row.client_account),
                escape(&row.class)
            );
            let _ = write!(html, "<td>{}</td>", format_percentage(row.objective.into()));
            for window in &row.windows {
                let _ = write!(html, "<td>{}</td>", format_rate(window.burn_rate_milli));
            }
            let _ = writeln!(
                html,
                "<td>{}</td><td>{}</td></tr>",
                format_percentage(row.budget_left),
                alert_cell(row)
            );
        }
        html.push_str("</table>\n");
    }
}

/// Draws the burn rate over six hours with the thresholds of both alerts.
fn write_plot(row: &BurnRow, html: &mut String) {
    let highest = row.history_milli.iter().flatten().copied().max().unwrap_or_default();
    let top = highest.max(MIN_TOP_MILLI);
    let y = |milli: u64| HEIGHT - milli * (HEIGHT - 10) / top;
    let last = row.history_milli.len().saturating_sub(1).max(1) as u64;
    let x = |n: usize| MARGIN + n as u64 * (WIDTH - MARGIN - 4) / last;
    let _ = writeln!(
        html,
        "<svg width=\"{WIDTH}\" height=\"{}\" role=\"img\" aria-label=\"Burn rate over 6 hours\">",
        HEIGHT + 18
    );
    for (milli, class) in
        [(PAGE_BURN_RATE_MILLI, "t-page"), (TICKET_BURN_RATE_MILLI, "t-ticket"), (0, "axis")]
    {
        let level = y(milli);
        let _ = writeln!(
            html,
            "<line class=\"{class}\" x1=\"{MARGIN}\" y1=\"{level}\" x2=\"{WIDTH}\" y2=\"{level}\"/>"
        );
        let _ = writeln!(
            html,
            "<text x=\"2\" y=\"{}\">{}</text>",
            level.saturating_sub(2).max(10),
            format_rate(milli)
        );
    }
    for section in split_at_gaps(&row.history_milli) {
        let points: Vec<_> =
            section.iter().map(|(n, milli)| format!("{},{}", x(*n), y(*milli))).collect();
        if let [(n, milli)] = section[..] {
            let _ = writeln!(
                html,
                "<circle class=\"dot\" cx=\"{}\" cy=\"{}\" r=\"2\"/>",
                x(n),
                y(milli)
            );
        } else {
            let _ = writeln!(html, "<polyline class=\"rate\" points=\"{}\"/>", points.join(" "));
        }
    }
    let text_y = HEIGHT + 14;
    let _ = writeln!(
        html,
        "<text x=\"{MARGIN}\" y=\"{text_y}\">-6 h</text><text x=\"{}\" y=\"{text_y}\">now</text>\n</svg>",
        WIDTH - 26
    );
}

/// Splits the history into sections without gaps. A line across a gap would show burn rates for
/// times without requests.
fn split_at_gaps(history: &[Option<u64>]) -> Vec<Vec<(usize, u64)>> {
    let numbered: Vec<_> = history.iter().copied().enumerate().collect();
    let sections =
        numbered.split(|(_, point)| point.is_none()).filter(|section| !section.is_empty());
    sections.map(|s| s.iter().filter_map(|(n, point)| point.map(|p| (*n, p))).collect()).collect()
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
