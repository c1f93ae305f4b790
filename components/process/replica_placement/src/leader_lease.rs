//! The lease that elects the leader, the instance that sends orders to the engines.
//!
//! Engines may ignore fencing numbers, so the last order of one leader and the first order of the
//! next must be at least the turn gap apart. All times are on a clock that also counts time in
//! suspension: a leader that was suspended must not believe that its lease is still valid.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::last_orders::{BlockedServers, LastOrders, OrderAge, millis};

/// Name of an instance.
pub type InstanceName = Box<str>;
/// Time since the machine booted, suspension included.
pub type BootTime = Duration;
/// Number of a time in which this run of the instance held the lease without a lapse, from 1 on. A
/// holder that renews its lease after it ran out has a new term with the same fencing number.
pub type Term = u64;

/// How long the holder may send orders after a renewal, counted from when the renewal was sent.
const LEASE_VALIDITY: Duration = Duration::from_millis(2_000);
/// Time between two renewals: a third of the validity, so that one renewal may fail.
const RENEW_INTERVAL: Duration = Duration::from_millis(650);
/// An instance reads the stored lease after this time without a message from the holder, which
/// publishes five times a second. The read limits how long the holder may still send orders, so it
/// should come early.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time between two reads of a lease whose holder is suspected to have failed.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// The same times at an instance that claims late. There are many of these, and they hear of the new
/// holder from its messages.
const LATE_CLAIM_SUSPECT_TIMEOUT: Duration = Duration::from_millis(1_800);
const LATE_CLAIM_READ_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time after a store outage in which only the former holder may write the lease. If it renews, no
/// gap is needed. Its calls during an outage are at most this far apart.
const RECLAIM_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after which an engine's report includes every order of a former run of this instance.
const REPORT_SETTLE_TIME: Duration = Duration::from_millis(800);
/// Margin for messages in transit and for clock rate differences between machines.
const SAFETY_MARGIN: Duration = Duration::from_millis(300);

/// The stored form of the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LeaseRecord {
    /// Instance that may send orders.
    pub holder: InstanceName,
    /// Fencing number; increases with each change of the holder.
    pub fence: u64,
    /// Renewal counter, so that every renewal changes the stored object.
    pub beat: u64,
    /// The holder has stopped sending orders.
    pub is_released: bool,
    /// Orders of former holders because of which this holder may not yet order some servers. A
    /// release adds the orders of the releasing holder.
    #[serde(default)]
    pub last_orders: Box<[OrderAge]>,
    /// Milliseconds in which no server may receive an order, because the orders of a failed holder,
    /// or after a release those of an earlier run of the holder, are not known individually. Also
    /// applies to the next run of the same holder.
    #[serde(default)]
    pub all_wait_ms: u32,
}

/// The lease as its holder publishes it to the other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HeldLease {
    /// Fencing number.
    pub fence: u64,
    /// Revision of the stored lease.
    pub revision: u64,
    /// Time for which the holder may still send orders without a renewal.
    pub left: Duration,
}

#[derive(Clone, Debug)]
enum LeaseState {
    /// The state of the lease is not known.
    Unknown,
    /// No lease is stored.
    Vacant { since: BootTime },
    /// Another instance, or a former run of this one, holds the lease.
    Observed {
        record: LeaseRecord,
        revision: u64,
        /// The holder sends no order after this time, unless it renewed without this instance
        /// noticing.
        expires_by: BootTime,
    },
    /// This instance holds the lease.
    Held {
        term: Term,
        record: LeaseRecord,
        revision: u64,
        valid_until: BootTime,
        orders_from: BootTime,
        /// When the next holder may order a server that the record's `last_orders` do not name.
        successor_orders_from: BootTime,
        blocked: BlockedServers,
    },
}

/// The next step of the caller for the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the lease.
    Read,
    /// Write the lease if it is still at `revision`; create it if that is `None`.
    Write {
        /// Revision that the stored lease must have.
        revision: Option<u64>,
        /// New value of the lease.
        record: LeaseRecord,
    },
    /// Ask for the next action again at this time.
    Wait(BootTime),
}

/// State machine of the lease at one instance.
#[derive(Clone, Debug)]
pub struct LeaderLease {
    name: InstanceName,
    /// Minimum time between the orders of two holders.
    turn_gap: Duration,
    /// Delay before a claim, so that better suited instances claim first.
    claim_delay: Duration,
    state: LeaseState,
    /// Earliest time of the next call to the store.
    next_call_at: BootTime,
    is_releasing: bool,
    /// This run has held the lease, so a record that names this instance is not from a former run.
    has_held: bool,
    /// Number of terms so far.
    terms: Term,
    /// Last orders that this instance sent.
    last_orders: LastOrders,
    /// Whether the last call to the store failed.
    is_store_unreachable: bool,
    /// Earliest time of a claim after a store outage, so that the former holder can renew first.
    claim_not_before: BootTime,
    /// Revision of a lease that had expired when it was read, and when it was first read so. An
    /// instance that reads rarely may not have noticed an outage of the store.
    expired_since: Option<(u64, BootTime)>,
}

impl LeaderLease {
    /// Starts without knowledge of the lease.
    pub fn new(name: &str, turn_gap: Duration, claim_delay: Duration) -> Self {
        Self {
            name: name.into(),
            turn_gap,
            claim_delay,
            state: LeaseState::Unknown,
            next_call_at: Duration::ZERO,
            is_releasing: false,
            has_held: false,
            terms: 0,
            last_orders: LastOrders::default(),
            is_store_unreachable: false,
            claim_not_before: Duration::ZERO,
            expired_since: None,
        }
    }

    /// Returns the fencing number for an order to the server if it may be sent at `now`, and
    /// records the order as sent. An order of another term than the current one may not be sent.
    pub fn authorize_order(&mut self, server: &str, term: Term, now: BootTime) -> Option<u64> {
        let fence = self.fencing_number(now).filter(|_| self.has_gap_elapsed(server, now))?;
        if self.term(now) != Some(term) {
            return None;
        }
        self.last_orders.record(server, now);
        Some(fence)
    }

    /// Whether this instance holds the lease and the former holder's last order to the server is at
    /// least the turn gap ago.
    pub fn has_gap_elapsed(&self, server: &str, now: BootTime) -> bool {
        match &self.state {
            LeaseState::Held { blocked, .. } => blocked.is_unblocked(server, now),
            _ => false,
        }
    }

    /// The fencing number for orders at `now` to servers whose turn gap has elapsed; `None` if this
    /// instance may not send orders.
    pub fn fencing_number(&self, now: BootTime) -> Option<u64> {
        match &self.state {
            LeaseState::Held { record, valid_until, orders_from, .. }
                if !self.is_releasing
                    && now >= *orders_from
                    && now + SAFETY_MARGIN / 2 < *valid_until =>
            {
                Some(record.fence)
            }
            _ => None,
        }
    }

    /// The lease, if this instance holds it.
    pub fn held_lease(&self, now: BootTime) -> Option<HeldLease> {
        match &self.state {
            LeaseState::Held { record, revision, valid_until, .. }
                if !self.is_releasing && now < *valid_until =>
            {
                let left = *valid_until - now;
                Some(HeldLease { fence: record.fence, revision: *revision, left })
            }
            _ => None,
        }
    }

    /// The current term, if this instance holds the lease.
    pub fn term(&self, now: BootTime) -> Option<Term> {
        match &self.state {
            LeaseState::Held { term, valid_until, .. }
                if !self.is_releasing && now < *valid_until =>
            {
                Some(*term)
            }
            _ => None,
        }
    }

    /// The last known holder, unless it released the lease.
    pub fn holder(&self) -> Option<&str> {
        match &self.state {
            LeaseState::Unknown | LeaseState::Vacant { .. } => None,
            LeaseState::Observed { record, .. } | LeaseState::Held { record, .. } => {
                (!record.is_released).then_some(&*record.holder)
            }
        }
    }

    /// Handles a message in which `holder` publishes its lease. Returns false if the message is
    /// from this instance or a later holder is known.
    pub fn receive_lease(&mut self, holder: &str, lease: HeldLease, now: BootTime) -> bool {
        let HeldLease { fence, revision, left } = lease;
        let known = match &self.state {
            LeaseState::Observed { record, .. } | LeaseState::Held { record, .. } => record.fence,
            LeaseState::Unknown | LeaseState::Vacant { .. } => 0,
        };
        if fence < known || holder == &*self.name {
            return false;
        }
        let record = LeaseRecord { holder: holder.into(), fence, ..LeaseRecord::default() };
        self.state =
            LeaseState::Observed { record, revision, expires_by: now + left.min(LEASE_VALIDITY) };
        self.next_call_at = now + self.suspect_timeout();
        true
    }

    /// Handles a message that the holder released the lease: the lease is read without delay.
    pub fn receive_release(&mut self) {
        if matches!(self.state, LeaseState::Observed { .. }) {
            self.next_call_at = Duration::ZERO;
        }
    }

    /// Starts the release of the lease. No order is allowed from now on.
    pub fn release(&mut self) {
        self.is_releasing = true;
        self.next_call_at = Duration::ZERO;
    }

    /// The action to take at `now`.
    pub fn next_action(&self, now: BootTime) -> Action {
        if now < self.next_call_at {
            return Action::Wait(self.next_call_at);
        }
        match &self.state {
            LeaseState::Held {
                record,
                revision,
                orders_from,
                successor_orders_from,
                blocked,
                ..
            } => {
                if self.is_releasing && record.is_released {
                    return Action::Wait(now + SUSPECT_TIMEOUT);
                }
                let gap = self.turn_gap + SAFETY_MARGIN;
                let (last_orders, from) = match self.is_releasing {
                    true => (self.last_orders.ages(blocked, now, gap), successor_orders_from),
                    false => (blocked.ages(now, gap).collect(), orders_from),
                };
                let record = LeaseRecord {
                    beat: record.beat + 1,
                    is_released: self.is_releasing,
                    last_orders,
                    all_wait_ms: millis(from.saturating_sub(now)),
                    ..record.clone()
                };
                Action::Write { revision: Some(*revision), record }
            }
            _ if self.is_releasing => Action::Wait(now + SUSPECT_TIMEOUT),
            LeaseState::Unknown => Action::Read,
            LeaseState::Vacant { since } if now < *since + self.claim_delay => {
                Action::Wait(*since + self.claim_delay)
            }
            LeaseState::Vacant { .. } => {
                Action::Write { revision: None, record: self.claim(LeaseRecord::default(), 0) }
            }
            LeaseState::Observed { record, revision, expires_by } => {
                let has_expired = now >= *expires_by + SAFETY_MARGIN + self.claim_delay;
                let is_free = record.is_released && now >= *expires_by + self.claim_delay;
                let is_own = record.holder == self.name && !self.has_held;
                // After a failed call the lease is read first, to see when the store is reachable.
                let is_confirmed = self.claim_delay.is_zero()
                    || self.expired_since.is_some_and(|(found, since)| {
                        found == *revision && now >= since + RECLAIM_PERIOD
                    });
                let may_claim = has_expired
                    && is_confirmed
                    && !self.is_store_unreachable
                    && now >= self.claim_not_before;
                if is_free || is_own || may_claim {
                    let all_wait_ms = match is_free || is_own {
                        true => record.all_wait_ms,
                        false => millis(
                            (*expires_by + self.turn_gap + SAFETY_MARGIN).saturating_sub(now),
                        ),
                    };
                    let record = self.claim(record.clone(), all_wait_ms);
                    Action::Write { revision: Some(*revision), record }
                } else if record.is_released {
                    Action::Wait(*expires_by + self.claim_delay)
                } else {
                    Action::Read
                }
            }
        }
    }

    fn suspect_timeout(&self) -> Duration {
        if self.claim_delay.is_zero() { SUSPECT_TIMEOUT } else { LATE_CLAIM_SUSPECT_TIMEOUT }
    }

    fn read_interval(&self) -> Duration {
        if self.claim_delay.is_zero() { READ_INTERVAL } else { LATE_CLAIM_READ_INTERVAL }
    }

    /// Builds the record that claims the lease after `former` and keeps the former last orders.
    fn claim(&self, former: LeaseRecord, all_wait_ms: u32) -> LeaseRecord {
        LeaseRecord {
            holder: self.name.clone(),
            fence: former.fence + 1,
            beat: 0,
            is_released: false,
            last_orders: former.last_orders,
            all_wait_ms,
        }
    }

    /// Handles the stored lease as returned by a read or by a conflicting write.
    pub fn on_read(&mut self, found: Option<(LeaseRecord, u64)>, now: BootTime) {
        if std::mem::take(&mut self.is_store_unreachable) {
            self.claim_not_before = now + RECLAIM_PERIOD;
        }
        let Some((record, revision)) = found else {
            if !matches!(self.state, LeaseState::Vacant { .. }) {
                self.state = LeaseState::Vacant { since: now };
            }
            self.next_call_at = now;
            return;
        };
        if self.is_own_renewal(&record, revision) {
            self.next_call_at = now;
            return;
        }
        let has_expired = match &self.state {
            LeaseState::Observed { revision: known, expires_by, .. } => {
                *known == revision && now >= *expires_by + SAFETY_MARGIN + self.claim_delay
            }
            _ => false,
        };
        if !has_expired {
            self.expired_since = None;
        } else if self.expired_since.is_none_or(|(found, _)| found != revision) {
            self.expired_since = Some((revision, now));
        }
        let is_claimable = record.is_released || (record.holder == self.name && !self.has_held);
        let expires_by = match &self.state {
            LeaseState::Observed { revision: known, expires_by, .. } if *known == revision => {
                *expires_by
            }
            // A released lease has ended; any other may have been renewed just before the read.
            _ if record.is_released => now,
            _ => now + LEASE_VALIDITY,
        };
        self.next_call_at = match is_claimable {
            true => now,
            false if has_expired => now + RECLAIM_PERIOD,
            false => now + self.read_interval(),
        };
        self.state = LeaseState::Observed { record, revision, expires_by };
    }

    /// Handles a successful write of `record` that was sent at `sent_at`.
    pub fn on_written(
        &mut self,
        record: LeaseRecord,
        revision: u64,
        sent_at: BootTime,
        now: BootTime,
    ) {
        let gap = self.turn_gap + SAFETY_MARGIN;
        let unblocked = BlockedServers::default;
        let wait = |old: &LeaseRecord| Duration::from_millis(u64::from(old.all_wait_ms));
        let (orders_from, successor_orders_from, blocked) = match &self.state {
            LeaseState::Held { orders_from, successor_orders_from, blocked, .. } => {
                (*orders_from, *successor_orders_from, blocked.clone())
            }
            LeaseState::Unknown | LeaseState::Vacant { .. } => (now, now, unblocked()),
            // A former run of this instance sent its orders as the same holder.
            LeaseState::Observed { record: old, .. } if old.holder == self.name => {
                let blocked = BlockedServers::from_order_ages(&old.last_orders, now, gap);
                (now + wait(old).max(REPORT_SETTLE_TIME), now + gap, blocked)
            }
            LeaseState::Observed { record: old, expires_by: read_at, .. } if old.is_released => {
                let from = *read_at + wait(old);
                (from, from, BlockedServers::from_order_ages(&old.last_orders, *read_at, gap))
            }
            LeaseState::Observed { expires_by, .. } => {
                (*expires_by + gap, *expires_by + gap, unblocked())
            }
        };
        let term = match &self.state {
            LeaseState::Held { term, valid_until, .. } if now < *valid_until => *term,
            _ => {
                self.terms += 1;
                self.terms
            }
        };
        self.has_held = true;
        self.is_store_unreachable = false;
        let valid_until = sent_at + LEASE_VALIDITY;
        self.state = LeaseState::Held {
            term,
            record,
            revision,
            valid_until,
            orders_from,
            successor_orders_from,
            blocked,
        };
        self.next_call_at = sent_at + RENEW_INTERVAL;
    }

    /// Handles a call that failed or whose answer was lost; it is retried soon. A held lease stays
    /// valid until it expires, and is renewed without a gap if no other instance has claimed it.
    pub fn on_call_failed(&mut self, now: BootTime) {
        self.is_store_unreachable = true;
        self.next_call_at = now + SAFETY_MARGIN;
        if matches!(self.state, LeaseState::Vacant { .. }) {
            self.state = LeaseState::Unknown;
        }
    }

    /// Whether the stored lease is the one that this instance holds, after a renewal whose answer
    /// was lost. If so, adopts its revision.
    fn is_own_renewal(&mut self, found: &LeaseRecord, found_revision: u64) -> bool {
        let LeaseState::Held { record, revision, .. } = &mut self.state else { return false };
        let is_own = found.holder == self.name && found.fence == record.fence;
        if is_own {
            record.beat = record.beat.max(found.beat);
            *revision = found_revision;
        }
        is_own
    }
}
