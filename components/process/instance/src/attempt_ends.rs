//! What follows when an attempt or a claim of an idempotency key ends.

use admission::Ticket;
use bytes::Bytes;
use dispatch::{CallResult, Request, Sent};
use http::{Response, StatusCode};
use idempotency::{Answer, EntryState, MAX_ANSWER_BYTES};
use types::prelude::*;

use crate::attempt::{AttemptEnd, AttemptResult};
use crate::context::Context;
use crate::finished::Finished;
use crate::message::ClaimAnswer;
use crate::pending::{Job, ReplySlot, Stage};
use crate::requests::{Requests, Wanted};

/// Delay before another backend server is tried after a failed connection.
const NEXT_SERVER_DELAY: Duration = Duration::from_millis(2);

impl Requests {
    /// Takes the result of an attempt.
    pub(crate) fn on_attempt(&mut self, cx: &Context, end: AttemptEnd, now: Instant) {
        self.record_health(cx, &end, now);
        let ticket = end.ticket;
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        let queue = pending.admitted.queue.clone();
        match end.result {
            AttemptResult::Answered(request, whole) => {
                tracing::debug!("dispatch: {} answered", request.terms().id);
                self.answered(ticket, whole, end.reply, (end.first_token_at, end.tokens), now);
            }
            AttemptResult::NotConnected(request) => {
                pending.reply = end.reply;
                pending.exclude(end.replica, end.server);
                self.requeue(ticket, request, now + NEXT_SERVER_DELAY, now);
            }
            AttemptResult::NotStarted(request) => {
                pending.reply = end.reply;
                pending.exclude(end.replica, end.server);
                self.retry(cx, ticket, request, (Reason::NoCapacity, true), now);
            }
            AttemptResult::Failed(request, reason) => {
                pending.reply = end.reply;
                pending.exclude(end.replica, end.server);
                self.retry(cx, ticket, request, (reason, false), now);
            }
            AttemptResult::Abandoned(request) => {
                self.admission.finish(ticket);
                let refusal = request.fail(Reason::BackendFailed);
                self.end_refused(ticket, refusal, "the caller went away", now);
            }
        }
        self.pump(cx, &queue, now);
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
            Some(ClaimAnswer::Granted) => {
                if let Job::Service(job) = &mut pending.job {
                    job.claimed = true;
                }
                self.requeue(ticket, request, now, now);
                self.pump_all(cx, now);
            }
            Some(ClaimAnswer::Recorded(answer)) => {
                self.admission.finish(ticket);
                self.replay(ticket, answer, now);
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

    fn record_health(&mut self, cx: &Context, end: &AttemptEnd, now: Instant) {
        let health = match &end.result {
            AttemptResult::NotConnected(_) => CallResult::Bad,
            _ => end.health,
        };
        match &end.replica {
            Some(replica) => self.router.ended(replica, end.sent_at, now),
            None => self.router.service_ended(&end.server),
        }
        let rng = &mut *cx.rng.borrow_mut();
        if let Some(until) = self.breakers.record(&end.server, health, now, rng) {
            tracing::warn!("dispatch: {} excluded after failures", end.server);
            self.router.exclude_server(&end.server, until);
        }
    }

    /// Retries a request that may run again; otherwise refuses it with its verdict.
    fn retry(
        &mut self,
        cx: &Context,
        ticket: Ticket,
        request: Request<Sent>,
        (reason, not_started): (Reason, bool),
        now: Instant,
    ) {
        let outcome = match request.repeatable() {
            Ok(repeatable) => {
                let mut budget = self.budget.borrow_mut();
                let rng = &mut *cx.rng.borrow_mut();
                repeatable.retry(reason, &mut budget, now, rng)
            }
            Err(request) if not_started => Err(request.not_started(reason)),
            Err(request) => Err(request.fail(reason)),
        };
        match outcome {
            Ok((request, not_before)) => {
                cx.metrics.retries.inc();
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
        let content_type = content_type(&res).to_owned();
        if let Job::Service(job) = &pending.job
            && let Some((key, fingerprint)) = job.key.clone()
        {
            let state = recorded(res.status(), &content_type, res.body());
            self.wanted.push(Wanted::KeyEnded { key, fingerprint, state });
        }
        if let Some(reply) = reply {
            reply.answer(res.status(), &content_type, res.into_body());
        }
    }

    fn replay(&mut self, ticket: Ticket, answer: Answer, now: Instant) {
        let Some(mut pending) = self.pending.remove(&ticket) else { return };
        self.finished.push(Finished::of(&pending, None, Some(now), 0, now));
        if let Some(reply) = pending.reply.take() {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
            reply.answer(status, &answer.content_type, String::from(answer.body).into());
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

/// The record of an answer. After a server error nobody knows whether the call ran.
fn recorded(status: StatusCode, content_type: &str, body: &Bytes) -> EntryState {
    if status.is_server_error() || body.len() > MAX_ANSWER_BYTES {
        return EntryState::Unknown;
    }
    match std::str::from_utf8(body) {
        Ok(body) => EntryState::Finished(Answer {
            status: status.as_u16(),
            content_type: content_type.into(),
            body: body.into(),
        }),
        Err(_) => EntryState::Unknown,
    }
}
