//! Tests of the contents of flushes of counted work.

use std::time::UNIX_EPOCH;

use accounting::{Ledger, WorkObject, work_name};
use types::prelude::*;

use crate::finished::Finished;
use crate::usage::Usage;

fn finished(tokens: u64) -> Finished {
    Finished {
        client_account: "a".into(),
        class: "batch".into(),
        model: Some("m".into()),
        version: 1,
        refused: None,
        first_token_in: None,
        in_time: true,
        was_cold: false,
        tokens,
    }
}

fn configuration() -> Configuration {
    let contract = Contract {
        client_account: "a".into(),
        key_hashes: BTreeSet::new(),
        models: BTreeSet::new(),
        adapters: BTreeMap::new(),
        classes: BTreeMap::new(),
        default_class: "batch".into(),
        capacity_share: 1,
        cost_share: 1,
        limits: Limits { requests_per_second: 1, concurrent_requests: 1, queued_requests: 1 },
        services: BTreeSet::new(),
    };
    let mut cfg = Configuration { version: 1, ..Configuration::default() };
    cfg.contracts.insert("a".into(), contract.into());
    cfg
}

/// Guards against work counted during an outage of the platform that the first flush after the
/// outage writes and the second one overwrites, and against objects that grow with the age of the
/// run.
#[test]
fn work_of_an_outage_stays_written() {
    let start = Instant::now();
    let wall = |minute: u64| UNIX_EPOCH + Duration::from_secs(60 * (60_000 + minute));
    let mut usage = Usage::new("i".into(), start);
    usage.record_adoption(&configuration(), start, wall(0));
    let mut objects = BTreeMap::<Box<str>, WorkObject>::new();
    for minute in 0..600 {
        usage.count(&finished(1 + minute), wall(minute));
        let now = start + Duration::from_secs(60 * minute);
        let run = usage.begin_flush(false, now, wall(minute));
        // The platform is unreachable for three hours.
        let is_written = !(100..280).contains(&minute);
        if is_written {
            assert!(run.work.len() <= 240, "{} records in minute {minute}", run.work.len());
            let object = objects.entry(work_name("i", wall(minute))).or_default();
            object.runs.insert(1, run);
        }
        usage.on_written(minute, is_written);
    }
    let mut ledger = Ledger::new();
    objects.values().for_each(|object| ledger.add_work("i", object).unwrap());
    // Without accelerators, all counted tokens are unmatched.
    let report = ledger.report(wall(0), wall(600), wall(600));
    assert_eq!(report.unmatched_tokens, (1..=600).sum::<u64>());
}
