//! Start-time fair queueing (SFQ) among the client accounts of one queue.

use std::hash::Hash;

use types::prelude::*;

/// Virtual time per unit of work at weight 1. The highest weight, 10 000 basis points, still
/// advances the start tag by 104 per unit, so integer division loses little.
const VIRTUAL_TIME_PER_WORK: u128 = 1 << 20;

/// Number of a turn. Among client accounts with the same start tag, the one that got it first is next.
type Turn = u64;

/// Queued requests of several client accounts. `A` names an account; `K` is a request, and orders the
/// requests of one account.
#[derive(Debug)]
pub(crate) struct FairQueue<A, K> {
    /// Start tag of the request selected last; never decreases.
    virtual_time: u128,
    /// Client accounts that have queued a request since the queue was created.
    flows: HashMap<A, Flow<K>>,
    /// Client accounts with queued requests, ordered by start tag and then by turn.
    active: BTreeSet<(u128, Turn, A)>,
    last_turn: Turn,
}

#[derive(Debug)]
struct Flow<K> {
    /// Virtual start time of the client account's next request.
    start_tag: u128,
    turn: Turn,
    requests: BTreeSet<K>,
}

impl<A, K> Default for FairQueue<A, K> {
    fn default() -> Self {
        Self { virtual_time: 0, flows: HashMap::new(), active: BTreeSet::new(), last_turn: 0 }
    }
}

impl<K> Default for Flow<K> {
    fn default() -> Self {
        Self { start_tag: 0, turn: 0, requests: BTreeSet::new() }
    }
}

impl<A: Copy + Ord + Hash, K: Copy + Ord> FairQueue<A, K> {
    pub(crate) fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Forgets client accounts without queued requests. Those that were served last may then be
    /// served once more before their turn.
    pub(crate) fn forget_idle(&mut self) {
        self.flows.retain(|_, flow| !flow.requests.is_empty());
    }

    /// Number of client accounts that are remembered.
    pub(crate) fn flows(&self) -> usize {
        self.flows.len()
    }

    pub(crate) fn push(&mut self, account: A, request: K) {
        let flow = self.flows.entry(account).or_default();
        if flow.requests.is_empty() {
            self.last_turn += 1;
            // An idle client account accumulates no credit: it starts at the current virtual time.
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            flow.turn = self.last_turn;
            self.active.insert((flow.start_tag, flow.turn, account));
        }
        flow.requests.insert(request);
    }

    pub(crate) fn remove(&mut self, account: A, request: K) {
        let Some(flow) = self.flows.get_mut(&account) else { return };
        flow.requests.remove(&request);
        if flow.requests.is_empty() {
            self.active.remove(&(flow.start_tag, flow.turn, account));
        }
    }

    /// Selects the next request of the eligible client account with the lowest start tag.
    pub(crate) fn select_next(&mut self, eligible: impl Fn(A) -> bool) -> Option<(A, K)> {
        let skipped = self.active.iter().take_while(|(_, _, account)| !eligible(*account));
        let skipped: Vec<_> = skipped.copied().collect();
        let (start_tag, _, account) = *self.active.iter().nth(skipped.len())?;
        // A client account at its concurrency limit loses its turn; otherwise it could later catch
        // up on all the time that it was blocked and starve the others.
        for (old_tag, turn, blocked) in skipped {
            self.active.remove(&(old_tag, turn, blocked));
            self.active.insert((start_tag, turn, blocked));
            self.flows.entry(blocked).or_default().start_tag = start_tag;
        }
        self.virtual_time = self.virtual_time.max(start_tag);
        let flow = self.flows.get(&account)?;
        flow.requests.first().map(|request| (account, *request))
    }

    /// Charges a client account for the work of a request that was selected.
    pub(crate) fn charge(&mut self, account: A, work: u32, weight: u32) {
        let Some(flow) = self.flows.get_mut(&account) else { return };
        let was_active = self.active.remove(&(flow.start_tag, flow.turn, account));
        flow.start_tag +=
            u128::from(work.max(1)) * VIRTUAL_TIME_PER_WORK / u128::from(weight.max(1));
        if was_active {
            self.last_turn += 1;
            flow.turn = self.last_turn;
            self.active.insert((flow.start_tag, flow.turn, account));
        }
    }
}
