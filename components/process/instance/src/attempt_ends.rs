//! What follows when an attempt or a claim of an idempotency key ends.

use admission::Ticket;
use bytes::Bytes;
use dispatch::{CallResult, Permit, Queued, Request, Sent};
use http::{Response, StatusCode};
use idempotency::Answer;
use types::prelude::*;

use crate::attempt::{AttemptEnd, AttemptResult};
use crate::context::Context;
use crate::finished::Finished;
use crate::held_reply::End;
use crate::message::ClaimAnswer;
use crate::pending::{Job, ReplySlot, Stage};
use crate::requests::Requests;

impl Requests {
    /// Takes the result of an attempt.
    pub(crate) fn on_attempt_end(&mut self, cx: &Context, end: AttemptEnd, now: Instant) {
        let AttemptEnd { ticket, server, permit, replica, routed_at, result, reply, .. } = end;
        let health = match &result {
            AttemptResult::NotConnected(_) => CallResult::Failure,
            _ => end.health,
        };
        match &replica {
            Some(replica) => self.router.record_ended(replica, routed_at, now),
            // Does nothing for a forwarded request, whose server is an instance.
            None => self.router.record_service_ended(&server),
        }
        self.record_health(cx, &server, permit, health, now);
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        let queue = pending.admitted.queue.clone();
        match result {
            AttemptResult::Answered(request, whole) => {
                tracing::debug!("dispatch: {} answered", request.params().id);
                self.answered(ticket, whole, reply, (end.first_token_at, end.tokens), now);
            }
            AttemptResult::NotConnected(request) => {
                pending.reply = reply;
                pending.exclude(replica, server);
                let next = request.connect_failed(now, &mut *cx.rng.borrow_mut());
                self.after_failure(ticket, next, Reason::BackendFailed, now);
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

    /// Takes the decision on an idempotency key; `None` if the owner of its range did not answer.
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
                self.replay(ticket, &answer, now);
            }
            Some(ClaimAnswer::Refused { verdict, reason }) => {
                self.admission.finish(ticket);
                let refusal = Refusal { verdict, reason, retry_at: None };
                self.end_refused(ticket, refusal, crate::details::claim(reason), now);
            }
            None => {
                // Nothing was dispatched, whether the claim was stored or not.
                self.admission.finish(ticket);
                let refusal = request.refuse(Reason::RecordUnavailable);
                let detail = crate::details::claim(Reason::RecordUnavailable);
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
            Ok(repeatable) => {
                let mut budget = self.budget.borrow_mut();
                let rng = &mut *cx.rng.borrow_mut();
                repeatable.retry(reason, &mut budget, now, rng)
            }
            Err(request) => Err(request.fail(reason)),
        };
        if next.is_ok() {
            cx.metrics.retries.inc();
        }
        self.after_failure(ticket, next, reason, now);
    }

    fn after_failure(
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
                self.end_refused(ticket, refusal, crate::details::failed(reason), now);
            }
        }
    }

    fn answered(
        &mut self,
        ticket: Ticket,
        whole: Option<Response<Bytes>>,
        reply: Option<ReplySlot>,
        (first_token_at, tokens): (Option<Instant>, u64),
        now: Instant,
    ) {
        self.admission.finish(ticket);
        let Some(pending) = self.pending.remove(&ticket) else { return };
        self.finished.push(Finished::of(&pending, None, first_token_at, tokens, now));
        let Some(res) = whole else { return };
        let (status, content_type) = (res.status(), content_type(&res).into());
        let end = End::Answer { status, content_type, body: res.into_body() };
        self.end_call(&pending, reply, end, now);
    }

    fn replay(&mut self, ticket: Ticket, answer: &Answer, now: Instant) {
        let Some(mut pending) = self.pending.remove(&ticket) else { return };
        self.finished.push(Finished::of(&pending, None, Some(now), 0, now));
        if let Some(reply) = pending.reply.take() {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
            reply.answer(status, &answer.content_type, String::from(answer.body.clone()).into());
        }
    }
}

impl crate::pending::Pending {
    fn exclude(&mut self, replica: Option<ReplicaRef>, server: BackendServerId) {
        match replica {
            Some(replica) => self.excluded.push(replica),
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
