//! Merges accounting records. The result doesn't depend on their order or on repetitions.

use std::collections::btree_map::Entry;

use quick_error::quick_error;
use types::prelude::*;

use crate::records::*;

quick_error! {
    /// A record is invalid or contradicts an earlier one. The ledger keeps the earlier record.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// Two intervals of one replica name different models or numbers of accelerators.
        ReplicaMismatch(group: GroupId, replica: ReplicaId) {
            display("replica {replica} of group {group} is recorded with different models or accelerators")
        }
        /// An interval ends before it begins.
        ReversedInterval(group: GroupId, replica: ReplicaId) {
            display("an interval of replica {replica} of group {group} ends before it begins")
        }
        /// Two records of one version name different contracts.
        VersionMismatch(version: ConfigurationVersion) {
            display("configuration version {version} is recorded with different contracts")
        }
        /// Two different contracts have the same content hash.
        ContractMismatch(hash: Box<str>) {
            display("two contracts have the hash {hash}")
        }
    }
}

/// Merged accounting records of a period.
///
/// Adding a record twice, or adding records in a different order, results in an equal ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Replicas with the union of their intervals.
    pub(crate) replicas: BTreeMap<(GroupId, ReplicaId), Replica>,
    /// Highest token counter that each run recorded, by model and minute.
    pub(crate) work: BTreeMap<ModelId, WorkByMinute>,
    /// State of each run of an instance.
    pub(crate) runs: BTreeMap<RunKey, RunState>,
    /// Versions of the configuration by number.
    pub(crate) versions: BTreeMap<ConfigurationVersion, VersionState>,
    /// Contracts by client account and content hash.
    pub(crate) contracts: BTreeMap<(ClientAccountId, ContractVersion), ContractTerms>,
}

/// Token counters of one model by minute.
pub(crate) type WorkByMinute = BTreeMap<Minute, BTreeMap<WorkKey, u64>>;

/// Identifies one run of an instance.
pub(crate) type RunKey = (InstanceId, Incarnation);

/// Identifies a token counter: the run that counted, and the client account and contract version
/// that it counted for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkKey {
    pub(crate) client_account: ClientAccountId,
    pub(crate) contract_version: ContractVersion,
    pub(crate) run: RunKey,
}

/// The model of a replica and the times at which the replica existed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Replica {
    pub(crate) model: ModelId,
    pub(crate) accelerators: u32,
    /// Union of the recorded intervals as disjoint ranges, begin to end in milliseconds.
    pub(crate) ranges: BTreeMap<u64, u64>,
}

/// What the records say about one run. Times are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RunState {
    /// Latest flush; `None` if no flush of the run is recorded.
    pub(crate) flushed_until: Option<u64>,
    /// Whether the run made the last flush of a planned stop.
    pub(crate) closed: bool,
    /// Earliest time at which another instance noticed the run's death.
    pub(crate) died_at: Option<u64>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct VersionState {
    /// Earliest recorded adoption in milliseconds.
    pub(crate) adopted_at: u64,
    pub(crate) contracts: BTreeMap<ClientAccountId, ContractVersion>,
}

/// The fields of a contract that the split uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ContractTerms {
    pub(crate) cost_share: BasisPoints,
    pub(crate) models: BTreeSet<ModelId>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the intervals of a `usage` object.
    pub fn add_usage(&mut self, usage: &UsageObject) -> Result<(), Error> {
        usage.intervals.iter().try_for_each(|interval| self.add_interval(interval))
    }

    /// Adds an interval or a part of one.
    pub fn add_interval(&mut self, interval: &Interval) -> Result<(), Error> {
        let (group, replica_id) = (&interval.group, interval.replica);
        let (from, to) = (millis(interval.from), millis(interval.to));
        if to < from {
            return Err(Error::ReversedInterval(group.clone(), replica_id));
        }
        let replica = self.replicas.entry((group.clone(), replica_id)).or_insert_with(|| Replica {
            model: interval.model.clone(),
            accelerators: interval.accelerators,
            ranges: BTreeMap::new(),
        });
        if replica.model != interval.model || replica.accelerators != interval.accelerators {
            return Err(Error::ReplicaMismatch(group.clone(), replica_id));
        }
        if from < to {
            insert_range(&mut replica.ranges, from, to);
        }
        Ok(())
    }

    /// Adds a `work` object that `instance` wrote.
    pub fn add_work(&mut self, instance: &str, object: &WorkObject) -> Result<(), Error> {
        for (incarnation, run) in &object.runs {
            self.add_run(instance, *incarnation, run)?;
        }
        Ok(())
    }

    fn add_run(
        &mut self,
        instance: &str,
        incarnation: Incarnation,
        run: &Run,
    ) -> Result<(), Error> {
        let key: RunKey = (instance.into(), incarnation);
        let state = self.runs.entry(key.clone()).or_default();
        state.flushed_until = state.flushed_until.max(Some(millis(run.flushed_until)));
        state.closed |= run.closed;
        for work in run.work.iter() {
            let work_key = WorkKey {
                client_account: work.client_account.clone(),
                contract_version: work.contract_version.clone(),
                run: key.clone(),
            };
            let by_minute = self.work.entry(work.model.clone()).or_default();
            let counters = by_minute.entry(work.minute).or_default();
            let tokens = counters.entry(work_key).or_default();
            *tokens = work.tokens.max(*tokens);
        }
        for death in &run.deaths {
            let state = self.runs.entry((death.instance.clone(), death.incarnation)).or_default();
            let noticed_at = millis(death.noticed_at);
            state.died_at = Some(state.died_at.map_or(noticed_at, |at| at.min(noticed_at)));
        }
        run.versions.iter().try_for_each(|version| self.add_version(&version))
    }

    /// Adds a run that is known to exist, for example from its lease. Until its first flush,
    /// reports flag its work as possibly missing.
    pub fn add_known_run(&mut self, instance: &str, incarnation: Incarnation) {
        self.runs.entry((instance.into(), incarnation)).or_default();
    }

    /// Adds a version of the configuration.
    pub fn add_version(&mut self, record: &VersionRecord) -> Result<(), Error> {
        let adopted_at = millis(record.adopted_at);
        match self.versions.entry(record.version) {
            Entry::Vacant(entry) => {
                entry.insert(VersionState { adopted_at, contracts: record.contracts.clone() });
            }
            Entry::Occupied(mut entry) => {
                let state = entry.get_mut();
                if state.contracts != record.contracts {
                    return Err(Error::VersionMismatch(record.version));
                }
                state.adopted_at = state.adopted_at.min(adopted_at);
            }
        }
        Ok(())
    }

    /// Adds a contract under its content hash.
    pub fn add_contract(&mut self, hash: &str, contract: &Contract) -> Result<(), Error> {
        let terms =
            ContractTerms { cost_share: contract.cost_share, models: contract.models.clone() };
        let key = (contract.client_account.clone(), hash.into());
        let existing = self.contracts.entry(key).or_insert_with(|| terms.clone());
        if *existing == terms { Ok(()) } else { Err(Error::ContractMismatch(hash.into())) }
    }

    /// Returns the contracts that versions refer to and that are not in the ledger yet.
    pub fn missing_contracts(&self) -> BTreeSet<(ClientAccountId, ContractVersion)> {
        let referenced = self.versions.values().flat_map(|v| &v.contracts);
        referenced
            .map(|(client_account, hash)| (client_account.clone(), hash.clone()))
            .filter(|key| !self.contracts.contains_key(key))
            .collect()
    }
}

/// Adds a range to a set of disjoint ranges and joins those that overlap or touch.
fn insert_range(ranges: &mut BTreeMap<u64, u64>, mut from: u64, mut to: u64) {
    while let Some((&begin, &end)) = ranges.range(..=to).next_back() {
        if end < from {
            break;
        }
        ranges.remove(&begin);
        (from, to) = (from.min(begin), to.max(end));
    }
    ranges.insert(from, to);
}
