//! Standing shares of data centres, stored in `share/DATA_CENTRE`.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::interval_set::IntervalSet;

/// IntervalSet of every client account's limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// IntervalSet for client accounts without an entry of their own.
    pub default: IntervalSet,
    /// IntervalSet by client account.
    pub by_client_account: BTreeMap<ClientAccountId, IntervalSet>,
}

/// IntervalSet on their way to another data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transfer {
    /// Identifies the transfer.
    pub nonce: Nonce,
    /// Data centre that gives.
    pub from: DataCentreId,
    /// Data centre that receives.
    pub to: DataCentreId,
    /// What is given.
    pub holding: Holding,
}

/// Value of `share/DATA_CENTRE`. Each method returns the next value, to be written by conditional
/// update before anything is done under it.
///
/// A transfer is written at the donor by `give`, then at the receiver by `receive`, then at the
/// donor by `clear` and at the receiver by `forget`. A crash in between loses no part and creates
/// none: each step can be done again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreShare {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// What it holds.
    pub holding: Holding,
    /// Transfers that it gave and has not cleared.
    pub given: Vec<Transfer>,
    /// Nonces of transfers received that the donor has not cleared, with the donor.
    pub received: BTreeMap<Nonce, DataCentreId>,
    /// Drawn for each write, for the read-back after a lost answer.
    pub nonce: Nonce,
}

impl Holding {
    /// Part `index` of `count` equal parts of every limit.
    pub fn equal_share(index: u64, count: u64) -> Self {
        Self { default: IntervalSet::equal_share(index, count), by_client_account: BTreeMap::new() }
    }

    /// IntervalSet of one client account's limits only.
    pub fn of_client_account(client_account: &str, parts: IntervalSet) -> Self {
        Self {
            default: IntervalSet::empty(),
            by_client_account: BTreeMap::from([(client_account.into(), parts)]),
        }
    }

    /// IntervalSet of one client account's limits.
    pub fn parts(&self, client_account: &str) -> &IntervalSet {
        self.by_client_account.get(client_account).unwrap_or(&self.default)
    }

    /// IntervalSet in either holding.
    #[must_use]
    pub fn union(&self, other: &Self) -> Self {
        self.combine(other, IntervalSet::union)
    }

    /// IntervalSet in this holding but not in the other.
    #[must_use]
    pub fn difference(&self, other: &Self) -> Self {
        self.combine(other, IntervalSet::difference)
    }

    /// IntervalSet in both holdings.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        self.combine(other, IntervalSet::intersection)
    }

    fn combine(&self, other: &Self, f: impl Fn(&IntervalSet, &IntervalSet) -> IntervalSet) -> Self {
        let default = f(&self.default, &other.default);
        let client_accounts = self.by_client_account.keys().chain(other.by_client_account.keys());
        let by_client_account = client_accounts
            .map(|client_account| {
                (client_account.clone(), f(self.parts(client_account), other.parts(client_account)))
            })
            .filter(|(_, parts)| *parts != default)
            .collect();
        Self { default, by_client_account }
    }
}

impl DataCentreShare {
    /// The first value of a data centre's object.
    pub fn new(data_centre: &str, holding: Holding, nonce: Nonce) -> Self {
        Self {
            data_centre: data_centre.into(),
            holding,
            given: Vec::new(),
            received: BTreeMap::new(),
            nonce,
        }
    }

    /// Deducts what this data centre has of `wanted` and records the transfer. `None` if it has
    /// nothing of it. The local holder's grants must have ended on these parts before the write
    /// (see `Holder::withhold`).
    pub fn give(&self, to: &str, wanted: &Holding, nonce: Nonce) -> Option<Self> {
        let holding = self.holding.intersection(wanted);
        if holding == Holding::default() || *to == *self.data_centre {
            return None;
        }
        let mut next = Self { nonce, ..self.clone() };
        next.holding = self.holding.difference(&holding);
        let from = self.data_centre.clone();
        next.given.push(Transfer { nonce, from, to: to.into(), holding });
        Some(next)
    }

    /// Adds a transfer read from the donor's object. `None` if it was added before or goes
    /// elsewhere. The donor's object must have been read after this one; otherwise a transfer
    /// that was received, cleared and forgotten in between would be added a second time.
    pub fn receive(&self, transfer: &Transfer, nonce: Nonce) -> Option<Self> {
        if transfer.to != self.data_centre || self.received.contains_key(&transfer.nonce) {
            return None;
        }
        let mut next = Self { nonce, ..self.clone() };
        next.holding = self.holding.union(&transfer.holding);
        next.received.insert(transfer.nonce, transfer.from.clone());
        Some(next)
    }

    /// Drops transfers that the receiver's stored object lists as received. `None` if there is
    /// none.
    pub fn prune_given(&self, receiver: &Self, nonce: Nonce) -> Option<Self> {
        let done = |transfer: &Transfer| {
            transfer.to == receiver.data_centre && receiver.received.contains_key(&transfer.nonce)
        };
        if !self.given.iter().any(done) {
            return None;
        }
        let mut next = Self { nonce, ..self.clone() };
        next.given.retain(|transfer| !done(transfer));
        Some(next)
    }

    /// Drops nonces that the donor's stored object no longer lists. The donor's object must have
    /// been read after this one. `None` if there is none.
    pub fn prune_received(&self, donor: &Self, nonce: Nonce) -> Option<Self> {
        let listed = |n: &Nonce| donor.given.iter().any(|transfer| transfer.nonce == *n);
        let done = |n: &Nonce, from: &DataCentreId| *from == donor.data_centre && !listed(n);
        if !self.received.iter().any(|(n, from)| done(n, from)) {
            return None;
        }
        let mut next = Self { nonce, ..self.clone() };
        next.received.retain(|n, from| !done(n, from));
        Some(next)
    }
}
