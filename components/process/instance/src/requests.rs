//! Callers' requests: admission, routing and dispatch.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use admission::{Admission, AdmissionRequest, Admitted, Expired, LocalLimits, QueueKey, Ticket};
use dispatch::{AttemptIdGenerator, CircuitBreakers, Request, RequestParams, RetryBudget};
use front::{Call, IncomingRequest, Problem, Reply};
use idempotency::{Fingerprint, KeyHash};
use routing::Router;
use types::prelude::*;

use crate::context::Context;
use crate::expected::ExpectedReady;
use crate::finished::Finished;
use crate::held_reply::{End, HeldReply};
use crate::message::{ArrivalCount, FinishMessage};
use crate::pending::{CompletionJob, Job, Pending, ReplySlot, ServiceJob, Stage};

/// Time within which a model without capacity is not expected to get any. Requests that can wait
/// longer go on waiting.
const NO_CAPACITY_TIME: Duration = Duration::from_secs(5);
/// Bytes of a request body that count as one token of work.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens that an answer is expected to have.
const EXPECTED_ANSWER_TOKENS: u32 = 256;

/// What the requests want from the rest of the loop.
pub(crate) enum Wanted {
    /// A target must be made ready.
    Target { target: Target, waiting: u32, worth_milli: u32, deadline: Instant },
    /// An idempotency key must be recorded before `decide_by`.
    Key { ticket: Ticket, key: KeyHash, fingerprint: Fingerprint, decide_by: Instant },
    /// A recorded call has ended. The caller is told once the owner of the key range knows.
    KeyEnded(FinishMessage, Option<HeldReply>),
}

/// All requests of this instance that have no answer yet.
pub(crate) struct Requests {
    pub(crate) admission: Admission,
    pub(crate) router: Router,
    pub(crate) expected: ExpectedReady,
    /// Callers' address of an instance of each other data centre.
    pub(crate) entry_points: HashMap<DataCentreId, Box<str>>,
    /// What is wanted since the loop last took it.
    pub(crate) wanted: Vec<Wanted>,
    /// Requests that ended since the loop last took them.
    pub(crate) finished: Vec<Finished>,
    /// Arrivals by model since the loop last took them.
    pub(crate) arrivals: HashMap<ModelId, ArrivalCount>,
    pub(super) pending: HashMap<Ticket, Pending>,
    pub(super) breakers: CircuitBreakers,
    pub(super) budget: Rc<RefCell<RetryBudget>>,
    cfg: Arc<Configuration>,
    pub(super) attempts: AttemptIdGenerator,
    next_ticket: Ticket,
    /// When a model with ready replicas may ask for more.
    pub(super) more_replicas_at: HashMap<ModelId, Instant>,
}

impl Requests {
    /// No requests.
    pub(crate) fn new(instance: &str, incarnation: Incarnation) -> Self {
        let cfg = Arc::new(Configuration::default());
        Self {
            admission: Admission::new(Arc::clone(&cfg)),
            router: Router::new(),
            expected: ExpectedReady::default(),
            entry_points: HashMap::new(),
            wanted: Vec::new(),
            finished: Vec::new(),
            arrivals: HashMap::new(),
            pending: HashMap::new(),
            breakers: CircuitBreakers::new(),
            budget: Rc::new(RefCell::new(RetryBudget::new())),
            cfg,
            attempts: AttemptIdGenerator::new(instance, incarnation),
            next_ticket: 0,
            more_replicas_at: HashMap::new(),
        }
    }

    /// Adopts a higher configuration version; requests keep the terms of their own.
    pub(crate) fn configure(&mut self, cfg: Arc<Configuration>) {
        self.admission.configure(Arc::clone(&cfg));
        self.cfg = cfg;
    }

    /// Sets the part of a client account's limits that this instance may use.
    pub(crate) fn set_limits(&mut self, client_account: &str, limits: LocalLimits, now: Instant) {
        self.admission.set_limits(client_account, limits, now);
    }

    /// Requests that wait and requests that run.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let running = self.pending.values().filter(|p| matches!(p.stage, Stage::Running)).count();
        (self.pending.len() - running, running)
    }

    /// Whether every request has ended.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes a request of a caller.
    pub(crate) fn on_arrival(&mut self, cx: &Context, arrival: IncomingRequest, now: Instant) {
        let IncomingRequest {
            request,
            client_account,
            arrived_at,
            deadline,
            class,
            call,
            reply,
            ..
        } = arrival;
        let (authorization, idempotency_key) = (arrival.authorization, arrival.idempotency_key);
        let job = match call {
            Call::Models => {
                let _ = reply.send(crate::models::list(&self.cfg, &client_account));
                return;
            }
            Call::Completion { path, target, stream, prompt, body } => {
                let prefixes = routing::prefix_hashes(&target, &prompt);
                Job::Completion(CompletionJob {
                    path,
                    target,
                    stream,
                    prefixes,
                    body,
                    authorization,
                })
            }
            Call::Service { service, method, path, content_type, body } => {
                let idempotent = self.is_idempotent(&service, method.as_str(), &path);
                let key = idempotency_key.filter(|_| !idempotent).map(|key| {
                    let scope = format!("{client_account}/{service}");
                    let fingerprint = Fingerprint::new(method.as_str(), &path, &body);
                    (KeyHash::new(&scope, &key), fingerprint)
                });
                Job::Service(ServiceJob {
                    service,
                    method,
                    path,
                    content_type,
                    body,
                    idempotent,
                    key,
                    claim: None,
                })
            }
        };
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let offer = self.offer(ticket, client_account.clone(), class, deadline, &job, now);
        let queue = offer.queue.clone();
        let earliest = offer.earliest_first_token;
        match self.admission.admit(offer, now) {
            Ok(admitted) => {
                self.count_arrival(&admitted, now);
                let params = RequestParams {
                    id: request.clone(),
                    idempotent: job.is_idempotent(),
                    first_token_by: admitted.first_token_by,
                    complete_by: admitted.complete_by,
                };
                let pending = Pending {
                    id: request,
                    arrived_at,
                    admitted,
                    was_cold: self.is_cold(&job),
                    job,
                    stage: Stage::Waiting(Request::new(params)),
                    reply: Some(ReplySlot::Unused(reply)),
                    excluded: Vec::new(),
                    is_local: arrival.is_forwarded,
                    excluded_servers: Vec::new(),
                };
                self.pending.insert(ticket, pending);
                self.pump(cx, &queue, now);
            }
            Err(refusal) => {
                tracing::debug!("admission: {request} refused: {:?}", refusal.reason);
                let detail = crate::details::refusal(&refusal, earliest, now);
                self.finished.push(Finished::refused(client_account, &job, &self.cfg, &refusal));
                let _ = reply.send(Reply::Refused(Problem::new(refusal, detail)));
            }
        }
    }

    /// Refuses requests whose deadline has passed and sends held-back demand.
    pub(crate) fn on_timer(&mut self, cx: &Context, now: Instant) {
        for expired in self.admission.expire(now) {
            // A running attempt ends by itself at the same deadline and yields its own verdict.
            if let Expired::Waiting(admitted, refusal) = expired {
                self.end_refused(admitted.ticket, refusal, "the deadline passed in the queue", now);
            }
        }
        for demand in self.router.due_demands(now) {
            self.want_target(&demand);
        }
        self.pump_all(cx, now);
    }

    /// When `on_timer` is due.
    pub(crate) fn next_timer(&self) -> Option<Instant> {
        [self.admission.next_deadline(), self.router.next_demand_at()].into_iter().flatten().min()
    }

    /// A target is expected at `ready_at`, or never: refuses requests that cannot wait so long.
    pub(crate) fn on_expected(&mut self, target: &Target, ready_at: Option<Instant>, now: Instant) {
        if self.router.usable_replicas(&target.model) > 0 {
            // The demand was for one more replica or for an adapter; requests wait for their turn.
            return;
        }
        self.expected.set(target.model.clone(), ready_at, now);
        let too_late = |p: &Pending| {
            matches!(p.stage, Stage::Waiting(_))
                && p.admitted.queue == QueueKey::Model(target.model.clone())
                && ready_at.unwrap_or(now + NO_CAPACITY_TIME) > p.admitted.first_token_by
        };
        let tickets: Vec<Ticket> =
            self.pending.iter().filter(|(_, p)| too_late(p)).map(|(t, _)| *t).collect();
        for ticket in tickets {
            let refusal = Refusal {
                verdict: self.verdict_of(ticket),
                reason: if ready_at.is_some() {
                    Reason::DeadlineUnreachable
                } else {
                    Reason::NoCapacity
                },
                retry_at: ready_at,
            };
            if self.admission.cancel(ticket).is_some() {
                self.end_refused(ticket, refusal, "the model cannot be ready in time", now);
            }
        }
    }

    fn verdict_of(&self, ticket: Ticket) -> Verdict {
        match self.pending.get(&ticket).map(|p| &p.stage) {
            Some(Stage::Waiting(request) | Stage::Claiming(request)) => request.verdict(),
            _ => Verdict::MayHaveRun,
        }
    }

    fn offer(
        &self,
        ticket: Ticket,
        client_account: ClientAccountId,
        class: Option<ClassId>,
        complete_by: Option<Instant>,
        job: &Job,
        now: Instant,
    ) -> AdmissionRequest {
        let (queue, adapter, body) = match job {
            Job::Completion(job) => {
                let target = &job.target;
                (QueueKey::Model(target.model.clone()), target.adapter.clone(), &job.body)
            }
            Job::Service(job) => (QueueKey::Service(job.service.clone()), None, &job.body),
        };
        let tokens = u32::try_from(body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        AdmissionRequest {
            ticket,
            client_account,
            class,
            earliest_first_token: self.earliest_first_token(&queue, now),
            queue,
            adapter,
            complete_by,
            work: tokens.saturating_add(EXPECTED_ANSWER_TOKENS),
        }
    }

    fn earliest_first_token(&self, queue: &QueueKey, now: Instant) -> Instant {
        let QueueKey::Model(model) = queue else { return now };
        if self.router.usable_replicas(model) > 0 {
            return now;
        }
        let nearest = self.cfg.catalogue.models.get(model).map(|m| now + m.load_time.memory);
        self.expected.get(model, now).or(nearest).unwrap_or(now)
    }

    fn is_cold(&self, job: &Job) -> bool {
        match job {
            Job::Completion(job) => self.router.usable_replicas(&job.target.model) == 0,
            Job::Service(_) => false,
        }
    }

    fn is_idempotent(&self, service: &str, method: &str, path: &str) -> bool {
        self.cfg.catalogue.services.get(service).is_some_and(|service| {
            service
                .idempotent_calls
                .iter()
                .any(|call| &*call.method == method && path.starts_with(&*call.path_prefix))
        })
    }

    fn count_arrival(&mut self, admitted: &Admitted, now: Instant) {
        let QueueKey::Model(model) = &admitted.queue else { return };
        let remaining_ms = crate::message::remaining_ms(admitted.first_token_by, now);
        let counted = self.arrivals.entry(model.clone()).or_insert_with(|| ArrivalCount {
            model: model.clone(),
            count: 0,
            worth_milli: 0,
            remaining_ms,
        });
        counted.count += 1;
        counted.worth_milli = counted.worth_milli.max(admitted.worth_milli);
        counted.remaining_ms = counted.remaining_ms.min(remaining_ms);
    }

    /// Ends a request that still has its reply with a refusal. Admission has dropped it already.
    pub(super) fn end_refused(
        &mut self,
        ticket: Ticket,
        refusal: Refusal,
        detail: &str,
        now: Instant,
    ) {
        let Some(mut pending) = self.pending.remove(&ticket) else { return };
        tracing::debug!("dispatch: {} refused: {:?}", pending.id, refusal.reason);
        self.finished.push(Finished::of(&pending, Some(refusal.reason), None, 0, now));
        let end = End::Refusal { refusal, detail: detail.into() };
        let slot = pending.reply.take();
        self.end_call(&pending, slot, end, now);
    }

    /// Ends a call. The end of a recorded one goes to the owner of its key range first.
    pub(super) fn end_call(
        &mut self,
        pending: &Pending,
        slot: Option<ReplySlot>,
        end: End,
        now: Instant,
    ) {
        let key = match &pending.job {
            Job::Service(job) => job.key.clone().map(|(key, _)| key).zip(job.claim),
            Job::Completion(_) => None,
        };
        let message = key.map(|(key, claim)| {
            let state = end.entry_state();
            FinishMessage { key, claim, state }
        });
        let reply = slot.map(|slot| HeldReply::new(slot, end, pending.admitted.complete_by, now));
        if let Some(message) = message {
            self.wanted.push(Wanted::KeyEnded(message, reply));
        } else if let Some(reply) = reply {
            reply.send();
        }
    }
}

impl Job {
    /// Whether the request may run more than once.
    pub(crate) fn is_idempotent(&self) -> bool {
        match self {
            Self::Completion(_) => true,
            Self::Service(job) => job.idempotent,
        }
    }
}
