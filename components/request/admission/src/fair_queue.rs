//! Start-time fair queueing (SFQ) among the client accounts of one queue.

use std::cmp::Reverse;

use types::prelude::*;

use crate::request::{Admitted, Ticket};

/// Index of a client account in `Admission::client_accounts`.
pub(crate) type ClientAccountIndex = u32;

/// Virtual time per unit of work at weight 1. The highest weight, 10 000 basis points, still
/// advances the start tag by 104 per unit, so integer division loses little.
const VIRTUAL_TIME_PER_WORK: u128 = 1 << 20;

/// Sort key of the requests of one client account: deadline, then priority, then arrival.
type Rank = (Instant, Reverse<u8>, Ticket);

/// Queued requests for one queue key.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Start tag of the request selected last; never decreases while requests are queued.
    virtual_time: u128,
    /// Client accounts that have queued a request since the queue was last empty.
    flows: HashMap<ClientAccountIndex, Flow>,
    /// Client accounts with queued requests, ordered by start tag.
    active: BTreeSet<(u128, ClientAccountIndex)>,
    /// First-token deadlines of all queued requests.
    deadlines: BTreeSet<(Instant, Ticket)>,
    worth_milli: u64,
}

#[derive(Debug, Default)]
struct Flow {
    /// Virtual start time of the client account's next request.
    start_tag: u128,
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
            // An idle client account accumulates no credit: it starts at the current virtual time.
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.active.insert((flow.start_tag, client_account));
        }
        flow.requests.insert(rank(request));
        self.deadlines.insert((request.first_token_by, request.ticket));
        self.worth_milli += u64::from(request.worth_milli);
    }

    pub(crate) fn remove(&mut self, client_account: ClientAccountIndex, request: &Admitted) {
        if let Some(flow) = self.flows.get_mut(&client_account) {
            flow.requests.remove(&rank(request));
            if flow.requests.is_empty() {
                self.active.remove(&(flow.start_tag, client_account));
            }
        }
        self.deadlines.remove(&(request.first_token_by, request.ticket));
        self.worth_milli -= u64::from(request.worth_milli);
    }

    /// Selects the next request of the eligible client account with the lowest start tag.
    pub(crate) fn select_next(
        &mut self,
        eligible: impl Fn(ClientAccountIndex) -> bool,
    ) -> Option<(ClientAccountIndex, Ticket)> {
        let skipped =
            self.active.iter().take_while(|(_, client_account)| !eligible(*client_account));
        let skipped: Vec<_> = skipped.copied().collect();
        let (start_tag, client_account) = *self.active.iter().nth(skipped.len())?;
        // A client account at its concurrency limit loses its turn; otherwise it could later catch
        // up on all the time that it was blocked and starve the others.
        for (old_tag, blocked) in skipped {
            self.active.remove(&(old_tag, blocked));
            self.active.insert((start_tag, blocked));
            self.flows.entry(blocked).or_default().start_tag = start_tag;
        }
        self.virtual_time = self.virtual_time.max(start_tag);
        let flow = self.flows.get(&client_account)?;
        flow.requests.first().map(|(_, _, ticket)| (client_account, *ticket))
    }

    /// Charges a client account for the work of a request that was selected.
    pub(crate) fn charge(&mut self, client_account: ClientAccountIndex, work: u32, weight: u32) {
        let Some(flow) = self.flows.get_mut(&client_account) else { return };
        let was_active = self.active.remove(&(flow.start_tag, client_account));
        flow.start_tag +=
            u128::from(work.max(1)) * VIRTUAL_TIME_PER_WORK / u128::from(weight.max(1));
        if was_active {
            self.active.insert((flow.start_tag, client_account));
        }
    }
}

fn rank(request: &Admitted) -> Rank {
    (request.first_token_by, Reverse(request.priority), request.ticket)
}
