//! Records that instances write to the platform.

use std::time::UNIX_EPOCH;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::lists::{VersionList, WorkList};

/// Time between flushes of counted work; the death of an instance loses at most this much.
pub const FLUSH_INTERVAL: Duration = Duration::from_secs(10);

/// Milliseconds in a minute, the unit of the split.
pub(crate) const MINUTE_MS: u64 = 60_000;

/// Minutes since the Unix epoch.
pub type Minute = u64;

/// Content hash of a contract, as in the object name `contract/CLIENT_ACCOUNT@HASH`. Equal content has
/// one hash, so the number of cost lines grows with amendments of a contract and not with every
/// version of the whole configuration.
pub type ContractVersion = Box<str>;

/// Part of the life of one replica, from the decision to load until the unload is proved.
///
/// An interval may be recorded in pieces, and pieces may overlap or repeat: only their union counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Interval {
    /// Group of the replica.
    pub group: GroupId,
    /// The replica; its number is never reused within the group.
    pub replica: ReplicaId,
    /// The model.
    pub model: ModelId,
    /// Accelerators of the replica. The same in all pieces of one replica.
    pub accelerators: u32,
    /// Begin.
    pub from: SystemTime,
    /// End, exclusive.
    pub to: SystemTime,
}

/// Value of `usage/GROUP-HOUR`, written by the group's owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageObject {
    /// Intervals of the group's replicas.
    pub intervals: Vec<Interval>,
}

/// Work of one instance for one model, client account and contract version in one minute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// The minute in which the work was counted.
    pub minute: Minute,
    /// The model.
    pub model: ModelId,
    /// The client account.
    pub client_account: ClientAccountId,
    /// Contract version under which the requests were admitted.
    pub contract_version: ContractVersion,
    /// Tokens counted so far in this minute by this run of the instance. Only grows, so that a
    /// repeated or late record changes nothing.
    pub tokens: u64,
}

/// One run of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Time up to which all work of the run is contained in its records.
    pub flushed_until: SystemTime,
    /// Set by the last flush of a planned stop: the run counts no more work.
    pub closed: bool,
    /// Counted work.
    pub work: WorkList,
    /// Versions of the configuration that the run adopted.
    pub versions: VersionList,
    /// Deaths of other instances that the run observed.
    pub deaths: Vec<Death>,
}

/// Value of `work/INSTANCE-HOUR`. Runs are kept apart, so that a restarted instance does not
/// overwrite the work of the run before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkObject {
    /// Runs by incarnation.
    pub runs: BTreeMap<Incarnation, Run>,
}

/// A version of the configuration and when it was adopted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRecord {
    /// The version.
    pub version: ConfigurationVersion,
    /// When the writer adopted it. The earliest record of a version counts.
    pub adopted_at: SystemTime,
    /// Contract version of each client account. The same in all records of one version.
    pub contracts: BTreeMap<ClientAccountId, ContractVersion>,
}

/// The death of a run, as another instance observed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Death {
    /// The instance.
    pub instance: InstanceId,
    /// The run that died.
    pub incarnation: Incarnation,
    /// When the death was noticed; the run counted no work after it.
    pub noticed_at: SystemTime,
}

/// Name of a `usage` object for the hour that contains `at`.
pub fn usage_name(group: &str, at: SystemTime) -> Box<str> {
    format!("{group}-{}", hour(at)).into()
}

/// Name of a `work` object for the hour that contains `at`.
///
/// The first flush after the end of an hour also writes the object of that hour a last time.
pub fn work_name(instance: &str, at: SystemTime) -> Box<str> {
    format!("{instance}-{}", hour(at)).into()
}

/// Hours since the Unix epoch.
pub fn hour(at: SystemTime) -> u64 {
    millis(at) / (60 * MINUTE_MS)
}

/// The minute that contains `at`.
pub fn minute(at: SystemTime) -> Minute {
    millis(at) / MINUTE_MS
}

/// Milliseconds since the Unix epoch; times before it count as the epoch.
pub(crate) fn millis(at: SystemTime) -> u64 {
    at.duration_since(UNIX_EPOCH).map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
