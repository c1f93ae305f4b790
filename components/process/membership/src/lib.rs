//! Heartbeats, failure detection, leaving and data centre summaries.
//!
//! [`Membership`] is a state machine without I/O. Every second an instance sends a heartbeat of
//! bounded size to three peers of its data centre. Heartbeats carry state changes as rumours, and
//! each instance sends a rumour only a bounded number of times. Two delegates per data centre
//! exchange summaries with the delegates of the other data centres.

mod detection;
mod member;
mod membership;
mod message;
mod settings;
mod summaries;

pub use membership::Membership;
pub use message::{Action, Heartbeat, MemberState, Rumour, Summary, SummaryBody};
pub use settings::Settings;
