//! What the instances of a data centre want of each client account's limits.

use types::prelude::*;

/// Sums over instances, kept up to date so that a grant does not have to visit all instances.
#[derive(Debug, Default)]
pub(crate) struct Wants {
    client_accounts: BTreeMap<ClientAccountId, Want>,
}

#[derive(Debug, Default)]
struct Want {
    length: u64,
    /// Instances that list the client account. Never zero.
    instances: u64,
}

impl Wants {
    pub(crate) fn add(&mut self, wanted: &BTreeMap<ClientAccountId, u64>) {
        for (client_account, length) in wanted {
            if !self.client_accounts.contains_key(client_account) {
                self.client_accounts.insert(client_account.clone(), Want::default());
            }
            if let Some(want) = self.client_accounts.get_mut(client_account) {
                want.length += length;
                want.instances += 1;
            }
        }
    }

    /// Takes back what was added for one instance.
    pub(crate) fn remove(&mut self, wanted: &BTreeMap<ClientAccountId, u64>) {
        for (client_account, length) in wanted {
            let Some(want) = self.client_accounts.get_mut(client_account) else { continue };
            want.length -= length;
            want.instances -= 1;
            if want.instances == 0 {
                self.client_accounts.remove(client_account);
            }
        }
    }

    /// Sum of the lengths wanted of one client account's limits.
    pub(crate) fn total(&self, client_account: &str) -> u64 {
        self.client_accounts.get(client_account).map_or(0, |want| want.length)
    }

    /// Instances that list a client account.
    pub(crate) fn instances(&self, client_account: &str) -> u64 {
        self.client_accounts.get(client_account).map_or(0, |want| want.instances)
    }

    pub(crate) fn totals(&self) -> impl Iterator<Item = (&ClientAccountId, u64)> {
        self.client_accounts.iter().map(|(client_account, want)| (client_account, want.length))
    }
}

/// Length up to which every want can be met out of `total`, by max-min fairness.
pub(crate) fn level(mut wants: Vec<u64>, total: u64) -> u64 {
    wants.sort_unstable();
    let mut left = total;
    for (index, &wanted) in wants.iter().enumerate() {
        let even = left / (wants.len() - index) as u64;
        if wanted > even {
            return even;
        }
        left -= wanted;
    }
    u64::MAX
}
