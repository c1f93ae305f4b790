//! Content hashes of a version, and the changes between two versions.

use types::prelude::*;

use crate::{Change, ContentHash, Head, catalogue_hash, contract_hash};

/// Content hashes of the contracts and the catalogue of a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Hashes {
    pub(crate) contracts: BTreeMap<ClientAccountId, ContentHash>,
    pub(crate) catalogue: ContentHash,
}

impl Hashes {
    /// Computes the hashes of a configuration.
    pub(crate) fn of(
        contracts: &BTreeMap<ClientAccountId, std::sync::Arc<Contract>>,
        catalogue: &Catalogue,
    ) -> Self {
        let contracts =
            contracts.iter().map(|(name, contract)| (name.clone(), contract_hash(contract)));
        Self { contracts: contracts.collect(), catalogue: catalogue_hash(catalogue) }
    }

    /// Returns a head that names these hashes.
    pub(crate) fn to_head(&self, version: ConfigurationVersion, nonce: Nonce) -> Head {
        Head {
            version,
            contracts: self.contracts.clone(),
            catalogue: self.catalogue.clone(),
            nonce,
        }
    }
}

impl From<&Head> for Hashes {
    fn from(head: &Head) -> Self {
        Self { contracts: head.contracts.clone(), catalogue: head.catalogue.clone() }
    }
}

/// Returns the changes that lead from one version to another, by object.
pub(crate) fn diff_hashes(from: &Hashes, to: &Hashes) -> BTreeMap<Box<str>, Change> {
    let mut changes = BTreeMap::new();
    for (client_account, hash) in &to.contracts {
        let change = match from.contracts.get(client_account) {
            Some(old) if old == hash => continue,
            Some(_) => Change::Changed(hash.clone()),
            None => Change::Added(hash.clone()),
        };
        changes.insert(format!("contract/{client_account}").into(), change);
    }
    for client_account in from.contracts.keys().filter(|c| !to.contracts.contains_key(*c)) {
        changes.insert(format!("contract/{client_account}").into(), Change::Removed);
    }
    if from.catalogue != to.catalogue {
        let change = match from.catalogue.is_empty() {
            true => Change::Added(to.catalogue.clone()),
            false => Change::Changed(to.catalogue.clone()),
        };
        changes.insert("catalogue".into(), change);
    }
    changes
}
