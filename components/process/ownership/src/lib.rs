//! Leases and ownership of groups with fencing numbers.
//!
//! [`Ownership`] is a state machine without I/O: it receives timer events, answers from the
//! platform and messages from peers, and returns [`Action`]s. It renews one lease object for its
//! instance and claims groups by conditional updates of `group/GROUP`. Groups of backend servers,
//! key ranges (`keys/N`) and limit holders (`limits/DATA_CENTRE`) are all claimed in the same way.
//!
//! At most one instance has authority over a group at any time, provided that the clocks of the
//! instances run at the same rate within the margin. A holder whose lease expired claims its groups
//! again before it uses them, and of its claim and that of another instance only one succeeds.

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
