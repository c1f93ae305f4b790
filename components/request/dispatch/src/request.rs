//! Typestate of one request.

use rand::Rng;
use types::prelude::*;

use crate::retry_budget::RetryBudget;
use crate::stream::{Stream, StreamAction, StreamEvent};

/// Attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Connections tried for one attempt.
pub const MAX_CONNECT_ATTEMPTS: u32 = 4;
/// Resumes of one attempt's stream.
pub const MAX_RESUMES: u32 = 3;
/// Shortest delay of a retry, before jitter.
const RETRY_BASE: Duration = Duration::from_millis(50);
/// Longest delay of a retry, before jitter.
const RETRY_LONGEST: Duration = Duration::from_secs(2);

/// Hands out attempt ids that no other attempt of any process has.
#[derive(Debug)]
pub struct AttemptIdGenerator {
    prefix: Box<str>,
    next: u64,
}

impl AttemptIdGenerator {
    /// Ids of one run of one instance.
    pub fn new(instance: &str, incarnation: Incarnation) -> Self {
        Self { prefix: format!("{instance}-{incarnation:x}").into(), next: 0 }
    }

    /// The next id.
    pub fn next_id(&mut self) -> AttemptId {
        self.next += 1;
        format!("{}-{:x}", self.prefix, self.next).into()
    }
}

/// What stays the same over all states of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestParams {
    /// Id shown to the caller.
    pub id: RequestId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Deadline for the first token.
    pub first_token_by: Instant,
    /// Deadline for the whole answer.
    pub complete_by: Instant,
}

/// A request in one state of its life cycle.
#[derive(Debug)]
#[must_use]
pub struct Request<S> {
    params: RequestParams,
    /// Attempts sent so far.
    attempts: u32,
    /// An earlier attempt may have run, so no later refusal can say `not_run`.
    may_have_run: bool,
    state: S,
}

/// The request waits; no bytes of the present attempt were written.
#[derive(Debug)]
pub struct Queued {
    /// Connections that failed before the first byte of the present attempt.
    failed_connects: u32,
}

/// Bytes of an attempt were written to a backend server.
#[derive(Debug)]
pub struct Sent {
    server: BackendServerId,
    attempt: AttemptId,
    stream: Stream,
    resumes: u32,
    /// The server stated that it did not start this attempt.
    not_started: bool,
}

/// The complete answer has arrived.
#[derive(Debug)]
pub struct Completed(());

/// Where to resume a broken stream. The old connection is to be closed first, and its events are
/// not to be passed to `accept` any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Backend server that runs the attempt.
    pub server: BackendServerId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Number of the first part that is missing.
    pub from_part: u64,
}

/// A sent request that may run again: it is idempotent, and nothing of its answer was passed on.
#[derive(Debug)]
#[must_use]
pub struct Retryable(Request<Sent>);

impl<S> Request<S> {
    /// What stays the same over all states.
    pub fn params(&self) -> &RequestParams {
        &self.params
    }

    /// Attempts sent so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    fn with<T>(self, state: T) -> Request<T> {
        let Self { params, attempts, may_have_run, state: _ } = self;
        Request { params, attempts, may_have_run, state }
    }
}

impl Request<Queued> {
    /// A request that no backend server has seen.
    pub fn new(params: RequestParams) -> Self {
        Self { params, attempts: 0, may_have_run: false, state: Queued { failed_connects: 0 } }
    }

    /// Call this directly before the first byte is written, with an attempt id that was never
    /// used. A connection that fails earlier is a matter for `connect_failed`.
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
        let stream = Stream::default();
        self.with(Sent { server, attempt, stream, resumes: 0, not_started: false })
    }

    /// Returns the earliest time of the next connection, or ends the request with a refusal if
    /// the deadline or the number of failures forbids another.
    pub fn connect_failed(
        mut self,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<(Self, Instant), Refusal> {
        self.state.failed_connects += 1;
        let failed = self.state.failed_connects;
        let at = now + backoff::delay(RETRY_BASE, RETRY_LONGEST, failed - 1, rng);
        if failed >= MAX_CONNECT_ATTEMPTS || at >= self.params.first_token_by {
            return Err(self.refuse(Reason::NoCapacity).with_retry_at(at));
        }
        Ok((self, at))
    }

    /// `NotRun` unless an earlier attempt may have run.
    pub fn verdict(&self) -> Verdict {
        verdict(self.may_have_run)
    }

    /// Ends the request with a refusal.
    pub fn refuse(self, reason: Reason) -> Refusal {
        Refusal { verdict: self.verdict(), reason, retry_at: None }
    }
}

impl Request<Sent> {
    /// The present attempt.
    pub fn attempt(&self) -> &str {
        &self.state.attempt
    }

    /// The backend server of the present attempt.
    pub fn server(&self) -> &str {
        &self.state.server
    }

    /// Takes an event of the answer that echoes `attempt`.
    pub fn accept(&mut self, attempt: &str, event: StreamEvent) -> StreamAction {
        if *attempt != *self.state.attempt {
            return StreamAction::Discard;
        }
        self.state.stream.accept(event)
    }

    /// Takes the server's own statement that it did not start `attempt` and will not. Returns
    /// false if the statement is about another attempt or contradicts what has arrived.
    pub fn mark_not_started(&mut self, attempt: &str) -> bool {
        let holds = *attempt == *self.state.attempt && !self.state.stream.has_begun();
        self.state.not_started |= holds;
        holds
    }

    /// Where to resume, if the stream broke and a further resume is allowed at `now`. Resuming
    /// runs nothing again, so it is open to requests that are not idempotent, too.
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

    /// The answered request, if the answer is complete.
    // The unfinished request is as large as the finished one and goes on being used.
    #[allow(clippy::result_large_err)]
    pub fn finish(self) -> Result<Request<Completed>, Self> {
        if self.state.stream.is_complete() { Ok(self.with(Completed(()))) } else { Err(self) }
    }

    /// `NotRun` only if the server stated that it did not start, and no earlier attempt may have
    /// run.
    pub fn verdict(&self) -> Verdict {
        verdict(self.may_have_run || !self.state.not_started)
    }

    /// Ends the request without a complete answer. If parts were passed on, the caller must see
    /// an explicit error event with this refusal.
    pub fn fail(self, reason: Reason) -> Refusal {
        Refusal { verdict: self.verdict(), reason, retry_at: None }
    }

    /// The request as one that may be retried; any other comes back unchanged.
    #[allow(clippy::result_large_err)]
    pub fn into_retryable(self) -> Result<Retryable, Self> {
        // A second run may differ, so its parts cannot continue those already passed on.
        let allowed = self.params.idempotent && !self.state.stream.has_begun();
        if allowed { Ok(Retryable(self)) } else { Err(self) }
    }
}

impl Retryable {
    /// Returns the request to `Queued` with the earliest time of the next attempt, or ends it
    /// with a refusal if the budget, the deadline or the number of attempts forbids a retry.
    pub fn retry(
        self,
        reason: Reason,
        budget: &mut RetryBudget,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<(Request<Queued>, Instant), Refusal> {
        let Self(mut req) = self;
        let at = now + backoff::delay(RETRY_BASE, RETRY_LONGEST, req.attempts - 1, rng);
        if req.attempts >= MAX_ATTEMPTS
            || at >= req.params.first_token_by
            || !budget.try_retry(&req.state.server, now)
        {
            return Err(req.fail(reason).with_retry_at(at));
        }
        req.may_have_run |= !req.state.not_started;
        Ok((req.with(Queued { failed_connects: 0 }), at))
    }
}

fn verdict(may_have_run: bool) -> Verdict {
    if may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun }
}
