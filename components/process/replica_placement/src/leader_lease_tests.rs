//! Tests of the lease: orders of two holders are at least the turn gap apart, whatever fails.

use std::time::Duration;

use super::*;

const GAP: Duration = Duration::from_secs(3);

fn ms(at: u64) -> BootTime {
    Duration::from_millis(at)
}

/// Sends an order of the current term.
fn order(lease: &mut LeaderLease, server: &str, now: BootTime) -> Option<u64> {
    lease.authorize_order(server, lease.term(now)?, now)
}

/// A linearizable store with one lease, like the real one.
#[derive(Default)]
struct Store {
    lease: Option<(LeaseRecord, u64)>,
    revision: u64,
}

impl Store {
    fn write(&mut self, expected: Option<u64>, record: LeaseRecord) -> Result<u64, ()> {
        if self.lease.as_ref().map(|(_, at)| *at) != expected {
            return Err(());
        }
        self.revision += 1;
        self.lease = Some((record, self.revision));
        Ok(self.revision)
    }
}

/// Runs the next action of an instance. The store answers at once if it is reachable.
fn step(lease: &mut LeaderLease, store: &mut Store, now: BootTime, is_reachable: bool) {
    match lease.next_action(now) {
        Action::Wait(_) => {}
        _ if !is_reachable => lease.on_call_failed(now),
        Action::Read => lease.on_read(store.lease.clone(), now),
        Action::Write { revision, record } => match store.write(revision, record.clone()) {
            Ok(revision) => lease.on_written(record, revision, now, now),
            Err(()) => lease.on_read(store.lease.clone(), now),
        },
    }
}

/// Two instances with one store: `a` claims the lease first, `b` is ready to take over.
struct Pair {
    store: Store,
    a: LeaderLease,
    b: LeaderLease,
}

impl Pair {
    fn new() -> Self {
        let new_lease = |name| LeaderLease::new(name, GAP, Duration::ZERO);
        Self { store: Store::default(), a: new_lease("a"), b: new_lease("b") }
    }

    fn step_a(&mut self, now: BootTime, is_reachable: bool) {
        step(&mut self.a, &mut self.store, now, is_reachable);
    }

    /// `b` starts 200 ms later.
    fn step_b(&mut self, now: BootTime, is_reachable: bool) {
        if now > ms(200) {
            step(&mut self.b, &mut self.store, now, is_reachable);
        }
    }

    /// Publishes the lease of `a` to `b`, five times a second.
    fn publish(&mut self, now: BootTime) {
        if now.as_millis().is_multiple_of(200)
            && let Some(lease) = self.a.held_lease(now)
        {
            self.b.receive_lease("a", lease, now);
        }
    }
}

/// Guards against a first start after which no orders are allowed for seconds, although there was
/// no holder before.
#[test]
fn the_first_holder_orders_at_once() {
    let mut store = Store::default();
    let mut a = LeaderLease::new("a", GAP, Duration::ZERO);
    for at in 0..3 {
        step(&mut a, &mut store, ms(at * 10), true);
    }
    assert_eq!(a.fencing_number(ms(30)), Some(1));
    let mut b = LeaderLease::new("b", GAP, Duration::ZERO);
    step(&mut b, &mut store, ms(40), true);
    step(&mut b, &mut store, ms(50), true);
    assert_eq!(b.fencing_number(ms(60)), None);
    assert_eq!(b.holder(), Some("a"));
}

/// Guards against a holder that resumes after a suspension and sends orders under an expired lease.
#[test]
fn a_suspended_holder_sends_no_orders_after_it_resumes() {
    let mut store = Store::default();
    let mut a = LeaderLease::new("a", GAP, Duration::ZERO);
    for at in 0..100 {
        step(&mut a, &mut store, ms(at * 10), true);
    }
    assert!(a.fencing_number(ms(1_000)).is_some());
    // The clock counts the suspension, which lasted longer than the validity of a renewal.
    assert_eq!(a.fencing_number(ms(4_000)), None);
}

/// Guards against orders of two holders within the turn gap. The first holder loses its connection
/// to the store at different times, and its last order is compared with its successor's first one.
#[test]
fn a_successor_waits_for_the_gap_after_the_last_possible_order() {
    for cut_at in (500..3_000).step_by(70) {
        let mut pair = Pair::new();
        let (mut last_of_a, mut first_of_b) = (None, None);
        for now in (0..20_000).step_by(10).map(ms) {
            pair.step_a(now, now < ms(cut_at));
            pair.step_b(now, true);
            last_of_a = pair.a.fencing_number(now).map(|fence| (now, fence)).or(last_of_a);
            first_of_b = first_of_b.or(pair.b.fencing_number(now).map(|fence| (now, fence)));
        }
        let ((last, old), (first, new)) = (last_of_a.unwrap(), first_of_b.expect("a successor"));
        assert!(first >= last + GAP, "cut at {cut_at}: {last:?} then {first:?}");
        assert!(new > old);
        assert!(first < ms(cut_at + 8_000), "cut at {cut_at}: orders resumed at {first:?}");
    }
}

/// Guards against a pause of the orders that is longer than the lease and the gap require, if the
/// holder published its lease until it was cut off.
#[test]
fn a_successor_that_heard_the_holder_waits_no_longer_than_needed() {
    for cut_at in (500..3_000).step_by(70) {
        let mut pair = Pair::new();
        let (mut last_of_a, mut first_of_b) = (None, None);
        for now in (0..20_000).step_by(10).map(ms) {
            pair.step_a(now, now < ms(cut_at));
            pair.step_b(now, true);
            pair.publish(now);
            last_of_a =
                pair.a.fencing_number(now).or(last_of_a.map(|(_, f)| f)).map(|f| match last_of_a {
                    Some((at, _)) if pair.a.fencing_number(now).is_none() => (at, f),
                    _ => (now, f),
                });
            first_of_b = first_of_b.or(pair.b.fencing_number(now).map(|_| now));
        }
        let (last, first) = (last_of_a.unwrap().0, first_of_b.expect("a successor"));
        assert!(first >= last + GAP, "cut at {cut_at}: {last:?} then {first:?}");
        assert!(first <= last + GAP + ms(1_000), "cut at {cut_at}: {last:?} then {first:?}");
    }
}

/// Guards against a long pause of all orders after a planned stop of the holder, and against too
/// short a pause at a server: each server with a recent order gets its next one after the full gap,
/// and the others without delay.
#[test]
fn a_released_lease_pauses_only_the_servers_with_recent_orders() {
    const SERVERS: [(&str, u64); 3] = [("idle", 0), ("recent", 1_000), ("busy", 1_990)];
    const RELEASED_AT: u64 = 2_000;
    let mut pair = Pair::new();
    let mut first_of_b = std::collections::HashMap::new();
    for now in (0..12_000).step_by(10).map(ms) {
        if now == ms(RELEASED_AT) {
            pair.a.release();
            pair.b.receive_release();
        }
        pair.step_a(now, true);
        pair.step_b(now, true);
        for (server, last) in SERVERS {
            if now == ms(last) && last > 0 {
                assert!(order(&mut pair.a, server, now).is_some());
            }
            if now >= ms(RELEASED_AT) {
                assert_eq!(order(&mut pair.a, server, now), None);
            }
            if order(&mut pair.b, server, now).is_some() {
                first_of_b.entry(server).or_insert(now);
            }
        }
    }
    assert!(first_of_b["idle"] < ms(RELEASED_AT + 1_000), "{first_of_b:?}");
    for (server, last) in &SERVERS[1..] {
        let waited = first_of_b[server] - ms(*last);
        assert!(waited >= GAP && waited < GAP + ms(1_000), "{server}: {waited:?}");
    }
}

/// Guards against a release that omits earlier orders: those of a former run of the same instance,
/// and those of a previous holder that still block a server.
#[test]
fn a_release_includes_orders_of_earlier_runs_and_holders() {
    const ORDERED_AT: u64 = 1_000;
    for is_restarted in [true, false] {
        let mut pair = Pair::new();
        let mut c = LeaderLease::new("c", GAP, Duration::ZERO);
        let mut first_of_c = None;
        for now in (0..12_000).step_by(10).map(ms) {
            match now.as_millis() as u64 {
                ORDERED_AT => assert!(order(&mut pair.a, "s", now).is_some()),
                // Either the instance restarts, or it releases the lease to another instance.
                1_100 if is_restarted => pair.a = LeaderLease::new("a", GAP, Duration::ZERO),
                1_100 => pair.a.release(),
                1_110 if !is_restarted => pair.b.receive_release(),
                2_000 if is_restarted => pair.a.release(),
                1_500 if !is_restarted => pair.b.release(),
                _ => {}
            }
            pair.step_a(now, true);
            if !is_restarted {
                pair.step_b(now, true);
            }
            let is_released = pair.store.lease.as_ref().is_some_and(|(r, _)| r.is_released);
            let has_released = now > ms(if is_restarted { 2_000 } else { 1_500 });
            if has_released && is_released || c.held_lease(now).is_some() {
                step(&mut c, &mut pair.store, now, true);
            }
            first_of_c = first_of_c.or(order(&mut c, "s", now).map(|_| now));
        }
        let first = first_of_c.expect("a successor");
        assert!(first >= ms(ORDERED_AT) + GAP, "restarted {is_restarted}: {first:?}");
    }
}

/// Guards against a holder that is killed while it waits for the gap after a failed holder, and
/// whose next run adopts the lease as its own and sends orders without waiting for the rest of the
/// gap.
#[test]
fn a_restarted_successor_still_waits_for_the_gap_after_the_failed_holder() {
    const CUT_AT: u64 = 3_000;
    let mut pair = Pair::new();
    let (mut last_of_a, mut first_of_b, mut is_restarted) = (None, None, false);
    for now in (0..20_000).step_by(10).map(ms) {
        pair.step_a(now, now < ms(CUT_AT));
        pair.step_b(now, true);
        if pair.b.held_lease(now).is_some() && !is_restarted {
            is_restarted = true;
            pair.b = LeaderLease::new("b", GAP, Duration::ZERO);
        }
        last_of_a = pair.a.fencing_number(now).map(|_| now).or(last_of_a);
        first_of_b = first_of_b.or(pair.b.fencing_number(now).map(|_| now));
    }
    let (last, first) = (last_of_a.unwrap(), first_of_b.expect("a successor"));
    assert!(is_restarted && first >= last + GAP, "{last:?} then {first:?}");
    assert!(first <= last + GAP + ms(3_500), "{last:?} then {first:?}");
}

/// Guards against a change of the leader after a store outage, which would pause the orders for the
/// full gap although the former holder still runs.
#[test]
fn the_former_holder_renews_first_after_an_outage() {
    let mut pair = Pair::new();
    let (outage_at, back_at) = (ms(3_000), ms(9_000));
    let mut first_of_a = None;
    for now in (0..14_000).step_by(10).map(ms) {
        let is_reachable = now < outage_at || now >= back_at;
        // The other instance reaches the store first.
        pair.step_b(now, is_reachable);
        pair.step_a(now, is_reachable);
        pair.publish(now);
        assert_eq!(pair.b.fencing_number(now), None, "at {now:?}");
        if now >= back_at {
            first_of_a = first_of_a.or(pair.a.fencing_number(now).map(|_| now));
        }
    }
    assert!(first_of_a.is_some_and(|at| at < back_at + ms(500)), "{first_of_a:?}");
}

/// Guards against a holder that mistakes its own renewal for that of another instance because the
/// answer was lost, and pauses all orders for the full gap.
#[test]
fn a_holder_continues_after_lost_answers() {
    let mut store = Store::default();
    let mut a = LeaderLease::new("a", GAP, Duration::ZERO);
    let mut last = None;
    let mut writes = 0;
    for now in (0..20_000).step_by(10).map(ms) {
        let action = a.next_action(now);
        writes += u32::from(matches!(action, Action::Write { .. }));
        match action {
            // Every third write takes effect but its answer is lost.
            Action::Write { revision, record } if writes % 3 == 0 => {
                store.write(revision, record).ok();
                a.on_call_failed(now);
            }
            _ => step(&mut a, &mut store, now, true),
        }
        if a.fencing_number(now).is_some() {
            last = Some(now);
        }
        assert!(last.is_none_or(|last| now < last + GAP / 2), "no orders since {last:?}");
    }
}

/// Guards against waiting after an outage for a former holder that no longer runs.
#[test]
fn a_successor_claims_after_an_outage_if_the_former_holder_is_gone() {
    let mut pair = Pair::new();
    let back_at = ms(9_000);
    let mut first_of_b = None;
    for now in (0..20_000).step_by(10).map(ms) {
        if now < ms(3_000) {
            pair.step_a(now, true);
        }
        pair.step_b(now, now < ms(3_000) || now >= back_at);
        first_of_b = first_of_b.or(pair.b.fencing_number(now).map(|_| now));
    }
    assert!(first_of_b.is_some_and(|at| at < back_at + ms(2_000)), "{first_of_b:?}");
}

/// Guards against a holder that ignores a message about a newer lease and continues to send orders.
#[test]
fn a_message_from_a_newer_holder_stops_own_orders() {
    let mut store = Store::default();
    let mut a = LeaderLease::new("a", GAP, Duration::ZERO);
    for at in 0..3 {
        step(&mut a, &mut store, ms(at * 10), true);
    }
    let lease = |fence| HeldLease { fence, revision: 9, left: ms(1_000) };
    assert!(!a.receive_lease("c", lease(0), ms(40)));
    assert!(a.fencing_number(ms(40)).is_some());
    assert!(a.receive_lease("b", lease(2), ms(50)));
    assert_eq!(a.fencing_number(ms(60)), None);
}

/// Guards against reads of the lease that grow with the number of instances: while the store is
/// slow or the holder is lost, only those that claim first read it often (alykes-stock-large, day
/// trouble-1: 3,405 of 9,300 calls to the store).
#[test]
fn instances_that_claim_late_read_the_lease_rarely() {
    let reads = |claim_delay| {
        let mut lease = LeaderLease::new("z", GAP, claim_delay);
        let held = HeldLease { fence: 3, revision: 7, left: Duration::from_secs(2) };
        assert!(lease.receive_lease("a", held, Duration::ZERO));
        let record = LeaseRecord { holder: "a".into(), fence: 3, ..LeaseRecord::default() };
        let mut reads = 0;
        let mut now = Duration::ZERO;
        let mut revision = 7;
        while now < Duration::from_secs(8) {
            match lease.next_action(now) {
                Action::Wait(until) => now = until.max(now + Duration::from_millis(1)),
                Action::Read => {
                    reads += 1;
                    // The holder renews, but its messages do not arrive.
                    revision += 1;
                    lease.on_read(Some((record.clone(), revision)), now);
                }
                Action::Write { .. } => panic!("claimed a lease that is renewed"),
            }
        }
        reads
    };
    let (first, late) = (reads(Duration::ZERO), reads(Duration::from_secs(2)));
    assert!(first >= 15, "{first}");
    assert!(late <= 5, "{late}");
}

/// Guards against an instance that claims the lease right after an outage of the store that it has
/// not noticed, because it reads the lease rarely: the former holder renews first (alykes-stock-large,
/// day trouble-1: a small machine took the lease, and no model was loaded for another five seconds).
#[test]
fn an_instance_that_did_not_notice_an_outage_lets_the_former_holder_renew() {
    let claim_delay = Duration::from_millis(500);
    let mut lease = LeaderLease::new("z", GAP, claim_delay);
    let held = HeldLease { fence: 3, revision: 7, left: Duration::from_secs(2) };
    assert!(lease.receive_lease("a", held, ms(0)));
    // No call was due during the outage, which ended just now.
    let mut now = ms(5_000);
    assert_eq!(lease.next_action(now), Action::Read);
    let record = LeaseRecord { holder: "a".into(), fence: 3, ..LeaseRecord::default() };
    lease.on_read(Some((record, 7)), now);
    while now < ms(5_990) {
        assert!(matches!(lease.next_action(now), Action::Wait(_) | Action::Read), "at {now:?}");
        now += ms(10);
    }
    // The former holder did not renew.
    assert!(matches!(lease.next_action(ms(6_000)), Action::Write { .. }));
}

/// Guards against orders of a task that outlasts its term: after a lapse, the same holder goes on with
/// the same fencing number, but has planned anew (review/3).
#[test]
fn orders_of_a_former_term_are_void_although_the_holder_is_the_same() {
    let mut pair = Pair::new();
    let mut terms = Vec::new();
    for at in (0..10_000).step_by(10) {
        let now = ms(at);
        pair.step_a(now, !(3_000..6_000).contains(&at));
        let Some(term) = pair.a.term(now).filter(|_| pair.a.fencing_number(now).is_some()) else {
            continue;
        };
        if !terms.contains(&term) {
            terms.push(term);
        }
        for known in &terms {
            let fence = pair.a.authorize_order("s", *known, now);
            assert_eq!(fence.is_some(), *known == term, "term {known} at {now:?}");
            assert!(fence.is_none_or(|fence| fence == 1), "{fence:?}");
        }
    }
    assert_eq!(terms, [1, 2]);
}
