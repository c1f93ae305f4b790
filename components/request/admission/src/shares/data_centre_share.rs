//! Shares of data centres in the limits, stored on the platform as `share/DATA_CENTRE`.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::interval_set::IntervalSet;

/// Parts of the limits of all client accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// Parts for client accounts without an entry in `by_client_account`.
    pub default: IntervalSet,
    /// Parts by client account.
    pub by_client_account: BTreeMap<ClientAccountId, IntervalSet>,
}

/// Transfer of parts to another data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transfer {
    /// Identifier of the transfer.
    pub nonce: Nonce,
    /// Donor.
    pub from: DataCentreId,
    /// Receiver.
    pub to: DataCentreId,
    /// Transferred parts.
    pub holding: Holding,
}

/// Value of `share/DATA_CENTRE`. Each method returns the next value; the caller must write it with
/// a conditional update before acting on it.
///
/// A transfer has four steps: `give` updates the donor, `receive` the receiver, `prune_given` the
/// donor and `prune_received` the receiver. Each step can be repeated, so a crash between steps
/// neither loses nor duplicates parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreShare {
    /// Data centre that holds the share.
    pub data_centre: DataCentreId,
    /// Parts that the data centre holds.
    pub holding: Holding,
    /// Transfers to other data centres that are not yet known to be received.
    pub given: Vec<Transfer>,
    /// Nonces of received transfers that the donor still lists in `given`, with the donor.
    pub received: BTreeMap<Nonce, DataCentreId>,
    /// Random value of each write; after a lost reply, it tells whether the write took effect.
    pub nonce: Nonce,
}

impl Holding {
    /// Interval `index` of `count` intervals of equal length, for every client account.
    pub fn equal_share(index: u64, count: u64) -> Self {
        Self { default: IntervalSet::equal_share(index, count), by_client_account: BTreeMap::new() }
    }

    /// Parts of the limits of a single client account.
    pub fn of_client_account(client_account: &str, parts: IntervalSet) -> Self {
        Self {
            default: IntervalSet::empty(),
            by_client_account: BTreeMap::from([(client_account.into(), parts)]),
        }
    }

    /// Parts of the client account's limits.
    pub fn parts(&self, client_account: &str) -> &IntervalSet {
        self.by_client_account.get(client_account).unwrap_or(&self.default)
    }

    /// Parts in either holding.
    #[must_use]
    pub fn union(&self, other: &Self) -> Self {
        self.combine(other, IntervalSet::union)
    }

    /// Parts in this holding but not in the other.
    #[must_use]
    pub fn difference(&self, other: &Self) -> Self {
        self.combine(other, IntervalSet::difference)
    }

    /// Parts in both holdings.
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
    /// Creates the first value of a data centre's object.
    pub fn new(data_centre: &str, holding: Holding, nonce: Nonce) -> Self {
        Self {
            data_centre: data_centre.into(),
            holding,
            given: Vec::new(),
            received: BTreeMap::new(),
            nonce,
        }
    }

    /// Removes the parts of `wanted` that this data centre holds and records the transfer. `None`
    /// if it holds none of them. The local holder's grants of these parts must have expired before
    /// the write (see `Holder::withhold`).
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

    /// Adds a transfer from the donor's object. `None` if it was added before or is for another
    /// data centre. The donor's object must have been read after this one; otherwise a transfer
    /// that was received and pruned from both objects in between would be added a second time.
    pub fn receive(&self, transfer: &Transfer, nonce: Nonce) -> Option<Self> {
        if transfer.to != self.data_centre || self.received.contains_key(&transfer.nonce) {
            return None;
        }
        let mut next = Self { nonce, ..self.clone() };
        next.holding = self.holding.union(&transfer.holding);
        next.received.insert(transfer.nonce, transfer.from.clone());
        Some(next)
    }

    /// Removes given transfers that the receiver's stored object lists as received. `None` if there
    /// are none.
    pub fn prune_given(&self, receiver: &Self, nonce: Nonce) -> Option<Self> {
        let is_received = |transfer: &Transfer| {
            transfer.to == receiver.data_centre && receiver.received.contains_key(&transfer.nonce)
        };
        if !self.given.iter().any(is_received) {
            return None;
        }
        let mut next = Self { nonce, ..self.clone() };
        next.given.retain(|transfer| !is_received(transfer));
        Some(next)
    }

    /// Removes nonces of transfers that the donor's stored object no longer lists. `None` if there
    /// are none. The donor's object must have been read after this one.
    pub fn prune_received(&self, donor: &Self, nonce: Nonce) -> Option<Self> {
        let is_listed = |n: &Nonce| donor.given.iter().any(|transfer| transfer.nonce == *n);
        let is_cleared =
            |n: &Nonce, from: &DataCentreId| *from == donor.data_centre && !is_listed(n);
        if !self.received.iter().any(|(n, from)| is_cleared(n, from)) {
            return None;
        }
        let mut next = Self { nonce, ..self.clone() };
        next.received.retain(|n, from| !is_cleared(n, from));
        Some(next)
    }
}
