//! Requests as admission sees them.

use types::prelude::*;

/// Number that the event loop gives to one request; never reused within a process.
pub type Ticket = u64;

/// What requests queue for: a model or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueueKey {
    /// A model with any adapter.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The request's number.
    pub ticket: Ticket,
    /// Client account that the bearer key belongs to.
    pub client_account: ClientAccountId,
    /// Class from the header; `None` selects the contract's default class.
    pub class: Option<ClassId>,
    /// What the request queues for.
    pub queue: QueueKey,
    /// Adapter, if one is named.
    pub adapter: Option<AdapterId>,
    /// Deadline from the caller's header for the whole answer, if one is given.
    pub complete_by: Option<Instant>,
    /// Earliest possible first token, as estimated from the load and the load queue.
    pub earliest_first_token: Instant,
    /// Expected work, for example prompt tokens plus maximum answer tokens. At least 1.
    pub work: u32,
}

/// An admitted request with the terms under which it was admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The request's number.
    pub ticket: Ticket,
    /// Client account of the request.
    pub client_account: ClientAccountId,
    /// Class of the request.
    pub class: ClassId,
    /// What the request queues for.
    pub queue: QueueKey,
    /// Adapter, if one is named.
    pub adapter: Option<AdapterId>,
    /// Configuration version under which the request was admitted and is booked.
    pub version: ConfigurationVersion,
    /// Priority to pass to the engine.
    pub priority: u8,
    /// Worth of the request if it is served within its target.
    pub worth_milli: u32,
    /// Deadline for the first token. Not after `complete_by`.
    pub first_token_by: Instant,
    /// Deadline for the whole answer.
    pub complete_by: Instant,
    /// Expected work.
    pub work: u32,
    /// `MayHaveRun` once an attempt may have run; a refusal then cannot say `not_run`.
    pub verdict: Verdict,
}

/// A request whose deadline has passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expired {
    /// It was still waiting; this is its refusal.
    Waiting(Admitted, Refusal),
    /// It was in progress. Its typestate yields the refusal; `finish` has been done.
    Running(Admitted),
}

/// Requests that wait for one queue key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSummary {
    /// Number of requests.
    pub count: usize,
    /// Earliest deadline for a first token among them.
    pub earliest_deadline: Instant,
    /// Sum of the requests' worth.
    pub worth_milli: u64,
}

/// Part of one client account's limits that this instance may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalLimits {
    /// Thousandths of requests a second.
    pub rate_milli: u64,
    /// Requests in progress at one time.
    pub concurrent: u64,
    /// Requests waiting at one time.
    pub queued: u64,
}
