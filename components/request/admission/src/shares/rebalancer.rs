//! Moves parts of the limits between data centres according to demand.

use types::prelude::*;

use super::data_centre_share::{DataCentreShare, Holding};
use super::holder::{GRANT_MARGIN, GRANT_TERM, Holder, RENEW_INTERVAL};
use super::interval_set::SPAN_LENGTH;

/// Time for which demand must be unmet before parts are requested from other data centres.
/// Instances report their demand every `RENEW_INTERVAL`, and a burst of less than two renewals
/// would end before a transfer does.
pub const MIN_UNMET_TIME: Duration = Duration::from_secs(2 * RENEW_INTERVAL.as_secs());
/// Minimum time for which a data centre keeps received parts. It is several times the duration of a
/// transfer, so that parts do not oscillate between data centres with fluctuating demand.
pub const RETENTION_TIME: Duration = Duration::from_secs(60);
/// Minimum length of a transfer, per client account. It bounds the fragmentation of a limit and
/// thereby the size of the share objects.
pub const MIN_TRANSFER_LENGTH: u64 = SPAN_LENGTH / 256;
/// Maximum number of client accounts in a request to another data centre, which limits the request
/// to about 2 KB.
pub const MAX_ACCOUNTS_PER_REQUEST: usize = 32;
/// Minimum time between two requests to the same data centre.
const REQUEST_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which the shares of the other data centres in open transfers are read, in case a
/// notification was lost.
const SYNC_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which demand and the grants of withheld parts are checked.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the grants of withheld parts to expire: the term of a regular grant and one renewal.
const DONATION_TIMEOUT: Duration =
    Duration::from_secs(GRANT_TERM.as_secs() + GRANT_MARGIN.as_secs() + RENEW_INTERVAL.as_secs());

/// Action that the event loop has to perform for the rebalancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RebalanceAction {
    /// Read `share/OWN` and write it back with a new nonce, so that no delayed earlier write can
    /// take effect. The result goes to [`Rebalancer::on_opened`].
    Open,
    /// Write `share/OWN` if it still has this version. The result goes to
    /// [`Rebalancer::on_written`].
    Write {
        /// Version that the next value is based on.
        version: ObjectVersion,
        /// New value.
        value: DataCentreShare,
    },
    /// Read the share of another data centre. The result goes to [`Rebalancer::on_other_share`].
    Read(DataCentreId),
    /// Request parts from the holder of another data centre. The reply goes to
    /// [`Rebalancer::on_offer`].
    RequestParts {
        /// Data centre that is to donate.
        to: DataCentreId,
        /// Missing lengths by client account.
        unmet: BTreeMap<ClientAccountId, u64>,
    },
    /// Notify the holder of another data centre that `share/OWN` has changed. The message may be
    /// lost.
    Notify(DataCentreId),
}

/// Platform call in flight; at most one at a time.
#[derive(Debug)]
enum PlatformCall {
    Idle,
    Opening,
    Reading { other: DataCentreId, is_periodic: bool },
    Writing { value: Box<DataCentreShare>, other: DataCentreId },
}

/// Parts promised to another data centre. The grants of them must expire before they are given.
#[derive(Debug)]
struct Donation {
    to: DataCentreId,
    holding: Holding,
    until: Instant,
}

/// Lengths that another data centre has promised.
#[derive(Debug)]
struct Promise {
    lengths: BTreeMap<ClientAccountId, u64>,
    until: Instant,
}

/// Transfers parts between the share of this data centre and those of others. Belongs to a
/// [`Holder`].
///
/// Each write is conditional on the version of `share/OWN` that this holder's previous write
/// produced. The first write of a later holder therefore makes all further writes of an earlier one
/// fail, even those in flight or from a process that was paused.
#[derive(Debug)]
pub struct Rebalancer {
    /// Object as last written by this holder; `None` while the outcome of a write is unknown.
    stored: Option<(ObjectVersion, DataCentreShare)>,
    call: PlatformCall,
    is_lease_lost: bool,
    donation: Option<Donation>,
    promises: BTreeMap<DataCentreId, Promise>,
    unmet_since: BTreeMap<ClientAccountId, Instant>,
    /// Time until which parts of these client accounts are retained, because some were received.
    retained_until: BTreeMap<ClientAccountId, Instant>,
    requested_at: BTreeMap<DataCentreId, Instant>,
    /// Deadline for the reply to the request in flight.
    reply_deadline: Option<Instant>,
    /// Data centres whose share has to be read.
    pending_reads: BTreeSet<DataCentreId>,
    next_sync_at: Instant,
    next_tick_at: Instant,
}

impl Rebalancer {
    /// Creates the rebalancer of a new holder from the object that the holder has just written.
    pub fn new(version: ObjectVersion, share: DataCentreShare, now: Instant) -> Self {
        Self {
            stored: Some((version, share)),
            call: PlatformCall::Idle,
            is_lease_lost: false,
            donation: None,
            promises: BTreeMap::new(),
            unmet_since: BTreeMap::new(),
            retained_until: BTreeMap::new(),
            requested_at: BTreeMap::new(),
            reply_deadline: None,
            pending_reads: BTreeSet::new(),
            next_sync_at: now,
            next_tick_at: now,
        }
    }

    /// Stops all transfers, because the holder has lost its lease.
    pub fn on_lease_lost(&mut self) {
        self.is_lease_lost = true;
    }

    /// Returns the actions that are due, or none while the platform is unreachable. `others` are
    /// the reachable data centres.
    pub fn on_timer(
        &mut self,
        holder: &mut Holder,
        others: &[DataCentreId],
        is_platform_unreachable: bool,
        nonce: Nonce,
        now: Instant,
    ) -> Vec<RebalanceAction> {
        let mut actions = Vec::new();
        if now < self.next_tick_at && self.pending_reads.is_empty() {
            return actions;
        }
        self.next_tick_at = now + TICK_INTERVAL;
        self.cancel_overdue_donation(holder, now);
        if self.is_lease_lost || is_platform_unreachable {
            return actions;
        }
        if matches!(self.call, PlatformCall::Idle) {
            actions.extend(self.next_call(holder, nonce, now));
        }
        actions.extend(self.request_parts(holder, others, now));
        actions
    }

    fn next_call(
        &mut self,
        holder: &mut Holder,
        nonce: Nonce,
        now: Instant,
    ) -> Option<RebalanceAction> {
        let Some((version, stored)) = &self.stored else {
            self.call = PlatformCall::Opening;
            return Some(RebalanceAction::Open);
        };
        let is_free = |donation: &Donation| holder.is_free(&donation.holding, now);
        if let Some(donation) = self.donation.as_ref().filter(|donation| is_free(donation)) {
            let (version, to) = (*version, donation.to.clone());
            match stored.give(&to, &donation.holding, nonce) {
                Some(value) => return Some(self.write(version, value, to)),
                None => self.end_donation(holder),
            }
        }
        self.next_read(now)
    }

    fn next_read(&mut self, now: Instant) -> Option<RebalanceAction> {
        let mut is_periodic = false;
        if self.pending_reads.is_empty() && self.next_sync_at <= now {
            self.next_sync_at = now + SYNC_INTERVAL;
            let (_, stored) = self.stored.as_ref()?;
            let open = stored.given.iter().map(|t| &t.to).chain(stored.received.values());
            self.pending_reads = open.cloned().collect();
            is_periodic = true;
        }
        let other = self.pending_reads.pop_first()?;
        self.call = PlatformCall::Reading { other: other.clone(), is_periodic };
        Some(RebalanceAction::Read(other))
    }

    fn write(
        &mut self,
        version: ObjectVersion,
        value: DataCentreShare,
        other: DataCentreId,
    ) -> RebalanceAction {
        self.call = PlatformCall::Writing { value: Box::new(value.clone()), other };
        RebalanceAction::Write { version, value }
    }

    /// Handles the result of `Open`; `None` if the object could not be read and written. After a
    /// successful `Open`, the outcomes of all earlier writes are known.
    pub fn on_opened(
        &mut self,
        holder: &mut Holder,
        opened: Option<(ObjectVersion, DataCentreShare)>,
        now: Instant,
    ) {
        self.call = PlatformCall::Idle;
        let Some((version, share)) = opened else { return };
        self.finish_donation(holder, &share.holding);
        self.apply_stored(holder, version, share, now);
    }

    /// Applies the stored object to the holder and to the state of promises and retention.
    fn apply_stored(
        &mut self,
        holder: &mut Holder,
        version: ObjectVersion,
        share: DataCentreShare,
        now: Instant,
    ) {
        let gained = share.holding.difference(holder.holding());
        let gained = gained.by_client_account.into_iter().filter(|(_, parts)| !parts.is_empty());
        self.retained_until
            .extend(gained.map(|(client_account, _)| (client_account, now + RETENTION_TIME)));
        let is_received = |from: &DataCentreId| share.received.values().any(|d| d == from);
        self.promises.retain(|from, _| !is_received(from));
        holder.set_holding(share.holding.clone());
        self.stored = Some((version, share));
    }

    /// Handles the share of another data centre; `None` if it could not be read.
    pub fn on_other_share(
        &mut self,
        other: Option<&DataCentreShare>,
        nonce: Nonce,
    ) -> Vec<RebalanceAction> {
        let PlatformCall::Reading { other: name, is_periodic } =
            std::mem::replace(&mut self.call, PlatformCall::Idle)
        else {
            return Vec::new();
        };
        let (Some(other), Some((version, stored))) = (other, &self.stored) else {
            return Vec::new();
        };
        if self.is_lease_lost {
            return Vec::new();
        }
        // No transfer can be received twice: the other object was read after this one was written,
        // and the write below fails if this one has changed.
        let mut next = stored.clone();
        for transfer in &other.given {
            next = next.receive(transfer, nonce).unwrap_or(next);
        }
        next = next.prune_given(other, nonce).unwrap_or(next);
        next = next.prune_received(other, nonce).unwrap_or(next);
        if next != *stored {
            let version = *version;
            return vec![self.write(version, next, name)];
        }
        // The notification about the transfer may have been lost.
        let is_open = stored.given.iter().any(|transfer| transfer.to == name);
        if is_periodic && is_open { vec![RebalanceAction::Notify(name)] } else { Vec::new() }
    }

    /// Handles the outcome of a write: the new version, or `None` if the write may have failed.
    pub fn on_written(
        &mut self,
        holder: &mut Holder,
        version: Option<ObjectVersion>,
        now: Instant,
    ) -> Vec<RebalanceAction> {
        let PlatformCall::Writing { value, other } =
            std::mem::replace(&mut self.call, PlatformCall::Idle)
        else {
            return Vec::new();
        };
        let before = self.stored.take();
        self.next_tick_at = now;
        let Some(version) = version else { return Vec::new() };
        if before.is_some_and(|(_, before)| before.given.len() < value.given.len()) {
            self.finish_donation(holder, &value.holding);
        }
        self.apply_stored(holder, version, *value, now);
        vec![RebalanceAction::Notify(other)]
    }

    /// Handles a request of another data centre and returns the lengths promised to it. The parts
    /// are given once the grants of them have expired.
    pub fn on_parts_requested(
        &mut self,
        holder: &mut Holder,
        from: &str,
        unmet: &BTreeMap<ClientAccountId, u64>,
        now: Instant,
    ) -> BTreeMap<ClientAccountId, u64> {
        if self.is_lease_lost || self.donation.is_some() || self.stored.is_none() {
            return BTreeMap::new();
        }
        self.retained_until.retain(|_, until| now < *until);
        let is_transferable =
            |client_account: &ClientAccountId| !self.retained_until.contains_key(client_account);
        let eligible = unmet
            .iter()
            .filter(|(client_account, _)| is_transferable(client_account))
            .take(MAX_ACCOUNTS_PER_REQUEST);
        let mut holding = holder.donation(&eligible.map(|(c, n)| (c.clone(), *n)).collect());
        holding.by_client_account.retain(|_, parts| parts.length() >= MIN_TRANSFER_LENGTH);
        let lengths: BTreeMap<_, _> = holding
            .by_client_account
            .iter()
            .map(|(c, parts)| (c.clone(), parts.length()))
            .collect();
        if !lengths.is_empty() {
            holder.withhold(&holding);
            self.donation =
                Some(Donation { to: from.into(), holding, until: now + DONATION_TIMEOUT });
        }
        lengths
    }

    /// Handles the reply to a request for parts; `None` if there was no reply.
    pub fn on_offer(
        &mut self,
        from: &str,
        lengths: Option<BTreeMap<ClientAccountId, u64>>,
        now: Instant,
    ) {
        self.reply_deadline = None;
        self.next_tick_at = now;
        if let Some(lengths) = lengths.filter(|lengths| !lengths.is_empty()) {
            self.promises.insert(from.into(), Promise { lengths, until: now + DONATION_TIMEOUT });
        }
    }

    /// Schedules a read of the share of another data centre, which has changed.
    pub fn on_other_share_changed(&mut self, from: &str) {
        self.pending_reads.insert(from.into());
    }

    fn request_parts(
        &mut self,
        holder: &Holder,
        others: &[DataCentreId],
        now: Instant,
    ) -> Option<RebalanceAction> {
        let mut unmet = holder.unmet();
        self.unmet_since.retain(|client_account, _| unmet.contains_key(client_account));
        for client_account in unmet.keys() {
            self.unmet_since.entry(client_account.clone()).or_insert(now);
        }
        self.promises.retain(|_, promise| now < promise.until);
        if self.reply_deadline.is_some_and(|until| now < until) {
            return None;
        }
        let is_due = |since: &Instant| now >= *since + MIN_UNMET_TIME;
        unmet.retain(|client_account, _| self.unmet_since.get(client_account).is_some_and(is_due));
        for (client_account, length) in self.promises.values().flat_map(|promise| &promise.lengths)
        {
            if let Some(missing) = unmet.get_mut(client_account) {
                *missing = missing.saturating_sub(*length);
            }
        }
        let missing = unmet.into_iter().filter(|(_, missing)| *missing > 0);
        let unmet: BTreeMap<_, _> = missing
            .map(|(client_account, n)| (client_account, n.max(MIN_TRANSFER_LENGTH)))
            .take(MAX_ACCOUNTS_PER_REQUEST)
            .collect();
        let can_request = |other: &&DataCentreId| {
            let requested_at = self.requested_at.get(*other);
            requested_at.is_none_or(|at| now >= *at + REQUEST_INTERVAL)
                && !self.promises.contains_key(*other)
        };
        // One request at a time; otherwise several data centres could donate for the same demand.
        let to =
            others.iter().filter(can_request).min_by_key(|other| self.requested_at.get(*other))?;
        if unmet.is_empty() {
            return None;
        }
        self.requested_at.insert(to.clone(), now);
        self.reply_deadline = Some(now + REQUEST_INTERVAL);
        Some(RebalanceAction::RequestParts { to: to.clone(), unmet })
    }

    /// Cancels a donation after `DONATION_TIMEOUT`. Grants that last longer were issued during an
    /// outage; until they expire, no instance could use the withheld parts.
    fn cancel_overdue_donation(&mut self, holder: &mut Holder, now: Instant) {
        let is_overdue = self.donation.as_ref().is_some_and(|donation| donation.until <= now);
        // A write that is in flight or has an unknown outcome may have transferred the parts.
        let is_outcome_known = self.stored.is_some()
            && !matches!(self.call, PlatformCall::Writing { .. } | PlatformCall::Opening);
        if is_overdue && is_outcome_known {
            self.end_donation(holder);
        }
    }

    /// Ends the donation after a write, when the stored holding shows which parts were given away.
    fn finish_donation(&mut self, holder: &mut Holder, stored: &Holding) {
        if self.donation.is_some() {
            holder.set_holding(holder.holding().intersection(stored));
            self.end_donation(holder);
        }
    }

    /// Ends the donation. The holder must already know the stored holding.
    fn end_donation(&mut self, holder: &mut Holder) {
        if let Some(donation) = self.donation.take() {
            holder.resume_granting(&donation.holding);
        }
    }
}
