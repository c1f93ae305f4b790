//! Tests of the detection of data centres that are cut off.

use std::time::{Duration, Instant};

use crate::Reach;

const MS: Duration = Duration::from_millis(1);

/// Load: a quarter of the requests go to each of four data centres when one of them is cut off.
/// Guards against requests that go on waiting for connections to its servers, one server after the
/// other (23 servers, 200 ms each, at every instance).
#[test]
fn three_silent_servers_mean_that_the_data_centre_is_cut_off() {
    let (mut reach, now) = (Reach::default(), Instant::now());
    assert!(!reach.record_silence("b", "s1", 23, now));
    assert!(!reach.record_silence("b", "s1", 23, now + MS), "the same server again");
    assert!(!reach.record_silence("b", "s2", 23, now + 200 * MS));
    assert!(!reach.is_cut_off("b"));
    assert!(reach.record_silence("b", "s3", 23, now + 400 * MS));
    assert!(reach.is_cut_off("b") && !reach.is_cut_off("a"));
    assert!(!reach.record_silence("b", "s4", 23, now + 500 * MS), "reported once");
    assert_eq!(reach.record_answer("b"), Some(now + 400 * MS));
    assert!(!reach.is_cut_off("b"));
}

/// Load: a quarter of the servers go dark while the others answer. Guards against a data centre
/// that is given up because single servers of it failed.
#[test]
fn servers_that_fail_beside_others_that_answer_are_no_cut() {
    let (mut reach, now) = (Reach::default(), Instant::now());
    for n in 0..40 {
        let at = now + 50 * n * MS;
        assert!(!reach.record_silence("b", &format!("s{}", n % 6), 23, at));
        if n % 2 == 1 {
            assert_eq!(reach.record_answer("b"), None);
        }
    }
    // Failures that are far apart do not add up either.
    for n in 0..6_u32 {
        assert!(!reach.record_silence("c", &format!("s{n}"), 23, now + 2_000 * n * MS));
    }
}

/// Guards against a small data centre that never counts as cut off, and against one that is probed
/// for ever after a single failure.
#[test]
fn all_servers_of_a_small_data_centre_and_suspects() {
    let (mut reach, now) = (Reach::default(), Instant::now());
    assert!(!reach.record_silence("b", "s1", 2, now));
    assert_eq!(reach.suspects(now).map(|name| &**name).collect::<Vec<_>>(), ["b"]);
    assert_eq!(reach.suspects(now + 3_000 * MS).count(), 0);
    assert!(reach.record_silence("b", "s2", 2, now + MS));
    assert_eq!(reach.suspects(now + 60_000 * MS).count(), 1, "until it answers");
}
