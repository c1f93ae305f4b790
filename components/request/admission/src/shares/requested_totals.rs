//! Lengths that the instances of a data centre request, in total per client account.

use types::prelude::*;

/// Sums over the requests of all instances, updated incrementally so that a grant does not iterate
/// over all instances.
#[derive(Debug, Default)]
pub(crate) struct RequestedTotals {
    client_accounts: BTreeMap<ClientAccountId, AccountTotal>,
}

#[derive(Debug, Default)]
struct AccountTotal {
    length: u64,
    /// Number of instances that request a part of the client account's limits; at least 1.
    instances: u64,
}

impl RequestedTotals {
    pub(crate) fn add(&mut self, wanted: &BTreeMap<ClientAccountId, u64>) {
        for (client_account, length) in wanted {
            if !self.client_accounts.contains_key(client_account) {
                self.client_accounts.insert(client_account.clone(), AccountTotal::default());
            }
            if let Some(total) = self.client_accounts.get_mut(client_account) {
                total.length += length;
                total.instances += 1;
            }
        }
    }

    /// Subtracts a request that was added before.
    pub(crate) fn remove(&mut self, wanted: &BTreeMap<ClientAccountId, u64>) {
        for (client_account, length) in wanted {
            let Some(total) = self.client_accounts.get_mut(client_account) else { continue };
            total.length -= length;
            total.instances -= 1;
            if total.instances == 0 {
                self.client_accounts.remove(client_account);
            }
        }
    }

    /// Sum of the lengths requested for one client account.
    pub(crate) fn total(&self, client_account: &str) -> u64 {
        self.client_accounts.get(client_account).map_or(0, |total| total.length)
    }

    /// Number of instances that request a part of the client account's limits.
    pub(crate) fn instances(&self, client_account: &str) -> u64 {
        self.client_accounts.get(client_account).map_or(0, |total| total.instances)
    }

    pub(crate) fn totals(&self) -> impl Iterator<Item = (&ClientAccountId, u64)> {
        self.client_accounts.iter().map(|(client_account, total)| (client_account, total.length))
    }
}

/// Maximum length per request under max-min fairness, if the requests divide `total`. `u64::MAX` if
/// `total` covers all requests.
pub(crate) fn max_min_level(mut requested: Vec<u64>, total: u64) -> u64 {
    requested.sort_unstable();
    let mut remaining = total;
    for (index, &wanted) in requested.iter().enumerate() {
        let equal_share = remaining / (requested.len() - index) as u64;
        if wanted > equal_share {
            return equal_share;
        }
        remaining -= wanted;
    }
    u64::MAX
}
