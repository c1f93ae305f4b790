//! Tests of the metrics.

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use crate::metrics::BurnMetrics;
use crate::report::BurnReport;
use crate::state::{BurnState, SeriesState};
use crate::window::Counts;

fn report(customers: &[&str]) -> BurnReport {
    let series = customers.iter().map(|customer| SeriesState {
        customer: (*customer).into(),
        class: "interactive".into(),
        version: 1,
        objective: 9_900,
        windows: vec![vec![(0, Counts { good: 8, bad: 2 })]; 3],
    });
    BurnReport::new(&BurnState { series: series.collect(), uncounted: 0 })
}

/// Guards against metrics that drift from the report, and against series of removed customers that
/// stay and keep an alert up.
#[test]
fn metrics_show_the_report_and_drop_old_series() {
    let mut registry = Registry::default();
    let metrics = BurnMetrics::new(&mut registry);
    metrics.update(&report(&["a", "b"]));
    metrics.update(&report(&["a"]));
    let mut text = String::new();
    encode(&mut text, &registry).unwrap();
    for line in [
        "burn_rate{customer=\"a\",class=\"interactive\",window=\"5m\"} 20.0",
        "burn_bad_requests{customer=\"a\",class=\"interactive\",window=\"6h\"} 2",
        "error_budget_left{customer=\"a\",class=\"interactive\"} -19.0",
        "burn_alert{customer=\"a\",class=\"interactive\"} 2",
    ] {
        assert!(text.contains(line), "{line} is not in:\n{text}");
    }
    assert!(!text.contains("customer=\"b\""));
}
