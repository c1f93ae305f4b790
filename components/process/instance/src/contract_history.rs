//! Contract versions by client account, for requests that were admitted under earlier configurations.

use accounting::records::ContractVersion;
use types::prelude::*;

/// Time for which an amended contract is remembered: longer than any request waits and runs. At
/// 22,000 changes a day, they take some 4 MB.
const REMEMBERED: Duration = Duration::from_secs(2 * 24 * 3600);

/// An amendment of one contract.
#[derive(Debug)]
struct Amendment {
    version: ConfigurationVersion,
    contract: ContractVersion,
    adopted_at: Instant,
}

/// Amendments of each contract. A whole map per configuration version would take 40 KB each with 300
/// client accounts, and 900 MB a day.
#[derive(Debug, Default)]
pub(crate) struct ContractHistory {
    client_accounts: BTreeMap<ClientAccountId, Vec<Amendment>>,
}

impl ContractHistory {
    /// Notes the contracts of a configuration version.
    pub(crate) fn adopted(
        &mut self,
        version: ConfigurationVersion,
        contracts: &BTreeMap<ClientAccountId, ContractVersion>,
        now: Instant,
    ) {
        for (client_account, contract) in contracts {
            let amendments = self.client_accounts.entry(client_account.clone()).or_default();
            if amendments.last().is_some_and(|last| last.contract == *contract) {
                continue;
            }
            amendments.push(Amendment { version, contract: contract.clone(), adopted_at: now });
            // A contract is in effect until its successor is adopted.
            let is_old = |next: &Amendment| now.duration_since(next.adopted_at) > REMEMBERED;
            let old = amendments.iter().skip(1).take_while(|next| is_old(next)).count();
            amendments.drain(..old);
        }
    }

    /// The contract of a client account in a configuration version under which it had one.
    pub(crate) fn get(
        &self,
        client_account: &str,
        version: ConfigurationVersion,
    ) -> Option<&ContractVersion> {
        let amendments = self.client_accounts.get(client_account)?;
        let amendment = amendments.iter().rev().find(|amendment| amendment.version <= version);
        amendment.map(|amendment| &amendment.contract)
    }
}
