//! Admission of requests on one instance.

use std::sync::Arc;

use types::prelude::*;

use crate::fair_queue::{ClientAccountIndex, FairQueue};
use crate::request::{
    AdmissionRequest, Admitted, Expired, LocalLimits, QueueKey, QueueSummary, Ticket,
};
use crate::token_bucket::Bucket;

/// Queues, limits and deadlines of one instance.
///
/// Every admitted request is in `requests`, has one entry in `deadlines`, and leaves both at once.
#[derive(Debug)]
pub struct Admission {
    cfg: Arc<Configuration>,
    client_accounts: Vec<ClientAccount>,
    index: HashMap<ClientAccountId, ClientAccountIndex>,
    requests: HashMap<Ticket, Tracked>,
    queues: HashMap<QueueKey, FairQueue>,
    deadlines: BTreeSet<(Instant, Ticket)>,
    /// Requests that were put back and may not be taken before the given time.
    delayed: BTreeSet<(Instant, Ticket)>,
    /// Found by `next`, to be returned by the next `expire`.
    expired: Vec<Expired>,
}

#[derive(Debug)]
struct ClientAccount {
    limits: LocalLimits,
    bucket: Bucket,
    /// Capacity share in the latest configuration that names the client account.
    weight: BasisPoints,
    waiting: u64,
    running: u64,
}

#[derive(Debug)]
struct Tracked {
    client_account: ClientAccountIndex,
    request: Admitted,
    place: Place,
    /// The client account was charged for the work, so a second turn is free.
    charged: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Queue,
    Delayed(Instant),
    Running,
}

impl Admission {
    /// An empty queue under `cfg`. A client account can queue nothing before `set_limits`.
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

    /// Adopts a higher configuration version; waiting requests keep the terms of their own.
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

    /// Sets the part of a client account's limits that this instance may use from now on.
    pub fn set_limits(&mut self, client_account: &str, limits: LocalLimits, now: Instant) {
        if let Some(index) = self.index.get(client_account) {
            let client_account = &mut self.client_accounts[*index as usize];
            client_account.limits = limits;
            client_account.bucket.set_rate(limits.rate_milli, now);
            return;
        }
        let weight = self.cfg.contracts.get(client_account).map_or(0, |c| c.capacity_share);
        let bucket = Bucket::new(&limits, now);
        self.index.insert(client_account.into(), self.client_accounts.len() as ClientAccountIndex);
        self.client_accounts.push(ClientAccount { limits, bucket, weight, waiting: 0, running: 0 });
    }

    /// Queues a request or refuses it at once with a true `not_run`.
    pub fn admit(&mut self, request: AdmissionRequest, now: Instant) -> Result<Admitted, Refusal> {
        let admitted = self.terms(&request, now).map_err(Refusal::not_run)?;
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
            .take(now)
            .map_err(|at| Refusal { retry_at: at, ..Refusal::not_run(Reason::LimitReached) })?;
        let tracked = Tracked {
            client_account: index,
            request: admitted.clone(),
            place: Place::Queue,
            charged: false,
        };
        self.insert(tracked);
        Ok(admitted)
    }

    /// Takes the request to serve next from a queue and counts it as in progress.
    pub fn dequeue(&mut self, queue: &QueueKey, now: Instant) -> Option<Admitted> {
        self.advance(now);
        let waiting = self.queues.get_mut(queue)?;
        let client_accounts = &self.client_accounts;
        let has_room = |index: ClientAccountIndex| {
            let client_account = &client_accounts[index as usize];
            client_account.running < client_account.limits.concurrent
        };
        let (index, ticket) = waiting.first(has_room)?;
        let mut tracked = self.detach(ticket)?;
        if !tracked.charged {
            let weight = self.client_accounts[index as usize].weight;
            if let Some(waiting) = self.queues.get_mut(queue) {
                waiting.charge(index, tracked.request.work, weight);
            }
        }
        self.drop_if_empty(queue);
        tracked.charged = true;
        tracked.place = Place::Running;
        let request = tracked.request.clone();
        self.insert(tracked);
        Some(request)
    }

    /// Puts a request taken by `next` back, with the verdict as it is now. It keeps its rank by
    /// deadline and is not taken before `not_before`. Fails with its refusal if its deadline for
    /// the first token does not lie after both `now` and `not_before`, or if it has ended.
    pub fn requeue(
        &mut self,
        ticket: Ticket,
        verdict: Verdict,
        not_before: Instant,
        now: Instant,
    ) -> Result<(), Refusal> {
        let refusal = Refusal { verdict, reason: Reason::DeadlinePassed, retry_at: None };
        if self.requests.get(&ticket).is_none_or(|t| t.place != Place::Running) {
            return Err(refusal);
        }
        let Some(mut tracked) = self.detach(ticket) else { return Err(refusal) };
        if tracked.request.first_token_by <= now.max(not_before) {
            return Err(refusal);
        }
        tracked.request.verdict = verdict;
        tracked.place = if not_before > now { Place::Delayed(not_before) } else { Place::Queue };
        self.insert(tracked);
        Ok(())
    }

    /// Ends a request taken by `next`. Returns false if it has ended before.
    pub fn finish(&mut self, ticket: Ticket) -> bool {
        let running = self.requests.get(&ticket).is_some_and(|t| t.place == Place::Running);
        running && self.detach(ticket).is_some()
    }

    /// Removes a waiting request whose caller has gone away.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Admitted> {
        if self.requests.get(&ticket)?.place == Place::Running {
            return None;
        }
        let tracked = self.detach(ticket)?;
        self.drop_if_empty(&tracked.request.queue);
        Some(tracked.request)
    }

    /// Removes every request whose deadline has passed: the deadline for the first token while it
    /// waits, the deadline for the whole answer while it is in progress.
    pub fn expire(&mut self, now: Instant) -> Vec<Expired> {
        self.advance(now);
        std::mem::take(&mut self.expired)
    }

    /// When `expire` is due next, or `next` after a retry's delay.
    pub fn next_deadline(&self) -> Option<Instant> {
        let expired = self.expired.iter().map(|expired| match expired {
            Expired::Waiting(request, _) => request.first_token_by,
            Expired::Running(request) => request.complete_by,
        });
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let delayed = self.delayed.first().map(|(at, _)| *at);
        expired.chain(deadline).chain(delayed).min()
    }

    /// Requests that wait for a queue key; `None` if there are none.
    pub fn queue_summary(&self, queue: &QueueKey) -> Option<QueueSummary> {
        let waiting = self.queues.get(queue)?;
        Some(QueueSummary {
            count: waiting.len(),
            earliest_deadline: waiting.earliest_deadline()?,
            worth_milli: waiting.worth_milli(),
        })
    }

    /// Queue keys with waiting requests.
    pub fn queues(&self) -> impl Iterator<Item = &QueueKey> {
        self.queues.keys()
    }

    /// Requests that wait and requests in progress of one client account.
    pub fn request_counts(&self, client_account: &str) -> (u64, u64) {
        let client_account =
            self.index.get(client_account).map(|index| &self.client_accounts[*index as usize]);
        client_account.map_or((0, 0), |c| (c.waiting, c.running))
    }

    /// The terms under which a request is admitted in the present configuration.
    fn terms(&self, request: &AdmissionRequest, now: Instant) -> Result<Admitted, Reason> {
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

    /// Moves what has expired to `expired` and queues requests whose delay has ended.
    fn advance(&mut self, now: Instant) {
        while let Some(&(at, ticket)) = self.deadlines.first() {
            if at > now {
                break;
            }
            let Some(Tracked { request, place, .. }) = self.detach(ticket) else { break };
            self.drop_if_empty(&request.queue);
            self.expired.push(match place {
                Place::Running => Expired::Running(request),
                Place::Queue | Place::Delayed(_) => {
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
            let Some(mut tracked) = self.detach(ticket) else { break };
            tracked.place = Place::Queue;
            self.insert(tracked);
        }
    }

    fn insert(&mut self, tracked: Tracked) {
        let Tracked { client_account, request, place, .. } = &tracked;
        let ticket = request.ticket;
        let owner = &mut self.client_accounts[*client_account as usize];
        match place {
            Place::Running => owner.running += 1,
            Place::Queue => {
                owner.waiting += 1;
                self.queues
                    .entry(request.queue.clone())
                    .or_default()
                    .push(*client_account, request);
            }
            Place::Delayed(until) => {
                owner.waiting += 1;
                self.delayed.insert((*until, ticket));
            }
        }
        self.deadlines.insert((tracked.deadline(), ticket));
        self.requests.insert(ticket, tracked);
    }

    fn detach(&mut self, ticket: Ticket) -> Option<Tracked> {
        let tracked = self.requests.remove(&ticket)?;
        self.deadlines.remove(&(tracked.deadline(), ticket));
        let owner = &mut self.client_accounts[tracked.client_account as usize];
        match tracked.place {
            Place::Running => owner.running -= 1,
            Place::Queue => {
                owner.waiting -= 1;
                if let Some(waiting) = self.queues.get_mut(&tracked.request.queue) {
                    waiting.remove(tracked.client_account, &tracked.request);
                }
            }
            Place::Delayed(until) => {
                owner.waiting -= 1;
                self.delayed.remove(&(until, ticket));
            }
        }
        Some(tracked)
    }

    /// Forgets an empty queue, so that memory follows the models in use.
    fn drop_if_empty(&mut self, queue: &QueueKey) {
        if self.queues.get(queue).is_some_and(FairQueue::is_empty) {
            self.queues.remove(queue);
        }
    }
}

impl Tracked {
    fn deadline(&self) -> Instant {
        match self.place {
            Place::Running => self.request.complete_by,
            Place::Queue | Place::Delayed(_) => self.request.first_token_by,
        }
    }
}
