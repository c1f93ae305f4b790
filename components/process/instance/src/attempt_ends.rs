//! Handles the ends of attempts and of idempotency claims.

use admission::Ticket;
use bytes::Bytes;
use dispatch::{CallResult, Permit, Queued, Request, Sent};
use http::{Response, StatusCode};
use idempotency::Answer;
use types::prelude::*;

use crate::attempt::{AttemptEnd, AttemptResult};
use crate::context::Context;
use crate::finished::Finished;
use crate::held_reply::CallOutcome;
use crate::message::ClaimAnswer;
use crate::pending::{Job, ReplySlot, Stage};
use crate::requests::Requests;

impl Requests {
    /// Handles the end of an attempt: answers, retries or refuses its request.
    pub(crate) fn on_attempt_end(&mut self, cx: &Context, end: AttemptEnd, now: Instant) {
        let AttemptEnd { ticket, server, permit, replica, routed_at, result, reply, .. } = end;
        let health = match &result {
            AttemptResult::NotConnected(_) => CallResult::Failure,
            _ => end.health,
        };
        match &replica {
            Some(replica) => self.router.record_ended(replica, routed_at, now),
            // For a forwarded request, whose server is an instance, this does nothing.
            None => self.router.record_service_ended(&server),
        }
        self.record_health(cx, &server, permit, health, now);
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        let queue = pending.admitted.queue.clone();
        match result {
            AttemptResult::Answered(request, res) => {
                tracing::debug!("dispatch: {} answered", request.params().id);
                self.finish_answered(ticket, res, reply, (end.first_token_at, end.tokens), now);
            }
            AttemptResult::NotConnected(request) => {
                pending.reply = reply;
                pending.exclude(replica, server);
                let next = request.connect_failed(now, &mut *cx.rng.borrow_mut());
                self.requeue_or_refuse(ticket, next, Reason::BackendFailed, now);
            }
            AttemptResult::Failed(request, reason) => {
                pending.reply = reply;
                pending.exclude(replica, server);
                self.retry(cx, ticket, request, reason, now);
            }
            AttemptResult::Abandoned(request) => {
                self.admission.finish(ticket);
                let refusal = request.fail(Reason::BackendFailed);
                self.end_refused(ticket, refusal, "the caller went away", now);
            }
        }
        self.dispatch_queue(cx, &queue, now);
    }

    /// Handles the answer to an idempotency claim; `None` if the owner of the key range did not
    /// answer.
    pub(crate) fn on_claim(
        &mut self,
        cx: &Context,
        ticket: Ticket,
        answer: Option<ClaimAnswer>,
        now: Instant,
    ) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        if !matches!(pending.stage, Stage::Claiming(_)) {
            return;
        }
        let Some(request) = pending.take_queued() else { return };
        match answer {
            Some(ClaimAnswer::Granted(claim)) => {
                if let Job::Service(job) = &mut pending.job {
                    job.claim = Some(claim);
                }
                self.requeue(ticket, request, now, now);
                self.dispatch_all_queues(cx, now);
            }
            Some(ClaimAnswer::Recorded(answer)) => {
                self.admission.finish(ticket);
                self.replay_answer(ticket, &answer, now);
            }
            Some(ClaimAnswer::Refused { verdict, reason }) => {
                self.admission.finish(ticket);
                let refusal = Refusal { verdict, reason, retry_at: None };
                self.end_refused(ticket, refusal, crate::details::claim_refused(reason), now);
            }
            None => {
                // The claim may have been stored, but nothing was dispatched.
                self.admission.finish(ticket);
                let refusal = request.refuse(Reason::RecordUnavailable);
                let detail = crate::details::claim_refused(Reason::RecordUnavailable);
                self.end_refused(ticket, refusal, detail, now);
            }
        }
    }

    fn record_health(
        &mut self,
        cx: &Context,
        server: &BackendServerId,
        permit: Permit,
        health: CallResult,
        now: Instant,
    ) {
        let rng = &mut *cx.rng.borrow_mut();
        if let Some(until) = self.breakers.record(permit, health, now, rng) {
            tracing::warn!("dispatch: {server} excluded after failures");
            self.router.exclude_server(server, until);
        }
    }

    /// Retries a request that may run again; otherwise refuses it with its verdict.
    fn retry(
        &mut self,
        cx: &Context,
        ticket: Ticket,
        request: Request<Sent>,
        reason: Reason,
        now: Instant,
    ) {
        let next = match request.into_retryable() {
            Ok(retryable) => {
                let mut budget = self.budget.borrow_mut();
                let rng = &mut *cx.rng.borrow_mut();
                retryable.retry(reason, &mut budget, now, rng)
            }
            Err(request) => Err(request.fail(reason)),
        };
        if next.is_ok() {
            cx.metrics.retries.inc();
        }
        self.requeue_or_refuse(ticket, next, reason, now);
    }

    fn requeue_or_refuse(
        &mut self,
        ticket: Ticket,
        next: Result<(Request<Queued>, Instant), Refusal>,
        reason: Reason,
        now: Instant,
    ) {
        match next {
            Ok((request, not_before)) => {
                self.requeue(ticket, request, not_before, now);
            }
            Err(refusal) => {
                self.admission.finish(ticket);
                self.end_refused(ticket, refusal, crate::details::attempt_failed(reason), now);
            }
        }
    }

    fn finish_answered(
        &mut self,
        ticket: Ticket,
        res: Option<Response<Bytes>>,
        reply: Option<ReplySlot>,
        (first_token_at, tokens): (Option<Instant>, u64),
        now: Instant,
    ) {
        self.admission.finish(ticket);
        let Some(pending) = self.pending.remove(&ticket) else { return };
        self.finished.push(Finished::from_pending(&pending, None, first_token_at, tokens, now));
        let Some(res) = res else { return };
        let (status, content_type) = (res.status(), content_type(&res).into());
        let outcome = CallOutcome::Answer { status, content_type, body: res.into_body() };
        self.end_call(&pending, reply, outcome, now);
    }

    fn replay_answer(&mut self, ticket: Ticket, answer: &Answer, now: Instant) {
        let Some(mut pending) = self.pending.remove(&ticket) else { return };
        self.finished.push(Finished::from_pending(&pending, None, Some(now), 0, now));
        if let Some(reply) = pending.reply.take() {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
            reply.answer(status, &answer.content_type, String::from(answer.body.clone()).into());
        }
    }
}

impl crate::pending::Pending {
    fn exclude(&mut self, replica: Option<ReplicaRef>, server: BackendServerId) {
        match replica {
            Some(replica) => self.excluded_replicas.push(replica),
            None => self.excluded_servers.push(server),
        }
    }
}

fn content_type(res: &Response<Bytes>) -> &str {
    res.headers()
        .get(http::header::CONTENT_TYPE)
        .and_then(|v| v.to_str().ok())
        .unwrap_or("application/octet-stream")
}
