//! Lists that are short as JSON, since the platform holds values of up to 1 MB.
//!
//! At the target scale one instance counts work for some two hundred models a minute and adopts some
//! nine hundred versions an hour. Written one by one, with a hash of 64 digits in each, the records
//! of one hour take 2.1 MB of work and 22.5 MB of versions; as written here they take 0.37 MB.

use std::ops::Deref;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::records::{ContractVersion, Minute, VersionRecord, Work};

quick_error! {
    /// Why a list cannot be read.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ListError {
        /// An entry refers to a contract that the list does not name.
        UnknownContract(index: u32) {
            display("work refers to contract {index}, which the list does not name")
        }
    }
}

/// Counted work, sorted by model, minute and contract.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "CompactWork", try_from = "CompactWork")]
pub struct WorkList(Vec<Work>);

impl FromIterator<Work> for WorkList {
    fn from_iter<I: IntoIterator<Item = Work>>(work: I) -> Self {
        let mut list: Vec<_> = work.into_iter().collect();
        list.sort_by(|a, b| order(a).cmp(&order(b)));
        Self(list)
    }
}

fn order(work: &Work) -> (&ModelId, Minute, &ClientAccountId, &ContractVersion) {
    (&work.model, work.minute, &work.client_account, &work.contract_version)
}

impl Deref for WorkList {
    type Target = [Work];

    fn deref(&self) -> &[Work] {
        &self.0
    }
}

/// Names each contract once and each model once.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CompactWork {
    /// Minutes are counted from here.
    first_minute: Minute,
    /// Client accounts with their contract versions.
    contracts: Vec<(ClientAccountId, ContractVersion)>,
    /// By model: minute, index of the contract, tokens.
    models: BTreeMap<ModelId, Vec<(u64, u32, u64)>>,
}

impl From<WorkList> for CompactWork {
    fn from(list: WorkList) -> Self {
        let first_minute = list.iter().map(|w| w.minute).min().unwrap_or_default();
        let mut compact = Self { first_minute, contracts: Vec::new(), models: BTreeMap::new() };
        let mut indices = BTreeMap::new();
        for work in list.0 {
            let contract = (work.client_account, work.contract_version);
            let index = *indices.entry(contract).or_insert_with_key(|contract| {
                compact.contracts.push(contract.clone());
                // Each contract takes more than 64 bytes, so that 32 bits number all that fit.
                u32::try_from(compact.contracts.len() - 1).unwrap_or(u32::MAX)
            });
            let entry = (work.minute - first_minute, index, work.tokens);
            compact.models.entry(work.model).or_default().push(entry);
        }
        compact
    }
}

impl TryFrom<CompactWork> for WorkList {
    type Error = ListError;

    fn try_from(compact: CompactWork) -> Result<Self, ListError> {
        let mut list = Vec::new();
        for (model, entries) in compact.models {
            for (minute, index, tokens) in entries {
                let contract = usize::try_from(index).ok().and_then(|n| compact.contracts.get(n));
                let (client_account, contract_version) =
                    contract.cloned().ok_or(ListError::UnknownContract(index))?;
                let minute = compact.first_minute.saturating_add(minute);
                list.push(Work {
                    minute,
                    model: model.clone(),
                    client_account,
                    contract_version,
                    tokens,
                });
            }
        }
        Ok(list.into_iter().collect())
    }
}

/// Versions of the configuration in the order in which they were adopted.
///
/// Each is held as the difference to the one before it: at the target scale, two hours of whole
/// versions would take more than the 64 MB of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Vec<CompactVersion>", from = "Vec<CompactVersion>")]
pub struct VersionList {
    versions: Vec<CompactVersion>,
    /// Contracts of the last version.
    latest: Contracts,
}

type Contracts = BTreeMap<ClientAccountId, ContractVersion>;

impl FromIterator<VersionRecord> for VersionList {
    fn from_iter<I: IntoIterator<Item = VersionRecord>>(versions: I) -> Self {
        let mut list = Self::default();
        versions.into_iter().for_each(|version| list.push(version));
        list
    }
}

impl VersionList {
    /// Adds a version that was adopted after the others.
    pub fn push(&mut self, record: VersionRecord) {
        let VersionRecord { version, adopted_at, contracts } = record;
        let before = std::mem::take(&mut self.latest);
        let changed = contracts.iter().filter(|(c, hash)| before.get(*c) != Some(*hash));
        let changed = changed.map(|(c, hash)| (c.clone(), hash.clone())).collect();
        let removed = before.into_keys().filter(|c| !contracts.contains_key(c)).collect();
        self.versions.push(CompactVersion { version, adopted_at, changed, removed });
        self.latest = contracts;
    }

    /// The versions, each with all contracts.
    pub fn iter(&self) -> impl Iterator<Item = VersionRecord> {
        let mut contracts = Contracts::new();
        self.versions.iter().map(move |compact| {
            compact.apply(&mut contracts);
            let CompactVersion { version, adopted_at, .. } = *compact;
            VersionRecord { version, adopted_at, contracts: contracts.clone() }
        })
    }

    /// Drops the versions adopted before a time, but for the last of them, which is in effect then.
    pub fn prune_before(&mut self, at: SystemTime) {
        let later = self.versions.iter().position(|version| version.adopted_at >= at);
        let first = later.unwrap_or(self.versions.len()).saturating_sub(1);
        let mut contracts = Contracts::new();
        self.versions.iter().take(first + 1).for_each(|version| version.apply(&mut contracts));
        self.versions.drain(..first);
        if let Some(version) = self.versions.first_mut() {
            (version.changed, version.removed) = (contracts, Vec::new());
        }
    }
}

/// A version as the difference to the one before it in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CompactVersion {
    version: ConfigurationVersion,
    adopted_at: SystemTime,
    /// Contracts that are new or amended.
    changed: Contracts,
    /// Client accounts without a contract from here on.
    removed: Vec<ClientAccountId>,
}

impl CompactVersion {
    fn apply(&self, contracts: &mut Contracts) {
        contracts.extend(self.changed.iter().map(|(c, hash)| (c.clone(), hash.clone())));
        contracts.retain(|client_account, _| !self.removed.contains(client_account));
    }
}

impl From<VersionList> for Vec<CompactVersion> {
    fn from(list: VersionList) -> Self {
        list.versions
    }
}

impl From<Vec<CompactVersion>> for VersionList {
    fn from(versions: Vec<CompactVersion>) -> Self {
        let mut latest = Contracts::new();
        versions.iter().for_each(|version| version.apply(&mut latest));
        Self { versions, latest }
    }
}
