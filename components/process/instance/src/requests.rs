//! Callers' requests from arrival to reply: admission, routing and dispatch.

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
use crate::held_reply::{CallOutcome, HeldReply};
use crate::message::{ArrivalCount, FinishMessage};
use crate::pending::{CompletionJob, Job, Pending, ReplySlot, ServiceJob, Stage};

/// Assumed time until a model that no group can load now can be loaded. Requests with a later
/// deadline keep waiting.
const NO_CAPACITY_DELAY: Duration = Duration::from_secs(5);
/// Bytes of a request body that are counted as one token of work.
const BYTES_PER_TOKEN: usize = 4;
/// Estimated number of tokens of an answer.
const EXPECTED_ANSWER_TOKENS: u32 = 256;

/// An action that the requests ask the event loop to carry out.
pub(crate) enum RequestAction {
    /// Ask the owner of a group to make a target ready.
    SendDemand { target: Target, waiting: u32, worth_milli: u32, deadline: Instant },
    /// Claim an idempotency key; the owner of its key range must decide by `decide_by`.
    ClaimKey { ticket: Ticket, key: KeyHash, fingerprint: Fingerprint, decide_by: Instant },
    /// Notify the owner of the key range how a recorded call ended, then send the caller its reply.
    FinishCall(FinishMessage, Option<HeldReply>),
}

/// The requests of this instance that have not been answered yet.
pub(crate) struct Requests {
    pub(crate) admission: Admission,
    pub(crate) router: Router,
    pub(crate) expected: ExpectedReady,
    /// Address for callers of one instance in each other data centre.
    pub(crate) entry_points: HashMap<DataCentreId, Box<str>>,
    /// Actions that the loop has not carried out yet.
    pub(crate) actions: Vec<RequestAction>,
    /// Requests that have ended and that the loop has not recorded yet.
    pub(crate) finished: Vec<Finished>,
    /// Arrivals by model that the loop has not reported to the owners of groups yet.
    pub(crate) arrivals: HashMap<ModelId, ArrivalCount>,
    pub(super) pending: HashMap<Ticket, Pending>,
    pub(super) breakers: CircuitBreakers,
    pub(super) budget: Rc<RefCell<RetryBudget>>,
    cfg: Arc<Configuration>,
    pub(super) attempt_ids: AttemptIdGenerator,
    next_ticket: Ticket,
    /// When demand for a model that has ready replicas, here or in another data centre, may be sent
    /// again.
    pub(super) next_extra_demand: HashMap<ModelId, Instant>,
}

impl Requests {
    /// Creates the state without any requests.
    pub(crate) fn new(instance: &str, incarnation: Incarnation) -> Self {
        let cfg = Arc::new(Configuration::default());
        Self {
            admission: Admission::new(Arc::clone(&cfg)),
            router: Router::new(),
            expected: ExpectedReady::default(),
            entry_points: HashMap::new(),
            actions: Vec::new(),
            finished: Vec::new(),
            arrivals: HashMap::new(),
            pending: HashMap::new(),
            breakers: CircuitBreakers::new(),
            budget: Rc::new(RefCell::new(RetryBudget::new())),
            cfg,
            attempt_ids: AttemptIdGenerator::new(instance, incarnation),
            next_ticket: 0,
            next_extra_demand: HashMap::new(),
        }
    }

    /// Switches to a newer configuration. Requests keep the terms of the version under which they
    /// were admitted.
    pub(crate) fn configure(&mut self, cfg: Arc<Configuration>) {
        self.admission.configure(Arc::clone(&cfg));
        self.cfg = cfg;
    }

    /// Sets this instance's share of a client account's limits.
    pub(crate) fn set_limits(&mut self, client_account: &str, limits: LocalLimits, now: Instant) {
        self.admission.set_limits(client_account, limits, now);
    }

    /// Returns the numbers of waiting and of running requests.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let running = self.pending.values().filter(|p| matches!(p.stage, Stage::Running)).count();
        (self.pending.len() - running, running)
    }

    /// Whether every request has ended.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Admits or refuses a caller's request and dispatches it if there is capacity.
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
        let admission_request = self.build_admission_request(
            ticket,
            client_account.clone(),
            class,
            deadline,
            &job,
            now,
        );
        let queue = admission_request.queue.clone();
        let earliest = admission_request.earliest_first_token;
        match self.admission.admit(admission_request, now) {
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
                    excluded_replicas: Vec::new(),
                    is_local_only: arrival.is_forwarded,
                    excluded_servers: Vec::new(),
                };
                self.pending.insert(ticket, pending);
                self.dispatch_queue(cx, &queue, now);
            }
            Err(refusal) => {
                tracing::debug!("admission: {request} refused: {:?}", refusal.reason);
                let detail = crate::details::refused_on_arrival(&refusal, earliest, now);
                self.finished.push(Finished::refused_on_arrival(
                    client_account,
                    &job,
                    &self.cfg,
                    &refusal,
                ));
                let _ = reply.send(Reply::Refused(Problem::new(refusal, detail)));
            }
        }
    }

    /// Refuses requests whose deadline has passed and sends delayed demand that is due.
    pub(crate) fn on_timer(&mut self, cx: &Context, now: Instant) {
        for expired in self.admission.expire(now) {
            // A running attempt ends by itself at the same deadline and has its own verdict.
            if let Expired::Waiting(admitted, refusal) = expired {
                self.end_refused(admitted.ticket, refusal, "the deadline passed in the queue", now);
            }
        }
        for demand in self.router.due_demands(now) {
            self.push_demand(&demand);
        }
        self.dispatch_all_queues(cx, now);
    }

    /// Returns when `on_timer` is due.
    pub(crate) fn next_timer(&self) -> Option<Instant> {
        [self.admission.next_deadline(), self.router.next_demand_at()].into_iter().flatten().min()
    }

    /// Records that a target is expected to be ready at `ready_at`, or that it cannot be loaded now
    /// (`None`), and refuses the requests that cannot wait so long.
    pub(crate) fn on_expected(&mut self, target: &Target, ready_at: Option<Instant>, now: Instant) {
        if self.router.usable_replicas(&target.model) > 0 {
            // The demand was for another replica or for an adapter; the requests stay queued.
            return;
        }
        self.expected.set(target.model.clone(), ready_at, now);
        let too_late = |p: &Pending| {
            matches!(p.stage, Stage::Waiting(_))
                && p.admitted.queue == QueueKey::Model(target.model.clone())
                && ready_at.unwrap_or(now + NO_CAPACITY_DELAY) > p.admitted.first_token_by
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

    fn build_admission_request(
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
        let from_memory = self.cfg.catalogue.models.get(model).map(|m| now + m.load_time.memory);
        self.expected.get(model, now).or(from_memory).unwrap_or(now)
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

    /// Refuses a pending request, which admission must have dropped before.
    pub(super) fn end_refused(
        &mut self,
        ticket: Ticket,
        refusal: Refusal,
        detail: &str,
        now: Instant,
    ) {
        let Some(mut pending) = self.pending.remove(&ticket) else { return };
        tracing::debug!("dispatch: {} refused: {:?}", pending.id, refusal.reason);
        self.finished.push(Finished::from_pending(&pending, Some(refusal.reason), None, 0, now));
        let outcome = CallOutcome::Refusal { refusal, detail: detail.into() };
        let slot = pending.reply.take();
        self.end_call(&pending, slot, outcome, now);
    }

    /// Sends the reply of a request. If the call is recorded under an idempotency key, the owner of
    /// the key range is notified first.
    pub(super) fn end_call(
        &mut self,
        pending: &Pending,
        slot: Option<ReplySlot>,
        outcome: CallOutcome,
        now: Instant,
    ) {
        let key = match &pending.job {
            Job::Service(job) => job.key.clone().map(|(key, _)| key).zip(job.claim),
            Job::Completion(_) => None,
        };
        let message = key.map(|(key, claim)| {
            let state = outcome.entry_state();
            FinishMessage { key, claim, state }
        });
        let reply =
            slot.map(|slot| HeldReply::new(slot, outcome, pending.admitted.complete_by, now));
        if let Some(message) = message {
            self.actions.push(RequestAction::FinishCall(message, reply));
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
