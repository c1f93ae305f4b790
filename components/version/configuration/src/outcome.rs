//! A proposed configuration and the outcome of applying it.

use std::sync::Arc;

use types::object::{CallId, ObjectCall};
use types::prelude::*;

use crate::ContentHash;

/// A configuration that an operator wants to put into effect. The caller validates it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// All contracts.
    pub contracts: BTreeMap<ClientAccountId, Arc<Contract>>,
    /// The catalogue.
    pub catalogue: Arc<Catalogue>,
    /// The version that the operator's files are based on; `None` accepts the current one. If
    /// another version is current when the run starts, the outcome is a conflict.
    pub based_on: Option<ConfigurationVersion>,
}

/// An action for the caller of [`Apply`](crate::Apply).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyAction {
    /// Call the platform and pass the answer to [`Apply::on_answer`](crate::Apply::on_answer).
    Call {
        /// Identifies the call in the answer.
        call: CallId,
        /// The call.
        request: ObjectCall,
    },
    /// The run has ended with this outcome.
    Done(ApplyOutcome),
}

/// The outcome of a run of [`Apply`](crate::Apply).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The proposal was accepted as a new version.
    Accepted {
        /// The new version.
        version: ConfigurationVersion,
    },
    /// The current version has the same content, so nothing was written.
    Unchanged {
        /// The current version.
        version: ConfigurationVersion,
    },
    /// Another change was accepted first. Nothing of the proposal is in effect.
    Conflict(Box<Conflict>),
    /// The platform could not be reached in time, and the head was certainly not written.
    NotApplied,
    /// A write of the head was not answered, and the run could not find out whether it took effect:
    /// the platform could not be reached in time, or the head was replaced since. The outcome is
    /// unknown in these cases only. Later, the nonce in the head shows whether the write took
    /// effect.
    Unknown {
        /// Nonce of the write.
        nonce: Nonce,
    },
}

/// Two changes that are based on the same version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The version that both changes are based on.
    pub base: ConfigurationVersion,
    /// The version that was accepted instead.
    pub accepted: ConfigurationVersion,
    /// Changes from the base version to the accepted one; empty if the content of the base version
    /// is not known any more.
    pub theirs: BTreeMap<Box<str>, Change>,
    /// Changes that the refused proposal would have made.
    pub ours: BTreeMap<Box<str>, Change>,
}

/// Change of one contract (`contract/CLIENT_ACCOUNT`) or of the catalogue (`catalogue`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The object is new and has this hash.
    Added(ContentHash),
    /// The object changed and has this hash now.
    Changed(ContentHash),
    /// The object was removed.
    Removed,
}
