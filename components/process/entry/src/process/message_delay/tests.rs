//! Tests of the delay of messages. Pattern: an instance that passes messages on, or the receiver
//! itself, is paused for some seconds.

use super::*;

fn ms(ms: u64) -> BootTime {
    Duration::from_millis(ms)
}

/// Guards against relying on a lease or a revision that was valid seconds ago: messages that waited
/// while an instance on their way was paused are as old as the pause.
#[test]
fn messages_that_were_held_up_are_recognized() {
    let mut delay = MessageDelay::default();
    for n in 0..10 {
        let found = delay.record(1, ms(n * 200), ms(50_000 + n * 200 + n % 3)).unwrap();
        assert!(found < ms(5), "{found:?}");
    }
    for n in 10..20 {
        let found = delay.record(1, ms(n * 200), ms(50_000 + 4_000)).unwrap();
        let actual = ms(4_000 - n * 200);
        assert!(found > actual - ms(15) && found < actual + ms(15), "{found:?}, {actual:?}");
    }
}

/// Guards against an old message that replaces the state of a newer one that came another way.
#[test]
fn older_messages_are_ignored() {
    let mut delay = MessageDelay::default();
    assert!(delay.record(1, ms(400), ms(1_000)).is_some());
    assert!(delay.record(1, ms(200), ms(1_010)).is_none());
    assert!(delay.record(1, ms(400), ms(1_011)).is_some());
    // Another leader has another clock.
    assert!(delay.record(2, ms(10), ms(1_020)).is_some());
    assert!(delay.record(1, ms(600), ms(1_030)).is_none());
}

/// Guards against a difference between the rates of two clocks that adds up to a delay.
#[test]
fn slow_drift_is_no_delay() {
    let mut delay = MessageDelay::default();
    for n in 0..100_000 {
        let found = delay.record(1, ms(n * 200), ms(n * 200 + n / 10)).unwrap();
        assert!(found < ms(20), "{found:?} after {n} messages");
    }
}
