//! Tests of how the weight store's pace is learned.

use std::time::{Duration, Instant};

use super::*;

/// Loads of a store that carries `full` at full speed.
fn learn(full: f64, rounds: u32) -> usize {
    let mut pace = StoreConcurrencyLimit::new(4, 8);
    for _ in 0..rounds {
        let crowd = pace.limit();
        let took = Duration::from_secs_f64(10.0 * (crowd as f64 / full).max(1.0));
        pace.record_load(Duration::from_secs(10), took, crowd);
    }
    pace.limit()
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

/// Begins of loads that are all wanted at once, in seconds after `now`.
fn begins(now: Instant, per_second: f64, loads: usize) -> Vec<f64> {
    let mut rate = StoreRateLimiter::new(now);
    (0..loads).map(|_| (rate.reserve(now, per_second) - now).as_secs_f64()).collect()
}

/// Guards against more loads in a window than the weight store allows (CEILING), also if one order
/// giver takes over from another in the middle of it.
#[test]
fn two_order_givers_in_a_row_stay_within_the_rate() {
    const WINDOW: f64 = 5.0;
    let now = Instant::now();
    for per_second in [0.2, 0.5, 1.0, 4.2, 26.0] {
        let allowed = per_second * WINDOW * 1.1 + 3.0;
        for takeover in [1.0, 2.5, 4.0] {
            let former = begins(now, per_second, 200).into_iter().filter(|at| *at < takeover);
            let next = begins(now, per_second, 200).into_iter().map(|at| at + takeover);
            let began = former.chain(next.filter(|at| *at < WINDOW)).count();
            assert!(began as f64 <= allowed, "{per_second}: {began} of {allowed}");
        }
    }
}

/// Guards against a single load that waits, and against a limit where none is told.
#[test]
fn a_load_after_a_pause_begins_at_once() {
    let now = Instant::now();
    assert_eq!(begins(now, 0.5, 1), [0.0]);
    assert_eq!(begins(now, 0.0, 3), [0.0; 3]);
}
