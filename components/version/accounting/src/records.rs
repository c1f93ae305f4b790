//! Accounting records that instances write to the platform.

use std::time::UNIX_EPOCH;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::lists::{VersionList, WorkList};

/// Time between flushes of counted work. While the platform is reachable, the death of an instance
/// loses the work of at most this time.
pub const FLUSH_INTERVAL: Duration = Duration::from_secs(10);

/// Milliseconds in a minute. Reports split accelerator time minute by minute.
pub(crate) const MINUTE_MS: u64 = 60_000;

/// Minutes since the Unix epoch.
pub type Minute = u64;

/// Content hash of a contract, as in the object name `contract/CLIENT_ACCOUNT@HASH`.
///
/// Equal contracts have equal hashes, so the number of cost lines grows with the amendments of a
/// contract and not with every version of the whole configuration.
pub type ContractVersion = Box<str>;

/// Time for which a replica holds accelerators, from the decision to load until the unload is
/// confirmed.
///
/// Instances may record an interval in parts, which may overlap or repeat: only their union counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Interval {
    /// Group of the replica.
    pub group: GroupId,
    /// The replica; its number is never reused within the group.
    pub replica: ReplicaId,
    /// The model.
    pub model: ModelId,
    /// Number of accelerators of the replica, which is the same in all intervals of one replica.
    pub accelerators: u32,
    /// Begin.
    pub from: SystemTime,
    /// End, exclusive.
    pub to: SystemTime,
}

/// Value of `usage/GROUP-HOUR`, which the group's owner writes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageObject {
    /// Intervals of the group's replicas.
    pub intervals: Vec<Interval>,
}

/// Work that one run counted for a model, client account and contract version in one minute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// The minute in which the work was counted.
    pub minute: Minute,
    /// The model.
    pub model: ModelId,
    /// The client account.
    pub client_account: ClientAccountId,
    /// Contract version under which the instance admitted the requests.
    pub contract_version: ContractVersion,
    /// Tokens that the run has counted in this minute so far. The counter only grows and the ledger
    /// takes the highest, so a repeated or late record changes nothing.
    pub tokens: u64,
}

/// Records of one run of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Time up to which the records contain all work of the run.
    pub flushed_until: SystemTime,
    /// Whether this is the last flush of a planned stop, after which the run counts no more work.
    pub closed: bool,
    /// Work that the run counted.
    pub work: WorkList,
    /// Versions of the configuration that the run adopted.
    pub versions: VersionList,
    /// Deaths of other instances that the run observed.
    pub deaths: Vec<Death>,
}

/// Value of `work/INSTANCE-HOUR`. Each run has its own entry, so that a restarted instance doesn't
/// overwrite the work of its previous run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkObject {
    /// Runs by incarnation.
    pub runs: BTreeMap<Incarnation, Run>,
}

/// A version of the configuration and the time of its adoption.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRecord {
    /// The version.
    pub version: ConfigurationVersion,
    /// Time at which the writing instance adopted the version. The earliest record counts.
    pub adopted_at: SystemTime,
    /// Contract version of each client account, which is the same in all records of one version.
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
    /// Time at which the observer noticed the death; the run counted no work after it.
    pub noticed_at: SystemTime,
}

/// Returns the name of a group's `usage` object for the hour that contains `at`.
pub fn usage_name(group: &str, at: SystemTime) -> Box<str> {
    format!("{group}-{}", hour(at)).into()
}

/// Returns the name of an instance's `work` object for the hour that contains `at`.
///
/// Work that the instance counts after its last flush of an hour is in the object of the next hour.
pub fn work_name(instance: &str, at: SystemTime) -> Box<str> {
    format!("{instance}-{}", hour(at)).into()
}

/// Returns the hour that contains `at`, counted from the Unix epoch.
pub fn hour(at: SystemTime) -> u64 {
    millis(at) / (60 * MINUTE_MS)
}

/// Returns the minute that contains `at`.
pub fn minute(at: SystemTime) -> Minute {
    millis(at) / MINUTE_MS
}

/// Converts a time to milliseconds since the Unix epoch. Times before the epoch give 0.
pub(crate) fn millis(at: SystemTime) -> u64 {
    at.duration_since(UNIX_EPOCH).map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
