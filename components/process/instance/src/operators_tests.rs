//! Tests of the replies to operators.

use burn::{BurnState, Counts, SeriesState};
use telemetry::Metrics;

use crate::operators::encode_metrics;

/// Guards against a metrics page that lacks the held-back alert, or the request counts that
/// monitoring needs to apply the minimum over all instances.
#[test]
fn metrics_show_held_back_alerts_and_counts() {
    let window = |good, bad| vec![(1, Counts { good, bad })];
    let series = SeriesState {
        client_account: "inspectors".into(),
        class: "batch".into(),
        version: 1,
        objective: 9_900,
        windows: vec![window(0, 2), window(3, 2), window(60, 4)],
    };
    let text =
        encode_metrics(&Metrics::new(), &BurnState { series: vec![series], uncounted: 0 }).unwrap();
    let labels = "{client_account=\"inspectors\",class=\"batch\"}";
    assert!(text.contains(&format!("sequoiawell_service_level_alert{labels} 1")), "{text}");
    assert!(text.contains(&format!("sequoiawell_service_level_alert_held_back{labels} 2")));
    let labels = "{client_account=\"inspectors\",class=\"batch\",window=\"1h\"}";
    assert!(text.contains(&format!("sequoiawell_burn_requests{labels} 5")), "{text}");
    assert!(text.contains(&format!("sequoiawell_burn_bad_requests{labels} 2")));
}
