//! The life cycle of one request as a typestate.

use rand::Rng;
use types::prelude::*;

use crate::retry_budget::RetryBudget;
use crate::stream::{ResponseStream, StreamAction, StreamEvent};

/// Maximum attempts of one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;
/// Maximum connections tried for one attempt.
pub const MAX_CONNECT_ATTEMPTS: u32 = 4;
/// Maximum times that one attempt's stream is resumed.
pub const MAX_RESUMES: u32 = 3;
/// Delay of the first retry, before jitter; it doubles with each further retry.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of the delay of a retry, before jitter.
const RETRY_MAX_DELAY: Duration = Duration::from_secs(2);

/// Generates attempt ids that are unique across all processes.
#[derive(Debug)]
pub struct AttemptIdGenerator {
    prefix: Box<str>,
    next: u64,
}

impl AttemptIdGenerator {
    /// Creates a generator for one run of one instance, identified by its incarnation.
    pub fn new(instance: &str, incarnation: Incarnation) -> Self {
        Self { prefix: format!("{instance}-{incarnation:x}").into(), next: 0 }
    }

    /// Returns a new attempt id.
    pub fn next_id(&mut self) -> AttemptId {
        self.next += 1;
        format!("{}-{:x}", self.prefix, self.next).into()
    }
}

/// Properties of a request that are the same in all its states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestParams {
    /// Request id shown to the caller.
    pub id: RequestId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Deadline for the first token.
    pub first_token_by: Instant,
    /// Deadline for the complete response.
    pub complete_by: Instant,
}

/// A request in one state of its life cycle.
#[derive(Debug)]
#[must_use]
pub struct Request<S> {
    params: RequestParams,
    /// Number of attempts sent so far.
    attempts: u32,
    /// An earlier attempt may have run, so a later refusal must not say `not_run`.
    may_have_run: bool,
    state: S,
}

/// The request waits to be sent; no bytes of the current attempt were written.
#[derive(Debug)]
pub struct Queued {
    /// Connections that failed before the first byte of the current attempt was written.
    failed_connects: u32,
}

/// Bytes of an attempt may have been written to a backend server.
#[derive(Debug)]
pub struct Sent {
    server: BackendServerId,
    attempt: AttemptId,
    stream: ResponseStream,
    resumes: u32,
    /// The server reported that it did not start this attempt.
    not_started: bool,
}

/// The complete response has arrived.
#[derive(Debug)]
pub struct Completed(());

/// Point at which to resume a broken stream. Close the old connection first, and no longer pass its
/// events to `Request::accept`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Backend server that runs the attempt.
    pub server: BackendServerId,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Number of the first missing part.
    pub from_part: u64,
}

/// A sent request that may be retried: it is idempotent, and no part of its response was forwarded
/// to the caller.
#[derive(Debug)]
#[must_use]
pub struct Retryable(Request<Sent>);

impl<S> Request<S> {
    /// Properties that are the same in all states.
    pub fn params(&self) -> &RequestParams {
        &self.params
    }

    /// Number of attempts sent so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    fn transition<T>(self, state: T) -> Request<T> {
        let Self { params, attempts, may_have_run, state: _ } = self;
        Request { params, attempts, may_have_run, state }
    }
}

impl Request<Queued> {
    /// Creates a request that was not sent to any backend server.
    pub fn new(params: RequestParams) -> Self {
        Self { params, attempts: 0, may_have_run: false, state: Queued { failed_connects: 0 } }
    }

    /// Starts an attempt. Call this directly before writing the first byte, with an attempt id that
    /// was never used before. If the connection fails earlier, call `connect_failed` instead.
    pub fn send(
        mut self,
        server: BackendServerId,
        attempt: AttemptId,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> Request<Sent> {
        if self.attempts == 0 {
            budget.record_first_attempt(&server, now);
        }
        self.attempts += 1;
        let stream = ResponseStream::default();
        self.transition(Sent { server, attempt, stream, resumes: 0, not_started: false })
    }

    /// Records a failed connection. Returns the request with the earliest time of the next
    /// connection, or a refusal if the deadline or the number of failures rules out another one.
    pub fn connect_failed(
        mut self,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<(Self, Instant), Refusal> {
        self.state.failed_connects += 1;
        let failures = self.state.failed_connects;
        let retry_at = now + backoff::delay(RETRY_BASE_DELAY, RETRY_MAX_DELAY, failures - 1, rng);
        if failures >= MAX_CONNECT_ATTEMPTS || retry_at >= self.params.first_token_by {
            return Err(self.refuse(Reason::NoCapacity).with_retry_at(retry_at));
        }
        Ok((self, retry_at))
    }

    /// Returns `NotRun` unless an earlier attempt may have run.
    pub fn verdict(&self) -> Verdict {
        verdict(self.may_have_run)
    }

    /// Ends the request with a refusal.
    pub fn refuse(self, reason: Reason) -> Refusal {
        Refusal { verdict: self.verdict(), reason, retry_at: None }
    }
}

impl Request<Sent> {
    /// Id of the current attempt.
    pub fn attempt(&self) -> &str {
        &self.state.attempt
    }

    /// Backend server of the current attempt.
    pub fn server(&self) -> &str {
        &self.state.server
    }

    /// Applies an event of a response that echoes the attempt id `attempt`, and returns what to do
    /// with the event.
    pub fn accept(&mut self, attempt: &str, event: StreamEvent) -> StreamAction {
        if *attempt != *self.state.attempt {
            return StreamAction::Discard;
        }
        self.state.stream.accept(event)
    }

    /// Records the server's report that it did not and will not start `attempt`. Returns false if
    /// the report is about another attempt or contradicts the parts that have arrived.
    pub fn mark_not_started(&mut self, attempt: &str) -> bool {
        let is_valid = *attempt == *self.state.attempt && !self.state.stream.has_forwarded();
        self.state.not_started |= is_valid;
        is_valid
    }

    /// Returns where to resume if the stream is broken and may be resumed once more at `now`.
    /// Resuming runs nothing again, so requests that are not idempotent may be resumed too.
    pub fn resume(&mut self, now: Instant) -> Option<ResumePoint> {
        let state = &mut self.state;
        if state.not_started || state.resumes >= MAX_RESUMES || now >= self.params.complete_by {
            return None;
        }
        let from_part = state.stream.resume()?;
        state.resumes += 1;
        Some(ResumePoint {
            server: state.server.clone(),
            attempt: state.attempt.clone(),
            from_part,
        })
    }

    /// Returns the completed request if the response is complete, or else the unchanged request.
    // The error is the unfinished request, which is as large as the completed one and stays in use.
    #[allow(clippy::result_large_err)]
    pub fn finish(self) -> Result<Request<Completed>, Self> {
        if self.state.stream.is_complete() { Ok(self.transition(Completed(()))) } else { Err(self) }
    }

    /// Returns `NotRun` only if the server reported that it did not start this attempt and no
    /// earlier attempt may have run.
    pub fn verdict(&self) -> Verdict {
        verdict(self.may_have_run || !self.state.not_started)
    }

    /// Ends the request without a complete response. If parts were forwarded, the caller must get
    /// an explicit error event with this refusal.
    pub fn fail(self, reason: Reason) -> Refusal {
        Refusal { verdict: self.verdict(), reason, retry_at: None }
    }

    /// Returns the request as `Retryable` if it may be retried, and unchanged if not.
    #[allow(clippy::result_large_err)]
    pub fn into_retryable(self) -> Result<Retryable, Self> {
        // A second run may generate a different response, whose parts cannot continue those already
        // forwarded.
        let may_retry = self.params.idempotent && !self.state.stream.has_forwarded();
        if may_retry { Ok(Retryable(self)) } else { Err(self) }
    }
}

impl Retryable {
    /// Returns the request as `Queued` with the earliest time of the next attempt, or a refusal if
    /// the budget, the deadline or the number of attempts rules out a retry.
    pub fn retry(
        self,
        reason: Reason,
        budget: &mut RetryBudget,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<(Request<Queued>, Instant), Refusal> {
        let Self(mut req) = self;
        let retry_at =
            now + backoff::delay(RETRY_BASE_DELAY, RETRY_MAX_DELAY, req.attempts - 1, rng);
        if req.attempts >= MAX_ATTEMPTS
            || retry_at >= req.params.first_token_by
            || !budget.try_retry(&req.state.server, now)
        {
            return Err(req.fail(reason).with_retry_at(retry_at));
        }
        req.may_have_run |= !req.state.not_started;
        Ok((req.transition(Queued { failed_connects: 0 }), retry_at))
    }
}

fn verdict(may_have_run: bool) -> Verdict {
    if may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun }
}
