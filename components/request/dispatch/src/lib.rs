//! Life cycle of one dispatched request and its retries.
//!
//! A request is `Request<Queued>`, then `Request<Sent>`, then `Request<Completed>`. Unless the
//! server reports that it did not start the attempt, only a queued request can be refused as
//! `not_run`. Only a [`Retryable`] request can return from `Sent` to `Queued`. A sent request has
//! no `retry` method:
//!
//! ```compile_fail,E0599
//! fn retry(req: dispatch::Request<dispatch::Sent>) {
//!     let _ = req.retry();
//! }
//! ```

mod circuit_breaker;
mod request;
mod retry_budget;
mod stream;

pub use circuit_breaker::{CallResult, CircuitBreakers, Permit};
pub use request::{
    AttemptIdGenerator, Completed, MAX_ATTEMPTS, MAX_CONNECT_ATTEMPTS, MAX_RESUMES, Queued,
    Request, RequestParams, ResumePoint, Retryable, Sent,
};
pub use retry_budget::{RETRY_WINDOW, RetryBudget};
pub use stream::{StreamAction, StreamEvent};
