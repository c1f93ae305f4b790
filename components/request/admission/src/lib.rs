//! Admission control: deadlines, fair queueing, limits per client account and their distribution.
//!
//! [`Admission`] decides whether a request is queued or refused, in which order queued requests are
//! served, and when a request has missed its deadline. [`shares`] divides limits that apply across
//! all data centres, [`quota`] what client accounts may use over all instances, and [`waiting`] tells
//! how many requests of which accounts wait.

mod admission;
mod fair_queue;
mod places;
mod queue;
pub mod quota;
mod request;
pub mod shares;
mod token_bucket;
pub mod waiting;

pub use admission::Admission;
pub use places::{Look, PlaceQueue, PlaceTicket};
pub use request::{
    AdmissionRequest, Admitted, Expired, LocalLimits, QueueKey, QueueSummary, Ticket,
};
