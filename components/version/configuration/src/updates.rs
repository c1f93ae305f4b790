//! Differences between versions, as instances pass them on.

use std::sync::Arc;

use types::prelude::*;

use crate::changes::Hashes;
use crate::{Update, catalogue_hash, contract_hash};

/// The latest differences, oldest first; each one begins where the one before it ends.
#[derive(Debug)]
pub(crate) struct History {
    updates: VecDeque<Arc<Update>>,
    length: usize,
}

impl History {
    /// Keeps up to `length` differences.
    pub(crate) fn new(length: usize) -> Self {
        Self { updates: VecDeque::new(), length }
    }

    /// Adds the difference that led to the present version.
    pub(crate) fn push(&mut self, update: Arc<Update>) {
        if self.updates.back().is_some_and(|last| last.to != update.from) {
            self.updates.clear();
        }
        self.updates.push_back(update);
        while self.updates.len() > self.length {
            self.updates.pop_front();
        }
    }

    /// The difference from `have` to the present version, if it is still known.
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

/// The difference between two versions.
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
        digest: new.1.head(new.0.version, 0).digest(),
    }
}

/// A whole version as an update from nothing.
pub(crate) fn whole(configuration: &Configuration, hashes: &Hashes) -> Update {
    let nothing = (&Configuration::default(), &Hashes::default());
    let mut update = difference(nothing, (configuration, hashes));
    update.catalogue = Some(Arc::clone(&configuration.catalogue));
    update
}

/// Applies an update. `None` if it belongs to another version or its digest does not match.
pub(crate) fn apply(
    current: &Configuration,
    hashes: &Hashes,
    update: &Update,
) -> Option<(Configuration, Hashes)> {
    let is_whole = update.from == 0;
    if update.to <= current.version || (!is_whole && update.from != current.version) {
        return None;
    }
    let (mut configuration, mut hashes) = match is_whole {
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
    let digest = hashes.head(update.to, 0).digest();
    (digest == update.digest).then_some((configuration, hashes))
}
