//! Admission control of one instance.

use std::sync::Arc;

use types::prelude::*;

use crate::queue::{ClientAccountIndex, Queue};
use crate::request::{
    AdmissionRequest, Admitted, Expired, LocalLimits, QueueKey, QueueSummary, Ticket,
};
use crate::token_bucket::TokenBucket;

/// Queues, limits and deadlines of one instance.
///
/// Every admitted request has one entry in `requests` and one in `deadlines`; both are removed
/// together.
#[derive(Debug)]
pub struct Admission {
    cfg: Arc<Configuration>,
    client_accounts: Vec<ClientAccount>,
    index: HashMap<ClientAccountId, ClientAccountIndex>,
    requests: HashMap<Ticket, Tracked>,
    queues: HashMap<QueueKey, Queue>,
    deadlines: BTreeSet<(Instant, Ticket)>,
    /// Requests that were requeued and must not be dequeued before the given time.
    delayed: BTreeSet<(Instant, Ticket)>,
    /// Requests that `dequeue` found expired; the next call of `expire` returns them.
    expired: Vec<Expired>,
}

#[derive(Debug)]
struct ClientAccount {
    limits: LocalLimits,
    bucket: TokenBucket,
    /// Capacity share in the latest configuration that has a contract for the client account.
    weight: BasisPoints,
    waiting: u64,
    running: u64,
}

#[derive(Debug)]
struct Tracked {
    client_account: ClientAccountIndex,
    request: Admitted,
    state: RequestState,
    /// Whether the client account was charged for the work; a retry is not charged again.
    is_charged: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Queued,
    Delayed(Instant),
    Running,
}

impl Admission {
    /// Creates an empty admission control. A client account cannot queue requests before
    /// `set_limits` was called for it.
    pub fn new(cfg: Arc<Configuration>) -> Self {
        Self {
            cfg,
            client_accounts: Vec::new(),
            index: HashMap::new(),
            requests: HashMap::new(),
            queues: HashMap::new(),
            deadlines: BTreeSet::new(),
            delayed: BTreeSet::new(),
            expired: Vec::new(),
        }
    }

    /// Applies a configuration with a higher version and ignores any other. Admitted requests keep
    /// the terms of the version under which they were admitted.
    pub fn configure(&mut self, cfg: Arc<Configuration>) {
        if cfg.version <= self.cfg.version {
            return;
        }
        self.cfg = cfg;
        for (name, contract) in &self.cfg.contracts {
            if let Some(index) = self.index.get(name) {
                self.client_accounts[*index as usize].weight = contract.capacity_share;
            }
        }
    }

    /// Sets the part of a client account's limits that this instance may use.
    pub fn set_limits(&mut self, client_account: &str, limits: LocalLimits, now: Instant) {
        if let Some(index) = self.index.get(client_account) {
            let client_account = &mut self.client_accounts[*index as usize];
            client_account.limits = limits;
            client_account.bucket.set_rate(limits.rate_milli, now);
            return;
        }
        let weight = self.cfg.contracts.get(client_account).map_or(0, |c| c.capacity_share);
        let bucket = TokenBucket::new(&limits, now);
        self.index.insert(client_account.into(), self.client_accounts.len() as ClientAccountIndex);
        self.client_accounts.push(ClientAccount { limits, bucket, weight, waiting: 0, running: 0 });
    }

    /// Queues a request or refuses it as `not_run`, because no server has received it.
    pub fn admit(&mut self, request: AdmissionRequest, now: Instant) -> Result<Admitted, Refusal> {
        let admitted = self.resolve_terms(&request, now).map_err(Refusal::not_run)?;
        if admitted.complete_by <= now {
            return Err(Refusal::not_run(Reason::DeadlinePassed));
        }
        if request.earliest_first_token > admitted.first_token_by {
            let refusal = Refusal::not_run(Reason::DeadlineUnreachable);
            return Err(refusal.with_retry_at(request.earliest_first_token));
        }
        let Some(&index) = self.index.get(&request.client_account) else {
            return Err(Refusal::not_run(Reason::LimitReached));
        };
        let client_account = &mut self.client_accounts[index as usize];
        if client_account.waiting >= client_account.limits.queued {
            return Err(Refusal::not_run(Reason::QueueFull));
        }
        client_account
            .bucket
            .try_take(1, now)
            .map_err(|at| Refusal { retry_at: at, ..Refusal::not_run(Reason::LimitReached) })?;
        let tracked = Tracked {
            client_account: index,
            request: admitted.clone(),
            state: RequestState::Queued,
            is_charged: false,
        };
        self.insert(tracked);
        Ok(admitted)
    }

    /// Takes the next request from a queue and counts it as in progress.
    pub fn dequeue(&mut self, queue: &QueueKey, now: Instant) -> Option<Admitted> {
        self.advance(now);
        let fair_queue = self.queues.get_mut(queue)?;
        let client_accounts = &self.client_accounts;
        let has_capacity = |index: ClientAccountIndex| {
            let client_account = &client_accounts[index as usize];
            client_account.running < client_account.limits.concurrent
        };
        let (index, ticket) = fair_queue.select_next(has_capacity)?;
        let mut tracked = self.remove(ticket)?;
        if !tracked.is_charged {
            let weight = self.client_accounts[index as usize].weight;
            if let Some(fair_queue) = self.queues.get_mut(queue) {
                fair_queue.charge(index, tracked.request.work, weight);
            }
        }
        self.remove_queue_if_empty(queue);
        tracked.is_charged = true;
        tracked.state = RequestState::Running;
        let request = tracked.request.clone();
        self.insert(tracked);
        Some(request)
    }

    /// Requeues a dequeued request with its current verdict. The request keeps its position by
    /// deadline and is not dequeued before `not_before`. Returns a refusal if the request has
    /// ended, or if its first-token deadline is not after both `now` and `not_before`.
    pub fn requeue(
        &mut self,
        ticket: Ticket,
        verdict: Verdict,
        not_before: Instant,
        now: Instant,
    ) -> Result<(), Refusal> {
        let refusal = Refusal { verdict, reason: Reason::DeadlinePassed, retry_at: None };
        if self.requests.get(&ticket).is_none_or(|t| t.state != RequestState::Running) {
            return Err(refusal);
        }
        let Some(mut tracked) = self.remove(ticket) else { return Err(refusal) };
        if tracked.request.first_token_by <= now.max(not_before) {
            return Err(refusal);
        }
        tracked.request.verdict = verdict;
        tracked.state =
            if not_before > now { RequestState::Delayed(not_before) } else { RequestState::Queued };
        self.insert(tracked);
        Ok(())
    }

    /// Ends a dequeued request. Returns false if it had ended before.
    pub fn finish(&mut self, ticket: Ticket) -> bool {
        let running = self.requests.get(&ticket).is_some_and(|t| t.state == RequestState::Running);
        running && self.remove(ticket).is_some()
    }

    /// Removes a queued or delayed request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Admitted> {
        if self.requests.get(&ticket)?.state == RequestState::Running {
            return None;
        }
        let tracked = self.remove(ticket)?;
        self.remove_queue_if_empty(&tracked.request.queue);
        Some(tracked.request)
    }

    /// Removes and returns every request whose deadline has passed. The first-token deadline
    /// applies while the request is queued or delayed, the completion deadline while it is in
    /// progress.
    pub fn expire(&mut self, now: Instant) -> Vec<Expired> {
        self.advance(now);
        std::mem::take(&mut self.expired)
    }

    /// Earliest time at which a request expires or the delay of a requeued request ends.
    pub fn next_deadline(&self) -> Option<Instant> {
        let expired = self.expired.iter().map(|expired| match expired {
            Expired::Waiting(request, _) => request.first_token_by,
            Expired::Running(request) => request.complete_by,
        });
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let delayed = self.delayed.first().map(|(at, _)| *at);
        expired.chain(deadline).chain(delayed).min()
    }

    /// State of the queue for a key; `None` if no request is queued.
    pub fn queue_summary(&self, queue: &QueueKey) -> Option<QueueSummary> {
        let fair_queue = self.queues.get(queue)?;
        Some(QueueSummary {
            count: fair_queue.len(),
            earliest_deadline: fair_queue.earliest_deadline()?,
            worth_milli: fair_queue.worth_milli(),
        })
    }

    /// Queue keys with queued requests.
    pub fn queues(&self) -> impl Iterator<Item = &QueueKey> {
        self.queues.keys()
    }

    /// Numbers of waiting requests and of requests in progress of a client account. Delayed
    /// requests count as waiting.
    pub fn request_counts(&self, client_account: &str) -> (u64, u64) {
        let client_account =
            self.index.get(client_account).map(|index| &self.client_accounts[*index as usize]);
        client_account.map_or((0, 0), |c| (c.waiting, c.running))
    }

    /// Determines class, priority and deadlines of a request from the current configuration.
    fn resolve_terms(&self, request: &AdmissionRequest, now: Instant) -> Result<Admitted, Reason> {
        let contract = self.cfg.contracts.get(&request.client_account).ok_or(Reason::UnknownKey)?;
        let allowed = match (&request.queue, &request.adapter) {
            (QueueKey::Service(service), _) => contract.services.contains(service),
            (QueueKey::Model(model), None) => contract.models.contains(model),
            (QueueKey::Model(model), Some(adapter)) => {
                contract.adapters.get(model).is_some_and(|known| known.contains(adapter))
            }
        };
        if !allowed {
            return Err(Reason::UnknownModel);
        }
        let class_id = request.class.as_ref().unwrap_or(&contract.default_class);
        let class = contract.classes.get(class_id).ok_or(Reason::BadRequest)?;
        let target = now + class.completion;
        let complete_by = request.complete_by.map_or(target, |at| at.min(target));
        Ok(Admitted {
            ticket: request.ticket,
            client_account: request.client_account.clone(),
            class: class_id.clone(),
            queue: request.queue.clone(),
            adapter: request.adapter.clone(),
            version: self.cfg.version,
            priority: class.priority,
            worth_milli: class.worth_milli,
            first_token_by: (now + class.first_token).min(complete_by),
            complete_by,
            work: request.work,
            verdict: Verdict::NotRun,
        })
    }

    /// Moves expired requests to `expired` and queues requests whose delay has ended.
    fn advance(&mut self, now: Instant) {
        while let Some(&(at, ticket)) = self.deadlines.first() {
            if at > now {
                break;
            }
            let Some(Tracked { request, state, .. }) = self.remove(ticket) else { break };
            self.remove_queue_if_empty(&request.queue);
            self.expired.push(match state {
                RequestState::Running => Expired::Running(request),
                RequestState::Queued | RequestState::Delayed(_) => {
                    let refusal = Refusal {
                        verdict: request.verdict,
                        reason: Reason::DeadlinePassed,
                        retry_at: None,
                    };
                    Expired::Waiting(request, refusal)
                }
            });
        }
        while let Some(&(at, ticket)) = self.delayed.first() {
            if at > now {
                break;
            }
            let Some(mut tracked) = self.remove(ticket) else { break };
            tracked.state = RequestState::Queued;
            self.insert(tracked);
        }
    }

    fn insert(&mut self, tracked: Tracked) {
        let Tracked { client_account, request, state, .. } = &tracked;
        let ticket = request.ticket;
        let account = &mut self.client_accounts[*client_account as usize];
        match state {
            RequestState::Running => account.running += 1,
            RequestState::Queued => {
                account.waiting += 1;
                self.queues
                    .entry(request.queue.clone())
                    .or_default()
                    .push(*client_account, request);
            }
            RequestState::Delayed(until) => {
                account.waiting += 1;
                self.delayed.insert((*until, ticket));
            }
        }
        self.deadlines.insert((tracked.deadline(), ticket));
        self.requests.insert(ticket, tracked);
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Tracked> {
        let tracked = self.requests.remove(&ticket)?;
        self.deadlines.remove(&(tracked.deadline(), ticket));
        let account = &mut self.client_accounts[tracked.client_account as usize];
        match tracked.state {
            RequestState::Running => account.running -= 1,
            RequestState::Queued => {
                account.waiting -= 1;
                if let Some(fair_queue) = self.queues.get_mut(&tracked.request.queue) {
                    fair_queue.remove(tracked.client_account, &tracked.request);
                }
            }
            RequestState::Delayed(until) => {
                account.waiting -= 1;
                self.delayed.remove(&(until, ticket));
            }
        }
        Some(tracked)
    }

    /// Removes an empty queue, so that memory grows only with the models in use.
    fn remove_queue_if_empty(&mut self, queue: &QueueKey) {
        if self.queues.get(queue).is_some_and(Queue::is_empty) {
            self.queues.remove(queue);
        }
    }
}

impl Tracked {
    fn deadline(&self) -> Instant {
        match self.state {
            RequestState::Running => self.request.complete_by,
            RequestState::Queued | RequestState::Delayed(_) => self.request.first_token_by,
        }
    }
}
