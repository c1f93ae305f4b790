//! Compares whole sessions with golden files: the requests of callers, their outcomes, and the
//! orders that engines receive. `UPDATE_GOLDEN=1` rewrites the files.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use platform_stand_in::{Call, Outcome};

use crate::cluster::{TestCluster, engine, ledger};

/// Requests of the session: path and model.
const REQUESTS: &[(&str, Option<&str>)] = &[
    ("/read/level", None),
    ("/book/withdrawal", None),
    ("/note/x", Some("m1")),
    ("/note/x", Some("m3")),
    ("/chat/x", Some("m3")),
    ("/chat/x", Some("m3/a1")),
    ("/note/x", Some("m4")),
    ("/nowhere/x", None),
];

fn describe(outcome: &Outcome) -> String {
    let status = outcome.status.map_or_else(|| "none".into(), |status| status.to_string());
    let events = outcome.body.matches("id: ").count();
    let body = match events {
        0 => outcome.body.clone(),
        events => format!("{events} events"),
    };
    format!("{status} {body}{}", if outcome.is_complete { "" } else { ", broken off" })
}

/// Guards against changes in responses and orders that no other test checks.
#[tokio::test]
async fn session_without_faults_matches_the_golden_file() {
    let cluster = TestCluster::with_instance(vec![ledger("l1"), engine("e1", &["m1", "m2"])]).await;
    let mut transcript = String::new();
    let mut order_count = 0;
    for (n, (path, model)) in REQUESTS.iter().enumerate() {
        let id = format!("a{n}");
        let timeout = Duration::from_secs(15);
        let body = model.map(|_| "{}");
        let call = Call { model: *model, body, timeout, ..Call::new(&id, path) };
        let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
        let model_suffix = model.map_or_else(String::new, |model| format!(" for {model}"));
        writeln!(transcript, "> {id} {path}{model_suffix}").expect("infallible");
        let orders = cluster.servers[1].orders();
        let mut new: Vec<&str> = orders[order_count..].iter().map(|o| &*o.command).collect();
        order_count = orders.len();
        // The leader polls for the end of a load by sending the same order again.
        new.dedup();
        for order in new {
            writeln!(transcript, "  order to e1: {order}").expect("infallible");
        }
        writeln!(transcript, "< {id} {}", describe(&outcome)).expect("infallible");
    }
    let golden = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/sessions/platform-calm-day.transcript");
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&golden, &transcript).expect("golden file cannot be written");
    }
    let expected = std::fs::read_to_string(&golden).unwrap_or_default();
    assert_eq!(transcript, expected, "{} differs", golden.display());
}
