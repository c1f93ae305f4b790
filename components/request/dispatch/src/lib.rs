//! Life cycle of one dispatched request and its retries.
//!
//! A request is `Request<Queued>`, then `Request<Sent>`, then `Request<Answered>`. Only the first
//! state can yield `not_run` by itself, and only a [`Repeatable`] request can leave `Sent` for
//! `Queued`. A sent request has no retry method:
//!
//! ```compile_fail,E0599
//! fn retry(req: dispatch::Request<dispatch::Sent>) {
//!     let _ = req.retry();
//! }
//! ```

mod breaker;
mod budget;
mod request;
mod stream;

pub use breaker::{Breakers, CallResult, Permit};
pub use budget::{RetryBudget, WINDOW};
pub use request::{
    Answered, AttemptIds, MAX_ATTEMPTS, MAX_CONNECTS, MAX_RESUMES, Queued, Repeatable, Request,
    Resume, Sent, Terms,
};
pub use stream::{Progress, StreamEvent};
