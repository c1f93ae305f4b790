//! Requests in the stages of admission, and the limits that apply to them.

use types::prelude::*;

/// Number that the event loop assigns to a request; unique within the process.
pub type Ticket = u64;

/// What a request queues for. There is one queue for each key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueueKey {
    /// A model; requests for its adapters share the queue.
    Model(ModelId),
    /// A service that runs no model.
    Service(ServiceId),
}

/// A request that has arrived and is not admitted yet.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Number of the request.
    pub ticket: Ticket,
    /// Client account that owns the bearer key of the request.
    pub client_account: ClientAccountId,
    /// Urgency class from the header; `None` selects the contract's default class.
    pub class: Option<ClassId>,
    /// What the request queues for.
    pub queue: QueueKey,
    /// Adapter, if the request names one.
    pub adapter: Option<AdapterId>,
    /// Deadline for the whole answer from the caller's header, if present.
    pub complete_by: Option<Instant>,
    /// Earliest possible time of the first token, estimated from the model's load time and pending
    /// loads.
    pub earliest_first_token: Instant,
    /// Cost in the fair queue, for example prompt tokens plus maximum answer tokens. At least 1.
    pub work: u32,
}

/// An admitted request with the terms that applied when it was admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Number of the request.
    pub ticket: Ticket,
    /// Client account that sent the request.
    pub client_account: ClientAccountId,
    /// Urgency class of the request.
    pub class: ClassId,
    /// What the request queues for.
    pub queue: QueueKey,
    /// Adapter, if the request names one.
    pub adapter: Option<AdapterId>,
    /// Configuration version under which the request was admitted and is accounted for.
    pub version: ConfigurationVersion,
    /// Priority that the engine receives.
    pub priority: u8,
    /// Value of the request if it is served within its target time.
    pub worth_milli: u32,
    /// Deadline for the first token; never after `complete_by`.
    pub first_token_by: Instant,
    /// Deadline for the whole answer.
    pub complete_by: Instant,
    /// Cost in the fair queue.
    pub work: u32,
    /// `MayHaveRun` once a server may have run an attempt; a refusal then cannot say `not_run`.
    pub verdict: Verdict,
}

/// A request that was removed because its deadline passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expired {
    /// The request was queued or delayed; the caller receives this refusal.
    Waiting(Admitted, Refusal),
    /// The request was in progress. The typestate of the attempt provides the refusal; the request
    /// needs no `finish`.
    Running(Admitted),
}

/// State of the queue for one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSummary {
    /// Number of queued requests.
    pub count: usize,
    /// Earliest deadline for a first token among the queued requests.
    pub earliest_deadline: Instant,
    /// Sum of `worth_milli` over the queued requests.
    pub worth_milli: u64,
}

/// Part of a client account's limits that this instance may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalLimits {
    /// Thousandths of requests per second.
    pub rate_milli: u64,
    /// Requests in progress at the same time.
    pub concurrent: u64,
    /// Queued requests at the same time.
    pub queued: u64,
}
