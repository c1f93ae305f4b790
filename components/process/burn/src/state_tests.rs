//! Tests of merging the counts of instances.

use std::time::{Duration, Instant};

use proptest::prelude::*;

use crate::state::BurnState;
use crate::tracker::{BurnTracker, Objective};

fn state(requests: &[(u64, u8, bool)]) -> BurnState {
    let start = Instant::now();
    let mut tracker = BurnTracker::new(start);
    let mut sorted = requests.to_vec();
    sorted.sort();
    for (time, client_account, good) in sorted {
        let objective = Objective { version: u64::from(client_account % 2), objective: 9_000 };
        tracker.record(
            start + Duration::from_secs(time),
            &format!("c{client_account}"),
            "x",
            objective,
            good,
        );
    }
    tracker.state(start + Duration::from_secs(20_000))
}

fn merged(states: &[&BurnState]) -> BurnState {
    let mut sum = BurnState::default();
    for state in states {
        sum.merge(state);
    }
    sum
}

fn requests() -> impl Strategy<Value = Vec<(u64, u8, bool)>> {
    prop::collection::vec((0u64..20_000, 0u8..3, any::<bool>()), 0..20)
}

proptest! {
    /// Guards against a report that depends on the order in which instances answer, or on the
    /// distribution of requests over instances.
    #[test]
    fn merging_is_the_same_in_any_order_and_equals_one_instance(a in requests(), b in requests(), c in requests()) {
        let all: Vec<_> = [a.clone(), b.clone(), c.clone()].concat();
        let (a, b, c) = (state(&a), state(&b), state(&c));
        let sum = merged(&[&a, &b, &c]);
        prop_assert_eq!(&sum, &merged(&[&c, &a, &b]));
        prop_assert_eq!(&sum, &merged(&[&a, &merged(&[&b, &c])]));
        prop_assert_eq!(&sum, &state(&all));
    }

    /// Guards against a body of `GET /burn` that changes when it is serialised and parsed.
    #[test]
    fn json_round_trip_changes_nothing(a in requests()) {
        let state = state(&a);
        let json = serde_json::to_string(&state).unwrap();
        prop_assert_eq!(serde_json::from_str::<BurnState>(&json).unwrap(), state);
    }
}

/// Guards against a panic when the state comes from an instance with other windows.
#[test]
fn a_state_with_missing_windows_is_merged() {
    let json = r#"{"series":[{"client_account":"c0","class":"x","version":1,"objective":9000,"windows":[]}],"uncounted":0}"#;
    let mut foreign: BurnState = serde_json::from_str(json).unwrap();
    foreign.merge(&state(&[(1, 0, false)]));
    assert_eq!(foreign.series[0].sum(2).bad, 1);
    assert_eq!(
        crate::BurnReport::new(&serde_json::from_str(json).unwrap()).rows[0].windows[0].good,
        0
    );
}

/// Guards against an old objective that an instance with an outdated configuration brings back.
#[test]
fn merging_uses_the_objective_of_the_highest_version_in_any_order() {
    let state = |version, objective| {
        let mut state = state(&[(1, 0, true)]);
        (state.series[0].version, state.series[0].objective) = (version, objective);
        state
    };
    let (old, new) = (state(3, 9_900), state(4, 9_000));
    for sum in [merged(&[&old, &new]), merged(&[&new, &old])] {
        assert_eq!((sum.series[0].version, sum.series[0].objective), (4, 9_000));
    }
}
