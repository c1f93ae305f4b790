//! Tests of single failure modes of limit shares.

use admission::LocalLimits;
use admission::shares::*;
use types::prelude::*;

const LIMITS: Limits =
    Limits { requests_per_second: 20, concurrent_requests: 7, queued_requests: 11 };
const NEED: LocalLimits = LocalLimits { rate_milli: 0, concurrent: 3, queued: 0 };

fn renew(holder: &mut Holder, grantee: &mut Grantee, fencing: FencingNumber, now: Instant) -> u64 {
    let grant = holder.grant(&grantee.request(fencing, now), now).unwrap();
    assert!(grantee.apply(grant));
    grantee.limits("c0", &LIMITS, now).concurrent
}

fn grantee(instance: &str, need: LocalLimits) -> Grantee {
    let mut grantee = Grantee::new(instance, 1);
    grantee.set_need("c0", need, &LIMITS);
    grantee
}

/// Guards against small limits whose units are lost or duplicated when the span is divided.
#[test]
fn units_of_equal_shares_add_up_to_every_limit() {
    for limit in [0, 1, 2, 3, 7, 20, 1_000_003] {
        for count in [1, 3, 4, 9] {
            let sum: u64 =
                (0..count).map(|index| IntervalSet::equal_share(index, count).units(limit)).sum();
            assert_eq!(sum, limit);
        }
    }
}

/// Guards against parts that are lost or added twice when a process crashes between the steps of a
/// transfer and its successor repeats them.
#[test]
fn transfer_that_is_repeated_after_a_crash_neither_loses_nor_creates_parts() {
    let donor = DataCentreShare::new("d1", Holding::equal_share(0, 2), 1);
    let receiver = DataCentreShare::new("d2", Holding::equal_share(1, 2), 2);
    let donor = donor
        .give("d2", &Holding::of_client_account("c0", IntervalSet::equal_share(0, 4)), 3)
        .unwrap();
    assert_eq!(donor.holding.parts("c0"), &IntervalSet::equal_share(1, 4));
    let received = receiver.receive(&donor.given[0], 4).unwrap();
    assert_eq!(received.holding.parts("c0").length(), SPAN_LENGTH / 4 * 3);
    assert_eq!(received.holding.parts("c1"), &IntervalSet::equal_share(1, 2));
    assert!(received.receive(&donor.given[0], 5).is_none(), "repeated");
    assert!(received.prune_received(&donor, 6).is_none(), "the donor still lists it");
    assert!(donor.prune_given(&receiver, 7).is_none(), "not received");
    let cleared = donor.prune_given(&received, 8).unwrap();
    assert!(received.prune_received(&cleared, 9).unwrap().received.is_empty());
}

/// Guards against granting parts to another instance while the instance that lost them has not
/// received the smaller grant.
#[test]
fn parts_removed_by_a_lost_grant_stay_retired_until_the_old_grant_expires() {
    let now = Instant::now();
    let mut holder = Holder::new(1, Holding::equal_share(0, 1), now);
    let (mut a, mut b) = (grantee("a", LocalLimits { concurrent: 7, ..NEED }), grantee("b", NEED));
    assert_eq!(renew(&mut holder, &mut a, 1, now), 7);
    a.set_need("c0", LocalLimits::default(), &LIMITS);
    let lost = holder.grant(&a.request(1, now), now);
    assert!(lost.is_some());
    assert_eq!(renew(&mut holder, &mut b, 1, now), 0);
    let before = now + GRANT_TERM + GRANT_MARGIN - ms(1);
    assert_eq!(renew(&mut holder, &mut b, 1, before), 0);
    assert_eq!(a.limits("c0", &LIMITS, now + GRANT_TERM).concurrent, 0);
    assert!(renew(&mut holder, &mut b, 1, before + ms(1)) >= 3);
}

/// Guards against waiting for the term although the instance has confirmed that it gave up the
/// parts.
#[test]
fn confirmed_shrinking_frees_parts_at_the_next_request() {
    let now = Instant::now();
    let mut holder = Holder::new(1, Holding::equal_share(0, 1), now);
    let (mut a, mut b) = (grantee("a", LocalLimits { concurrent: 7, ..NEED }), grantee("b", NEED));
    renew(&mut holder, &mut a, 1, now);
    assert_eq!(renew(&mut holder, &mut b, 1, now), 0);
    let retained = renew(&mut holder, &mut a, 1, now + RENEW_INTERVAL);
    assert!((3..=4).contains(&retained), "retained {retained}");
    renew(&mut holder, &mut a, 1, now + 2 * RENEW_INTERVAL);
    assert_eq!(renew(&mut holder, &mut b, 1, now + 2 * RENEW_INTERVAL), 3);
}

/// Guards against an interruption of service and against excess grants after the holder dies.
#[test]
fn new_holder_confirms_what_instances_hold_and_grants_nothing_else_at_first() {
    let now = Instant::now();
    let mut old = Holder::new(1, Holding::equal_share(0, 1), now);
    let (mut a, mut b) = (grantee("a", NEED), grantee("b", NEED));
    let held = renew(&mut old, &mut a, 1, now);
    let takeover = now + ms(12_000);
    let mut new = Holder::new(2, Holding::equal_share(0, 1), takeover);
    assert_eq!(renew(&mut new, &mut a, 2, takeover), held);
    assert_eq!(renew(&mut new, &mut b, 2, takeover), 0);
    assert!(new.grant(&b.request(1, takeover), takeover).is_none(), "addressed to the old holder");
    let later = takeover + GRANT_TERM + GRANT_MARGIN;
    assert!(renew(&mut new, &mut b, 2, later) >= 3);
}

/// Guards against an outage of the data centre 20 s after the holder dies while the platform is
/// unreachable, because no instance can take over then.
#[test]
fn grants_given_during_an_outage_outlast_the_holder() {
    let now = Instant::now();
    let mut holder = Holder::new(1, Holding::equal_share(0, 1), now);
    holder.set_listed(BTreeSet::from(["a".into()]));
    let (mut a, mut unlisted) = (grantee("a", NEED), grantee("b", NEED));
    holder.set_outage(true);
    let held = renew(&mut holder, &mut a, 1, now);
    renew(&mut holder, &mut unlisted, 1, now);
    let later = now + Duration::from_secs(3_600);
    assert_eq!(a.limits("c0", &LIMITS, later).concurrent, held);
    assert_eq!(
        unlisted.limits("c0", &LIMITS, later).concurrent,
        0,
        "no successor would account for it"
    );
}

/// Guards against granting parts that an instance still uses, which has been unreachable since an
/// outage.
#[test]
fn new_holder_waits_for_every_listed_instance_after_an_outage() {
    let now = Instant::now();
    let listed: BTreeSet<InstanceId> = ["a", "b"].map(Into::into).into();
    let mut old = Holder::new(1, Holding::equal_share(0, 1), now);
    old.set_listed(listed.clone());
    old.set_outage(true);
    let (mut a, mut b) = (grantee("a", LocalLimits { concurrent: 7, ..NEED }), grantee("b", NEED));
    assert_eq!(renew(&mut old, &mut a, 1, now), 7);
    let takeover = now + Duration::from_secs(60);
    let mut new = Holder::new(2, Holding::equal_share(0, 1), takeover);
    new.set_listed(listed);
    let later = takeover + GRANT_TERM + GRANT_MARGIN;
    assert_eq!(renew(&mut new, &mut b, 2, later), 0, "a may still use everything");
    // Both instances have sent a request, so the grant of `a` shrinks to its fair share. `a`
    // confirms that with its next request.
    assert_eq!(renew(&mut new, &mut a, 2, later), 4);
    assert_eq!(renew(&mut new, &mut b, 2, later), 0, "a has not confirmed");
    assert_eq!(renew(&mut new, &mut a, 2, later), 4);
    assert_eq!(renew(&mut new, &mut b, 2, later), 3);
}

/// Guards against a holder that has lost its lease and grants parts that its successor also grants.
#[test]
fn holder_without_lease_only_confirms() {
    let now = Instant::now();
    let mut holder = Holder::new(1, Holding::equal_share(0, 1), now);
    let (mut a, mut b) = (grantee("a", NEED), grantee("b", NEED));
    let held = renew(&mut holder, &mut a, 1, now);
    holder.on_lease_lost();
    assert_eq!(renew(&mut holder, &mut a, 1, now + ms(1)), held);
    assert_eq!(renew(&mut holder, &mut b, 1, now + ms(1)), 0);
}

/// Guards against 22 s without new shares after a planned stop, and against excess grants.
#[test]
fn successor_after_a_planned_stop_grants_free_parts_at_once() {
    let now = Instant::now();
    let mut old = Holder::new(1, Holding::equal_share(0, 1), now);
    let (mut a, mut b) = (grantee("a", NEED), grantee("b", NEED));
    let held = renew(&mut old, &mut a, 1, now);
    let state = old.hand_over(now + ms(10));
    let mut new = Holder::from_handover(2, Holding::equal_share(0, 1), state, now + ms(20));
    let first = renew(&mut new, &mut b, 2, now + ms(20));
    assert!(first > 0 && first + held <= 7, "{first} beside {held}");
    assert!(renew(&mut new, &mut a, 2, now + ms(30)) + first <= 7);
}

/// Guards against a delayed grant that overwrites a newer one.
#[test]
fn late_grant_is_ignored() {
    let now = Instant::now();
    let mut holder = Holder::new(1, Holding::equal_share(0, 1), now);
    let mut a = grantee("a", NEED);
    let late = holder.grant(&a.request(1, now), now).unwrap();
    renew(&mut holder, &mut a, 1, now + ms(10));
    assert!(!a.apply(late));
}

/// Guards against counting the term of a grant from a request that was sent after the one that it
/// answers.
#[test]
fn grant_that_answers_an_earlier_request_is_ignored() {
    let now = Instant::now();
    let mut holder = Holder::new(1, Holding::equal_share(0, 1), now);
    let mut a = grantee("a", NEED);
    let late = holder.grant(&a.request(1, now), now).unwrap();
    let _lost = a.request(1, now + ms(10_000));
    assert!(!a.apply(late));
}

/// Guards against donating parts that instances still use.
#[test]
fn donation_waits_for_the_grants_of_its_parts() {
    let now = Instant::now();
    let mut holder = Holder::new(1, Holding::equal_share(0, 1), now);
    let mut a = grantee("a", LocalLimits { concurrent: 7, ..NEED });
    renew(&mut holder, &mut a, 1, now);
    let missing = BTreeMap::from([("c0".into(), SPAN_LENGTH / 2), ("c1".into(), SPAN_LENGTH)]);
    let offered = holder.donation(&missing);
    assert!(offered.parts("c0").is_empty(), "own instances request everything");
    assert_eq!(offered.parts("c1").length(), SPAN_LENGTH / 2, "half of the surplus");
    let donation = Holding::of_client_account("c0", IntervalSet::equal_share(1, 2));
    holder.withhold(&donation);
    assert!(!holder.is_free(&donation, now));
    assert_eq!(renew(&mut holder, &mut a, 1, now + ms(1)), 4);
    assert!(!holder.is_free(&donation, now + ms(1)), "the grant may not have arrived");
    renew(&mut holder, &mut a, 1, now + ms(2));
    assert!(holder.is_free(&donation, now + ms(2)));
    assert_eq!(holder.unmet(), BTreeMap::from([("c0".into(), SPAN_LENGTH / 2)]));
    a.clear_need("c0");
    assert_eq!(renew(&mut holder, &mut a, 1, now + ms(3)), 0, "not requested");
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
