//! Messages between instances, and actions for the event loop.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::object::{CallId, ObjectCall};
use types::prelude::*;

use crate::Digest;

/// An action for the event loop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the platform and pass the answer to
    /// [`Follower::on_answer`](crate::Follower::on_answer).
    Call {
        /// Identifies the call in the answer.
        call: CallId,
        /// The call.
        request: ObjectCall,
    },
    /// Watch `configuration/head` and call
    /// [`Follower::on_head_changed`](crate::Follower::on_head_changed) for each event and whenever
    /// the watch has to be restarted.
    StartWatch,
    /// End the watch.
    StopWatch,
    /// Send a message to an instance. The message may be lost.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: ConfigurationMessage,
    },
    /// A higher version is in effect at this instance from now on.
    Adopted(Arc<Configuration>),
}

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationMessage {
    /// A new version, which the receiver forwards to the instances in `forward`.
    Push {
        /// The new version.
        update: Arc<Update>,
        /// Instances below the receiver in the tree.
        forward: Vec<InstanceId>,
    },
    /// Requests the changes since a version. The answer is `Update` or `UpToDate`.
    Fetch {
        /// The sender's version.
        have: ConfigurationVersion,
    },
    /// Answer to `Fetch`.
    Update {
        /// The difference from the requested version, or the whole version.
        update: Arc<Update>,
    },
    /// Answer to `Fetch`: the answering instance has no higher version.
    UpToDate {
        /// The version of the answering instance.
        version: ConfigurationVersion,
    },
}

/// A version of the configuration, as the difference to a lower one or as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Update {
    /// The version that the difference applies to; zero if the update contains the whole version.
    pub from: ConfigurationVersion,
    /// The version that results.
    pub to: ConfigurationVersion,
    /// Contracts that are new or changed.
    pub changed: Vec<Arc<Contract>>,
    /// Client accounts that were removed.
    pub removed: Vec<ClientAccountId>,
    /// The catalogue, if it changed.
    pub catalogue: Option<Arc<Catalogue>>,
    /// Digest of the resulting head. A receiver whose result has another digest discards the
    /// update.
    pub digest: Digest,
}
