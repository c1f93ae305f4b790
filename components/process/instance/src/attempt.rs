//! Attempts to run requests on backend servers.
//!
//! Each attempt runs as a task of its own on the event loop's thread. It owns the request's
//! typestate and the caller's reply, and returns both with its result.

use std::cell::RefCell;
use std::rc::Rc;

use admission::Ticket;
use backend_server::{
    ATTEMPT_HEADER, BackendClient, Connection, SendError, TokenStream, VERDICT_HEADER,
};
use bytes::Bytes;
use dispatch::{
    CallResult, Completed, Permit, Queued, Request, RetryBudget, Sent, StreamAction, StreamEvent,
};
use http::Response;
use types::prelude::*;

use crate::pending::{CompletionJob, ReplySlot, ServiceJob};

/// Timeout for cancelling an attempt at an engine; nothing waits for the cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt to run a request, without the request itself.
pub(crate) struct Attempt {
    pub(crate) ticket: Ticket,
    pub(crate) client: BackendClient,
    pub(crate) budget: Rc<RefCell<RetryBudget>>,
    pub(crate) server: BackendServerId,
    pub(crate) address: Box<str>,
    pub(crate) attempt: AttemptId,
    /// Permission of the backend server's circuit breaker.
    pub(crate) permit: Permit,
    /// Time under which routing recorded the request as sent; routing finds the record by this time
    /// when the attempt ends.
    pub(crate) routed_at: Instant,
    /// The replica that runs a completion; `None` for calls of plain services and for requests that
    /// are forwarded to another data centre.
    pub(crate) replica: Option<ReplicaRef>,
    pub(crate) priority: u8,
    /// Set if `server` is an instance of another data centre.
    pub(crate) forward: Option<Forward>,
}

/// Header values of a request that is forwarded to another data centre.
pub(crate) struct Forward {
    /// The forwarding instance.
    pub(crate) by: InstanceId,
    pub(crate) class: ClassId,
}

/// An attempt that has ended, with its result.
pub(crate) struct AttemptEnd {
    pub(crate) ticket: Ticket,
    pub(crate) server: BackendServerId,
    pub(crate) permit: Permit,
    pub(crate) replica: Option<ReplicaRef>,
    pub(crate) routed_at: Instant,
    pub(crate) result: AttemptResult,
    /// The caller's reply; `None` if the complete answer was streamed or the caller has
    /// disconnected.
    pub(crate) reply: Option<ReplySlot>,
    /// When the first part of the answer arrived.
    pub(crate) first_token_at: Option<Instant>,
    /// Number of generated tokens.
    pub(crate) tokens: u64,
    /// Result of the call for the backend server's circuit breaker.
    pub(crate) health: CallResult,
}

/// Result of an attempt.
pub(crate) enum AttemptResult {
    /// The complete answer arrived; `Some` if it has not been sent to the caller yet.
    Answered(Request<Completed>, Option<Response<Bytes>>),
    /// No connection was made; nothing was sent.
    NotConnected(Request<Queued>),
    /// The answer is missing or incomplete.
    Failed(Request<Sent>, Reason),
    /// The caller has disconnected.
    Abandoned(Request<Sent>),
}

/// Measurements of a running attempt.
pub(crate) struct AttemptStats {
    first_token_at: Option<Instant>,
    pub(crate) tokens: u64,
}

impl Attempt {
    /// Runs a completion, streamed or collected.
    pub(crate) async fn complete(
        self,
        request: Request<Queued>,
        job: CompletionJob,
        mut reply: ReplySlot,
    ) -> AttemptEnd {
        let mut stats = AttemptStats::new();
        let deadline = request.params().complete_by;
        let req = match self.completion_request(&job, deadline) {
            Ok(req) => req,
            Err(e) => {
                tracing::error!("dispatch: cannot build the request: {e}");
                let result = AttemptResult::NotConnected(request);
                return self.end(stats, result, Some(reply), CallResult::Inconclusive);
            }
        };
        let mut request = self.mark_sent(request);
        let res = tokio::select! {
            res = self.client.send(req, deadline) => res,
            () = reply.closed() => {
                self.cancel();
                return self.end(
                    stats, AttemptResult::Abandoned(request), None, CallResult::Inconclusive
                );
            }
        };
        let res = match res {
            Ok(res) => res,
            Err(e) => return self.fail(stats, request, Some(reply), &e),
        };
        let echoed: AttemptId = echoed_attempt(&res).into();
        if is_not_started(&res) && request.mark_not_started(&echoed) {
            let result = AttemptResult::Failed(request, Reason::NoCapacity);
            return self.end(stats, result, Some(reply), CallResult::Failure);
        }
        if job.stream && res.status().is_success() {
            let stream = TokenStream::new(res.into_body());
            return self.stream(stats, request, stream, echoed, reply).await;
        }
        let collected = tokio::select! {
            res = backend_server::collect_body(res, deadline, self.client.memory()) => res,
            () = reply.closed() => {
                self.cancel();
                return self.end(
                    stats, AttemptResult::Abandoned(request), None, CallResult::Inconclusive
                );
            }
        };
        match collected {
            Ok(res) => {
                stats.record_first_token();
                stats.tokens = completion_tokens(res.body());
                self.accept_full_body(stats, request, &echoed, res, reply)
            }
            Err(e) => self.fail(stats, request, Some(reply), &e),
        }
    }

    /// Runs a call of a plain service. The call continues if the caller disconnects, so that a
    /// retry with the same idempotency key gets its outcome.
    pub(crate) async fn call(
        self,
        request: Request<Queued>,
        job: ServiceJob,
        reply: ReplySlot,
    ) -> AttemptEnd {
        let mut stats = AttemptStats::new();
        let deadline = request.params().complete_by;
        let req = match self.service_request(&job) {
            Ok(req) => req,
            Err(e) => {
                tracing::error!("dispatch: cannot build the request: {e}");
                let result = AttemptResult::NotConnected(request);
                return self.end(stats, result, Some(reply), CallResult::Inconclusive);
            }
        };
        let connection = match Connection::open(&self.address, deadline).await {
            Ok(connection) => connection,
            Err(e) => {
                tracing::info!("dispatch: cannot connect to {}: {e}", self.server);
                let result = AttemptResult::NotConnected(request);
                return self.end(stats, result, Some(reply), CallResult::Failure);
            }
        };
        let mut request = self.mark_sent(request);
        match connection.send_and_collect(req, deadline, self.client.memory()).await {
            Ok(res) if is_not_started(&res) && request.mark_not_started(&self.attempt) => {
                let result = AttemptResult::Failed(request, Reason::NoCapacity);
                self.end(stats, result, Some(reply), CallResult::Failure)
            }
            Ok(res) => {
                stats.record_first_token();
                // Plain services do not echo the attempt id, but the connection carries only this
                // answer.
                let attempt = self.attempt.clone();
                self.accept_full_body(stats, request, &attempt, res, reply)
            }
            Err(e) => self.fail(stats, request, Some(reply), &e),
        }
    }

    fn mark_sent(&self, request: Request<Queued>) -> Request<Sent> {
        let mut budget = self.budget.borrow_mut();
        request.send(self.server.clone(), self.attempt.clone(), &mut budget, Instant::now())
    }

    /// Ends the attempt with a complete answer, or with a failure if the answer belongs to another
    /// attempt.
    fn accept_full_body(
        self,
        stats: AttemptStats,
        mut request: Request<Sent>,
        echoed: &str,
        res: Response<Bytes>,
        reply: ReplySlot,
    ) -> AttemptEnd {
        let action = request.accept(echoed, StreamEvent::FullBody);
        let finished =
            if action == StreamAction::Complete { request.finish() } else { Err(request) };
        match finished {
            Ok(request) => {
                let result = AttemptResult::Answered(request, Some(res));
                self.end(stats, result, Some(reply), CallResult::Success)
            }
            Err(request) => {
                tracing::warn!(
                    "dispatch: {} sent the answer of another attempt: {echoed}",
                    self.server
                );
                let result = AttemptResult::Failed(request, Reason::BackendFailed);
                self.end(stats, result, Some(reply), CallResult::Failure)
            }
        }
    }

    fn fail(
        self,
        stats: AttemptStats,
        mut request: Request<Sent>,
        reply: Option<ReplySlot>,
        e: &SendError,
    ) -> AttemptEnd {
        tracing::info!("dispatch: attempt {} at {} failed: {e}", self.attempt, self.server);
        let reason = match e {
            SendError::DeadlinePassed => Reason::DeadlinePassed,
            _ => Reason::BackendFailed,
        };
        if e.verdict() == Verdict::NotRun {
            // Without a connection the engine cannot have started the attempt.
            request.mark_not_started(&self.attempt);
        }
        self.end(stats, AttemptResult::Failed(request, reason), reply, CallResult::Failure)
    }

    /// Asks the engine to cancel the attempt, without waiting for its answer.
    pub(crate) fn cancel(&self) {
        let (client, address) = (self.client.clone(), self.address.clone());
        let attempt = self.attempt.clone();
        tokio::task::spawn_local(async move {
            let deadline = Instant::now() + CANCEL_TIMEOUT;
            if let Err(e) = client.cancel(&address, &attempt, deadline).await {
                tracing::debug!("dispatch: cannot cancel attempt {attempt}: {e}");
            }
        });
    }

    pub(crate) fn end(
        self,
        stats: AttemptStats,
        result: AttemptResult,
        reply: Option<ReplySlot>,
        health: CallResult,
    ) -> AttemptEnd {
        AttemptEnd {
            ticket: self.ticket,
            server: self.server,
            permit: self.permit,
            replica: self.replica,
            routed_at: self.routed_at,
            result,
            reply,
            first_token_at: stats.first_token_at,
            tokens: stats.tokens,
            health,
        }
    }
}

impl AttemptStats {
    fn new() -> Self {
        Self { first_token_at: None, tokens: 0 }
    }

    pub(crate) fn record_first_token(&mut self) {
        self.first_token_at.get_or_insert_with(Instant::now);
    }
}

/// Whether the backend server states that it did not start the request.
fn is_not_started<B>(res: &Response<B>) -> bool {
    !res.status().is_success()
        && res.headers().get(VERDICT_HEADER).is_some_and(|v| v.as_bytes() == b"not_run")
}

fn echoed_attempt<B>(res: &Response<B>) -> &str {
    res.headers().get(ATTEMPT_HEADER).and_then(|v| v.to_str().ok()).unwrap_or_default()
}

fn completion_tokens(body: &[u8]) -> u64 {
    #[derive(serde::Deserialize)]
    struct Usage {
        total_tokens: u64,
    }
    #[derive(serde::Deserialize)]
    struct Body {
        usage: Option<Usage>,
    }
    serde_json::from_slice::<Body>(body).ok().and_then(|b| b.usage).map_or(0, |u| u.total_tokens)
}
