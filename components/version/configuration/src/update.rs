//! Differences between versions.

use std::sync::Arc;

use types::prelude::*;

use crate::{Head, Update, catalogue_hash, contract_hash};

/// The difference between two configurations with their heads; everything if `from` is version 0.
pub(crate) fn difference(
    from: &Configuration,
    from_head: &Head,
    to: &Configuration,
    to_head: &Head,
) -> Update {
    let full = from.version == 0;
    let changed =
        |name: &&CustomerId| full || from_head.contracts.get(*name) != to_head.contracts.get(*name);
    let names = to.contracts.keys().filter(changed);
    let removed = from.contracts.keys().filter(|name| !to.contracts.contains_key(*name));
    let new_catalogue = full || from_head.catalogue != to_head.catalogue;
    Update {
        from: from.version,
        to: to.version,
        changed: names.filter_map(|name| to.contracts.get(name).cloned()).collect(),
        removed: removed.cloned().collect(),
        catalogue: new_catalogue.then(|| to.catalogue.clone()),
        digest: to_head.digest(),
    }
}

/// Applies a difference to the configuration that it starts from, or to none; `None` if the result
/// has another digest.
pub(crate) fn apply(
    base: &Configuration,
    base_head: &Head,
    update: &Update,
) -> Option<(Configuration, Head)> {
    let (mut configuration, mut head) = match update.from {
        0 => (Configuration::default(), Head::default()),
        _ => (base.clone(), base_head.clone()),
    };
    for customer in &update.removed {
        configuration.contracts.remove(customer);
        head.contracts.remove(customer);
    }
    for contract in &update.changed {
        head.contracts.insert(contract.customer.clone(), contract_hash(contract));
        configuration.contracts.insert(contract.customer.clone(), contract.clone());
    }
    if let Some(catalogue) = &update.catalogue {
        head.catalogue = catalogue_hash(catalogue);
        configuration.catalogue = catalogue.clone();
    }
    configuration.version = update.to;
    head.version = update.to;
    (head.digest() == update.digest).then_some((configuration, head))
}

/// Joins consecutive differences into one.
pub(crate) fn join<'a>(updates: impl Iterator<Item = &'a Arc<Update>>) -> Option<Update> {
    let mut changed: BTreeMap<CustomerId, Option<Arc<Contract>>> = BTreeMap::new();
    let mut joined: Option<Update> = None;
    for update in updates {
        for customer in &update.removed {
            changed.insert(customer.clone(), None);
        }
        for contract in &update.changed {
            changed.insert(contract.customer.clone(), Some(contract.clone()));
        }
        let before = joined.take();
        joined = Some(Update {
            from: before.as_ref().map_or(update.from, |before| before.from),
            to: update.to,
            changed: Vec::new(),
            removed: Vec::new(),
            catalogue: update.catalogue.clone().or(before.and_then(|before| before.catalogue)),
            digest: update.digest.clone(),
        });
    }
    let mut joined = joined?;
    for (customer, contract) in changed {
        match contract {
            Some(contract) => joined.changed.push(contract),
            None => joined.removed.push(customer),
        }
    }
    Some(joined)
}
