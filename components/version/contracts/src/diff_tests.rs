//! Tests of differences between configurations.

use std::sync::Arc;

use proptest::prelude::*;
use types::prelude::*;

use crate::diff::diff;
use crate::directory::read_directory;
use crate::test_data::{CATALOGUE, KEY_A, KEY_B, TestDir, contract};

fn read_configuration(test: &str) -> Configuration {
    let (a, b) = (contract(KEY_A, "60%"), contract(KEY_B, "40%"));
    let dir = TestDir::new(test, &[("a.ini", &a), ("b.ini", &b), ("catalogue.ini", CATALOGUE)]);
    read_directory(dir.path()).unwrap()
}

/// Guards against a change that an operator cannot see before applying it.
#[test]
fn changes_are_shown_as_the_files_write_them() {
    let old = read_configuration("diff-text");
    let mut new = old.clone();
    let a = Arc::make_mut(new.contracts.get_mut("a").unwrap());
    a.capacity_share = 5_550;
    a.models.remove("tally");
    a.models.insert("quote".into());
    let class = a.classes.get_mut("interactive").unwrap();
    class.first_token = Duration::from_secs(2);
    class.worth_milli = 1_500;
    let batch = UrgencyClass { priority: 10, ..class.clone() };
    a.classes.insert("batch".into(), batch);
    new.contracts.remove("b");
    Arc::make_mut(&mut new.catalogue).models.get_mut("tally").unwrap().memory_bytes = 48 << 30;
    let text = diff(&old, &new).to_string();
    let mut lines = text.lines().map(|l| l.split(" (").next().unwrap());
    let expected = [
        "~ catalogue",
        "    ~ models.tally.memory: 40GiB -> 48GiB",
        "~ contract a",
        "    ~ capacity_share: 60% -> 55.5%",
        "    + classes.batch: completion 20s, first_token 2s, objective 95%, priority 10, worth 1.500",
        "    ~ classes.interactive.first_token: 1s 500ms -> 2s",
        "    ~ classes.interactive.worth: 0.250 -> 1.500",
        "    - models: tally",
        "    + models: quote",
        "- contract b",
    ];
    for line in expected {
        assert_eq!(lines.next(), Some(line), "{text}");
    }
    assert_eq!(lines.next(), None);
}

/// Guards against JSON without the values that the text shows.
#[test]
fn json_names_old_and_new_values() {
    let old = read_configuration("diff-json");
    let mut new = old.clone();
    Arc::make_mut(new.contracts.get_mut("a").unwrap()).limits.queued_requests = 31;
    let json = serde_json::to_value(diff(&old, &new)).unwrap();
    assert_eq!(json["objects"][0]["object"], "contract a");
    let change = serde_json::json!({ "path": "limits.queued_requests", "old": 30, "new": 31 });
    assert_eq!(json["objects"][0]["changes"], serde_json::json!([change]));
}

proptest! {
    /// Guards against missing and spurious differences: the diff is empty exactly if the
    /// configurations are equal, and both directions show the same paths.
    #[test]
    fn a_diff_is_empty_exactly_for_equal_configurations(
        shares in (0u32..3, 0u32..3),
        models in (0usize..4, 0usize..4),
        calls in (0usize..4, 0usize..4),
    ) {
        let build = |share, models, calls| {
            let mut c = Configuration::default();
            let names = |n: usize| ["a", "b", "c"].into_iter().take(n).map(Box::from);
            let contract = Contract {
                client_account: "x".into(),
                key_hashes: BTreeSet::new(),
                models: names(models).collect(),
                adapters: BTreeMap::new(),
                classes: BTreeMap::new(),
                default_class: "interactive".into(),
                capacity_share: share,
                cost_share: 1,
                limits: Limits { requests_per_second: 1, concurrent_requests: 1, queued_requests: 1 },
                services: BTreeSet::new(),
            };
            c.contracts.insert("x".into(), Arc::new(contract));
            let mut patterns: Vec<_> = names(3)
                .map(|path| CallPattern { method: "GET".into(), path_prefix: path })
                .collect();
            patterns.rotate_left(calls % 3);
            let service = Service { idempotent_calls: patterns, timeout: Duration::from_secs(1) };
            Arc::make_mut(&mut c.catalogue).services.insert("s".into(), service);
            c
        };
        let (old, new) = (build(shares.0, models.0, calls.0), build(shares.1, models.1, calls.1));
        let (forward, backward) = (diff(&old, &new), diff(&new, &old));
        prop_assert_eq!(forward.is_empty(), old == new);
        let paths = |d: &crate::Diff| -> BTreeSet<_> {
            d.objects.iter().flat_map(|o| o.changes.iter().map(|c| c.path.clone())).collect()
        };
        prop_assert_eq!(paths(&forward), paths(&backward));
    }
}
