//! Facts about a finished request that metrics and accounting record.

use admission::QueueKey;
use types::prelude::*;

use crate::pending::{Job, Pending};

/// A request that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Finished {
    pub(crate) client_account: ClientAccountId,
    pub(crate) class: ClassId,
    /// The model; `None` for calls of plain services.
    pub(crate) model: Option<ModelId>,
    /// Configuration version under which the request was admitted or refused.
    pub(crate) version: ConfigurationVersion,
    /// Reason of the refusal; `None` if the request was answered.
    pub(crate) refused: Option<Reason>,
    /// Time from arrival to the first part of the answer.
    pub(crate) first_token_in: Option<Duration>,
    /// Whether the first part and the complete answer met their deadlines.
    pub(crate) in_time: bool,
    /// Whether no replica of the model was ready when the request arrived.
    pub(crate) was_cold: bool,
    pub(crate) tokens: u64,
}

impl Finished {
    /// Describes an admitted request that ended at `now`.
    pub(crate) fn from_pending(
        pending: &Pending,
        refused: Option<Reason>,
        first_token_at: Option<Instant>,
        tokens: u64,
        now: Instant,
    ) -> Self {
        let admitted = &pending.admitted;
        let model = match &admitted.queue {
            QueueKey::Model(model) => Some(model.clone()),
            QueueKey::Service(_) => None,
        };
        let first_in_time = first_token_at.is_some_and(|at| at <= admitted.first_token_by);
        Self {
            client_account: admitted.client_account.clone(),
            class: admitted.class.clone(),
            model,
            version: admitted.version,
            refused,
            first_token_in: first_token_at
                .map(|at| at.saturating_duration_since(pending.arrived_at)),
            in_time: refused.is_none() && first_in_time && now <= admitted.complete_by,
            was_cold: pending.was_cold,
            tokens,
        }
    }

    /// Describes a request that was refused on arrival.
    pub(crate) fn refused_on_arrival(
        client_account: ClientAccountId,
        job: &Job,
        cfg: &Configuration,
        refusal: &Refusal,
    ) -> Self {
        let class = cfg.contracts.get(&client_account).map(|c| c.default_class.clone());
        Self {
            client_account,
            class: class.unwrap_or_default(),
            model: match job {
                Job::Completion(job) => Some(job.target.model.clone()),
                Job::Service(_) => None,
            },
            version: cfg.version,
            refused: Some(refusal.reason),
            first_token_in: None,
            in_time: false,
            was_cold: false,
            tokens: 0,
        }
    }

    /// Whether the request counts for the service level; refusals that the caller caused do not.
    pub(crate) fn counts_for_service_level(&self) -> bool {
        !matches!(
            self.refused,
            Some(
                Reason::BadRequest
                    | Reason::UnknownKey
                    | Reason::UnknownModel
                    | Reason::BodyTooLarge
                    | Reason::LimitReached
                    | Reason::IdempotencyPending
                    | Reason::IdempotencyMismatch
            )
        )
    }
}
