//! Life cycle of one dispatched request and its retries.
//!
//! A request is `Request<Queued>`, then `Request<Sent>`, then `Request<Completed>`. Only the first
//! state can yield `not_run` by itself, and only a [`Retryable`] request can leave `Sent` for
//! `Queued`. A sent request has no retry method:
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
