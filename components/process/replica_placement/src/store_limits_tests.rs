//! Tests of the limits on loads from the weight store.

use std::time::{Duration, Instant};

use super::*;

/// Concurrency limit learned after `rounds` loads from a store that serves `full` loads at full
/// speed.
fn learn(full: f64, rounds: u32) -> usize {
    let mut limit = StoreConcurrencyLimit::new(4, 8);
    for _ in 0..rounds {
        let concurrent = limit.limit();
        let took = Duration::from_secs_f64(10.0 * (concurrent as f64 / full).max(1.0));
        limit.record_load(Duration::from_secs(10), took, concurrent);
    }
    limit.limit()
}

/// Guards against four concurrent loads of a minute each where a single load takes 15 seconds.
#[test]
fn a_store_that_serves_one_load_gets_one_at_a_time() {
    assert_eq!(learn(1.0, 1), 1);
    assert!(learn(1.0, 9) <= 2);
}

/// Guards against a limit below what the store can serve.
#[test]
fn a_store_that_serves_more_loads_gets_more() {
    assert_eq!(learn(100.0, 9), 8);
    assert!((4..=5).contains(&learn(4.0, 9)));
}

/// Start times, in seconds after `now`, of loads that are all requested at `now`.
fn start_times(now: Instant, per_second: f64, loads: usize) -> Vec<f64> {
    let mut limiter = StoreRateLimiter::new(now);
    (0..loads).map(|_| (limiter.reserve(now, per_second) - now).as_secs_f64()).collect()
}

/// Guards against more loads in a window than the weight store allows (CEILING), also if the leader
/// changes within the window.
#[test]
fn two_consecutive_leaders_stay_within_the_rate() {
    const WINDOW: f64 = 5.0;
    let now = Instant::now();
    for per_second in [0.2, 0.5, 1.0, 4.2, 26.0] {
        let allowed = per_second * WINDOW * 1.1 + 3.0;
        for takeover in [1.0, 2.5, 4.0] {
            let former = start_times(now, per_second, 200).into_iter().filter(|at| *at < takeover);
            let next = start_times(now, per_second, 200).into_iter().map(|at| at + takeover);
            let started = former.chain(next.filter(|at| *at < WINDOW)).count();
            assert!(started as f64 <= allowed, "{per_second}: {started} of {allowed}");
        }
    }
}

/// Guards against a delay of a single load, and against a limit where none is configured.
#[test]
fn a_load_after_a_pause_starts_at_once() {
    let now = Instant::now();
    assert_eq!(start_times(now, 0.5, 1), [0.0]);
    assert_eq!(start_times(now, 0.0, 3), [0.0; 3]);
}
