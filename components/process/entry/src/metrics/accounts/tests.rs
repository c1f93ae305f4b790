//! Tests of the counters per client account.

use super::*;

/// Guards against metrics that grow with the number of accounts, and against an account name that
/// breaks the text format.
#[test]
fn labels_are_bounded_and_need_no_escapes() {
    let mut registry = Registry::default();
    let metrics = AccountMetrics::new(&mut registry);
    metrics.record_admitted("mill \"4\"\n");
    for n in 0..10_000 {
        metrics.record_admitted(&format!("account-{n}"));
        metrics.record_refused(&format!("account-{n}"), "full");
    }
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry).unwrap();
    assert!(text.contains("account_admitted_total{account=\"mill _4__\"} 1\n"), "{text}");
    assert!(text.contains("account_refused_total{account=\"account-7\",reason=\"full\"} 1\n"));
    let lines = text.lines().filter(|line| line.starts_with("account_"));
    assert_eq!(lines.count(), 2 * (MAX_NAMED_ACCOUNTS + 1) - 1, "{text}");
    let rest = 10_000 - (MAX_NAMED_ACCOUNTS - 1);
    assert!(text.contains(&format!("account_admitted_total{{account=\"(others)\"}} {rest}\n")));
}
