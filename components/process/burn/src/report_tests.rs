//! Tests of burn rates, alerts and output formats.

use rstest::rstest;

use crate::alert::{Alert, burn_rate_milli};
use crate::report::BurnReport;
use crate::state::{BurnState, SeriesState};
use crate::window::Counts;

fn series(client_account: &str, objective: u32, windows: [(u32, u32); 3]) -> SeriesState {
    let windows = windows.map(|(good, bad)| vec![(1, Counts { good, bad })]);
    SeriesState {
        client_account: client_account.into(),
        class: "interactive".into(),
        version: 1,
        objective,
        windows: windows.into(),
    }
}

fn report(series: Vec<SeriesState>) -> BurnReport {
    BurnReport::new(&BurnState { series, uncounted: 0 })
}

/// Guards against thresholds that are missed by rounding, and against alerts from one window alone.
/// At an objective of 95%, the burn rate is 14.4 with 72% of bad requests and 6 with 30%.
#[rstest]
#[case::both([(28, 72), (28, 72), (100, 0)], Alert::Page)]
#[case::just_below([(28, 72), (2801, 7199), (100, 0)], Alert::None)]
#[case::only_five_minutes([(0, 100), (100, 0), (100, 0)], Alert::None)]
#[case::only_one_hour([(100, 0), (28, 72), (100, 0)], Alert::None)]
#[case::ticket([(100, 0), (70, 30), (70, 30)], Alert::Ticket)]
#[case::ticket_below([(100, 0), (70, 30), (701, 299)], Alert::None)]
#[case::page_first([(0, 100), (0, 100), (0, 100)], Alert::Page)]
#[case::idle([(0, 0), (0, 0), (0, 0)], Alert::None)]
fn alerts_need_both_windows(#[case] windows: [(u32, u32); 3], #[case] expected: Alert) {
    let report = report(vec![series("a", 9_500, windows)]);
    assert_eq!(report.rows[0].alert, expected);
    assert_eq!(report.most_urgent_alert(), expected);
}

/// Guards against a wrong scale of rates and budgets.
#[test]
fn rates_and_budgets_are_in_proportion_to_the_objective() {
    assert_eq!(burn_rate_milli(Counts { good: 99, bad: 1 }, 9_900), 1_000);
    assert_eq!(burn_rate_milli(Counts { good: 999, bad: 1 }, 9_900), 100);
    assert_eq!(burn_rate_milli(Counts::default(), 9_900), 0);
    let rows = report(vec![
        series("a", 9_900, [(0, 0), (0, 0), (995, 5)]),
        series("b", 9_900, [(0, 0), (0, 0), (97, 3)]),
    ])
    .rows;
    assert_eq!((rows[0].budget_left, rows[1].budget_left), (5_000, -20_000));
    assert_eq!((rows[0].history_milli.len(), rows[0].history_milli[71]), (73, Some(500)));
}

/// Guards against a table with misaligned columns or without the missing instances.
#[test]
fn the_text_shows_each_window_and_missing_instances() {
    let mut report = report(vec![series("foremen", 9_900, [(9, 1), (99, 1), (995, 5)])]);
    report.missing.push("127.0.0.1:9: connection refused".into());
    let expected = "\
client account  class        objective  burn 5m  burn 1h  burn 6h  good 6h  bad 6h  budget left  alert
foremen         interactive     99.00%    10.00     1.00     0.50      995       5       50.00%  none
missing: 127.0.0.1:9: connection refused
";
    assert_eq!(report.to_string(), expected);
}

/// Guards against a high burn rate without an alert for which the report gives no reason.
#[test]
fn each_format_shows_an_alert_that_too_few_requests_hold_back() {
    let report = report(vec![series("inspectors", 9_900, [(0, 2), (3, 2), (60, 4)])]);
    let expected = "\
client account  class        objective  burn 5m  burn 1h  burn 6h  good 6h  bad 6h  budget left  alert
inspectors      interactive     99.00%   100.00    40.00     6.25       60       4     -525.00%  ticket (page held back: 2 bad of 5 requests in 1h, needs 3 of 20)
";
    assert_eq!(report.to_string(), expected);
    let json: serde_json::Value = serde_json::from_str(&report.to_json().unwrap()).unwrap();
    let held_back = serde_json::json!({
        "alert": "page", "window": "1h", "requests": 5, "least_requests": 20, "bad": 2, "least_bad": 3,
    });
    assert_eq!(json["rows"][0]["held_back"], held_back);
    assert!(report.to_html().contains(
        "<td>ticket (page held back: 2 bad of 5 requests in 1h, needs 3 of 20)</td></tr>"
    ));
}

/// Guards against an HTML page that loads external resources or contains unescaped names.
#[test]
fn the_html_page_is_self_contained_and_escapes_names() {
    let html = report(vec![series("<b>&\"x", 9_900, [(9, 1), (99, 1), (995, 5)])]).to_html();
    for reference in ["http", "src=", "href", "url(", "@import", "<script"] {
        assert!(!html.contains(reference), "{reference}");
    }
    assert!(html.contains("&lt;b&gt;&amp;&quot;x") && !html.contains("<b>"));
    assert!(html.contains("<svg") && html.contains("<circle"));
}

/// Guards against a plot that joins points across times without requests.
#[test]
fn a_gap_interrupts_the_line() {
    let mut row = series("a", 9_900, [(1, 0), (1, 0), (1, 0)]);
    row.windows[2] = [70, 69, 60, 59, 3]
        .into_iter()
        .rev()
        .map(|age| (age, Counts { good: 9, bad: 1 }))
        .collect();
    let html = report(vec![row]).to_html();
    assert_eq!(html.matches("<polyline").count(), 2);
    assert_eq!(html.matches("<circle").count(), 1);
}
