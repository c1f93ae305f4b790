//! Callers' requests: admission, routing and dispatch.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use admission::{Admission, Admitted, Expired, LocalLimits, Offer, QueueKey, Ticket};
use dispatch::{AttemptIds, Breakers, Queued, Request, RetryBudget, Terms};
use front::{Arrival, Call, Problem, Reply};
use idempotency::{EntryState, Fingerprint, KeyHash};
use routing::{Outcome, RouteRequest, Router};
use types::prelude::*;

use crate::attempt::{Attempt, Forward};
use crate::context::Context;
use crate::event::Event;
use crate::expected::ExpectedReady;
use crate::finished::Finished;
use crate::message::ArrivalCount;
use crate::pending::{CompletionJob, Job, Pending, ReplySlot, ServiceJob, Stage};

/// How soon a request is looked at again whose adapter is being loaded: an adapter takes 5 to 14 ms.
const ADAPTER_RECHECK: Duration = Duration::from_millis(10);
/// How soon a request is looked at again that found no usable backend server.
const NO_SERVER_RECHECK: Duration = Duration::from_millis(50);
/// Least time between two demands for more replicas of a model that has ready ones.
const MORE_REPLICAS_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes of a request body that count as one token of work.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens that an answer is expected to have.
const EXPECTED_ANSWER_TOKENS: u32 = 256;

/// What the requests want from the rest of the loop.
#[derive(Debug)]
pub(crate) enum Wanted {
    /// A target must be made ready.
    Target { target: Target, waiting: u32, worth_milli: u32, deadline: Instant },
    /// An idempotency key must be recorded before `decide_by`.
    Key { ticket: Ticket, key: KeyHash, fingerprint: Fingerprint, decide_by: Instant },
    /// A recorded call has ended.
    KeyEnded { key: KeyHash, fingerprint: Fingerprint, state: EntryState },
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
    pub(super) breakers: Breakers,
    pub(super) budget: Rc<RefCell<RetryBudget>>,
    cfg: Arc<Configuration>,
    attempts: AttemptIds,
    next_ticket: Ticket,
    /// When a model with ready replicas may ask for more.
    more_replicas_at: HashMap<ModelId, Instant>,
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
            breakers: Breakers::new(),
            budget: Rc::new(RefCell::new(RetryBudget::new())),
            cfg,
            attempts: AttemptIds::new(instance, incarnation),
            next_ticket: 0,
            more_replicas_at: HashMap::new(),
        }
    }

    /// Adopts a higher configuration version; requests keep the terms of their own.
    pub(crate) fn configure(&mut self, cfg: Arc<Configuration>) {
        self.admission.configure(Arc::clone(&cfg));
        self.cfg = cfg;
    }

    /// Sets the part of a customer's limits that this instance may use.
    pub(crate) fn set_limits(&mut self, customer: &str, limits: LocalLimits, now: Instant) {
        self.admission.set_limits(customer, limits, now);
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
    pub(crate) fn on_arrival(&mut self, cx: &Context, arrival: Arrival, now: Instant) {
        let Arrival { request, customer, arrived_at, deadline, class, call, reply, .. } = arrival;
        let (authorization, idempotency_key) = (arrival.authorization, arrival.idempotency_key);
        let job = match call {
            Call::Models => {
                let _ = reply.send(crate::models::list(&self.cfg, &customer));
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
                    let scope = format!("{customer}/{service}");
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
                    claimed: false,
                })
            }
        };
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let offer = self.offer(ticket, customer.clone(), class, deadline, &job, now);
        let queue = offer.queue.clone();
        let earliest = offer.earliest_first_token;
        match self.admission.offer(offer, now) {
            Ok(admitted) => {
                self.count_arrival(&admitted, now);
                let terms = Terms {
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
                    stage: Stage::Waiting(Request::new(terms)),
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
                self.finished.push(Finished::refused(customer, &job, &self.cfg, &refusal));
                let _ = reply.send(Reply::Refused(Problem::new(refusal, detail)));
            }
        }
    }

    /// Starts as many waiting requests of a queue as there is room for.
    pub(crate) fn pump(&mut self, cx: &Context, queue: &QueueKey, now: Instant) {
        match queue {
            QueueKey::Model(model) => self.pump_model(cx, queue, model, now),
            QueueKey::Service(_) => {
                while let Some(admitted) = self.admission.next(queue, now) {
                    self.start(cx, admitted, now);
                }
            }
        }
    }

    /// Starts what can be started in every queue.
    pub(crate) fn pump_all(&mut self, cx: &Context, now: Instant) {
        let queues: Vec<QueueKey> = self.admission.queues().cloned().collect();
        for queue in queues {
            self.pump(cx, &queue, now);
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
        self.expected.set(target.model.clone(), ready_at, now);
        let too_late = |p: &Pending| {
            matches!(p.stage, Stage::Waiting(_))
                && p.admitted.queue == QueueKey::Model(target.model.clone())
                && ready_at.is_none_or(|at| at > p.admitted.first_token_by)
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
        customer: CustomerId,
        class: Option<ClassId>,
        complete_by: Option<Instant>,
        job: &Job,
        now: Instant,
    ) -> Offer {
        let (queue, adapter, body) = match job {
            Job::Completion(job) => {
                let target = &job.target;
                (QueueKey::Model(target.model.clone()), target.adapter.clone(), &job.body)
            }
            Job::Service(job) => (QueueKey::Service(job.service.clone()), None, &job.body),
        };
        let tokens = u32::try_from(body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        Offer {
            ticket,
            customer,
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
        if self.router.ready_replicas(model) > 0 {
            return now;
        }
        let nearest = self.cfg.catalogue.models.get(model).map(|m| now + m.load_time.memory);
        self.expected.get(model, now).or(nearest).unwrap_or(now)
    }

    fn is_cold(&self, job: &Job) -> bool {
        match job {
            Job::Completion(job) => self.router.ready_replicas(&job.target.model) == 0,
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

    fn pump_model(&mut self, cx: &Context, queue: &QueueKey, model: &ModelId, now: Instant) {
        loop {
            let Some(waiting) = self.admission.waiting(queue) else { return };
            if self.router.ready_replicas(model) == 0 {
                let target = Target { model: model.clone(), adapter: None };
                let request = RouteRequest {
                    target: &target,
                    prefix: &[],
                    exclude: &[],
                    waiting: waiting.count,
                    earliest_deadline: waiting.earliest_deadline,
                    worth_milli: waiting.worth_milli,
                };
                match self.router.route(&request, now, &mut *cx.rng.borrow_mut()) {
                    Outcome::Cold(demand) => {
                        if let Some(demand) = demand {
                            self.want_target(&demand);
                        }
                        return;
                    }
                    // Each request is forwarded, or waits here if it cannot be.
                    Outcome::DataCentre(_) | Outcome::Replica(_) => {}
                }
            } else if !self.router.has_room(model) {
                self.want_more_replicas(model, &waiting, now);
                return;
            }
            let Some(admitted) = self.admission.next(queue, now) else { return };
            self.start(cx, admitted, now);
        }
    }

    fn want_target(&mut self, demand: &routing::Demand) {
        let target = Target { model: demand.model.clone(), adapter: demand.adapter.clone() };
        let waiting = u32::try_from(demand.waiting).unwrap_or(u32::MAX);
        let worth = demand.worth_milli / u64::from(waiting.max(1));
        self.wanted.push(Wanted::Target {
            target,
            waiting,
            worth_milli: u32::try_from(worth).unwrap_or(u32::MAX),
            deadline: demand.earliest_deadline,
        });
    }

    fn want_more_replicas(&mut self, model: &ModelId, waiting: &admission::Waiting, now: Instant) {
        if self.more_replicas_at.get(model).is_some_and(|at| now < *at) {
            return;
        }
        self.more_replicas_at.insert(model.clone(), now + MORE_REPLICAS_INTERVAL);
        self.want_target(&routing::Demand {
            model: model.clone(),
            adapter: None,
            waiting: waiting.count,
            earliest_deadline: waiting.earliest_deadline,
            worth_milli: waiting.worth_milli,
        });
    }

    /// Starts a request that `Admission::next` returned.
    fn start(&mut self, cx: &Context, admitted: Admitted, now: Instant) {
        let ticket = admitted.ticket;
        let Some(pending) = self.pending.get_mut(&ticket) else {
            self.admission.finish(ticket);
            return;
        };
        let Some(request) = pending.take_queued() else { return };
        match pending.job.clone() {
            Job::Completion(job) => self.start_completion(cx, ticket, request, job, now),
            Job::Service(job) => self.start_call(cx, ticket, request, job, now),
        }
    }

    fn start_completion(
        &mut self,
        cx: &Context,
        ticket: Ticket,
        request: Request<Queued>,
        job: CompletionJob,
        now: Instant,
    ) {
        let Some(pending) = self.pending.get(&ticket) else { return };
        let route = RouteRequest {
            target: &job.target,
            prefix: &job.prefixes,
            exclude: &pending.excluded,
            waiting: 1,
            earliest_deadline: pending.admitted.first_token_by,
            worth_milli: pending.admitted.worth_milli.into(),
        };
        let outcome = self.router.route(&route, now, &mut *cx.rng.borrow_mut());
        let choice = match outcome {
            Outcome::Replica(choice) if choice.load_adapter => {
                self.wanted.push(Wanted::Target {
                    target: job.target,
                    waiting: 1,
                    worth_milli: pending.admitted.worth_milli,
                    deadline: pending.admitted.first_token_by,
                });
                return self.requeue(ticket, request, now + ADAPTER_RECHECK, now);
            }
            Outcome::Replica(choice) => choice,
            Outcome::Cold(demand) => {
                if let Some(demand) = demand {
                    self.want_target(&demand);
                }
                return self.requeue(ticket, request, now + NO_SERVER_RECHECK, now);
            }
            Outcome::DataCentre(data_centre) => {
                return self.forward(cx, ticket, request, job, &data_centre, now);
            }
        };
        let Some(permit) = self.breakers.admit(&choice.server, now) else {
            return self.requeue(ticket, request, now + NO_SERVER_RECHECK, now);
        };
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        let Some(reply) = pending.reply.take() else { return };
        let attempt = Attempt {
            ticket,
            client: cx.client.clone(),
            budget: Rc::clone(&self.budget),
            server: choice.server,
            address: choice.address,
            attempt: self.attempts.issue(),
            permit,
            replica: Some(choice.replica.clone()),
            priority: pending.admitted.priority,
            forward: None,
        };
        self.router.sent(&choice.replica, &job.prefixes, now);
        cx.spawn(
            async move { Event::Attempt(Box::new(attempt.complete(request, job, reply).await)) },
        );
    }

    /// Sends a request to an instance of a data centre that has the model ready.
    fn forward(
        &mut self,
        cx: &Context,
        ticket: Ticket,
        request: Request<Queued>,
        job: CompletionJob,
        data_centre: &DataCentreId,
        now: Instant,
    ) {
        let entry_point = self.entry_points.get(data_centre).cloned();
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        let permitted = entry_point.filter(|_| !pending.is_local).and_then(|address| {
            let permit = self.breakers.admit(&address, now)?;
            Some((address, permit))
        });
        let Some((address, permit)) = permitted else {
            pending.is_local = true;
            self.want_locally(job.target, &self.pending[&ticket].admitted.clone(), now);
            return self.requeue(ticket, request, now + NO_SERVER_RECHECK, now);
        };
        let Some(reply) = pending.reply.take() else { return };
        // A failed forward is followed by attempts in this data centre.
        pending.is_local = true;
        let forward = Forward { by: cx.instance.clone(), class: pending.admitted.class.clone() };
        let attempt = Attempt {
            ticket,
            client: cx.client.clone(),
            budget: Rc::clone(&self.budget),
            server: address.clone(),
            address,
            attempt: self.attempts.issue(),
            permit,
            replica: None,
            priority: pending.admitted.priority,
            forward: Some(forward),
        };
        tracing::debug!("dispatch: {} forwarded to {data_centre}", pending.id);
        cx.spawn(
            async move { Event::Attempt(Box::new(attempt.complete(request, job, reply).await)) },
        );
    }

    /// Asks the own data centre for a target although another one has it ready.
    fn want_locally(&mut self, target: Target, admitted: &Admitted, now: Instant) {
        if self.more_replicas_at.get(&target.model).is_some_and(|at| now < *at) {
            return;
        }
        self.more_replicas_at.insert(target.model.clone(), now + MORE_REPLICAS_INTERVAL);
        self.wanted.push(Wanted::Target {
            target,
            waiting: 1,
            worth_milli: admitted.worth_milli,
            deadline: admitted.first_token_by,
        });
    }

    fn start_call(
        &mut self,
        cx: &Context,
        ticket: Ticket,
        request: Request<Queued>,
        job: ServiceJob,
        now: Instant,
    ) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        if let Some((key, fingerprint)) = job.key.clone().filter(|_| !job.claimed) {
            let decide_by = pending.admitted.first_token_by;
            pending.stage = Stage::Claiming(request);
            self.wanted.push(Wanted::Key { ticket, key, fingerprint, decide_by });
            return;
        }
        let excluded = &pending.excluded_servers;
        let rng = &mut *cx.rng.borrow_mut();
        let choice = self.router.route_service(&job.service, excluded, now, rng);
        let permitted = choice.and_then(|choice| {
            let permit = self.breakers.admit(&choice.server, now)?;
            Some((choice, permit))
        });
        let Some((choice, permit)) = permitted else {
            pending.excluded_servers.clear();
            return self.requeue(ticket, request, now + NO_SERVER_RECHECK, now);
        };
        let Some(reply) = pending.reply.take() else { return };
        let attempt = Attempt {
            ticket,
            client: cx.client.clone(),
            budget: Rc::clone(&self.budget),
            server: choice.server.clone(),
            address: choice.address,
            attempt: self.attempts.issue(),
            permit,
            replica: None,
            priority: pending.admitted.priority,
            forward: None,
        };
        self.router.service_sent(&choice.server);
        cx.spawn(async move { Event::Attempt(Box::new(attempt.call(request, job, reply).await)) });
    }

    /// Puts a request back into its queue, or refuses it if its deadline forbids the wait.
    pub(super) fn requeue(
        &mut self,
        ticket: Ticket,
        request: Request<Queued>,
        not_before: Instant,
        now: Instant,
    ) {
        match self.admission.requeue(ticket, request.verdict(), not_before, now) {
            Ok(()) => {
                if let Some(pending) = self.pending.get_mut(&ticket) {
                    pending.stage = Stage::Waiting(request);
                }
            }
            Err(refusal) => {
                let refusal = request.refuse(refusal.reason);
                self.admission.finish(ticket);
                self.end_refused(ticket, refusal, "the deadline leaves no time to wait", now);
            }
        }
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
        self.end_key(&pending, refusal.verdict);
        tracing::debug!("dispatch: {} refused: {:?}", pending.id, refusal.reason);
        self.finished.push(Finished::of(&pending, Some(refusal.reason), None, 0, now));
        if let Some(reply) = pending.reply.take() {
            reply.refuse(refusal, detail);
        }
    }

    /// Frees or closes the idempotency key of a call that ended without an answer.
    fn end_key(&mut self, pending: &Pending, verdict: Verdict) {
        let Job::Service(job) = &pending.job else { return };
        let Some((key, fingerprint)) = job.key.clone().filter(|_| job.claimed) else { return };
        let state = match verdict {
            Verdict::NotRun => EntryState::Released,
            Verdict::MayHaveRun => EntryState::Unknown,
        };
        self.wanted.push(Wanted::KeyEnded { key, fingerprint, state });
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
