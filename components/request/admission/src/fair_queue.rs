//! Start-time fair queueing between client accounts that wait for the same model or service.

use std::cmp::Reverse;

use types::prelude::*;

use crate::request::{Admitted, Ticket};

/// Index of a client account within one `Admission`.
pub(crate) type ClientAccountIndex = u32;

/// Virtual time per unit of work at weight 1. A share of the whole still advances by 104 a unit.
const SCALE: u128 = 1 << 20;

/// Order of a client account's own requests: deadline, then priority, then arrival.
type Rank = (Instant, Reverse<u8>, Ticket);

/// Requests that wait for one queue key.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Start tag of the request served last; never falls while requests wait.
    virtual_time: u128,
    /// Client accounts seen since the queue was last empty.
    flows: HashMap<ClientAccountIndex, Flow>,
    /// Client accounts with waiting requests by start tag.
    order: BTreeSet<(u128, ClientAccountIndex)>,
    /// Deadlines of all waiting requests.
    deadlines: BTreeSet<(Instant, Ticket)>,
    worth_milli: u64,
}

#[derive(Debug, Default)]
struct Flow {
    /// Start tag of the client account's next request.
    tag: u128,
    requests: BTreeSet<Rank>,
}

impl FairQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
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
        let flow = self.flows.entry(client_account).or_default();
        if flow.requests.is_empty() {
            // A client account that was idle starts at the present virtual time, without saved credit.
            flow.tag = flow.tag.max(self.virtual_time);
            self.order.insert((flow.tag, client_account));
        }
        flow.requests.insert(rank(request));
        self.deadlines.insert((request.first_token_by, request.ticket));
        self.worth_milli += u64::from(request.worth_milli);
    }

    pub(crate) fn remove(&mut self, client_account: ClientAccountIndex, request: &Admitted) {
        if let Some(flow) = self.flows.get_mut(&client_account) {
            flow.requests.remove(&rank(request));
            if flow.requests.is_empty() {
                self.order.remove(&(flow.tag, client_account));
            }
        }
        self.deadlines.remove(&(request.first_token_by, request.ticket));
        self.worth_milli -= u64::from(request.worth_milli);
    }

    /// The client account and request to serve next among client accounts that are `eligible`.
    pub(crate) fn first(
        &mut self,
        eligible: impl Fn(ClientAccountIndex) -> bool,
    ) -> Option<(ClientAccountIndex, Ticket)> {
        let passed_over =
            self.order.iter().take_while(|(_, client_account)| !eligible(*client_account));
        let passed_over: Vec<_> = passed_over.copied().collect();
        let (tag, client_account) = *self.order.iter().nth(passed_over.len())?;
        // A client account at its own limit gives up its turn; otherwise it could later make up for all
        // the time it was held back and starve the others.
        for (old, held_back) in passed_over {
            self.order.remove(&(old, held_back));
            self.order.insert((tag, held_back));
            self.flows.entry(held_back).or_default().tag = tag;
        }
        self.virtual_time = self.virtual_time.max(tag);
        let flow = self.flows.get(&client_account)?;
        flow.requests.first().map(|(_, _, ticket)| (client_account, *ticket))
    }

    /// Charges a client account for work that it was given.
    pub(crate) fn charge(&mut self, client_account: ClientAccountIndex, work: u32, weight: u32) {
        let Some(flow) = self.flows.get_mut(&client_account) else { return };
        let queued = self.order.remove(&(flow.tag, client_account));
        flow.tag += u128::from(work.max(1)) * SCALE / u128::from(weight.max(1));
        if queued {
            self.order.insert((flow.tag, client_account));
        }
    }
}

fn rank(request: &Admitted) -> Rank {
    (request.first_token_by, Reverse(request.priority), request.ticket)
}
