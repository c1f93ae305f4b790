//! Differences between versions, which instances send to each other.

use std::sync::Arc;

use types::prelude::*;

use crate::changes::Hashes;
use crate::{Update, catalogue_hash, contract_hash};

/// The latest differences, oldest first. Each one applies to the version that the previous one
/// leads to.
#[derive(Debug)]
pub(crate) struct History {
    updates: VecDeque<Arc<Update>>,
    max_length: usize,
}

impl History {
    /// Creates an empty history that retains up to `max_length` differences.
    pub(crate) fn new(max_length: usize) -> Self {
        Self { updates: VecDeque::new(), max_length }
    }

    /// Appends the difference that led to the current version. Drops the older ones if there is a
    /// gap between them and this one.
    pub(crate) fn push(&mut self, update: Arc<Update>) {
        if self.updates.back().is_some_and(|last| last.to != update.from) {
            self.updates.clear();
        }
        self.updates.push_back(update);
        while self.updates.len() > self.max_length {
            self.updates.pop_front();
        }
    }

    /// Returns the combined difference from `have` to the current version; `None` if the history
    /// does not reach back to `have`.
    pub(crate) fn since(&self, have: ConfigurationVersion) -> Option<Update> {
        let first = self.updates.iter().position(|update| update.from == have)?;
        let mut changed: BTreeMap<ClientAccountId, Arc<Contract>> = BTreeMap::new();
        let mut removed = BTreeSet::new();
        let mut catalogue = None;
        for update in self.updates.iter().skip(first) {
            for contract in &update.changed {
                removed.remove(&contract.client_account);
                changed.insert(contract.client_account.clone(), Arc::clone(contract));
            }
            for client_account in &update.removed {
                changed.remove(client_account);
                removed.insert(client_account.clone());
            }
            catalogue = update.catalogue.clone().or(catalogue);
        }
        let last = self.updates.back()?;
        Some(Update {
            from: have,
            to: last.to,
            changed: changed.into_values().collect(),
            removed: removed.into_iter().collect(),
            catalogue,
            digest: last.digest.clone(),
        })
    }
}

/// Computes the difference between two versions.
pub(crate) fn difference(old: (&Configuration, &Hashes), new: (&Configuration, &Hashes)) -> Update {
    let is_changed = |client_account: &ClientAccountId| {
        old.1.contracts.get(client_account) != new.1.contracts.get(client_account)
    };
    let changed = new.0.contracts.iter().filter(|(client_account, _)| is_changed(client_account));
    let removed = old.0.contracts.keys().filter(|c| !new.0.contracts.contains_key(*c));
    Update {
        from: old.0.version,
        to: new.0.version,
        changed: changed.map(|(_, contract)| Arc::clone(contract)).collect(),
        removed: removed.cloned().collect(),
        catalogue: (old.1.catalogue != new.1.catalogue).then(|| Arc::clone(&new.0.catalogue)),
        digest: new.1.to_head(new.0.version, 0).digest(),
    }
}

/// Returns an update that contains the whole version and applies to any lower one.
pub(crate) fn full_update(configuration: &Configuration, hashes: &Hashes) -> Update {
    let empty = (&Configuration::default(), &Hashes::default());
    let mut update = difference(empty, (configuration, hashes));
    update.catalogue = Some(Arc::clone(&configuration.catalogue));
    update
}

/// Applies an update. Returns `None` if the update does not lead to a higher version, applies to
/// another version than the current one, or has a digest that does not match the result.
pub(crate) fn apply_update(
    current: &Configuration,
    hashes: &Hashes,
    update: &Update,
) -> Option<(Configuration, Hashes)> {
    let is_full = update.from == 0;
    if update.to <= current.version || (!is_full && update.from != current.version) {
        return None;
    }
    let (mut configuration, mut hashes) = match is_full {
        true => (Configuration::default(), Hashes::default()),
        false => (current.clone(), hashes.clone()),
    };
    configuration.version = update.to;
    for client_account in &update.removed {
        configuration.contracts.remove(client_account);
        hashes.contracts.remove(client_account);
    }
    for contract in &update.changed {
        hashes.contracts.insert(contract.client_account.clone(), contract_hash(contract));
        configuration.contracts.insert(contract.client_account.clone(), Arc::clone(contract));
    }
    if let Some(catalogue) = &update.catalogue {
        hashes.catalogue = catalogue_hash(catalogue);
        configuration.catalogue = Arc::clone(catalogue);
    }
    let digest = hashes.to_head(update.to, 0).digest();
    (digest == update.digest).then_some((configuration, hashes))
}
