//! Tests of how the weight store's pace is learned.

use std::time::Duration;

use super::*;

/// Loads of a store that carries `full` at full speed.
fn learn(full: f64, rounds: u32) -> usize {
    let mut pace = StorePace::new(4, 8);
    for _ in 0..rounds {
        let crowd = pace.at_once();
        let took = Duration::from_secs_f64(10.0 * (crowd as f64 / full).max(1.0));
        pace.ended(Duration::from_secs(10), took, crowd);
    }
    pace.at_once()
}

/// Guards against four loads of a minute each where one after the other takes a quarter.
#[test]
fn a_store_that_carries_one_load_gets_one_at_a_time() {
    assert_eq!(learn(1.0, 1), 1);
    assert!(learn(1.0, 9) <= 2);
}

/// Guards against a store that is left half idle.
#[test]
fn a_store_that_carries_more_gets_more() {
    assert_eq!(learn(100.0, 9), 8);
    assert!((4..=5).contains(&learn(4.0, 9)));
}
