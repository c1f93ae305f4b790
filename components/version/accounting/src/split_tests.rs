//! Tests of `largest_remainder`.

use proptest::prelude::*;

use crate::split::largest_remainder;

/// Guards against a remainder that is dropped or added to the wrong part.
#[test]
fn remainders_go_to_the_largest_fractions() {
    assert_eq!(largest_remainder(10, &[1, 1, 1]), Some(vec![4, 3, 3]));
    assert_eq!(largest_remainder(10, &[1, 2, 3]), Some(vec![2, 3, 5]));
    assert_eq!(largest_remainder(1, &[0, 1]), Some(vec![0, 1]));
    assert_eq!(largest_remainder(5, &[0, 0]), None);
    assert_eq!(largest_remainder(5, &[]), None);
}

proptest! {
    /// Guards against rounding errors: the parts add up, and each is less than one unit off its
    /// exact share.
    #[test]
    fn parts_add_up_and_stay_within_one_unit(total: u64, weights in prop::collection::vec(any::<u64>(), 1..12)) {
        prop_assume!(weights.iter().any(|w| *w > 0));
        let parts = largest_remainder(total, &weights).unwrap();
        prop_assert_eq!(parts.iter().map(|p| u128::from(*p)).sum::<u128>(), u128::from(total));
        let sum: u128 = weights.iter().map(|w| u128::from(*w)).sum();
        for (part, weight) in parts.iter().zip(&weights) {
            let floor = u128::from(total) * u128::from(*weight) / sum;
            prop_assert!(u128::from(*part) == floor || u128::from(*part) == floor + 1);
        }
    }
}
