//! Whether a refused or failed request may have run.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Says whether a request that got no complete answer may have run on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No backend server has started the request, and none will.
    NotRun,
    /// A backend server may have run the request in part or in whole.
    MayHaveRun,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or belongs to no client account.
    UnknownKey,
    /// The contract does not allow the model, adapter or service, or it is not declared.
    UnknownModel,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The first token cannot be produced before the deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The client account has reached its limit.
    LimitReached,
    /// The queue is full.
    QueueFull,
    /// No backend server can accept the request.
    NoCapacity,
    /// The backend server ended its answer early or sent an unusable one.
    BackendFailed,
    /// The same idempotency key is in use for a call whose outcome is not known yet.
    IdempotencyPending,
    /// The same idempotency key was used with another request body.
    IdempotencyMismatch,
    /// The platform could not record the idempotency key.
    RecordUnavailable,
    /// The instance is stopping and accepts no new requests.
    Stopping,
}

/// A refusal as the caller will see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// `NotRun` only if it is certain that no backend server starts the request.
    pub verdict: Verdict,
    /// Why the request was refused.
    pub reason: Reason,
    /// When a retry may succeed; `None` if a retry would be of no use.
    pub retry_at: Option<Instant>,
}

impl Refusal {
    /// A refusal of a request that no backend server has seen.
    pub fn not_run(reason: Reason) -> Self {
        Self { verdict: Verdict::NotRun, reason, retry_at: None }
    }

    /// A refusal of a request that a backend server may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason, retry_at: None }
    }

    /// The same refusal with a time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_at(mut self, at: Instant) -> Self {
        self.retry_at = Some(at);
        self
    }
}
