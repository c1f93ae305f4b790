//! Starts waiting requests when there is capacity for them.

use std::rc::Rc;

use admission::{Admitted, QueueKey, Ticket};
use dispatch::{Queued, Request};
use routing::{RouteOutcome, RouteRequest};
use types::prelude::*;

use crate::attempt::{Attempt, Forward};
use crate::context::Context;
use crate::event::Event;
use crate::pending::{CompletionJob, Job, ServiceJob, Stage};
use crate::requests::{RequestAction, Requests};

/// Delay before a request whose adapter is being loaded is routed again. Loading an adapter takes 5
/// to 14 ms.
const ADAPTER_RECHECK_DELAY: Duration = Duration::from_millis(10);
/// Delay before a request without a usable backend server is routed again.
const NO_SERVER_RECHECK_DELAY: Duration = Duration::from_millis(50);
/// Minimum time between two demands for a model that has ready replicas, here or in another data
/// centre.
const EXTRA_DEMAND_INTERVAL: Duration = Duration::from_millis(500);

impl Requests {
    /// Starts as many waiting requests of a queue as there is capacity for.
    pub(crate) fn dispatch_queue(&mut self, cx: &Context, queue: &QueueKey, now: Instant) {
        match queue {
            QueueKey::Model(model) => self.dispatch_model_queue(cx, queue, model, now),
            QueueKey::Service(_) => {
                while let Some(admitted) = self.admission.dequeue(queue, now) {
                    self.start_request(cx, admitted, now);
                }
            }
        }
    }

    /// Starts waiting requests of every queue.
    pub(crate) fn dispatch_all_queues(&mut self, cx: &Context, now: Instant) {
        let queues: Vec<QueueKey> = self.admission.queues().cloned().collect();
        for queue in queues {
            self.dispatch_queue(cx, &queue, now);
        }
    }

    fn dispatch_model_queue(
        &mut self,
        cx: &Context,
        queue: &QueueKey,
        model: &ModelId,
        now: Instant,
    ) {
        loop {
            let Some(waiting) = self.admission.queue_summary(queue) else { return };
            if self.router.usable_replicas(model) == 0 {
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
                    RouteOutcome::NoReplica(demand) => {
                        if let Some(demand) = demand {
                            self.push_demand(&demand);
                        }
                        return;
                    }
                    // Each request is forwarded to the other data centre, or waits here if that is
                    // not possible.
                    RouteOutcome::DataCentre(_) | RouteOutcome::Replica(_) => {}
                }
            } else if !self.router.has_capacity(model) {
                self.demand_more_replicas(model, &waiting, now);
                return;
            }
            let Some(admitted) = self.admission.dequeue(queue, now) else { return };
            self.start_request(cx, admitted, now);
        }
    }

    pub(super) fn push_demand(&mut self, demand: &routing::Demand) {
        let target = Target { model: demand.model.clone(), adapter: demand.adapter.clone() };
        let waiting = u32::try_from(demand.waiting).unwrap_or(u32::MAX);
        let worth = demand.worth_milli / u64::from(waiting.max(1));
        self.actions.push(RequestAction::SendDemand {
            target,
            waiting,
            worth_milli: u32::try_from(worth).unwrap_or(u32::MAX),
            deadline: demand.earliest_deadline,
        });
    }

    fn demand_more_replicas(
        &mut self,
        model: &ModelId,
        waiting: &admission::QueueSummary,
        now: Instant,
    ) {
        if self.next_extra_demand.get(model).is_some_and(|at| now < *at) {
            return;
        }
        self.next_extra_demand.insert(model.clone(), now + EXTRA_DEMAND_INTERVAL);
        self.push_demand(&routing::Demand {
            model: model.clone(),
            adapter: None,
            waiting: waiting.count,
            earliest_deadline: waiting.earliest_deadline,
            worth_milli: waiting.worth_milli,
        });
    }

    /// Starts a request that `Admission::dequeue` returned.
    fn start_request(&mut self, cx: &Context, admitted: Admitted, now: Instant) {
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
            exclude: &pending.excluded_replicas,
            waiting: 1,
            earliest_deadline: pending.admitted.first_token_by,
            worth_milli: pending.admitted.worth_milli.into(),
        };
        let outcome = self.router.route(&route, now, &mut *cx.rng.borrow_mut());
        let choice = match outcome {
            RouteOutcome::Replica(choice) if choice.needs_adapter_load => {
                self.actions.push(RequestAction::SendDemand {
                    target: job.target,
                    waiting: 1,
                    worth_milli: pending.admitted.worth_milli,
                    deadline: pending.admitted.first_token_by,
                });
                return self.requeue(ticket, request, now + ADAPTER_RECHECK_DELAY, now);
            }
            RouteOutcome::Replica(choice) => choice,
            RouteOutcome::NoReplica(demand) => {
                if let Some(demand) = demand {
                    self.push_demand(&demand);
                }
                return self.requeue(ticket, request, now + NO_SERVER_RECHECK_DELAY, now);
            }
            RouteOutcome::DataCentre(data_centre) => {
                return self.forward(cx, ticket, request, job, &data_centre, now);
            }
        };
        let Some(permit) = self.breakers.admit(&choice.server, now) else {
            return self.requeue(ticket, request, now + NO_SERVER_RECHECK_DELAY, now);
        };
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        let Some(reply) = pending.reply.take() else { return };
        let attempt = Attempt {
            ticket,
            client: cx.client.clone(),
            budget: Rc::clone(&self.budget),
            server: choice.server,
            address: choice.address,
            attempt: self.attempt_ids.next_id(),
            permit,
            routed_at: now,
            replica: Some(choice.replica.clone()),
            priority: pending.admitted.priority,
            forward: None,
        };
        self.router.record_sent(&choice.replica, &job.prefixes, now);
        cx.spawn(
            async move { Event::Attempt(Box::new(attempt.complete(request, job, reply).await)) },
        );
    }

    /// Forwards a request to an instance of another data centre that has the model ready.
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
        let permitted = entry_point.filter(|_| !pending.is_local_only).and_then(|address| {
            let permit = self.breakers.admit(&address, now)?;
            Some((address, permit))
        });
        let Some((address, permit)) = permitted else {
            pending.is_local_only = true;
            self.demand_locally(job.target, &self.pending[&ticket].admitted.clone(), now);
            return self.requeue(ticket, request, now + NO_SERVER_RECHECK_DELAY, now);
        };
        let Some(reply) = pending.reply.take() else { return };
        // If the forwarded request fails, it is retried in this data centre.
        pending.is_local_only = true;
        let forward = Forward { by: cx.instance.clone(), class: pending.admitted.class.clone() };
        let attempt = Attempt {
            ticket,
            client: cx.client.clone(),
            budget: Rc::clone(&self.budget),
            server: address.clone(),
            address,
            attempt: self.attempt_ids.next_id(),
            permit,
            routed_at: now,
            replica: None,
            priority: pending.admitted.priority,
            forward: Some(forward),
        };
        tracing::debug!("dispatch: {} forwarded to {data_centre}", pending.id);
        cx.spawn(
            async move { Event::Attempt(Box::new(attempt.complete(request, job, reply).await)) },
        );
    }

    /// Sends demand for a target to this data centre although another one has it ready.
    fn demand_locally(&mut self, target: Target, admitted: &Admitted, now: Instant) {
        if self.next_extra_demand.get(&target.model).is_some_and(|at| now < *at) {
            return;
        }
        self.next_extra_demand.insert(target.model.clone(), now + EXTRA_DEMAND_INTERVAL);
        self.actions.push(RequestAction::SendDemand {
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
        if let Some((key, fingerprint)) = job.key.clone().filter(|_| job.claim.is_none()) {
            let decide_by = pending.admitted.first_token_by;
            pending.stage = Stage::Claiming(request);
            self.actions.push(RequestAction::ClaimKey { ticket, key, fingerprint, decide_by });
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
            return self.requeue(ticket, request, now + NO_SERVER_RECHECK_DELAY, now);
        };
        let Some(reply) = pending.reply.take() else { return };
        let attempt = Attempt {
            ticket,
            client: cx.client.clone(),
            budget: Rc::clone(&self.budget),
            server: choice.server.clone(),
            address: choice.address,
            attempt: self.attempt_ids.next_id(),
            permit,
            routed_at: now,
            replica: None,
            priority: pending.admitted.priority,
            forward: None,
        };
        self.router.record_service_sent(&choice.server);
        cx.spawn(async move { Event::Attempt(Box::new(attempt.call(request, job, reply).await)) });
    }

    /// Returns a request to its queue, or refuses it if its deadline leaves no time to wait.
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
}
