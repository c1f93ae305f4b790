//! Tests of the rules for contracts and the catalogue.

use std::sync::Arc;

use rstest::rstest;
use types::prelude::*;

use crate::directory::read_directory;
use crate::test_data::{CATALOGUE, KEY_A, KEY_B, TestDir, contract};
use crate::validate::{percent, validate};

fn valid_configuration(test: &str) -> Configuration {
    let (a, b) = (contract(KEY_A, "60%"), contract(KEY_B, "40%"));
    let dir = TestDir::new(test, &[("a.ini", &a), ("b.ini", &b), ("catalogue.ini", CATALOGUE)]);
    read_directory(dir.path()).unwrap()
}

/// Guards against a rule that is not checked. Each change breaks exactly one rule.
#[rstest]
#[case::no_key(|c: &mut Contract| c.key_hashes.clear(), "at least one key")]
#[case::model(|c: &mut Contract| { c.models.insert("absent".into()); }, "declares no model \"absent\"")]
#[case::service(|c: &mut Contract| { c.services.insert("absent".into()); }, "declares no service \"absent\"")]
#[case::adapter(|c: &mut Contract| { c.adapters.get_mut("summary").unwrap().insert("absent".into()); }, "declares no adapter \"absent\"")]
#[case::adapter_model(|c: &mut Contract| { c.models.remove("summary"); }, "does not permit this model")]
#[case::default_class(|c: &mut Contract| c.default_class = "absent".into(), "no class \"absent\"")]
#[case::no_class(|c: &mut Contract| c.classes.clear(), "at least one section [class NAME]")]
#[case::no_model_or_service(|c: &mut Contract| { c.models.clear(); c.adapters.clear(); c.services.clear(); }, "neither a model nor a service")]
#[case::first_token(|c: &mut Contract| interactive_class(c).first_token = Duration::from_micros(1), "at least 1ms")]
#[case::completion(|c: &mut Contract| interactive_class(c).completion = Duration::from_secs(1), "before its first token")]
#[case::no_objective(|c: &mut Contract| interactive_class(c).objective = 0, "error budget")]
#[case::no_budget(|c: &mut Contract| interactive_class(c).objective = 10_000, "error budget")]
#[case::capacity_sum(|c: &mut Contract| c.capacity_share -= 1, "capacity shares of all client accounts add up to 99.99%")]
#[case::cost_sum(|c: &mut Contract| c.cost_share += 1, "cost shares of all client accounts add up to 100.01%")]
#[case::same_key(|c: &mut Contract| { c.key_hashes.insert(KEY_B.into()); }, "has the same key")]
fn a_broken_rule_in_a_contract_is_found(#[case] change: fn(&mut Contract), #[case] expected: &str) {
    let mut configuration = valid_configuration("rule");
    assert_eq!(validate(&configuration), []);
    change(Arc::make_mut(configuration.contracts.get_mut("a").unwrap()));
    let found = validate(&configuration);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].to_string().contains(expected), "{found:?}");
}

fn interactive_class(contract: &mut Contract) -> &mut UrgencyClass {
    contract.classes.get_mut("interactive").unwrap()
}

/// Guards against accepting a catalogue that no engine could serve.
#[rstest]
#[case(|m: &mut Model| m.memory_bytes = 0, "needs memory")]
#[case(|m: &mut Model| m.adapter_slots = 0, "no slot")]
#[case(|m: &mut Model| m.load_time.memory = Duration::from_secs(20), "faster than from memory")]
#[case(|m: &mut Model| m.load_time.remote = Duration::from_secs(3), "faster than from disk")]
fn a_broken_rule_in_the_catalogue_is_found(#[case] change: fn(&mut Model), #[case] expected: &str) {
    let mut configuration = valid_configuration("catalogue-rule");
    let catalogue = Arc::make_mut(&mut configuration.catalogue);
    change(catalogue.models.get_mut("summary").unwrap());
    let found = validate(&configuration);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].to_string().contains(expected), "{found:?}");
}

/// Guards against accepting an empty directory, which would remove every client account.
#[test]
fn a_configuration_without_contracts_is_invalid() {
    assert_eq!(validate(&Configuration::default()).len(), 1);
}

/// Guards against rounding and missing digits in percentages.
#[test]
fn percentages_are_written_exactly() {
    assert_eq!(
        [percent(10_000), percent(9_990), percent(5), percent(9_050)],
        ["100%", "99.9%", "0.05%", "90.5%"]
    );
}
