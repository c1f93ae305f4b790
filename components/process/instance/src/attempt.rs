//! One attempt to run a request on a backend server.
//!
//! An attempt runs as a task of its own on the loop's thread. It holds the request's typestate and
//! the caller's reply, and returns both with its result.

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

/// Time for an engine to take a cancellation; nothing waits for it.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// What an attempt needs besides the request.
pub(crate) struct Attempt {
    pub(crate) ticket: Ticket,
    pub(crate) client: BackendClient,
    pub(crate) budget: Rc<RefCell<RetryBudget>>,
    pub(crate) server: BackendServerId,
    pub(crate) address: Box<str>,
    pub(crate) attempt: AttemptId,
    /// The circuit breaker's permission.
    pub(crate) permit: Permit,
    /// The time that routing was told; it finds the request by this time when it ends.
    pub(crate) routed_at: Instant,
    /// The replica of a completion; `None` if it is forwarded to another data centre.
    pub(crate) replica: Option<ReplicaRef>,
    pub(crate) priority: u8,
    /// Set if `server` is an instance of another data centre.
    pub(crate) forward: Option<Forward>,
}

/// What a forwarded request carries besides its body.
pub(crate) struct Forward {
    /// This instance.
    pub(crate) by: InstanceId,
    pub(crate) class: ClassId,
}

/// How an attempt ended.
pub(crate) struct AttemptEnd {
    pub(crate) ticket: Ticket,
    pub(crate) server: BackendServerId,
    pub(crate) permit: Permit,
    pub(crate) replica: Option<ReplicaRef>,
    pub(crate) routed_at: Instant,
    pub(crate) result: AttemptResult,
    /// The caller's reply, unless the whole answer was streamed.
    pub(crate) reply: Option<ReplySlot>,
    /// When the first part of the answer arrived.
    pub(crate) first_token_at: Option<Instant>,
    /// Tokens generated.
    pub(crate) tokens: u64,
    /// What the attempt says about the backend server's health.
    pub(crate) health: CallResult,
}

/// Result of an attempt.
pub(crate) enum AttemptResult {
    /// The whole answer arrived; `Some` if it still has to be passed on.
    Answered(Request<Completed>, Option<Response<Bytes>>),
    /// No connection was made; nothing was sent.
    NotConnected(Request<Queued>),
    /// The answer is missing or not whole.
    Failed(Request<Sent>, Reason),
    /// The caller went away.
    Abandoned(Request<Sent>),
}

/// Facts gathered while an attempt runs.
pub(crate) struct Record {
    first_token_at: Option<Instant>,
    pub(crate) tokens: u64,
}

impl Attempt {
    /// Runs a completion.
    pub(crate) async fn complete(
        self,
        request: Request<Queued>,
        job: CompletionJob,
        mut reply: ReplySlot,
    ) -> AttemptEnd {
        let mut record = Record::new();
        let deadline = request.params().complete_by;
        let req = match self.completion_request(&job, deadline) {
            Ok(req) => req,
            Err(e) => {
                tracing::error!("dispatch: request cannot be built: {e}");
                let result = AttemptResult::NotConnected(request);
                return self.end(record, result, Some(reply), CallResult::Inconclusive);
            }
        };
        let mut request = self.mark_sent(request);
        let res = tokio::select! {
            res = self.client.send(req, deadline) => res,
            () = reply.closed() => {
                self.cancel();
                return self.end(
                    record, AttemptResult::Abandoned(request), None, CallResult::Inconclusive
                );
            }
        };
        let res = match res {
            Ok(res) => res,
            Err(e) => return self.fail(record, request, Some(reply), &e),
        };
        let echoed: AttemptId = echoed_attempt(&res).into();
        if is_not_started(&res) && request.mark_not_started(&echoed) {
            let result = AttemptResult::Failed(request, Reason::NoCapacity);
            return self.end(record, result, Some(reply), CallResult::Failure);
        }
        if job.stream && res.status().is_success() {
            let stream = TokenStream::new(res.into_body());
            return self.stream(record, request, stream, echoed, reply).await;
        }
        let collected = tokio::select! {
            whole = backend_server::collect_body(res, deadline) => whole,
            () = reply.closed() => {
                self.cancel();
                return self.end(
                    record, AttemptResult::Abandoned(request), None, CallResult::Inconclusive
                );
            }
        };
        match collected {
            Ok(res) => {
                record.first_token();
                record.tokens = completion_tokens(res.body());
                self.whole(record, request, &echoed, res, reply)
            }
            Err(e) => self.fail(record, request, Some(reply), &e),
        }
    }

    /// Runs a call of a plain service. The call goes on if the caller goes away, so that its
    /// outcome is known to a repeat with the same idempotency key.
    pub(crate) async fn call(
        self,
        request: Request<Queued>,
        job: ServiceJob,
        reply: ReplySlot,
    ) -> AttemptEnd {
        let mut record = Record::new();
        let deadline = request.params().complete_by;
        let req = match self.service_request(&job) {
            Ok(req) => req,
            Err(e) => {
                tracing::error!("dispatch: request cannot be built: {e}");
                let result = AttemptResult::NotConnected(request);
                return self.end(record, result, Some(reply), CallResult::Inconclusive);
            }
        };
        let connection = match Connection::open(&self.address, deadline).await {
            Ok(connection) => connection,
            Err(e) => {
                tracing::info!("dispatch: {} not connected: {e}", self.server);
                let result = AttemptResult::NotConnected(request);
                return self.end(record, result, Some(reply), CallResult::Failure);
            }
        };
        let mut request = self.mark_sent(request);
        match connection.send_and_collect(req, deadline).await {
            Ok(res) if is_not_started(&res) && request.mark_not_started(&self.attempt) => {
                let result = AttemptResult::Failed(request, Reason::NoCapacity);
                self.end(record, result, Some(reply), CallResult::Failure)
            }
            Ok(res) => {
                record.first_token();
                // Plain services do not echo attempts; the connection carries this answer only.
                let own = self.attempt.clone();
                self.whole(record, request, &own, res, reply)
            }
            Err(e) => self.fail(record, request, Some(reply), &e),
        }
    }

    fn mark_sent(&self, request: Request<Queued>) -> Request<Sent> {
        let mut budget = self.budget.borrow_mut();
        request.send(self.server.clone(), self.attempt.clone(), &mut budget, Instant::now())
    }

    /// Ends the attempt with a whole answer, if it is the answer to this attempt.
    fn whole(
        self,
        record: Record,
        mut request: Request<Sent>,
        echoed: &str,
        res: Response<Bytes>,
        reply: ReplySlot,
    ) -> AttemptEnd {
        let progress = request.accept(echoed, StreamEvent::FullBody);
        let finished =
            if progress == StreamAction::Complete { request.finish() } else { Err(request) };
        match finished {
            Ok(request) => {
                let result = AttemptResult::Answered(request, Some(res));
                self.end(record, result, Some(reply), CallResult::Success)
            }
            Err(request) => {
                tracing::warn!("dispatch: {} answered another attempt: {echoed}", self.server);
                let result = AttemptResult::Failed(request, Reason::BackendFailed);
                self.end(record, result, Some(reply), CallResult::Failure)
            }
        }
    }

    fn fail(
        self,
        record: Record,
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
        self.end(record, AttemptResult::Failed(request, reason), reply, CallResult::Failure)
    }

    /// Asks the engine to stop; the answer does not matter.
    pub(crate) fn cancel(&self) {
        let (client, address) = (self.client.clone(), self.address.clone());
        let attempt = self.attempt.clone();
        tokio::task::spawn_local(async move {
            let deadline = Instant::now() + CANCEL_TIMEOUT;
            if let Err(e) = client.cancel(&address, &attempt, deadline).await {
                tracing::debug!("dispatch: attempt {attempt} not cancelled: {e}");
            }
        });
    }

    pub(crate) fn end(
        self,
        record: Record,
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
            first_token_at: record.first_token_at,
            tokens: record.tokens,
            health,
        }
    }
}

impl Record {
    fn new() -> Self {
        Self { first_token_at: None, tokens: 0 }
    }

    pub(crate) fn first_token(&mut self) {
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
