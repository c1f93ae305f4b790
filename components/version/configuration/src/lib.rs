//! Configuration versions: acceptance, distribution and monotonic adoption.
//!
//! [`Apply`] writes a new version: it stores the content-addressed objects first and then updates
//! `configuration/head` conditionally. [`Follower`] holds the version in effect at one instance and
//! pushes new versions to other instances along a tree; it only ever moves to a higher version.
//! Both are state machines without I/O: they return actions and are given the answers.

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
