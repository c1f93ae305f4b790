//! Load: connections of other instances to the store beside a crowd at the same listener.

use std::time::Duration;

use caller_limits::{Cost, Paces, Reason, TableLimits};
use rstest::rstest;

use super::*;

const CALL: &str = "PUT /api/objects/a/b HTTP/1.1\r\nContent-Length: 4\r\n\r\n";
const PACE: Duration = Duration::from_secs(10);

/// Guards against a call that waits for the store and is closed for the pace of its body, because its
/// end came together with the beginning of the next head.
#[rstest]
#[case::incomplete("bc", 1)]
#[case::complete("bcd", 0)]
#[case::next_head("bcdG", 0)]
fn call_that_was_read_whole_is_held_to_no_pace(#[case] rest: &str, #[case] closed: u64) {
    let cost = Cost { silent: 1, open: 1, request: 1, field: 1, unread: 1, buffered_head: 1_000 };
    let paces = Paces {
        idle: PACE * 2,
        head: PACE * 2,
        window: PACE,
        window_bytes: 100,
        read: PACE * 2,
        read_bytes: 100,
        answer: None,
        least: Duration::from_millis(100),
    };
    let table = Connections::new(TableLimits { connections: 1, bytes: 100 }, cost, paces);
    let tracked = table.accept(TaskCloser::default(), Instant::now()).unwrap();
    let mut calls = RelayedCalls::default();
    for bytes in [format!("{CALL}a").as_bytes(), rest.as_bytes()] {
        tracked.read(bytes.len(), Instant::now).unwrap();
        calls.record(bytes, &tracked);
    }
    table.sweep(Instant::now() + PACE);
    assert_eq!(table.closed().of(Reason::BodyPace), closed);
}
