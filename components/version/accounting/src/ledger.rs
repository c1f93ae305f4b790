//! Merges records in any order.

use std::collections::btree_map::Entry;

use quick_error::quick_error;
use types::prelude::*;

use crate::records::*;

quick_error! {
    /// Two records contradict each other. The first one is kept.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// Two pieces of one replica name different models or numbers of accelerators.
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
        /// Two contracts have one content hash.
        ContractMismatch(hash: Box<str>) {
            display("two contracts have the hash {hash}")
        }
    }
}

/// All records of a period, merged.
///
/// Adding a record twice, or adding records in another order, gives an equal ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Replicas with the union of their intervals.
    pub(crate) replicas: BTreeMap<(GroupId, ReplicaId), Replica>,
    /// Highest counter of each run, by model and minute.
    pub(crate) work: BTreeMap<ModelId, WorkByMinute>,
    /// Runs of instances.
    pub(crate) runs: BTreeMap<RunKey, RunState>,
    /// Versions by number, each with the earliest time of adoption in milliseconds.
    pub(crate) versions: BTreeMap<ConfigurationVersion, VersionState>,
    /// Contracts by client account and content hash.
    pub(crate) contracts: BTreeMap<(ClientAccountId, ContractVersion), ContractTerms>,
}

/// Counted work of one model.
pub(crate) type WorkByMinute = BTreeMap<Minute, BTreeMap<WorkKey, u64>>;

/// One run of one instance.
pub(crate) type RunKey = (InstanceId, Incarnation);

/// Who counted work for whom.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkKey {
    pub(crate) client_account: ClientAccountId,
    pub(crate) contract_version: ContractVersion,
    pub(crate) run: RunKey,
}

/// One replica; its pieces are disjoint, sorted ranges of milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Replica {
    pub(crate) model: ModelId,
    pub(crate) accelerators: u32,
    pub(crate) pieces: BTreeMap<u64, u64>,
}

/// What is known of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RunState {
    /// Latest flush; `None` if only the death is known.
    pub(crate) flushed_until: Option<u64>,
    pub(crate) closed: bool,
    /// Earliest observation of the run's death.
    pub(crate) died_at: Option<u64>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct VersionState {
    pub(crate) adopted_at: u64,
    pub(crate) contracts: BTreeMap<ClientAccountId, ContractVersion>,
}

/// The part of a contract that the split needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ContractTerms {
    pub(crate) cost_share: BasisPoints,
    pub(crate) models: BTreeSet<ModelId>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the intervals of a `usage` object.
    pub fn add_usage(&mut self, usage: &UsageObject) -> Result<(), Error> {
        usage.intervals.iter().try_for_each(|interval| self.add_interval(interval))
    }

    /// Adds one interval or a piece of one.
    pub fn add_interval(&mut self, interval: &Interval) -> Result<(), Error> {
        let (group, number) = (&interval.group, interval.replica);
        let (from, to) = (millis(interval.from), millis(interval.to));
        if to < from {
            return Err(Error::ReversedInterval(group.clone(), number));
        }
        let replica = self.replicas.entry((group.clone(), number)).or_insert_with(|| Replica {
            model: interval.model.clone(),
            accelerators: interval.accelerators,
            pieces: BTreeMap::new(),
        });
        if replica.model != interval.model || replica.accelerators != interval.accelerators {
            return Err(Error::ReplicaMismatch(group.clone(), number));
        }
        if from < to {
            insert_piece(&mut replica.pieces, from, to);
        }
        Ok(())
    }

    /// Adds a `work` object of the instance.
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

    /// Adds a run that is known to exist, for example by its lease. Before its first flush, its work
    /// is flagged as missing.
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

    /// Adds a contract with its content hash.
    pub fn add_contract(&mut self, hash: &str, contract: &Contract) -> Result<(), Error> {
        let terms =
            ContractTerms { cost_share: contract.cost_share, models: contract.models.clone() };
        let key = (contract.client_account.clone(), hash.into());
        let known = self.contracts.entry(key).or_insert_with(|| terms.clone());
        if *known == terms { Ok(()) } else { Err(Error::ContractMismatch(hash.into())) }
    }

    /// Contracts that versions name and that are not in the ledger yet.
    pub fn missing_contracts(&self) -> BTreeSet<(ClientAccountId, ContractVersion)> {
        let named = self.versions.values().flat_map(|v| &v.contracts);
        named
            .map(|(client_account, hash)| (client_account.clone(), hash.clone()))
            .filter(|key| !self.contracts.contains_key(key))
            .collect()
    }
}

/// Adds a range to disjoint ranges, joining those that overlap or touch.
fn insert_piece(pieces: &mut BTreeMap<u64, u64>, mut from: u64, mut to: u64) {
    while let Some((&begin, &end)) = pieces.range(..=to).next_back() {
        if end < from {
            break;
        }
        pieces.remove(&begin);
        (from, to) = (from.min(begin), to.max(end));
    }
    pieces.insert(from, to);
}
