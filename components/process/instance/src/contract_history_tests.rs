//! Tests of the contracts under which the work of requests is recorded.

use types::prelude::*;

use crate::contract_history::ContractHistory;

/// Guards against work that is recorded under the contract of another version, or under none, and
/// against a history that grows without bound.
#[test]
fn work_is_recorded_under_the_contract_of_its_version() {
    let start = Instant::now();
    let hours = |n: u64| start + Duration::from_secs(n * 3600);
    let mut history = ContractHistory::default();
    let mut adopt = |version, now, contracts: &[(&str, &str)]| {
        let contracts = contracts.iter().map(|(c, hash)| ((*c).into(), (*hash).into())).collect();
        history.record(version, &contracts, now);
    };
    adopt(3, hours(0), &[("a", "a3"), ("b", "b3")]);
    adopt(4, hours(1), &[("a", "a4"), ("b", "b3")]);
    adopt(6, hours(2), &[("a", "a6")]);
    adopt(7, hours(50), &[("a", "a7"), ("b", "b7")]);
    let contract_of = |client_account: &str, version| {
        history.get(client_account, version).map(|hash| hash.to_string())
    };
    for (client_account, version, expected) in [
        ("a", 4, Some("a4")),
        ("a", 5, Some("a4")),
        ("a", 6, Some("a6")),
        ("a", 7, Some("a7")),
        ("b", 5, Some("b3")),
        ("b", 7, Some("b7")),
        ("c", 7, None),
        // Replaced at hour 1 and dropped two days later.
        ("a", 3, None),
    ] {
        assert_eq!(
            contract_of(client_account, version).as_deref(),
            expected,
            "{client_account} in version {version}"
        );
    }
}
