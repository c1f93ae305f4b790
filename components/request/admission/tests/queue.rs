//! Tests of single failure modes of the queue.

mod support;

use admission::*;
use support::*;
use types::prelude::*;

/// Guards against queueing a request that cannot meet its deadline.
#[test]
fn unreachable_deadline_is_refused_at_once_as_not_run() {
    let now = Instant::now();
    let mut admission = admission(&[10_000], HIGH_LIMITS, now);
    let late = AdmissionRequest { earliest_first_token: now + ms(1_001), ..request(1, 0, now) };
    let refusal = admission.admit(late, now).unwrap_err();
    assert_eq!(refusal.reason, Reason::DeadlineUnreachable);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(admission.next_deadline(), None);
}

/// Guards against a request that waits past its deadline or is dequeued after it.
#[test]
fn waiting_request_expires_with_a_refusal_at_its_deadline() {
    let now = Instant::now();
    let mut admission = admission(&[10_000], HIGH_LIMITS, now);
    admission.admit(request(1, 0, now), now).unwrap();
    assert_eq!(admission.next_deadline(), Some(now + ms(1_000)));
    assert!(admission.expire(now + ms(999)).is_empty());
    assert_eq!(admission.dequeue(&queue(0), now + ms(1_000)), None);
    assert!(matches!(
        &admission.expire(now + ms(1_000))[..],
        [Expired::Waiting(request, refusal)]
            if request.ticket == 1 && refusal.verdict == Verdict::NotRun
    ));
}

/// Guards against a request in progress that is not expired at its deadline.
#[test]
fn running_request_expires_at_its_completion_deadline() {
    let now = Instant::now();
    let mut admission = admission(&[10_000], HIGH_LIMITS, now);
    let mut request = request(1, 0, now);
    request.complete_by = Some(now + ms(500));
    admission.admit(request, now).unwrap();
    admission.dequeue(&queue(0), now).unwrap();
    assert!(matches!(&admission.expire(now + ms(500))[..], [Expired::Running(_)]));
    assert_eq!(admission.request_counts("c0"), (0, 0));
}

/// Guards against refusing a request as `not_run` although an earlier attempt may have run.
#[test]
fn requeued_request_keeps_its_verdict_and_waits_for_its_delay() {
    let now = Instant::now();
    let mut admission = admission(&[10_000], HIGH_LIMITS, now);
    admission.admit(request(1, 0, now), now).unwrap();
    admission.dequeue(&queue(0), now).unwrap();
    admission.requeue(1, Verdict::MayHaveRun, now + ms(50), now).unwrap();
    assert_eq!(admission.dequeue(&queue(0), now + ms(49)), None);
    assert_eq!(admission.next_deadline(), Some(now + ms(50)));
    assert_eq!(admission.dequeue(&queue(0), now + ms(50)).unwrap().verdict, Verdict::MayHaveRun);
    admission.requeue(1, Verdict::MayHaveRun, now, now + ms(60)).unwrap();
    assert!(matches!(
        &admission.expire(now + ms(1_000))[..],
        [Expired::Waiting(_, refusal)] if refusal.verdict == Verdict::MayHaveRun
    ));
}

/// Guards against serving batch requests of a client account before its urgent ones.
#[test]
fn earliest_deadline_goes_first_within_a_client_account() {
    let now = Instant::now();
    let mut admission = admission(&[10_000], HIGH_LIMITS, now);
    admission
        .admit(AdmissionRequest { class: Some("batch".into()), ..request(1, 0, now) }, now)
        .unwrap();
    admission.admit(request(2, 0, now + ms(5)), now + ms(5)).unwrap();
    admission.admit(request(3, 0, now + ms(9)), now + ms(9)).unwrap();
    let order: Vec<_> = std::iter::from_fn(|| admission.dequeue(&queue(0), now + ms(9)))
        .map(|r| r.ticket)
        .collect();
    assert_eq!(order, [2, 3, 1]);
}

/// Guards against a client account that exceeds one of its limits, and against refusals with a
/// wrong reason.
#[test]
fn each_limit_is_enforced_by_itself() {
    let now = Instant::now();
    let limits = LocalLimits { rate_milli: 3_000, concurrent: 1, queued: 2 };
    let mut admission = admission(&[10_000], limits, now);
    admission.admit(request(1, 0, now), now).unwrap();
    admission.admit(request(2, 0, now), now).unwrap();
    assert_eq!(admission.admit(request(3, 0, now), now).unwrap_err().reason, Reason::QueueFull);
    assert_eq!(admission.dequeue(&queue(0), now).unwrap().ticket, 1);
    assert_eq!(admission.dequeue(&queue(0), now), None, "one request in progress at a time");
    admission.admit(request(4, 0, now), now).unwrap();
    assert!(admission.finish(1));
    assert_eq!(admission.dequeue(&queue(0), now).unwrap().ticket, 2);
    let refusal = admission.admit(request(5, 0, now), now).unwrap_err();
    assert_eq!(refusal.reason, Reason::LimitReached);
    let at = refusal.retry_at.unwrap();
    assert!(admission.admit(request(6, 0, now), at).is_ok());
}

/// Guards against refusing the first request after the instance gets its share back, and against
/// admitting requests while it has no share.
#[test]
fn tokens_are_retained_but_not_used_without_a_share() {
    let now = Instant::now();
    let one = LocalLimits { rate_milli: 100, concurrent: 1, queued: 5 };
    let mut admission = admission(&[10_000], one, now);
    admission.set_limits("c0", LocalLimits { rate_milli: 0, ..one }, now);
    let refusal = admission.admit(request(1, 0, now), now).unwrap_err();
    assert_eq!((refusal.reason, refusal.retry_at), (Reason::LimitReached, None));
    admission.set_limits("c0", one, now + ms(9_000));
    admission.admit(request(2, 0, now + ms(9_000)), now + ms(9_000)).unwrap();
    let refusal = admission.admit(request(3, 0, now + ms(9_000)), now + ms(9_000)).unwrap_err();
    assert_eq!(refusal.retry_at, Some(now + ms(19_000)), "no token was added in between");
}

/// Guards against a client account that is blocked by its concurrency limit and later catches up,
/// starving others.
#[test]
fn client_account_at_its_limit_accumulates_no_credit() {
    let now = Instant::now();
    let mut admission = admission(&[5_000, 5_000], HIGH_LIMITS, now);
    admission.set_limits("c0", LocalLimits { concurrent: 0, ..HIGH_LIMITS }, now);
    for ticket in 0..400 {
        admission.admit(request(ticket, (ticket % 2) as usize, now), now).unwrap();
    }
    for _ in 0..100 {
        assert_eq!(&*admission.dequeue(&queue(0), now).unwrap().client_account, "c1");
    }
    admission.set_limits("c0", HIGH_LIMITS, now);
    let next: Vec<_> = (0..20).filter_map(|_| admission.dequeue(&queue(0), now)).collect();
    let served = next.iter().filter(|request| &*request.client_account == "c0").count();
    assert!((9..=11).contains(&served), "served {served} of 20");
}

/// Guards against a configuration that changes the terms of requests admitted before it, and
/// against a return to an older version.
#[test]
fn request_keeps_the_version_it_was_admitted_under() {
    let now = Instant::now();
    let mut admission = admission(&[10_000], HIGH_LIMITS, now);
    admission.admit(request(1, 0, now), now).unwrap();
    admission.configure(configuration(7, &[10_000]));
    admission.configure(configuration(3, &[10_000]));
    assert_eq!(admission.admit(request(2, 0, now), now).unwrap().version, 7);
    assert_eq!(admission.dequeue(&queue(0), now).unwrap().version, 1);
    let adapter = AdmissionRequest { adapter: Some("unknown".into()), ..request(3, 0, now) };
    assert_eq!(admission.admit(adapter, now).unwrap_err().reason, Reason::UnknownModel);
}
