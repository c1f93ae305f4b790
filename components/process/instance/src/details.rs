//! Texts that explain refusals to callers.

use types::prelude::*;

/// Explains a refusal on arrival. `earliest` is the earliest possible first token.
pub(crate) fn refused_on_arrival(refusal: &Refusal, earliest: Instant, now: Instant) -> String {
    let ms = earliest.saturating_duration_since(now).as_millis();
    match refusal.reason {
        Reason::DeadlineUnreachable => {
            format!("the first token cannot be produced within the deadline; earliest in {ms} ms")
        }
        Reason::DeadlinePassed => "the deadline had passed on arrival".into(),
        Reason::LimitReached => "the contract's rate limit is used up".into(),
        Reason::QueueFull => "the contract's limit of waiting requests is reached".into(),
        Reason::UnknownModel => "the contract does not allow this model, adapter or service".into(),
        Reason::UnknownKey => "the contract has ended".into(),
        Reason::BadRequest => "the contract has no such urgency class".into(),
        _ => "the request cannot be served now".into(),
    }
}

/// Explains why a call with an idempotency key was not dispatched.
pub(crate) fn claim_refused(reason: Reason) -> &'static str {
    match reason {
        Reason::IdempotencyPending => {
            "a call with this idempotency key is in progress or its outcome is unknown"
        }
        Reason::IdempotencyMismatch => "this idempotency key was used with another call",
        _ => "the idempotency key could not be recorded; the call was not dispatched",
    }
}

/// Explains why a dispatched request has no answer.
pub(crate) fn attempt_failed(reason: Reason) -> &'static str {
    match reason {
        Reason::DeadlinePassed => "the backend server did not answer by the deadline",
        Reason::NoCapacity => "the backend server did not take the request",
        _ => "the backend server failed before the answer was complete",
    }
}
