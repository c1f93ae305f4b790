//! The queued requests for one queue key, and their sums.

use std::cmp::Reverse;

use types::prelude::*;

use crate::fair_queue::FairQueue;
use crate::request::{Admitted, Ticket};

/// Index of a client account in `Admission::client_accounts`.
pub(crate) type ClientAccountIndex = u32;

/// Sort key of the requests of one client account: deadline, then priority, then arrival.
type Rank = (Instant, Reverse<u8>, Ticket);

/// Queued requests for one queue key.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    order: FairQueue<ClientAccountIndex, Rank>,
    /// First-token deadlines of all queued requests.
    deadlines: BTreeSet<(Instant, Ticket)>,
    worth_milli: u64,
}

impl Queue {
    pub(crate) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.deadlines.len()
    }

    pub(crate) fn worth_milli(&self) -> u64 {
        self.worth_milli
    }

    pub(crate) fn earliest_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    pub(crate) fn push(&mut self, client_account: ClientAccountIndex, request: &Admitted) {
        self.order.push(client_account, rank(request));
        self.deadlines.insert((request.first_token_by, request.ticket));
        self.worth_milli += u64::from(request.worth_milli);
    }

    pub(crate) fn remove(&mut self, client_account: ClientAccountIndex, request: &Admitted) {
        self.order.remove(client_account, rank(request));
        self.deadlines.remove(&(request.first_token_by, request.ticket));
        self.worth_milli -= u64::from(request.worth_milli);
    }

    /// Selects the next request of the eligible client account with the lowest start tag.
    pub(crate) fn select_next(
        &mut self,
        eligible: impl Fn(ClientAccountIndex) -> bool,
    ) -> Option<(ClientAccountIndex, Ticket)> {
        let (client_account, (_, _, ticket)) = self.order.select_next(eligible)?;
        Some((client_account, ticket))
    }

    /// Charges a client account for the work of a request that was selected.
    pub(crate) fn charge(&mut self, client_account: ClientAccountIndex, work: u32, weight: u32) {
        self.order.charge(client_account, work, weight);
    }
}

fn rank(request: &Admitted) -> Rank {
    (request.first_token_by, Reverse(request.priority), request.ticket)
}
