//! Deadlines, fair queueing, limits and their shares.
//!
//! [`Admission`] decides whether a request may wait, in which order waiting requests are served,
//! and when one has waited too long. [`shares`] divides limits that hold over all data centres.

mod admission;
mod fair_queue;
mod request;
pub mod shares;
mod token_bucket;

pub use admission::Admission;
pub use request::{
    AdmissionRequest, Admitted, Expired, LocalLimits, QueueKey, QueueSummary, Ticket,
};
