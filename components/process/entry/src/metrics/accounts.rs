//! Counters per client account.

use std::cell::RefCell;
use std::collections::HashSet;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Accounts with counters of their own. A configuration may have thousands of accounts, and each
/// label takes memory and a line of every scrape.
const MAX_NAMED_ACCOUNTS: usize = 64;
/// Label of the accounts beyond [`MAX_NAMED_ACCOUNTS`].
const OTHER_ACCOUNTS: &str = "(others)";

/// Label of a counter per account.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AccountLabel {
    pub(crate) account: Box<str>,
}

/// Labels of the refused requests of an account.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RefusalLabels {
    pub(crate) account: Box<str>,
    pub(crate) reason: &'static str,
}

/// Counters per client account, for the first [`MAX_NAMED_ACCOUNTS`] that sent a request.
#[derive(Debug, Default)]
pub(crate) struct AccountMetrics {
    admitted: Family<AccountLabel, Counter>,
    refused: Family<RefusalLabels, Counter>,
    quota_used: Family<AccountLabel, Counter>,
    /// Accounts with counters of their own; at most [`MAX_NAMED_ACCOUNTS`].
    named: RefCell<HashSet<Box<str>>>,
}

impl AccountMetrics {
    /// Registers the counters.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "account_admitted",
            "Requests of client accounts that were admitted",
            metrics.admitted.clone(),
        );
        registry.register(
            "account_refused",
            "Requests of client accounts that were refused without having run, by reason",
            metrics.refused.clone(),
        );
        registry.register(
            "account_quota_used",
            "Tokens or requests that client accounts used of their quotas",
            metrics.quota_used.clone(),
        );
        metrics
    }

    /// The label of an account: its name, without the characters that the text format would have to
    /// escape, or the common one.
    pub(crate) fn label(&self, name: &str) -> Box<str> {
        let mut named = self.named.borrow_mut();
        if !named.contains(name) {
            if named.len() >= MAX_NAMED_ACCOUNTS {
                return OTHER_ACCOUNTS.into();
            }
            named.insert(name.into());
        }
        name.replace(|c: char| c.is_control() || matches!(c, '"' | '\\'), "_").into()
    }

    /// Counts an admitted request of an account.
    pub(crate) fn record_admitted(&self, name: &str) {
        self.admitted.get_or_create(&AccountLabel { account: self.label(name) }).inc();
    }

    /// Counts what an admitted request of an account took of its quota.
    pub(crate) fn record_quota_used(&self, name: &str, cost: u64) {
        self.quota_used.get_or_create(&AccountLabel { account: self.label(name) }).inc_by(cost);
    }

    /// Counts a refused request of an account.
    pub(crate) fn record_refused(&self, name: &str, reason: &'static str) {
        let labels = RefusalLabels { account: self.label(name), reason };
        self.refused.get_or_create(&labels).inc();
    }
}

#[cfg(test)]
mod tests;
