//! What is proposed, and how putting it into effect ends.

use std::sync::Arc;

use types::object::{CallId, ObjectCall};
use types::prelude::*;

use crate::ContentHash;

/// What an operator wants to put into effect. The caller validates it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// All contracts.
    pub contracts: BTreeMap<ClientAccountId, Arc<Contract>>,
    /// The catalogue.
    pub catalogue: Arc<Catalogue>,
    /// The version that the operator's files are based on; `None` accepts the present one. If
    /// another version is present when `apply` starts, the result is a conflict.
    pub based_on: Option<ConfigurationVersion>,
}

/// An action for the caller of [`Apply`](crate::Apply).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyAction {
    /// Call the platform and pass the answer to [`Apply::on_answer`](crate::Apply::on_answer).
    Call {
        /// Number to pass back.
        call: CallId,
        /// The call.
        request: ObjectCall,
    },
    /// The result.
    Done(ApplyOutcome),
}

/// How `apply` ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Accepted with this version.
    Accepted {
        /// The new version.
        version: ConfigurationVersion,
    },
    /// The present version has the same content; nothing was written.
    Unchanged {
        /// The present version.
        version: ConfigurationVersion,
    },
    /// Another change came first; nothing is in effect.
    Conflict(Box<Conflict>),
    /// The platform could not be reached in time and the head was certainly not written.
    NotApplied,
    /// The platform could not be reached in time after a write whose answer was lost. Only then
    /// does the outcome stay unknown; the nonce in the head tells it later.
    Unknown {
        /// Nonce of the write.
        nonce: Nonce,
    },
}

/// Two changes to the same version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The version that both changes are based on.
    pub base: ConfigurationVersion,
    /// The version that was accepted instead.
    pub accepted: ConfigurationVersion,
    /// What the accepted version changed; empty if the base version is not known any more.
    pub theirs: BTreeMap<Box<str>, Change>,
    /// What the refused proposal would have changed.
    pub ours: BTreeMap<Box<str>, Change>,
}

/// Change of one contract (`contract/CLIENT_ACCOUNT`) or of the catalogue (`catalogue`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// New, with this hash.
    Added(ContentHash),
    /// Changed to this hash.
    Changed(ContentHash),
    /// Removed.
    Removed,
}
