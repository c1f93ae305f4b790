//! Faults of dispatch, each by itself.

use dispatch::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn queued(idempotent: bool, now: Instant) -> Request<Queued> {
    let (first_token_by, complete_by) = (now + ms(5_000), now + ms(9_000));
    Request::new(RequestParams { id: "r".into(), idempotent, first_token_by, complete_by })
}

fn sent(idempotent: bool, budget: &mut RetryBudget, now: Instant) -> Request<Sent> {
    queued(idempotent, now).send("s".into(), "a".into(), budget, now)
}

fn filled_budget(now: Instant) -> RetryBudget {
    let mut budget = RetryBudget::new();
    (0..100).for_each(|_| budget.record_first_attempt("s", now));
    budget
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

/// Guards against `not_run` after a retry, when the first attempt may have run.
#[test]
fn retried_request_can_no_longer_be_refused_as_not_run() {
    let now = Instant::now();
    let mut budget = filled_budget(now);
    let req = sent(true, &mut budget, now).into_retryable().unwrap();
    let (req, at) = req.retry(Reason::BackendFailed, &mut budget, now, &mut rng()).unwrap();
    assert!(at > now && at <= now + ms(50));
    assert_eq!(req.refuse(Reason::DeadlinePassed).verdict, Verdict::MayHaveRun);
}

/// Guards against losing a true `not_run`, and against believing one about another attempt or
/// one that contradicts the parts received.
#[test]
fn only_the_servers_statement_on_this_attempt_gives_not_run() {
    let now = Instant::now();
    let mut budget = RetryBudget::new();
    let mut req = sent(false, &mut budget, now);
    assert!(!req.mark_not_started("other"));
    assert_eq!(req.verdict(), Verdict::MayHaveRun);
    assert!(req.mark_not_started("a"));
    assert_eq!(req.fail(Reason::NoCapacity).verdict, Verdict::NotRun);
    let mut req = sent(false, &mut budget, now);
    assert_eq!(req.accept("a", StreamEvent::Part(0)), StreamAction::Forward);
    assert!(!req.mark_not_started("a"));
}

/// Guards against passing on the answer of another request or of an earlier attempt.
#[test]
fn crossed_answer_is_discarded() {
    let now = Instant::now();
    let mut req = sent(true, &mut RetryBudget::new(), now);
    assert_eq!(req.accept("other", StreamEvent::Part(0)), StreamAction::Discard);
    assert_eq!(req.accept("other", StreamEvent::FullBody), StreamAction::Discard);
    assert_eq!(req.accept("a", StreamEvent::FullBody), StreamAction::Complete);
}

/// Guards against a second run of a request that must run at most once.
#[test]
fn request_that_is_not_idempotent_is_not_repeatable() {
    let now = Instant::now();
    let mut req = sent(false, &mut RetryBudget::new(), now);
    req.mark_not_started("a");
    assert!(req.into_retryable().is_err());
}

/// Guards against an answer that mixes the parts of two runs.
#[test]
fn request_with_parts_passed_on_is_not_repeatable_but_resumes() {
    let now = Instant::now();
    let mut req = sent(true, &mut RetryBudget::new(), now);
    req.accept("a", StreamEvent::Part(0));
    assert_eq!(req.accept("a", StreamEvent::Broken), StreamAction::Broken);
    let mut req = req.into_retryable().unwrap_err();
    assert_eq!(req.resume(now).unwrap().from_part, 1);
    assert_eq!(req.accept("a", StreamEvent::Part(0)), StreamAction::Discard);
    assert_eq!(req.accept("a", StreamEvent::Part(1)), StreamAction::Forward);
    assert_eq!(req.accept("a", StreamEvent::End), StreamAction::Complete);
    assert!(req.finish().is_ok());
}

/// Guards against an end marker that hides missing parts.
#[test]
fn stream_with_a_gap_is_not_complete() {
    let now = Instant::now();
    let mut req = sent(true, &mut RetryBudget::new(), now);
    req.accept("a", StreamEvent::Part(0));
    assert_eq!(req.accept("a", StreamEvent::Part(2)), StreamAction::Broken);
    assert_eq!(req.accept("a", StreamEvent::Part(1)), StreamAction::Forward);
    assert_eq!(req.accept("a", StreamEvent::End), StreamAction::Broken);
    assert!(req.finish().is_err());
}

/// Guards against retries or connections that are due only after the deadline.
#[test]
fn nothing_is_retried_past_the_deadline() {
    let now = Instant::now();
    let mut budget = filled_budget(now);
    let late = now + ms(4_990);
    let refusal = queued(true, now).connect_failed(late, &mut rng()).unwrap_err();
    assert_eq!(refusal.verdict, Verdict::NotRun);
    let req = sent(true, &mut budget, now).into_retryable().unwrap();
    let refusal = req.retry(Reason::BackendFailed, &mut budget, late, &mut rng()).unwrap_err();
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

/// Guards against a long quiet time that pays for a burst of retries.
#[test]
fn burst_of_retries_is_bounded_within_a_slot() {
    let now = Instant::now();
    let mut budget = filled_budget(now);
    let later = now + ms(60_000);
    assert_eq!((0..50).filter(|_| budget.try_retry("s", later)).count(), 2);
}

/// Calls admitted to a server during `seconds` at 100 offered a second.
fn admitted(breakers: &mut CircuitBreakers, bad: bool, from: Instant, seconds: u64) -> usize {
    let mut rng = rng();
    let result = if bad { CallResult::Failure } else { CallResult::Success };
    let mut admitted = 0;
    for at in (0..seconds * 100).map(|n| from + ms(n * 10)) {
        if let Some(permit) = breakers.admit("s", at) {
            breakers.record(permit, result, at, &mut rng);
            admitted += 1;
        }
    }
    admitted
}

/// Guards against a struggling server that gets as much load as a sound one, and against one
/// that never gets load again.
#[test]
fn failing_server_sees_little_load_and_recovers() {
    let now = Instant::now();
    let mut breakers = CircuitBreakers::new();
    let while_failing = admitted(&mut breakers, true, now, 60);
    assert!(while_failing <= 15, "{while_failing} of 6000 calls");
    let later = now + ms(90_000);
    assert_eq!(admitted(&mut breakers, false, later, 60), 6_000);
}

/// Guards against results of calls from before an opening that decide the probation.
#[test]
fn late_results_of_earlier_calls_do_not_reopen_the_breaker() {
    let now = Instant::now();
    let mut breakers = CircuitBreakers::new();
    let early = breakers.admit("s", now).unwrap();
    admitted(&mut breakers, true, now, 1);
    let later = now + ms(30_000);
    let probe = breakers.admit("s", later).unwrap();
    assert_eq!(breakers.admit("s", later), None, "one call at first");
    assert_eq!(breakers.record(early, CallResult::Failure, later, &mut rng()), None);
    assert_eq!(breakers.record(probe, CallResult::Success, later, &mut rng()), None);
    assert!(breakers.admit("s", later).is_some());
}
