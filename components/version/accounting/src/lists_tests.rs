//! Tests of the compact encodings of lists.

use proptest::prelude::*;
use types::prelude::*;

use crate::lists::{VersionList, WorkList};
use crate::records::{VersionRecord, WorkObject};
use crate::test_data::{at, object, run, work};

/// The platform's limit of the size of a value.
const MAX_VALUE_BYTES: usize = 1 << 20;

proptest! {
    /// Guards against an encoding that loses work or assigns it to another contract.
    #[test]
    fn lists_read_back_unchanged(
        entries in prop::collection::vec((0u64..90, 0u8..4, 0u8..4, 0u8..3, any::<u64>()), 0..30),
        versions in prop::collection::vec((any::<u64>(), prop::collection::btree_map(0u8..4, 0u8..3, 0..4)), 0..6),
    ) {
        let name = |n: u8| -> Box<str> { format!("n{n}").into() };
        let list: WorkList = entries
            .iter()
            .map(|(minute, m, c, v, tokens)| work(*minute, &name(*m), &name(*c), &name(*v), *tokens))
            .collect();
        let json = serde_json::to_string(&list).unwrap();
        prop_assert_eq!(serde_json::from_str::<WorkList>(&json).unwrap(), list);
        let list: VersionList = versions
            .into_iter()
            .map(|(version, contracts)| {
                let contracts = contracts.into_iter().map(|(c, v)| (name(c), name(v))).collect();
                VersionRecord { version, adopted_at: at(version % 1_000_000), contracts }
            })
            .collect();
        let json = serde_json::to_string(&list).unwrap();
        prop_assert_eq!(serde_json::from_str::<VersionList>(&json).unwrap(), list);
    }
}

/// Guards against a corrupt object that is read in part instead of rejected.
#[test]
fn a_missing_contract_is_an_error() {
    let json = r#"{"first_minute":1,"contracts":[],"models":{"m":[[0,0,1]]}}"#;
    assert!(serde_json::from_str::<WorkList>(json).is_err());
}

/// Guards against an object that exceeds the platform's limit at the target scale. In one hour, an
/// instance counts work for 200 models a minute and adopts 917 versions, each of which amends one
/// of 300 contracts.
#[test]
fn an_hour_at_the_target_scale_fits_in_one_value() {
    let hash = |n: u64| -> Box<str> { format!("{n:064x}").into() };
    let model = |n: u64| format!("assistant-model-{n}");
    let minutes = 29_900_000..29_900_060;
    let counted = minutes.flat_map(|minute| (0..200).map(move |n| (minute, n)));
    let counted =
        counted.map(|(minute, n)| work(minute, &model(n), "client_account", &hash(n % 5), 123_456));
    let mut contracts: BTreeMap<ClientAccountId, Box<str>> =
        (0..300).map(|n| (format!("account-{n}").into(), hash(n))).collect();
    let versions = (0..917).map(|version| {
        contracts.insert(format!("account-{}", version % 300).into(), hash(1_000 + version));
        VersionRecord { version, adopted_at: at(1_796_292_000_000), contracts: contracts.clone() }
    });
    let mut hour = run(0, counted.collect());
    hour.versions = versions.collect();
    let object: WorkObject = object(1, hour);
    let bytes = serde_json::to_vec(&object).unwrap().len();
    assert!(bytes < MAX_VALUE_BYTES / 2, "{bytes} bytes");
}
