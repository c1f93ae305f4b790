//! Whole sessions against golden files: what callers ask, what they are told, and which orders the
//! engines get. `UPDATE_GOLDEN=1` writes the files anew.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use platform_stand_in::{Call, Outcome};

use crate::world::{World, engine, ledger};

/// Requests of the session: path and model.
const DAY: &[(&str, Option<&str>)] = &[
    ("/read/level", None),
    ("/book/withdrawal", None),
    ("/note/x", Some("m1")),
    ("/note/x", Some("m3")),
    ("/chat/x", Some("m3")),
    ("/chat/x", Some("m3/a1")),
    ("/note/x", Some("m4")),
    ("/nowhere/x", None),
];

fn told(outcome: &Outcome) -> String {
    let status = outcome.status.map_or_else(|| "none".into(), |status| status.to_string());
    let events = outcome.body.matches("id: ").count();
    let what = match events {
        0 => outcome.body.clone(),
        events => format!("{events} events"),
    };
    format!("{status} {what}{}", if outcome.is_complete { "" } else { ", broken off" })
}

/// Guards against changes of what callers and engines see that no other test looks for.
#[tokio::test]
async fn a_calm_day_is_as_the_golden_file_holds() {
    let world = World::serving(vec![ledger("l1"), engine("e1", &["m1", "m2"])]).await;
    let mut transcript = String::new();
    let mut orders_seen = 0;
    for (n, (path, model)) in DAY.iter().enumerate() {
        let id = format!("a{n}");
        let patience = Duration::from_secs(15);
        let body = model.map(|_| "{}");
        let call = Call { model: *model, body, patience, ..Call::new(&id, path) };
        let outcome = world.caller.call(world.entry(), &call).await;
        let asked = model.map_or_else(String::new, |model| format!(" for {model}"));
        writeln!(transcript, "> {id} {path}{asked}").expect("text");
        let orders = world.servers[1].orders();
        let mut new: Vec<&str> = orders[orders_seen..].iter().map(|o| &*o.what).collect();
        orders_seen = orders.len();
        // The end of a load is asked for by the same order once more.
        new.dedup();
        for order in new {
            writeln!(transcript, "  order to e1: {order}").expect("text");
        }
        writeln!(transcript, "< {id} {}", told(&outcome)).expect("text");
    }
    let golden = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/sessions/platform-calm-day.transcript");
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&golden, &transcript).expect("the golden file can be written");
    }
    let expected = std::fs::read_to_string(&golden).unwrap_or_default();
    assert_eq!(transcript, expected, "{} differs", golden.display());
}
