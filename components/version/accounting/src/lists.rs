//! Compact JSON encodings of lists of records, since the platform limits a value to 1 MB.
//!
//! At the target scale, one instance counts work for about 200 models a minute and adopts about
//! 900 versions an hour. If each record repeated its 64-digit hashes, the records of one hour would
//! take 2.1 MB for work and 22.5 MB for versions. The compact encodings take 0.37 MB in total.

use std::ops::Deref;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::records::{ContractVersion, Minute, VersionRecord, Work};

quick_error! {
    /// Error decoding a list.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ListError {
        /// An entry refers to a contract index that is not in the list's table of contracts.
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
        list.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        Self(list)
    }
}

fn sort_key(work: &Work) -> (&ModelId, Minute, &ClientAccountId, &ContractVersion) {
    (&work.model, work.minute, &work.client_account, &work.contract_version)
}

impl Deref for WorkList {
    type Target = [Work];

    fn deref(&self) -> &[Work] {
        &self.0
    }
}

/// Encoding of a [`WorkList`] that contains each contract and each model once.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CompactWork {
    /// Base of the minutes in `models`, which are stored as offsets from it.
    first_minute: Minute,
    /// Table of client accounts and contract versions that `models` refers to by index.
    contracts: Vec<(ClientAccountId, ContractVersion)>,
    /// Entries by model: offset of the minute, index into `contracts`, tokens.
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
                // Each entry takes more than 64 bytes, so 32 bits can index all that fit in a
                // value.
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

/// Versions of the configuration in order of adoption.
///
/// The list stores each version as the difference from the previous one: at the target scale, two
/// hours of full versions would exceed the 64 MB of memory that an instance has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Vec<CompactVersion>", from = "Vec<CompactVersion>")]
pub struct VersionList {
    versions: Vec<CompactVersion>,
    /// All contracts of the last version.
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
    /// Appends a version that was adopted after all versions in the list.
    pub fn push(&mut self, record: VersionRecord) {
        let VersionRecord { version, adopted_at, contracts } = record;
        let previous = std::mem::take(&mut self.latest);
        let changed = contracts.iter().filter(|(c, hash)| previous.get(*c) != Some(*hash));
        let changed = changed.map(|(c, hash)| (c.clone(), hash.clone())).collect();
        let removed = previous.into_keys().filter(|c| !contracts.contains_key(c)).collect();
        self.versions.push(CompactVersion { version, adopted_at, changed, removed });
        self.latest = contracts;
    }

    /// Iterates over the versions, each with its full set of contracts.
    pub fn iter(&self) -> impl Iterator<Item = VersionRecord> {
        let mut contracts = Contracts::new();
        self.versions.iter().map(move |compact| {
            compact.apply(&mut contracts);
            let CompactVersion { version, adopted_at, .. } = *compact;
            VersionRecord { version, adopted_at, contracts: contracts.clone() }
        })
    }

    /// Removes the versions adopted before a time, except the last of them, which is in effect
    /// then.
    pub fn prune_before(&mut self, at: SystemTime) {
        let first_later = self.versions.iter().position(|version| version.adopted_at >= at);
        let first_retained = first_later.unwrap_or(self.versions.len()).saturating_sub(1);
        let mut contracts = Contracts::new();
        self.versions
            .iter()
            .take(first_retained + 1)
            .for_each(|version| version.apply(&mut contracts));
        self.versions.drain(..first_retained);
        if let Some(version) = self.versions.first_mut() {
            (version.changed, version.removed) = (contracts, Vec::new());
        }
    }
}

/// A version, stored as the difference from the previous version in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CompactVersion {
    version: ConfigurationVersion,
    adopted_at: SystemTime,
    /// Contracts that the version adds or amends.
    changed: Contracts,
    /// Client accounts whose contract the version removes.
    removed: Vec<ClientAccountId>,
}

impl CompactVersion {
    /// Turns the contracts of the previous version into those of this one.
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
