//! Tests of the checks on servers that give notice.

use std::time::{Duration, Instant};

use platform_stand_in::NoticedArrival;
use rstest::rstest;

use crate::notices::{Noticed, Trip, notice_violations};

const MS: Duration = Duration::from_millis(1);

/// Violations of arrivals at `(id, ms, leaving, paused)` whose requests were sent then and took
/// 100 ms; the instance is the id's first letter, and a fault begins at `fault_ms`.
fn violations(arrivals: &[(&str, u32, bool, bool)], fault_ms: u32) -> usize {
    let start = Instant::now();
    let trips: Vec<Trip> = arrivals
        .iter()
        .map(|(id, ms, is_leaving, _)| Trip {
            id: (*id).into(),
            instance: usize::from(id.as_bytes()[0]),
            sent_at: start + *ms * MS,
            ended_at: start + (*ms + 100) * MS,
            faults: (u64::from(*ms > fault_ms), u64::from(*ms + 100 > fault_ms)),
            answered_by: is_leaving.then(|| format!("signed-{id}-e1")),
        })
        .collect();
    let arrivals: Vec<NoticedArrival> = arrivals
        .iter()
        .map(|(id, ms, is_leaving, is_paused)| NoticedArrival {
            id: (*id).into(),
            at: start + *ms * MS,
            run: 1,
            is_leaving: *is_leaving,
            is_paused: *is_paused,
        })
        .collect();
    let noticed = Noticed { server: "e1", arrivals: &arrivals, faults: Vec::new() };
    notice_violations(&trips, &noticed).len()
}

/// Guards against a check that no behaviour breaks, and against one that forbids what is allowed.
#[rstest]
#[case::late_at_a_leaving_server(&[("a1", 0, true, false), ("a2", 2_500, true, false)], 9_000, 1)]
#[case::within_the_drain_time(&[("a1", 0, true, false), ("a2", 1_900, true, false)], 9_000, 0)]
#[case::from_another_instance(&[("a1", 0, true, false), ("b2", 2_500, true, false)], 9_000, 0)]
#[case::after_a_restart(&[("a1", 0, true, false), ("a2", 2_500, true, false)], 1_000, 0)]
#[case::two_in_a_pause(
    &[("a1", 0, false, true), ("a2", 600, false, false), ("a3", 700, false, false)], 9_000, 0)]
#[case::three_in_a_pause(
    &[("a1", 0, false, true), ("a2", 600, false, false), ("a3", 700, false, false),
        ("a4", 800, false, false)], 9_000, 1)]
#[case::after_the_pause(
    &[("a1", 0, false, true), ("a2", 1_600, false, false), ("a3", 1_600, false, false),
        ("a4", 1_600, false, false)], 9_000, 0)]
fn servers_that_give_notice_are_left_alone(
    #[case] arrivals: &[(&str, u32, bool, bool)],
    #[case] fault_ms: u32,
    #[case] expected: usize,
) {
    assert_eq!(violations(arrivals, fault_ms), expected);
}
