//! Contract versions by client account, for requests that were admitted under earlier
//! configurations.

use accounting::records::ContractVersion;
use types::prelude::*;

/// How long a replaced contract is retained: longer than any request waits and runs. At 22,000
/// changes a day, the replaced contracts take about 4 MB.
const RETENTION: Duration = Duration::from_secs(2 * 24 * 3600);

/// An amendment of one contract.
#[derive(Debug)]
struct Amendment {
    version: ConfigurationVersion,
    contract: ContractVersion,
    adopted_at: Instant,
}

/// Amendments of each contract. A map of all contracts for each configuration version would take
/// 40 KB with 300 client accounts, and 900 MB a day.
#[derive(Debug, Default)]
pub(crate) struct ContractHistory {
    client_accounts: BTreeMap<ClientAccountId, Vec<Amendment>>,
}

impl ContractHistory {
    /// Records the contracts of a configuration version.
    pub(crate) fn record(
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
            let has_expired = |next: &Amendment| now.duration_since(next.adopted_at) > RETENTION;
            let expired = amendments.iter().skip(1).take_while(|next| has_expired(next)).count();
            amendments.drain(..expired);
        }
    }

    /// Returns the contract that a client account had in a configuration version.
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
