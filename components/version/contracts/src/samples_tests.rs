//! Tests of the sample directories.

use std::path::Path;

use rstest::rstest;

use crate::directory::read_directory;

/// Guards against samples that `check` rejects or that no longer match the deployments they
/// illustrate.
#[rstest]
#[case("alykes", 100, 110, 80, 4, "ledger")]
#[case("kovac-hudec", 105, 100, 20, 5, "workshop")]
fn the_samples_are_valid(
    #[case] name: &str,
    #[case] models: usize,
    #[case] adapters: usize,
    #[case] weight: u8,
    #[case] loads_per_second: u32,
    #[case] service: &str,
) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../samples").join(name);
    let read = read_directory(&dir).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(read.contracts.len(), 3);
    assert_eq!(read.catalogue.models.len(), models);
    assert_eq!(read.catalogue.models.values().map(|m| m.adapters.len()).sum::<usize>(), adapters);
    assert_eq!(read.catalogue.deployment.cold_start_weight, weight);
    assert_eq!(read.catalogue.deployment.store_loads_per_second, loads_per_second);
    assert!(read.catalogue.services.contains_key(service));
}
