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
        Contract(index: u32) {
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

fn order(work: &Work) -> (&ModelId, Minute, &CustomerId, &ContractVersion) {
    (&work.model, work.minute, &work.customer, &work.contract_version)
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
    /// Customers with their contract versions.
    contracts: Vec<(CustomerId, ContractVersion)>,
    /// By model: minute, index of the contract, tokens.
    models: BTreeMap<ModelId, Vec<(u64, u32, u64)>>,
}

impl From<WorkList> for CompactWork {
    fn from(list: WorkList) -> Self {
        let first_minute = list.iter().map(|w| w.minute).min().unwrap_or_default();
        let mut compact = Self { first_minute, contracts: Vec::new(), models: BTreeMap::new() };
        let mut indices = BTreeMap::new();
        for work in list.0 {
            let contract = (work.customer, work.contract_version);
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
                let (customer, contract_version) =
                    contract.cloned().ok_or(ListError::Contract(index))?;
                let minute = compact.first_minute.saturating_add(minute);
                list.push(Work {
                    minute,
                    model: model.clone(),
                    customer,
                    contract_version,
                    tokens,
                });
            }
        }
        Ok(list.into_iter().collect())
    }
}

/// Versions of the configuration in the order in which they were adopted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Vec<CompactVersion>", from = "Vec<CompactVersion>")]
pub struct VersionList(Vec<VersionRecord>);

impl FromIterator<VersionRecord> for VersionList {
    fn from_iter<I: IntoIterator<Item = VersionRecord>>(versions: I) -> Self {
        Self(versions.into_iter().collect())
    }
}

impl Deref for VersionList {
    type Target = [VersionRecord];

    fn deref(&self) -> &[VersionRecord] {
        &self.0
    }
}

/// A version as the difference to the one before it in the list.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CompactVersion {
    version: ConfigurationVersion,
    adopted_at: SystemTime,
    /// Contracts that are new or amended.
    changed: BTreeMap<CustomerId, ContractVersion>,
    /// Customers without a contract from here on.
    removed: Vec<CustomerId>,
}

impl From<VersionList> for Vec<CompactVersion> {
    fn from(list: VersionList) -> Self {
        let mut before = BTreeMap::new();
        let mut compact = Self::new();
        for VersionRecord { version, adopted_at, contracts } in list.0 {
            let changed = contracts.iter().filter(|(c, hash)| before.get(*c) != Some(*hash));
            let changed = changed.map(|(c, hash)| (c.clone(), hash.clone())).collect();
            let removed = before.into_keys().filter(|c| !contracts.contains_key(c)).collect();
            compact.push(CompactVersion { version, adopted_at, changed, removed });
            before = contracts;
        }
        compact
    }
}

impl From<Vec<CompactVersion>> for VersionList {
    fn from(compact: Vec<CompactVersion>) -> Self {
        let mut contracts = BTreeMap::new();
        let full =
            compact.into_iter().map(|CompactVersion { version, adopted_at, changed, removed }| {
                contracts.extend(changed);
                contracts.retain(|customer, _| !removed.contains(customer));
                VersionRecord { version, adopted_at, contracts: contracts.clone() }
            });
        Self(full.collect())
    }
}
