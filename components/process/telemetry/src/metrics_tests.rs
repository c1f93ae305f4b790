//! Tests of the metrics text that operators' monitoring reads.

use types::prelude::*;

use crate::{LoadSourceLabel, Metrics, OutcomeLabels};

/// Guards against metrics that are updated but not registered, so that the text lacks them.
#[test]
fn counted_events_appear_in_the_text() {
    let metrics = Metrics::new();
    let labels = OutcomeLabels {
        client_account: "alykes".into(),
        class: "interactive".into(),
        outcome: "answered".into(),
    };
    metrics.requests.get_or_create(&labels).inc();
    metrics.loads.get_or_create(&LoadSourceLabel::from(LoadSource::Disk)).inc_by(2);
    metrics.first_token.observe(0.3);
    let text = metrics.encode().unwrap();
    assert!(text.contains(
        "sequoiawell_requests_total{client_account=\"alykes\",class=\"interactive\",outcome=\"answered\"} 1"
    ));
    assert!(text.contains("sequoiawell_loads_total{source=\"Disk\"} 2"));
    assert!(text.contains("sequoiawell_first_token_seconds_count 1"));
    assert!(text.ends_with("# EOF\n"));
}
