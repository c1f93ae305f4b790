//! Tests of telling a slow server from one behind a cut.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::LifeSigns;

const MS: Duration = Duration::from_millis(1);

/// Load: a kept connection that was idle for seconds is about to get a request. Guards against
/// writing onto connections that a cut has made dead, and against a new connection for each request
/// while other servers of the data centre answer.
#[rstest]
#[case::own_use(100, None, true)]
#[case::idle_beside_answers(5_000, Some(50), true)]
#[case::idle_in_a_cut(5_000, Some(400), false)]
#[case::idle_without_any_answer(300, None, false)]
fn kept_connections_are_used_while_the_data_centre_shows_life(
    #[case] idle_ms: u32,
    #[case] last_sign_ms: Option<u32>,
    #[case] may_reuse: bool,
) {
    let now = Instant::now() + 10_000 * MS;
    let mut signs = LifeSigns::default();
    last_sign_ms.into_iter().for_each(|ago| signs.record("b", now - ago * MS));
    signs.record("a", now);
    assert_eq!(signs.may_reuse("b", now - idle_ms * MS, now), may_reuse);
}

/// Load: requests wait for a busy server, and for one behind a cut. Guards against giving up a slow
/// server, and against a reset that comes after the kernel has ended the connection (1.3 s).
#[test]
fn only_a_silent_data_centre_is_given_up_and_before_the_kernel_does() {
    let sent_at = Instant::now();
    let mut signs = LifeSigns::default();
    signs.record("b", sent_at);
    let probe_at = signs.probe_at("b", sent_at);
    assert!(probe_at > sent_at + 200 * MS);
    assert!(!signs.is_lost("b", sent_at, probe_at + 200 * MS), "one probe may be lost");
    assert!(signs.is_lost("b", sent_at, probe_at + 500 * MS));
    assert!(probe_at + 500 * MS < sent_at + 1_300 * MS);
    signs.record("b", probe_at);
    assert!(!signs.is_lost("b", sent_at, probe_at + 500 * MS));
    assert!(signs.probe_at("b", sent_at) > probe_at);
}
