//! Configuration versions: acceptance, spread and monotonic adoption.
//!
//! [`Apply`] writes a new version: content-addressed objects first, then the conditional update of
//! `configuration/head`. [`Follower`] keeps the version in effect at one instance and spreads it
//! in a tree; it only ever moves to a higher version. Both are pure state machines.

mod apply;
mod changes;
mod follower;
mod head;
mod loading;
mod message;
mod outcome;
mod settings;
mod updates;

pub use apply::Apply;
pub use follower::Follower;
pub use head::{ContentHash, Digest, Head, catalogue_hash, contract_hash};
pub use message::{Action, ConfigurationMessage, Update};
pub use outcome::{ApplyAction, ApplyOutcome, Change, Conflict, Proposal};
pub use settings::Settings;
