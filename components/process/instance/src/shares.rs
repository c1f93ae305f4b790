//! Limit shares: what this instance may use, and what it grants while it holds the group
//! `limits/DATA_CENTRE`.

use admission::LocalLimits;
use admission::shares::{Grantee, Holder, HolderState, Rebalancer, ShareGrant, ShareRequest};
use front::IncomingRequest;
use types::prelude::*;

use crate::requests::Requests;
use crate::share_objects::Opened;

/// Time for the holder to answer.
pub(crate) const SHARE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between attempts to get a first grant, or to read the share object.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// How long a client account counts as active after its last request. Messages and the holder's work grow
/// with the active client accounts.
const ACTIVE_TIME: Duration = Duration::from_secs(300);
/// Longest time that the first request of a client account waits for a grant, which takes some 2 ms.
const HOLD_TIME: Duration = Duration::from_secs(1);
/// Requests that wait for a grant at one time.
const MAX_HELD: usize = 1024;

/// A request whose client account has no share on this instance yet.
struct Held {
    arrival: IncomingRequest,
    until: Instant,
}

/// Limit shares of one instance.
pub(crate) struct Shares {
    grantee: Grantee,
    pub(crate) holder: Option<(Holder, Rebalancer)>,
    /// Fencing number under which the group is held; the holder follows once the share is read.
    held_under: Option<FencingNumber>,
    is_reading: bool,
    read_at: Instant,
    /// When the holder is asked next.
    ask_at: Instant,
    /// An answer is waited for until then.
    in_flight: Option<Instant>,
    /// Until when each client account counts as active.
    active: HashMap<ClientAccountId, Instant>,
    waiting: Vec<Held>,
    /// Instances of the data centre in the platform's list.
    listed: BTreeSet<InstanceId>,
    /// State of a predecessor that stops as planned.
    handed_over: Option<HolderState>,
    /// State that this instance hands over.
    pub(crate) to_hand_over: Option<HolderState>,
    /// Client accounts for which admission has limits.
    limited: HashSet<ClientAccountId>,
}

impl Shares {
    /// Nothing granted.
    pub(crate) fn new(instance: &str, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            grantee: Grantee::new(instance, incarnation),
            holder: None,
            held_under: None,
            is_reading: false,
            read_at: now,
            ask_at: now,
            in_flight: None,
            active: HashMap::new(),
            waiting: Vec::new(),
            listed: BTreeSet::new(),
            handed_over: None,
            to_hand_over: None,
            limited: HashSet::new(),
        }
    }

    /// The instance holds the data centre's limits from now on.
    pub(crate) fn gained(&mut self, fencing: FencingNumber, now: Instant) {
        self.held_under = Some(fencing);
        self.holder = None;
        self.is_reading = false;
        self.read_at = now;
    }

    /// The instance holds the limits no longer.
    pub(crate) fn lost(&mut self) {
        self.held_under = None;
        self.holder = None;
    }

    /// Takes the data centre's standing share as read and written again.
    pub(crate) fn on_opened(
        &mut self,
        fencing: FencingNumber,
        opened: Option<Opened>,
        now: Instant,
    ) {
        if self.held_under != Some(fencing) {
            return;
        }
        self.is_reading = false;
        if let Some((holder, mover)) = &mut self.holder {
            return mover.on_opened(holder, opened, now);
        }
        let Some((version, share)) = opened else {
            self.read_at = now + RETRY_INTERVAL;
            return;
        };
        // Only the state of the direct predecessor names all grants.
        let state = self.handed_over.take().filter(|state| state.fencing + 1 == fencing);
        let holding = share.holding.clone();
        let holder = match state {
            Some(state) => Holder::from_handover(fencing, holding, state, now),
            None => {
                let mut holder = Holder::new(fencing, holding, now);
                holder.set_listed(self.listed.clone());
                holder
            }
        };
        self.holder = Some((holder, Rebalancer::new(version, share, now)));
    }

    /// The holder and its mover under this fencing number.
    pub(crate) fn mover(&mut self, fencing: FencingNumber) -> Option<&mut (Holder, Rebalancer)> {
        self.holder.as_mut().filter(|_| self.held_under == Some(fencing))
    }

    /// The fencing number under which the limits are held.
    pub(crate) fn held_under(&self) -> Option<FencingNumber> {
        self.held_under
    }

    /// Answers a request. While the platform is away, grants last longer.
    pub(crate) fn grant(
        &mut self,
        request: &ShareRequest,
        platform_is_away: bool,
        now: Instant,
    ) -> Option<ShareGrant> {
        let (holder, _) = self.holder.as_mut()?;
        holder.set_outage(platform_is_away);
        holder.grant(request, now)
    }

    /// The lease lapsed: another holder may exist.
    pub(crate) fn lapsed(&mut self) {
        if let Some((holder, mover)) = &mut self.holder {
            holder.on_lease_lost();
            mover.on_lease_lost();
        }
    }

    /// Takes the instances of the data centre in the platform's list.
    pub(crate) fn set_listed(&mut self, listed: BTreeSet<InstanceId>) {
        if let Some((holder, _)) = &mut self.holder {
            holder.set_listed(listed.clone());
        }
        self.listed = listed;
    }

    /// Ends the grants at a planned stop; the state goes to the successor.
    pub(crate) fn hand_over(&mut self, now: Instant) -> Option<HolderState> {
        self.holder.take().map(|(holder, _)| holder.hand_over(now))
    }

    /// Takes the state of a predecessor that stops as planned.
    pub(crate) fn on_handed_over(&mut self, state: HolderState) {
        self.handed_over = Some(state);
    }

    /// Applies a grant, or notes that there was none.
    pub(crate) fn on_grant(&mut self, grant: Option<ShareGrant>, now: Instant) {
        self.in_flight = None;
        let applied = grant.is_some_and(|grant| self.grantee.apply(grant));
        self.ask_at = match self.grantee.renew_at().filter(|_| applied) {
            Some(renew_at) => renew_at,
            None => now + RETRY_INTERVAL,
        };
    }

    /// Whether limits were granted; without them every request would be refused.
    pub(crate) fn has_grant(&self, now: Instant) -> bool {
        self.grantee.expires_at().is_some_and(|ends_at| now < ends_at)
    }

    /// Takes a request in. The first one of a client account without a share waits for a grant.
    pub(crate) fn take_in(
        &mut self,
        arrival: IncomingRequest,
        cfg: &Configuration,
        now: Instant,
    ) -> Option<IncomingRequest> {
        let Some(contract) = cfg.contracts.get(&arrival.client_account) else {
            return Some(arrival);
        };
        self.active.insert(arrival.client_account.clone(), now + ACTIVE_TIME);
        let limits = self.grantee.limits(&arrival.client_account, &contract.limits, now);
        if limits != LocalLimits::default() || self.waiting.len() >= MAX_HELD {
            return Some(arrival);
        }
        self.ask_at = now;
        self.waiting.push(Held { arrival, until: now + HOLD_TIME });
        None
    }

    /// Requests that need not wait any longer, because their client account has a share or because they
    /// have waited long enough.
    pub(crate) fn release(&mut self, cfg: &Configuration, now: Instant) -> Vec<IncomingRequest> {
        let grantee = &self.grantee;
        let has_share = |arrival: &IncomingRequest| {
            let contract = cfg.contracts.get(&arrival.client_account);
            contract.is_none_or(|contract| {
                let limits = grantee.limits(&arrival.client_account, &contract.limits, now);
                limits != LocalLimits::default()
            })
        };
        let (ready, waiting): (Vec<Held>, Vec<Held>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|held| held.until <= now || has_share(&held.arrival));
        self.waiting = waiting;
        ready.into_iter().map(|held| held.arrival).collect()
    }

    /// Whether requests wait for a grant.
    pub(crate) fn is_holding_requests(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Sets what this instance may use.
    pub(crate) fn apply(&mut self, requests: &mut Requests, cfg: &Configuration, now: Instant) {
        for (client_account, contract) in &cfg.contracts {
            let limits = self.grantee.limits(client_account, &contract.limits, now);
            // The first limits that admission gets also fill the client account's token bucket.
            if limits != LocalLimits::default() || self.limited.contains(client_account) {
                requests.set_limits(client_account, limits, now);
                self.limited.insert(client_account.clone());
            }
        }
        self.limited.retain(|client_account| cfg.contracts.contains_key(client_account));
    }

    /// Whether the share object has to be read now.
    pub(crate) fn wants_holding(&mut self, now: Instant) -> Option<FencingNumber> {
        let wanted = self.held_under.is_some() && self.holder.is_none();
        if !wanted || self.is_reading || now < self.read_at {
            return None;
        }
        self.is_reading = true;
        self.held_under
    }

    /// The request to send to the holder now, if one is due.
    pub(crate) fn due_request(
        &mut self,
        requests: &Requests,
        cfg: &Configuration,
        holder: FencingNumber,
        now: Instant,
    ) -> Option<ShareRequest> {
        if now < self.ask_at || self.in_flight.is_some_and(|until| now < until) {
            return None;
        }
        self.drop_inactive(now);
        for client_account in self.active.keys() {
            let Some(contract) = cfg.contracts.get(client_account) else { continue };
            let (waiting, running) = requests.admission.request_counts(client_account);
            let held =
                self.waiting.iter().filter(|h| h.arrival.client_account == *client_account).count();
            let queued = waiting + held as u64;
            let need = LocalLimits { rate_milli: 0, concurrent: running + queued, queued };
            self.grantee.set_need(client_account, need, &contract.limits);
        }
        self.in_flight = Some(now + SHARE_TIMEOUT);
        self.ask_at = now + RETRY_INTERVAL;
        Some(self.grantee.request(holder, now))
    }

    /// Puts off a request that is due while no holder is known, so that its timer moves.
    pub(crate) fn put_off_request(&mut self, now: Instant) {
        if self.ask_at <= now {
            self.ask_at = now + RETRY_INTERVAL;
        }
    }

    fn drop_inactive(&mut self, now: Instant) {
        let inactive: Vec<ClientAccountId> = self
            .active
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(c, _)| c.clone())
            .collect();
        for client_account in inactive {
            self.active.remove(&client_account);
            self.grantee.clear_need(&client_account);
        }
    }

    /// When something is due.
    pub(crate) fn next_timer(&self) -> Instant {
        let ask = self.in_flight.map_or(self.ask_at, |until| until.max(self.ask_at));
        let held = self.waiting.iter().map(|held| held.until).min();
        held.map_or(ask, |until| until.min(ask))
    }
}
