//! Tests of counting requests in one instance.

use std::time::{Duration, Instant};

use types::contract::Configuration;

use crate::tracker::{BurnTracker, MAX_SERIES, Objective};

const OBJECTIVE: Objective = Objective { version: 1, objective: 9_900 };

/// Guards against memory that grows without bound with the number of names, and against requests
/// beyond the bound that are counted nowhere.
#[test]
fn the_number_of_series_is_bounded_and_further_requests_are_counted_in_total() {
    let start = Instant::now();
    let mut tracker = BurnTracker::new(start);
    for n in 0..MAX_SERIES + 3 {
        tracker.record(start, &format!("c{n}"), "interactive", OBJECTIVE, true);
    }
    tracker.record(start, "c0", "interactive", OBJECTIVE, true);
    let state = tracker.state(start);
    assert_eq!((state.series.len(), state.uncounted), (MAX_SERIES, 3));
}

/// Guards against a request admitted under an old version that brings back the old objective.
#[test]
fn the_objective_of_the_highest_version_is_used() {
    let start = Instant::now();
    let mut tracker = BurnTracker::new(start);
    for (version, objective) in [(1, 9_000), (3, 9_900), (2, 9_500)] {
        tracker.record(start, "a", "batch", Objective { version, objective }, true);
    }
    let state = tracker.state(start);
    assert_eq!((state.series[0].version, state.series[0].objective), (3, 9_900));
}

/// Guards against windows that retain counts for too long, and against series of removed client
/// accounts.
#[test]
fn old_requests_and_removed_client_accounts_are_dropped() {
    let start = Instant::now();
    let mut tracker = BurnTracker::new(start);
    tracker.record(start, "a", "batch", OBJECTIVE, false);
    let sums =
        |after: Duration| [0, 1, 2].map(|w| tracker.state(start + after).series[0].sum(w).bad);
    assert_eq!(sums(Duration::from_secs(300)), [1, 1, 1]);
    assert_eq!(sums(Duration::from_secs(320)), [0, 1, 1]);
    assert_eq!(sums(Duration::from_secs(3_700)), [0, 0, 1]);
    assert_eq!(sums(Duration::from_secs(22_000)), [0, 0, 0]);
    tracker.retain(&Configuration::default());
    assert_eq!(tracker.state(start).series, []);
}
