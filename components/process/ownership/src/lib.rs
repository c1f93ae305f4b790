//! Leases and ownership of groups with fencing numbers.
//!
//! [`Ownership`] is a pure state machine: it gets timer events, answers of the platform and peer
//! messages, and returns [`Action`]s. It keeps one lease object per instance and claims groups of
//! backend servers, key ranges (`keys/N`) and limit holders (`limits/DATA_CENTRE`) alike by
//! conditional updates of `group/GROUP`.
//!
//! At any time at most one instance has authority over a group, provided that clocks run at the
//! same rate within the margin: a holder whose lease lapsed claims its groups again before it uses
//! them, so the claim of an observer and its own exclude each other.

mod action;
mod claim;
mod group_counts;
mod hints;
mod lease;
mod objects;
mod observer;
mod ownership;
mod rendezvous;
mod retry_backoff;
mod settings;
mod steps;

pub use action::{Action, Announcement, Handover};
pub use objects::{GroupObject, LeaseObject};
pub use ownership::Ownership;
pub use settings::Settings;
