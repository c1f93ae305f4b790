//! Limit shares: the share of the limits granted to this instance, and the grants that it makes
//! while it owns the group `limits/DATA_CENTRE`.

use admission::LocalLimits;
use admission::shares::{Grantee, Holder, HolderState, Rebalancer, ShareGrant, ShareRequest};
use front::IncomingRequest;
use types::prelude::*;

use crate::requests::Requests;
use crate::share_objects::VersionedShare;

/// Timeout for the holder's answer.
pub(crate) const SHARE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between attempts to get a first grant, or to read the share object.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// How long a client account counts as active after its last request. The size of messages and the
/// holder's work grow with the number of active client accounts.
const ACTIVE_TIME: Duration = Duration::from_secs(300);
/// Maximum time that the first request of a client account waits for a grant, which usually takes
/// about 2 ms.
const MAX_HOLD_TIME: Duration = Duration::from_secs(1);
/// Maximum number of requests that wait for a grant.
const MAX_HELD_REQUESTS: usize = 1024;

/// A request that waits because its client account has no share on this instance yet.
struct HeldRequest {
    arrival: IncomingRequest,
    until: Instant,
}

/// Limit shares of one instance.
pub(crate) struct Shares {
    grantee: Grantee,
    pub(crate) holder: Option<(Holder, Rebalancer)>,
    /// Fencing number under which this instance owns the limits group. `holder` is set once the
    /// share object has been read.
    holder_fencing: Option<FencingNumber>,
    is_reading: bool,
    next_read_at: Instant,
    /// When the next request to the holder is due.
    next_request_at: Instant,
    /// Until when the answer to a request in flight is awaited.
    answer_due_by: Option<Instant>,
    /// Until when each client account counts as active.
    active_until: HashMap<ClientAccountId, Instant>,
    held: Vec<HeldRequest>,
    /// Entry instances of the data centre in the platform's list.
    listed_instances: BTreeSet<InstanceId>,
    /// State received from a predecessor that stops as planned.
    predecessor_state: Option<HolderState>,
    /// State that this instance hands over at a planned stop.
    pub(crate) handover_state: Option<HolderState>,
    /// Client accounts whose limits admission has received.
    limited_accounts: HashSet<ClientAccountId>,
}

impl Shares {
    /// Creates the shares without any grant.
    pub(crate) fn new(instance: &str, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            grantee: Grantee::new(instance, incarnation),
            holder: None,
            holder_fencing: None,
            is_reading: false,
            next_read_at: now,
            next_request_at: now,
            answer_due_by: None,
            active_until: HashMap::new(),
            held: Vec::new(),
            listed_instances: BTreeSet::new(),
            predecessor_state: None,
            handover_state: None,
            limited_accounts: HashSet::new(),
        }
    }

    /// Starts reading the share object after the instance has become the holder of the data
    /// centre's limits.
    pub(crate) fn on_gained(&mut self, fencing: FencingNumber, now: Instant) {
        self.holder_fencing = Some(fencing);
        self.holder = None;
        self.is_reading = false;
        self.next_read_at = now;
    }

    /// Drops the holder's state after the instance has lost the limits.
    pub(crate) fn on_lost(&mut self) {
        self.holder_fencing = None;
        self.holder = None;
    }

    /// Handles the data centre's share object after it was read and rewritten; `None` if that
    /// failed.
    pub(crate) fn on_opened(
        &mut self,
        fencing: FencingNumber,
        opened: Option<VersionedShare>,
        now: Instant,
    ) {
        if self.holder_fencing != Some(fencing) {
            return;
        }
        self.is_reading = false;
        if let Some((holder, rebalancer)) = &mut self.holder {
            return rebalancer.on_opened(holder, opened, now);
        }
        let Some((version, share)) = opened else {
            self.next_read_at = now + RETRY_INTERVAL;
            return;
        };
        // Only the state of the direct predecessor contains all grants.
        let state = self.predecessor_state.take().filter(|state| state.fencing + 1 == fencing);
        let holding = share.holding.clone();
        let holder = match state {
            Some(state) => Holder::from_handover(fencing, holding, state, now),
            None => {
                let mut holder = Holder::new(fencing, holding, now);
                holder.set_listed(self.listed_instances.clone());
                holder
            }
        };
        self.holder = Some((holder, Rebalancer::new(version, share, now)));
    }

    /// Returns the holder and its rebalancer if the limits are held under this fencing number.
    pub(crate) fn holder_and_rebalancer(
        &mut self,
        fencing: FencingNumber,
    ) -> Option<&mut (Holder, Rebalancer)> {
        self.holder.as_mut().filter(|_| self.holder_fencing == Some(fencing))
    }

    /// Returns the fencing number under which this instance holds the limits.
    pub(crate) fn holder_fencing(&self) -> Option<FencingNumber> {
        self.holder_fencing
    }

    /// Answers a share request. Grants last longer while the platform is unreachable.
    pub(crate) fn grant(
        &mut self,
        request: &ShareRequest,
        is_platform_failing: bool,
        now: Instant,
    ) -> Option<ShareGrant> {
        let (holder, _) = self.holder.as_mut()?;
        holder.set_outage(is_platform_failing);
        holder.grant(request, now)
    }

    /// Handles the loss of the lease, after which another holder may exist.
    pub(crate) fn on_lease_lost(&mut self) {
        if let Some((holder, rebalancer)) = &mut self.holder {
            holder.on_lease_lost();
            rebalancer.on_lease_lost();
        }
    }

    /// Sets the entry instances of the data centre in the platform's list.
    pub(crate) fn set_listed(&mut self, listed: BTreeSet<InstanceId>) {
        if let Some((holder, _)) = &mut self.holder {
            holder.set_listed(listed.clone());
        }
        self.listed_instances = listed;
    }

    /// Ends the grants at a planned stop and returns the state for the successor.
    pub(crate) fn hand_over(&mut self, now: Instant) -> Option<HolderState> {
        self.holder.take().map(|(holder, _)| holder.hand_over(now))
    }

    /// Stores the state of a predecessor that stops as planned.
    pub(crate) fn on_predecessor_state(&mut self, state: HolderState) {
        self.predecessor_state = Some(state);
    }

    /// Applies a grant, or schedules another request if there was none.
    pub(crate) fn on_grant(&mut self, grant: Option<ShareGrant>, now: Instant) {
        self.answer_due_by = None;
        let applied = grant.is_some_and(|grant| self.grantee.apply(grant));
        self.next_request_at = match self.grantee.renew_at().filter(|_| applied) {
            Some(renew_at) => renew_at,
            None => now + RETRY_INTERVAL,
        };
    }

    /// Returns whether a grant is valid. Without one, admission refuses every request.
    pub(crate) fn has_grant(&self, now: Instant) -> bool {
        self.grantee.expires_at().is_some_and(|ends_at| now < ends_at)
    }

    /// Returns a request that can be admitted now. Holds it back and returns `None` if its client
    /// account has to wait for a first grant.
    pub(crate) fn admit_or_hold(
        &mut self,
        arrival: IncomingRequest,
        cfg: &Configuration,
        now: Instant,
    ) -> Option<IncomingRequest> {
        let Some(contract) = cfg.contracts.get(&arrival.client_account) else {
            return Some(arrival);
        };
        self.active_until.insert(arrival.client_account.clone(), now + ACTIVE_TIME);
        let limits = self.grantee.limits(&arrival.client_account, &contract.limits, now);
        if limits != LocalLimits::default() || self.held.len() >= MAX_HELD_REQUESTS {
            return Some(arrival);
        }
        self.next_request_at = now;
        self.held.push(HeldRequest { arrival, until: now + MAX_HOLD_TIME });
        None
    }

    /// Removes and returns the held requests whose client account has a share now or whose wait has
    /// ended.
    pub(crate) fn release_held(
        &mut self,
        cfg: &Configuration,
        now: Instant,
    ) -> Vec<IncomingRequest> {
        let grantee = &self.grantee;
        let has_share = |arrival: &IncomingRequest| {
            let contract = cfg.contracts.get(&arrival.client_account);
            contract.is_none_or(|contract| {
                let limits = grantee.limits(&arrival.client_account, &contract.limits, now);
                limits != LocalLimits::default()
            })
        };
        let (ready, held): (Vec<HeldRequest>, Vec<HeldRequest>) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|held| held.until <= now || has_share(&held.arrival));
        self.held = held;
        ready.into_iter().map(|held| held.arrival).collect()
    }

    /// Returns whether requests wait for a grant.
    pub(crate) fn has_held_requests(&self) -> bool {
        !self.held.is_empty()
    }

    /// Passes the granted limits to admission.
    pub(crate) fn apply(&mut self, requests: &mut Requests, cfg: &Configuration, now: Instant) {
        for (client_account, contract) in &cfg.contracts {
            let limits = self.grantee.limits(client_account, &contract.limits, now);
            // The first limits that admission receives also fill the client account's token bucket.
            if limits != LocalLimits::default() || self.limited_accounts.contains(client_account) {
                requests.set_limits(client_account, limits, now);
                self.limited_accounts.insert(client_account.clone());
            }
        }
        self.limited_accounts.retain(|client_account| cfg.contracts.contains_key(client_account));
    }

    /// Returns the fencing number if the share object has to be read now, and marks the read as
    /// started.
    pub(crate) fn due_share_read(&mut self, now: Instant) -> Option<FencingNumber> {
        let is_missing = self.holder_fencing.is_some() && self.holder.is_none();
        if !is_missing || self.is_reading || now < self.next_read_at {
            return None;
        }
        self.is_reading = true;
        self.holder_fencing
    }

    /// Returns the request to send to the holder, if one is due.
    pub(crate) fn due_request(
        &mut self,
        requests: &Requests,
        cfg: &Configuration,
        holder: FencingNumber,
        now: Instant,
    ) -> Option<ShareRequest> {
        if now < self.next_request_at || self.answer_due_by.is_some_and(|until| now < until) {
            return None;
        }
        self.drop_inactive(now);
        for client_account in self.active_until.keys() {
            let Some(contract) = cfg.contracts.get(client_account) else { continue };
            let (waiting, running) = requests.admission.request_counts(client_account);
            let held =
                self.held.iter().filter(|h| h.arrival.client_account == *client_account).count();
            let queued = waiting + held as u64;
            let need = LocalLimits { rate_milli: 0, concurrent: running + queued, queued };
            self.grantee.set_need(client_account, need, &contract.limits);
        }
        self.answer_due_by = Some(now + SHARE_TIMEOUT);
        self.next_request_at = now + RETRY_INTERVAL;
        Some(self.grantee.request(holder, now))
    }

    /// Postpones a request that is due while no holder is known, so that its timer does not fire
    /// again at once.
    pub(crate) fn defer_request(&mut self, now: Instant) {
        if self.next_request_at <= now {
            self.next_request_at = now + RETRY_INTERVAL;
        }
    }

    fn drop_inactive(&mut self, now: Instant) {
        let inactive: Vec<ClientAccountId> = self
            .active_until
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(c, _)| c.clone())
            .collect();
        for client_account in inactive {
            self.active_until.remove(&client_account);
            self.grantee.clear_need(&client_account);
        }
    }

    /// Returns when the next request is due or the next held request stops waiting.
    pub(crate) fn next_timer(&self) -> Instant {
        let request_at = self
            .answer_due_by
            .map_or(self.next_request_at, |until| until.max(self.next_request_at));
        let hold_ends_at = self.held.iter().map(|held| held.until).min();
        hold_ends_at.map_or(request_at, |until| until.min(request_at))
    }
}
