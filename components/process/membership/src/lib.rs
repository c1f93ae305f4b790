//! Heartbeats, failure detection, leaving and data centre summaries.
//!
//! [`Membership`] is a pure state machine. An instance sends a bounded heartbeat to three peers of
//! its data centre every second; changes travel as rumours on heartbeats, each a bounded number of
//! times. Two delegates per data centre exchange summaries with those of the others.

mod detection;
mod member;
mod membership;
mod message;
mod settings;
mod summaries;

pub use membership::Membership;
pub use message::{Action, Heartbeat, MemberState, Rumour, Summary, SummaryBody};
pub use settings::Settings;
