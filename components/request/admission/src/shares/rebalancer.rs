//! Moves parts of limits between data centres: what the holder of one asks, gives and receives.

use types::prelude::*;

use super::data_centre_share::{DataCentreShare, Holding};
use super::holder::{GRANT_MARGIN, GRANT_TERM, Holder, RENEW_INTERVAL};
use super::interval_set::SPAN_LENGTH;

/// Time for which a want has to be unmet before others are asked. Wants are renewed every
/// `RENEW_INTERVAL`; a burst that ends within two renewals is over before a move is.
pub const MIN_UNMET_TIME: Duration = Duration::from_secs(2 * RENEW_INTERVAL.as_secs());
/// Time for which received parts are not given away again. It is several times the duration of a
/// move, so that parts do not swing between data centres whose wants rise and fall.
pub const RETENTION_TIME: Duration = Duration::from_secs(60);
/// Smallest part of one client account's limits that is moved. It bounds the pieces into which a limit
/// can fall apart, and with them the size of the share objects.
pub const MIN_TRANSFER_LENGTH: u64 = SPAN_LENGTH / 256;
/// Client accounts in one request to another data centre; bounds its size to some 2 KB.
pub const MAX_ACCOUNTS_PER_REQUEST: usize = 32;
/// Time between two requests to the same data centre.
const ASK_INTERVAL: Duration = Duration::from_secs(10);
/// Time between looks at open transfers whose other side was not heard of.
const SYNC_INTERVAL: Duration = Duration::from_secs(10);
/// Time between looks at wants and at the grants on withheld parts.
const TICK: Duration = Duration::from_secs(1);
/// Time for the grants on withheld parts to end: the term of an ordinary grant, and a renewal.
const DONATION_TIME: Duration =
    Duration::from_secs(GRANT_TERM.as_secs() + GRANT_MARGIN.as_secs() + RENEW_INTERVAL.as_secs());

/// What the event loop has to do for the mover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RebalanceAction {
    /// Read `share/OWN` and write it again with a new nonce, so that no earlier write can take
    /// effect later. Ends with [`Rebalancer::on_opened`].
    Open,
    /// Write `share/OWN` if it still has this version. Ends with [`Rebalancer::on_written`].
    Write {
        /// Version that the next value is based on.
        version: ObjectVersion,
        /// The next value.
        value: DataCentreShare,
    },
    /// Read the share of another data centre. Ends with [`Rebalancer::on_other_share`].
    Read(DataCentreId),
    /// Ask the holder of another data centre for parts. Ends with [`Rebalancer::on_offer`].
    RequestParts {
        /// The data centre.
        to: DataCentreId,
        /// Missing lengths by client account.
        unmet: BTreeMap<ClientAccountId, u64>,
    },
    /// Tell the holder of another data centre that `share/OWN` has changed. Losses are tolerated.
    Notify(DataCentreId),
}

/// The platform call in flight; there is at most one.
#[derive(Debug)]
enum Step {
    Idle,
    Opening,
    Reading { other: DataCentreId, is_periodic: bool },
    Writing { value: Box<DataCentreShare>, other: DataCentreId },
}

/// IntervalSet that were promised and whose grants have to end first.
#[derive(Debug)]
struct Donation {
    to: DataCentreId,
    holding: Holding,
    until: Instant,
}

/// IntervalSet that another data centre has promised.
#[derive(Debug)]
struct Promise {
    lengths: BTreeMap<ClientAccountId, u64>,
    until: Instant,
}

/// The holder's part in moves of standing shares.
///
/// Each write is conditional on the version that this holder's previous write of `share/OWN` left.
/// The first write of a later holder therefore ends the writes of an earlier one, also of one that
/// is in flight or comes from a process that was paused.
#[derive(Debug)]
pub struct Rebalancer {
    /// The object as this holder wrote it last; `None` while the outcome of a write is unknown.
    stored: Option<(ObjectVersion, DataCentreShare)>,
    step: Step,
    is_lease_lost: bool,
    donation: Option<Donation>,
    promises: BTreeMap<DataCentreId, Promise>,
    unmet_since: BTreeMap<ClientAccountId, Instant>,
    /// Received parts of these client accounts are kept until then.
    kept_until: BTreeMap<ClientAccountId, Instant>,
    asked_at: BTreeMap<DataCentreId, Instant>,
    /// The answer to a request is waited for until then.
    asking_until: Option<Instant>,
    /// Data centres whose share has changed.
    to_read: BTreeSet<DataCentreId>,
    sync_at: Instant,
    tick_at: Instant,
}

impl Rebalancer {
    /// The mover of a new holder, with the object as it has just written it.
    pub fn new(version: ObjectVersion, share: DataCentreShare, now: Instant) -> Self {
        Self {
            stored: Some((version, share)),
            step: Step::Idle,
            is_lease_lost: false,
            donation: None,
            promises: BTreeMap::new(),
            unmet_since: BTreeMap::new(),
            kept_until: BTreeMap::new(),
            asked_at: BTreeMap::new(),
            asking_until: None,
            to_read: BTreeSet::new(),
            sync_at: now,
            tick_at: now,
        }
    }

    /// The lease of the holder lapsed: nothing is moved from now on.
    pub fn on_lease_lost(&mut self) {
        self.is_lease_lost = true;
    }

    /// Starts what is due, unless the platform is away. `others` are the data centres that can be
    /// reached.
    pub fn on_timer(
        &mut self,
        holder: &mut Holder,
        others: &[DataCentreId],
        platform_is_away: bool,
        nonce: Nonce,
        now: Instant,
    ) -> Vec<RebalanceAction> {
        let mut actions = Vec::new();
        if now < self.tick_at && self.to_read.is_empty() {
            return actions;
        }
        self.tick_at = now + TICK;
        self.give_up_late_donation(holder, now);
        if self.is_lease_lost || platform_is_away {
            return actions;
        }
        if matches!(self.step, Step::Idle) {
            actions.extend(self.next_step(holder, nonce, now));
        }
        actions.extend(self.ask(holder, others, now));
        actions
    }

    fn next_step(
        &mut self,
        holder: &mut Holder,
        nonce: Nonce,
        now: Instant,
    ) -> Option<RebalanceAction> {
        let Some((version, stored)) = &self.stored else {
            self.step = Step::Opening;
            return Some(RebalanceAction::Open);
        };
        let is_free = |donation: &Donation| holder.is_free(&donation.holding, now);
        if let Some(donation) = self.donation.as_ref().filter(|donation| is_free(donation)) {
            let (version, to) = (*version, donation.to.clone());
            match stored.give(&to, &donation.holding, nonce) {
                Some(value) => return Some(self.write(version, value, to)),
                None => self.drop_donation(holder),
            }
        }
        self.next_read(now)
    }

    fn next_read(&mut self, now: Instant) -> Option<RebalanceAction> {
        let mut is_periodic = false;
        if self.to_read.is_empty() && self.sync_at <= now {
            self.sync_at = now + SYNC_INTERVAL;
            let (_, stored) = self.stored.as_ref()?;
            let open = stored.given.iter().map(|t| &t.to).chain(stored.received.values());
            self.to_read = open.cloned().collect();
            is_periodic = true;
        }
        let other = self.to_read.pop_first()?;
        self.step = Step::Reading { other: other.clone(), is_periodic };
        Some(RebalanceAction::Read(other))
    }

    fn write(
        &mut self,
        version: ObjectVersion,
        value: DataCentreShare,
        other: DataCentreId,
    ) -> RebalanceAction {
        self.step = Step::Writing { value: Box::new(value.clone()), other };
        RebalanceAction::Write { version, value }
    }

    /// Takes the object after `Open`; `None` if it could not be read and written. The outcomes of
    /// all earlier writes are known now.
    pub fn on_opened(
        &mut self,
        holder: &mut Holder,
        opened: Option<(ObjectVersion, DataCentreShare)>,
        now: Instant,
    ) {
        self.step = Step::Idle;
        let Some((version, share)) = opened else { return };
        self.drop_donation_after(holder, &share.holding);
        self.adopt(holder, version, share, now);
    }

    /// Takes the object as stored.
    fn adopt(
        &mut self,
        holder: &mut Holder,
        version: ObjectVersion,
        share: DataCentreShare,
        now: Instant,
    ) {
        let gained = share.holding.difference(holder.holding());
        let gained = gained.by_client_account.into_iter().filter(|(_, parts)| !parts.is_empty());
        self.kept_until
            .extend(gained.map(|(client_account, _)| (client_account, now + RETENTION_TIME)));
        let is_received = |from: &DataCentreId| share.received.values().any(|d| d == from);
        self.promises.retain(|from, _| !is_received(from));
        holder.set_holding(share.holding.clone());
        self.stored = Some((version, share));
    }

    /// Takes the share of another data centre; `None` if it could not be read.
    pub fn on_other_share(
        &mut self,
        other: Option<&DataCentreShare>,
        nonce: Nonce,
    ) -> Vec<RebalanceAction> {
        let Step::Reading { other: name, is_periodic } =
            std::mem::replace(&mut self.step, Step::Idle)
        else {
            return Vec::new();
        };
        let (Some(other), Some((version, stored))) = (other, &self.stored) else {
            return Vec::new();
        };
        if self.is_lease_lost {
            return Vec::new();
        }
        // The other object was read after this one was written, and the write below fails if this
        // one has changed; so no transfer can be received twice.
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
        // The message of the transfer may have been lost.
        let is_open = stored.given.iter().any(|transfer| transfer.to == name);
        if is_periodic && is_open { vec![RebalanceAction::Notify(name)] } else { Vec::new() }
    }

    /// Takes the outcome of a write: the new version, or `None` if it is not certain to have
    /// taken effect.
    pub fn on_written(
        &mut self,
        holder: &mut Holder,
        version: Option<ObjectVersion>,
        now: Instant,
    ) -> Vec<RebalanceAction> {
        let Step::Writing { value, other } = std::mem::replace(&mut self.step, Step::Idle) else {
            return Vec::new();
        };
        let before = self.stored.take();
        self.tick_at = now;
        let Some(version) = version else { return Vec::new() };
        if before.is_some_and(|(_, before)| before.given.len() < value.given.len()) {
            self.drop_donation_after(holder, &value.holding);
        }
        self.adopt(holder, version, *value, now);
        vec![RebalanceAction::Notify(other)]
    }

    /// Takes the request of another data centre and returns the lengths that it may expect. They
    /// are given once the grants on them have ended.
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
        self.kept_until.retain(|_, until| now < *until);
        let is_moved =
            |client_account: &ClientAccountId| !self.kept_until.contains_key(client_account);
        let asked = unmet
            .iter()
            .filter(|(client_account, _)| is_moved(client_account))
            .take(MAX_ACCOUNTS_PER_REQUEST);
        let mut holding = holder.donation(&asked.map(|(c, n)| (c.clone(), *n)).collect());
        holding.by_client_account.retain(|_, parts| parts.length() >= MIN_TRANSFER_LENGTH);
        let lengths: BTreeMap<_, _> = holding
            .by_client_account
            .iter()
            .map(|(c, parts)| (c.clone(), parts.length()))
            .collect();
        if !lengths.is_empty() {
            holder.withhold(&holding);
            self.donation = Some(Donation { to: from.into(), holding, until: now + DONATION_TIME });
        }
        lengths
    }

    /// Takes the answer to a request; `None` if there was none.
    pub fn on_offer(
        &mut self,
        from: &str,
        lengths: Option<BTreeMap<ClientAccountId, u64>>,
        now: Instant,
    ) {
        self.asking_until = None;
        self.tick_at = now;
        if let Some(lengths) = lengths.filter(|lengths| !lengths.is_empty()) {
            self.promises.insert(from.into(), Promise { lengths, until: now + DONATION_TIME });
        }
    }

    /// Notes that the share of another data centre has changed.
    pub fn on_other_share_changed(&mut self, from: &str) {
        self.to_read.insert(from.into());
    }

    fn ask(
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
        if self.asking_until.is_some_and(|until| now < until) {
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
        let wanted = unmet.into_iter().filter(|(_, missing)| *missing > 0);
        let unmet: BTreeMap<_, _> = wanted
            .map(|(client_account, n)| (client_account, n.max(MIN_TRANSFER_LENGTH)))
            .take(MAX_ACCOUNTS_PER_REQUEST)
            .collect();
        let may_ask = |other: &&DataCentreId| {
            let asked_at = self.asked_at.get(*other);
            asked_at.is_none_or(|at| now >= *at + ASK_INTERVAL)
                && !self.promises.contains_key(*other)
        };
        // One at a time, so that several do not give the same missing part.
        let to = others.iter().filter(may_ask).min_by_key(|other| self.asked_at.get(*other))?;
        if unmet.is_empty() {
            return None;
        }
        self.asked_at.insert(to.clone(), now);
        self.asking_until = Some(now + ASK_INTERVAL);
        Some(RebalanceAction::RequestParts { to: to.clone(), unmet })
    }

    /// Grants that last longer than `DONATION_TIME` were given during an outage; waiting for them
    /// would keep the parts from everybody.
    fn give_up_late_donation(&mut self, holder: &mut Holder, now: Instant) {
        let is_late = self.donation.as_ref().is_some_and(|donation| donation.until <= now);
        // While a write is in flight or in doubt, the parts may be given away already.
        let is_settled =
            self.stored.is_some() && !matches!(self.step, Step::Writing { .. } | Step::Opening);
        if is_late && is_settled {
            self.drop_donation(holder);
        }
    }

    /// Ends the donation once the stored holding tells what was given away.
    fn drop_donation_after(&mut self, holder: &mut Holder, stored: &Holding) {
        if self.donation.is_some() {
            holder.set_holding(holder.holding().intersection(stored));
            self.drop_donation(holder);
        }
    }

    /// The holder has been given the holding as stored by now.
    fn drop_donation(&mut self, holder: &mut Holder) {
        if let Some(donation) = self.donation.take() {
            holder.resume_granting(&donation.holding);
        }
    }
}
