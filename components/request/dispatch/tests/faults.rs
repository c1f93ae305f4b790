//! Tests that each guard against one specific fault of dispatch.

use dispatch::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn queued_request(idempotent: bool, now: Instant) -> Request<Queued> {
    let (first_token_by, complete_by) = (now + ms(5_000), now + ms(9_000));
    Request::new(RequestParams { id: "r".into(), idempotent, first_token_by, complete_by })
}

fn sent_request(idempotent: bool, budget: &mut RetryBudget, now: Instant) -> Request<Sent> {
    queued_request(idempotent, now).send("s".into(), "a".into(), budget, now)
}

fn budget_with_first_attempts(now: Instant) -> RetryBudget {
    let mut budget = RetryBudget::new();
    (0..100).for_each(|_| budget.record_first_attempt("s", now));
    budget
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

/// Guards against the verdict `not_run` after a retry although the first attempt may have run.
#[test]
fn retried_request_can_no_longer_be_refused_as_not_run() {
    let now = Instant::now();
    let mut budget = budget_with_first_attempts(now);
    let req = sent_request(true, &mut budget, now).into_retryable().unwrap();
    let (req, at) = req.retry(Reason::BackendFailed, &mut budget, now, &mut rng()).unwrap();
    assert!(at > now && at <= now + ms(50));
    assert_eq!(req.refuse(Reason::DeadlinePassed).verdict, Verdict::MayHaveRun);
}

/// Guards against ignoring the server's report that it did not start an attempt, and against
/// accepting a report about another attempt or one that contradicts the parts received.
#[test]
fn not_run_requires_the_servers_report_on_this_attempt() {
    let now = Instant::now();
    let mut budget = RetryBudget::new();
    let mut req = sent_request(false, &mut budget, now);
    assert!(!req.mark_not_started("other"));
    assert_eq!(req.verdict(), Verdict::MayHaveRun);
    assert!(req.mark_not_started("a"));
    assert_eq!(req.fail(Reason::NoCapacity).verdict, Verdict::NotRun);
    let mut req = sent_request(false, &mut budget, now);
    assert_eq!(req.accept("a", StreamEvent::Part(0)), StreamAction::Forward);
    assert!(!req.mark_not_started("a"));
}

/// Guards against forwarding the response to another request or to an earlier attempt.
#[test]
fn response_to_another_attempt_is_discarded() {
    let now = Instant::now();
    let mut req = sent_request(true, &mut RetryBudget::new(), now);
    assert_eq!(req.accept("other", StreamEvent::Part(0)), StreamAction::Discard);
    assert_eq!(req.accept("other", StreamEvent::FullBody), StreamAction::Discard);
    assert_eq!(req.accept("a", StreamEvent::FullBody), StreamAction::Complete);
}

/// Guards against a second run of a request that must run at most once.
#[test]
fn request_that_is_not_idempotent_is_not_retryable() {
    let now = Instant::now();
    let mut req = sent_request(false, &mut RetryBudget::new(), now);
    req.mark_not_started("a");
    assert!(req.into_retryable().is_err());
}

/// Guards against a response that mixes the parts of two runs.
#[test]
fn request_with_forwarded_parts_is_resumable_but_not_retryable() {
    let now = Instant::now();
    let mut req = sent_request(true, &mut RetryBudget::new(), now);
    req.accept("a", StreamEvent::Part(0));
    assert_eq!(req.accept("a", StreamEvent::Broken), StreamAction::Broken);
    let mut req = req.into_retryable().unwrap_err();
    assert_eq!(req.resume(now).unwrap().from_part, 1);
    assert_eq!(req.accept("a", StreamEvent::Part(0)), StreamAction::Discard);
    assert_eq!(req.accept("a", StreamEvent::Part(1)), StreamAction::Forward);
    assert_eq!(req.accept("a", StreamEvent::End), StreamAction::Complete);
    assert!(req.finish().is_ok());
}

/// Guards against an end marker that completes a stream with missing parts.
#[test]
fn stream_with_a_gap_is_not_complete() {
    let now = Instant::now();
    let mut req = sent_request(true, &mut RetryBudget::new(), now);
    req.accept("a", StreamEvent::Part(0));
    assert_eq!(req.accept("a", StreamEvent::Part(2)), StreamAction::Broken);
    assert_eq!(req.accept("a", StreamEvent::Part(1)), StreamAction::Forward);
    assert_eq!(req.accept("a", StreamEvent::End), StreamAction::Broken);
    assert!(req.finish().is_err());
}

/// Guards against retries and connections that are scheduled after the deadline.
#[test]
fn no_retry_is_scheduled_past_the_deadline() {
    let now = Instant::now();
    let mut budget = budget_with_first_attempts(now);
    let near_deadline = now + ms(4_990);
    let refusal = queued_request(true, now).connect_failed(near_deadline, &mut rng()).unwrap_err();
    assert_eq!(refusal.verdict, Verdict::NotRun);
    let req = sent_request(true, &mut budget, now).into_retryable().unwrap();
    let refusal =
        req.retry(Reason::BackendFailed, &mut budget, near_deadline, &mut rng()).unwrap_err();
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

/// Guards against a burst of retries that first attempts over a long quiet period would allow.
#[test]
fn retries_within_one_slot_are_bounded() {
    let now = Instant::now();
    let mut budget = budget_with_first_attempts(now);
    let later = now + ms(60_000);
    assert_eq!((0..50).filter(|_| budget.try_retry("s", later)).count(), 2);
}

/// Returns how many calls are admitted to a server during `seconds`, at 100 offered per second.
fn count_admitted(
    breakers: &mut CircuitBreakers,
    is_failing: bool,
    from: Instant,
    seconds: u64,
) -> usize {
    let mut rng = rng();
    let result = if is_failing { CallResult::Failure } else { CallResult::Success };
    let mut admitted = 0;
    for at in (0..seconds * 100).map(|n| from + ms(n * 10)) {
        if let Some(permit) = breakers.admit("s", at) {
            breakers.record(permit, result, at, &mut rng);
            admitted += 1;
        }
    }
    admitted
}

/// Guards against a failing server that gets as much load as a healthy one, and against a recovered
/// server that gets no load.
#[test]
fn failing_server_gets_few_calls_and_recovers() {
    let now = Instant::now();
    let mut breakers = CircuitBreakers::new();
    let while_failing = count_admitted(&mut breakers, true, now, 60);
    assert!(while_failing <= 15, "{while_failing} of 6000 calls");
    let later = now + ms(90_000);
    assert_eq!(count_admitted(&mut breakers, false, later, 60), 6_000);
}

/// Guards against results of calls admitted before the breaker opened that change its half-open
/// state.
#[test]
fn late_results_of_earlier_calls_do_not_reopen_the_breaker() {
    let now = Instant::now();
    let mut breakers = CircuitBreakers::new();
    let earlier_permit = breakers.admit("s", now).unwrap();
    count_admitted(&mut breakers, true, now, 1);
    let later = now + ms(30_000);
    let half_open_permit = breakers.admit("s", later).unwrap();
    assert_eq!(breakers.admit("s", later), None, "only one call passes at first");
    assert_eq!(breakers.record(earlier_permit, CallResult::Failure, later, &mut rng()), None);
    assert_eq!(breakers.record(half_open_permit, CallResult::Success, later, &mut rng()), None);
    assert!(breakers.admit("s", later).is_some());
}
