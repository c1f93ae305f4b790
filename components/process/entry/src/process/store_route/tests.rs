//! Tests of the way to the store. Pattern: the store turns away some instances, among them the
//! leader, and serves the others.

use super::*;

fn relay(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n))
}

/// Guards against a leader that loses its lease because the store turns it away: the next call goes
/// through another instance, and through a third one if that is turned away, too.
#[test]
fn calls_go_through_another_instance_while_the_store_turns_this_one_away() {
    let now = Instant::now();
    let mut routing = StoreRouting::default();
    assert_eq!(routing.next(true, now), StoreRoute::Direct);
    routing.record(StoreRoute::Direct, false, now, |_| Some(relay(1)));
    let first = routing.next(true, now);
    assert_eq!(first, StoreRoute::Relay(relay(1)));
    routing.record(first, false, now, |failed| (failed == Some(relay(1))).then(|| relay(2)));
    // A second call that was on its way through the first relay does not skip the new one.
    routing.record(first, false, now, |_| Some(relay(3)));
    assert_eq!(routing.next(true, now), StoreRoute::Relay(relay(2)));
    routing.record(StoreRoute::Relay(relay(2)), true, now, |_| None);
    assert_eq!(routing.next(true, now), StoreRoute::Relay(relay(2)));
}

/// Guards against relays that stay in use after the store serves this instance again, and against
/// losing the lease by testing that with a renewal.
#[test]
fn the_direct_way_is_tested_with_uncritical_calls() {
    let now = Instant::now();
    let mut routing = StoreRouting::default();
    routing.record(StoreRoute::Direct, false, now, |_| Some(relay(1)));
    let later = now + DIRECT_PROBE_INTERVAL;
    assert_eq!(routing.next(true, later), StoreRoute::Relay(relay(1)));
    assert_eq!(routing.next(false, later), StoreRoute::Direct);
    // The other calls do not wait for the result of the test.
    assert_eq!(routing.next(false, later), StoreRoute::Relay(relay(1)));
    routing.record(StoreRoute::Direct, false, later, |_| Some(relay(2)));
    assert_eq!(routing.next(false, later), StoreRoute::Relay(relay(1)));
    routing.record(StoreRoute::Direct, true, later, |_| None);
    assert_eq!(routing.next(true, later), StoreRoute::Direct);
}

/// Guards against calls to one instance after another while the store is down for all of them.
#[test]
fn a_store_that_is_down_is_called_directly() {
    let now = Instant::now();
    let mut routing = StoreRouting::default();
    let mut relays = 0;
    for _ in 0..100 {
        let route = routing.next(true, now);
        relays += u32::from(route != StoreRoute::Direct);
        routing.record(route, false, now, |_| Some(relay(relays as u16)));
    }
    assert_eq!(relays, MAX_RELAYS_IN_A_ROW);
    let later = now + GIVE_UP_TIME;
    routing.record(StoreRoute::Direct, false, later, |_| Some(relay(9)));
    assert_eq!(routing.next(true, later), StoreRoute::Relay(relay(9)));
}

/// Guards against an instance that asks the same other one again and again, or never the one that
/// has what it lacks. Pattern: the store turns away half of the instances, the leader among them.
#[test]
fn reads_go_through_the_leader_first_and_then_through_others() {
    let others = || (1..5).map(relay);
    assert_eq!(catch_up_relay(Some(relay(3)), others(), None), Some(relay(3)));
    for _ in 0..50 {
        let second = catch_up_relay(Some(relay(3)), others(), Some(relay(3)));
        assert!(second.is_some_and(|address| address != relay(3)), "{second:?}");
    }
    assert_eq!(catch_up_relay(None, [relay(1)], Some(relay(1))), None);
}
