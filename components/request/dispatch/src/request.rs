//! Typestate of one request.

use std::marker::PhantomData;

use rand::Rng;
use types::prelude::*;

use crate::budget::RetryBudget;
use crate::stream::{Progress, StreamEvent};

/// Hands out attempt ids that no other attempt of any process has.
#[derive(Debug)]
pub struct AttemptIds {
    prefix: Box<str>,
    next: u64,
}

impl AttemptIds {
    /// Ids of one run of one instance.
    pub fn new(instance: &str, incarnation: Incarnation) -> Self {
        Self { prefix: format!("{instance}-{incarnation:x}").into(), next: 0 }
    }

    /// The next id.
    pub fn issue(&mut self) -> AttemptId {
        self.next += 1;
        format!("{}-{:x}", self.prefix, self.next).into()
    }
}

/// What stays the same over all states of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
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
    terms: Terms,
    state: PhantomData<S>,
}

/// The request waits; no bytes of the present attempt were written.
#[derive(Debug)]
pub struct Queued;
/// Bytes of an attempt were written to a backend server.
#[derive(Debug)]
pub struct Sent;
/// The complete answer has arrived.
#[derive(Debug)]
pub struct Answered;

/// Where to resume a broken stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resume {
    /// Backend server that runs the attempt.
    pub server: BackendServerId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Number of the first part that is missing.
    pub from: u64,
}

/// A sent request that may run again.
#[derive(Debug)]
#[must_use]
pub struct Repeatable(Request<Sent>);

impl<S> Request<S> {
    /// What stays the same over all states.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }
}

impl Request<Queued> {
    /// A request that no backend server has seen.
    pub fn new(terms: Terms) -> Self {
        Self { terms, state: PhantomData }
    }

    /// Call this directly before the first byte is written. A connection that fails earlier
    /// leaves the request as it is.
    pub fn send(
        self,
        server: BackendServerId,
        attempt: AttemptId,
        _budget: &mut RetryBudget,
        _now: Instant,
    ) -> Request<Sent> {
        drop((server, attempt));
        Request { terms: self.terms, state: PhantomData }
    }

    /// `NotRun` unless an earlier attempt may have run.
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }

    /// Ends the request with a refusal.
    pub fn refuse(self, reason: Reason) -> Refusal {
        Refusal::not_run(reason)
    }
}

impl Request<Sent> {
    /// The present attempt.
    pub fn attempt(&self) -> &str {
        ""
    }

    /// The backend server of the present attempt.
    pub fn server(&self) -> &str {
        ""
    }

    /// Takes an event of the answer that echoes `attempt`.
    pub fn accept(&mut self, _attempt: &str, _event: StreamEvent) -> Progress {
        Progress::Discard
    }

    /// Where to resume, if the stream broke and a further resume is allowed at `now`.
    pub fn resume(&mut self, _now: Instant) -> Option<Resume> {
        None
    }

    /// The answered request, if the answer is complete.
    pub fn finish(self) -> Result<Request<Answered>, Request<Sent>> {
        Err(self)
    }

    /// Ends the request without an answer.
    pub fn fail(self, reason: Reason) -> Refusal {
        Refusal::may_have_run(reason)
    }

    /// Ends the request after the server itself stated that it did not start this attempt.
    pub fn not_started(self, reason: Reason) -> Refusal {
        Refusal::not_run(reason)
    }

    /// The request as one that may be retried; a request that is not idempotent comes back
    /// unchanged.
    pub fn repeatable(self) -> Result<Repeatable, Request<Sent>> {
        Err(self)
    }
}

impl Repeatable {
    /// Returns the request to `Queued` with the earliest time of the next attempt, or ends it
    /// with a refusal if the budget, the deadline or parts already passed on forbid a retry.
    pub fn retry(
        self,
        _reason: Reason,
        _budget: &mut RetryBudget,
        _now: Instant,
        _rng: &mut impl Rng,
    ) -> Result<(Request<Queued>, Instant), Refusal> {
        Err(self.0.fail(Reason::BackendFailed))
    }
}
