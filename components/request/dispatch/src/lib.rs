//! Life cycle of one dispatched request and its retries.
//!
//! A request is `Request<Queued>`, then `Request<Sent>`, then `Request<Answered>`. Only the first
//! state can yield `not_run` by itself, and only a [`Repeatable`] request can leave `Sent` for
//! `Queued`.

mod breaker;
mod budget;
mod request;
mod stream;

pub use breaker::{Breakers, CallResult};
pub use budget::RetryBudget;
pub use request::{Answered, AttemptIds, Queued, Repeatable, Request, Resume, Sent, Terms};
pub use stream::{Progress, StreamEvent};
