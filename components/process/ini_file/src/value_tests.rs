//! Tests of the parsers for single values.

use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;

use crate::value::*;

/// Guards against confused units.
#[rstest]
#[case("1500ms", Duration::from_millis(1500))]
#[case("9s", Duration::from_secs(9))]
#[case("8h", Duration::from_secs(8 * 3600))]
#[case("1h 30m", Duration::from_secs(5400))]
fn durations_have_units(#[case] text: &str, #[case] expected: Duration) {
    assert_eq!(duration(text), Ok(expected));
}

/// Guards against accepting ambiguous or invalid values.
#[rstest]
#[case(duration("1500").is_err())]
#[case(duration("").is_err())]
#[case(positive_duration("0s") == Err(ValueError::ZeroDuration))]
#[case(size("24").is_err())]
#[case(size("1.5GiB").is_err())]
#[case(size("99999999999TiB").is_err())]
#[case(percentage("25").is_err())]
#[case(percentage("100.01%").is_err())]
#[case(percentage("0.001%").is_err())]
#[case(percentage("-1%").is_err())]
#[case(amount_milli("1.").is_err())]
#[case(amount_milli("0.0001").is_err())]
#[case(number(1u32..=5)("6").is_err())]
#[case(number(0u32..=5)("+5").is_err())]
#[case(boolean("yes").is_err())]
#[case(address("localhost:80").is_err())]
#[case(address("127.0.0.1").is_err())]
#[case(name("../a").is_err())]
#[case(name("-a").is_err())]
#[case(name("").is_err())]
#[case(choice(&[("a", 1)])("b").is_err())]
fn invalid_values_are_refused(#[case] refused: bool) {
    assert!(refused);
}

/// Guards against a wrong scale factor.
#[test]
fn values_are_scaled() {
    assert_eq!(size("24GiB"), Ok(24 << 30));
    assert_eq!(size("512 KiB"), Ok(512 << 10));
    assert_eq!(size("3MB"), Ok(3_000_000));
    assert_eq!(percentage("99.9%"), Ok(9_990));
    assert_eq!(percentage("100%"), Ok(10_000));
    assert_eq!(percentage("0.05 %"), Ok(5));
    assert_eq!(amount_milli("0.125"), Ok(125));
    assert_eq!(amount_milli("2"), Ok(2_000));
    assert_eq!(boolean("true"), Ok(true));
    assert_eq!(address("[::1]:80").map(|a| a.port()), Ok(80));
    assert_eq!(choice(&[("a", 1), ("b", 2)])("b"), Ok(2));
}

proptest! {
    /// Guards against rounding: a percentage formatted from basis points must parse to the same
    /// number.
    #[test]
    fn percentages_are_exact(basis_points in 0u32..=10_000) {
        let text = format!("{}.{:02}%", basis_points / 100, basis_points % 100);
        prop_assert_eq!(percentage(&text), Ok(basis_points));
    }
}
