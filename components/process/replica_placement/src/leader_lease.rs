//! The lease of the instance that gives orders to the engines.
//!
//! Engines may ignore fencing numbers, so orders of two holders to them must be a whole gap apart.
//! All times are on a clock that counts suspension: a holder that was suspended must not believe
//! that its lease still holds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::last_orders::{ClosedServers, LastOrders, OrderAge, millis};

/// Name of an instance.
pub type InstanceName = Box<str>;
/// Time since the machine booted, suspension included.
pub type BootTime = Duration;

/// How long a renewal lets its holder give orders, counted from when the renewal was sent.
const VALIDITY: Duration = Duration::from_millis(2_000);
/// Time between two renewals; a third of the validity, so that one may be lost.
const RENEW_EVERY: Duration = Duration::from_millis(650);
/// Silence of the holder after which the lease is read. It tells the others five times a second.
/// The read bounds how long the holder may still give orders, so that it should come early.
const SUSPECT_AFTER: Duration = Duration::from_millis(700);
/// Time between two reads of a suspected lease.
const READ_EVERY: Duration = Duration::from_millis(400);
/// Time after an outage of the store that is left to the former holder. If it renews its lease, no
/// gap is needed; its calls are at most this far apart during an outage.
const PRECEDENCE: Duration = Duration::from_millis(1_000);
/// Time after which an engine's report shows every order of a former run of this instance.
const SETTLE: Duration = Duration::from_millis(800);
/// Slack for messages under way and for clocks of different machines that run unevenly.
const SLACK: Duration = Duration::from_millis(300);

/// The lease as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LeaseRecord {
    /// Instance that may give orders.
    pub holder: InstanceName,
    /// Fencing number; rises with each change of the holder.
    pub fence: u64,
    /// Rises with each renewal, so that a renewal changes the object.
    pub beat: u64,
    /// The holder has stopped giving orders.
    pub is_released: bool,
    /// Orders of former holders that still close servers to this one. A release adds its own.
    #[serde(default)]
    pub last_orders: Box<[OrderAge]>,
    /// Milliseconds in which no server may be ordered, because the orders of a lost holder are not
    /// known one by one; at a release also because those of a former run are not. Holds for the
    /// next run of the same holder as well.
    #[serde(default)]
    pub all_wait_ms: u32,
}

/// The lease as its holder tells the other instances of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HeldLease {
    /// Fencing number.
    pub fence: u64,
    /// Revision of the stored lease.
    pub revision: u64,
    /// Time for which the holder may still give orders without a renewal.
    pub left: Duration,
}

#[derive(Clone, Debug)]
enum Standing {
    /// Nothing is known of the lease.
    Unknown,
    /// There is no lease yet.
    Vacant { since: BootTime },
    /// Another instance, or a former run of this one, holds it.
    Observing {
        record: LeaseRecord,
        revision: u64,
        /// The holder gives no order after this time, unless it renewed unseen.
        ends_by: BootTime,
    },
    /// This instance holds it.
    Holding {
        record: LeaseRecord,
        revision: u64,
        valid_until: BootTime,
        orders_from: BootTime,
        /// When another holder might give its first order to a server that is not named.
        others_from: BootTime,
        closed: ClosedServers,
    },
}

/// What to do next for the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the lease.
    Read,
    /// Write the lease if it still has the revision; create it if there is none.
    Write {
        /// Revision that the lease must have.
        revision: Option<u64>,
        /// What to write.
        record: LeaseRecord,
    },
    /// Ask again at that time.
    Wait(BootTime),
}

/// The lease as one instance sees it.
#[derive(Clone, Debug)]
pub struct LeaderLease {
    me: InstanceName,
    /// Least time between the orders of two holders.
    turn_gap: Duration,
    /// Added before a claim, so that better suited instances come first.
    claim_delay: Duration,
    standing: Standing,
    /// No call to the store before this time.
    next_at: BootTime,
    is_leaving: bool,
    /// This run has held the lease; its own record is then not that of a former run.
    has_held: bool,
    /// Orders of this instance.
    orders: LastOrders,
    /// The last call to the store failed.
    is_store_lost: bool,
    /// No claim before this time, so that the former holder comes first after an outage.
    claim_from: BootTime,
}

impl LeaderLease {
    /// An instance that knows nothing of the lease.
    pub fn new(me: &str, turn_gap: Duration, claim_delay: Duration) -> Self {
        Self {
            me: me.into(),
            turn_gap,
            claim_delay,
            standing: Standing::Unknown,
            next_at: Duration::ZERO,
            is_leaving: false,
            has_held: false,
            orders: LastOrders::default(),
            is_store_lost: false,
            claim_from: Duration::ZERO,
        }
    }

    /// The fencing number under which an order to the server may be sent at `now`. The order is
    /// taken as sent.
    pub fn authorize_order(&mut self, server: &str, now: BootTime) -> Option<u64> {
        let fence = self.fencing_number(now).filter(|_| self.has_gap_elapsed(server, now))?;
        self.orders.note(server, now);
        Some(fence)
    }

    /// Whether the former holder's last order to the server is a whole gap ago.
    pub fn has_gap_elapsed(&self, server: &str, now: BootTime) -> bool {
        match &self.standing {
            Standing::Holding { closed, .. } => closed.is_open(server, now),
            _ => false,
        }
    }

    /// The fencing number under which orders may be sent at `now` to servers that are open.
    pub fn fencing_number(&self, now: BootTime) -> Option<u64> {
        match &self.standing {
            Standing::Holding { record, valid_until, orders_from, .. }
                if !self.is_leaving && now >= *orders_from && now + SLACK / 2 < *valid_until =>
            {
                Some(record.fence)
            }
            _ => None,
        }
    }

    /// The lease while this instance holds it.
    pub fn held_lease(&self, now: BootTime) -> Option<HeldLease> {
        match &self.standing {
            Standing::Holding { record, revision, valid_until, .. }
                if !self.is_leaving && now < *valid_until =>
            {
                let left = *valid_until - now;
                Some(HeldLease { fence: record.fence, revision: *revision, left })
            }
            _ => None,
        }
    }

    /// Instance that holds the lease, as far as known.
    pub fn holder(&self) -> Option<&str> {
        match &self.standing {
            Standing::Unknown | Standing::Vacant { .. } => None,
            Standing::Observing { record, .. } | Standing::Holding { record, .. } => {
                (!record.is_released).then_some(&*record.holder)
            }
        }
    }

    /// Another instance said that it holds the lease for `left` more. Returns false if a later
    /// holder is known.
    pub fn receive_lease(&mut self, holder: &str, lease: HeldLease, now: BootTime) -> bool {
        let HeldLease { fence, revision, left } = lease;
        let known = match &self.standing {
            Standing::Observing { record, .. } | Standing::Holding { record, .. } => record.fence,
            Standing::Unknown | Standing::Vacant { .. } => 0,
        };
        if fence < known || holder == &*self.me {
            return false;
        }
        let record = LeaseRecord { holder: holder.into(), fence, ..LeaseRecord::default() };
        self.standing = Standing::Observing { record, revision, ends_by: now + left.min(VALIDITY) };
        self.next_at = now + SUSPECT_AFTER;
        true
    }

    /// The holder said that it released the lease; it is read at once.
    pub fn receive_release(&mut self) {
        if matches!(self.standing, Standing::Observing { .. }) {
            self.next_at = Duration::ZERO;
        }
    }

    /// Lets go of the lease; no order is allowed from now on.
    pub fn release(&mut self) {
        self.is_leaving = true;
        self.next_at = Duration::ZERO;
    }

    /// What to do at `now`.
    pub fn next_action(&self, now: BootTime) -> Action {
        if now < self.next_at {
            return Action::Wait(self.next_at);
        }
        match &self.standing {
            Standing::Holding { record, revision, orders_from, others_from, closed, .. } => {
                if self.is_leaving && record.is_released {
                    return Action::Wait(now + SUSPECT_AFTER);
                }
                let gap = self.turn_gap + SLACK;
                let (last_orders, from) = match self.is_leaving {
                    true => (self.orders.ages(closed, now, gap), others_from),
                    false => (closed.ages(now, gap).collect(), orders_from),
                };
                let record = LeaseRecord {
                    beat: record.beat + 1,
                    is_released: self.is_leaving,
                    last_orders,
                    all_wait_ms: millis(from.saturating_sub(now)),
                    ..record.clone()
                };
                Action::Write { revision: Some(*revision), record }
            }
            _ if self.is_leaving => Action::Wait(now + SUSPECT_AFTER),
            Standing::Unknown => Action::Read,
            Standing::Vacant { since } if now < *since + self.claim_delay => {
                Action::Wait(*since + self.claim_delay)
            }
            Standing::Vacant { .. } => {
                Action::Write { revision: None, record: self.claim(LeaseRecord::default(), 0) }
            }
            Standing::Observing { record, revision, ends_by } => {
                let lapsed = now >= *ends_by + SLACK + self.claim_delay;
                let is_free = record.is_released && now >= *ends_by + self.claim_delay;
                let is_own = record.holder == self.me && !self.has_held;
                // After a failed call the lease is read first, which tells when the store is back.
                let may_claim = lapsed && !self.is_store_lost && now >= self.claim_from;
                if is_free || is_own || may_claim {
                    let all_wait_ms = match is_free || is_own {
                        true => record.all_wait_ms,
                        false => millis((*ends_by + self.turn_gap + SLACK).saturating_sub(now)),
                    };
                    let record = self.claim(record.clone(), all_wait_ms);
                    Action::Write { revision: Some(*revision), record }
                } else if record.is_released {
                    Action::Wait(*ends_by + self.claim_delay)
                } else {
                    Action::Read
                }
            }
        }
    }

    /// The record of a claim after `former`, whose orders it still names.
    fn claim(&self, former: LeaseRecord, all_wait_ms: u32) -> LeaseRecord {
        LeaseRecord {
            holder: self.me.clone(),
            fence: former.fence + 1,
            beat: 0,
            is_released: false,
            last_orders: former.last_orders,
            all_wait_ms,
        }
    }

    /// The lease was read, or a conditional write showed another one.
    pub fn on_read(&mut self, found: Option<(LeaseRecord, u64)>, now: BootTime) {
        if std::mem::take(&mut self.is_store_lost) {
            self.claim_from = now + PRECEDENCE;
        }
        let Some((record, revision)) = found else {
            if !matches!(self.standing, Standing::Vacant { .. }) {
                self.standing = Standing::Vacant { since: now };
            }
            self.next_at = now;
            return;
        };
        if self.is_own_renewal(&record, revision) {
            self.next_at = now;
            return;
        }
        let is_immediate = record.is_released || (record.holder == self.me && !self.has_held);
        let ends_by = match &self.standing {
            Standing::Observing { revision: known, ends_by, .. } if *known == revision => *ends_by,
            // A released lease has ended; any other one may just have been renewed.
            _ if record.is_released => now,
            _ => now + VALIDITY,
        };
        self.next_at = if is_immediate { now } else { now + READ_EVERY };
        self.standing = Standing::Observing { record, revision, ends_by };
    }

    /// A write of `record`, sent at `sent_at`, took effect.
    pub fn on_written(
        &mut self,
        record: LeaseRecord,
        revision: u64,
        sent_at: BootTime,
        now: BootTime,
    ) {
        let gap = self.turn_gap + SLACK;
        let open = ClosedServers::default;
        let wait = |old: &LeaseRecord| Duration::from_millis(u64::from(old.all_wait_ms));
        let (orders_from, others_from, closed) = match &self.standing {
            Standing::Holding { orders_from, others_from, closed, .. } => {
                (*orders_from, *others_from, closed.clone())
            }
            Standing::Unknown | Standing::Vacant { .. } => (now, now, open()),
            // A former run of this instance gave its orders as the same holder.
            Standing::Observing { record: old, .. } if old.holder == self.me => {
                let closed = ClosedServers::after(&old.last_orders, now, gap);
                (now + wait(old).max(SETTLE), now + gap, closed)
            }
            Standing::Observing { record: old, ends_by: read_at, .. } if old.is_released => {
                let from = *read_at + wait(old);
                (from, from, ClosedServers::after(&old.last_orders, *read_at, gap))
            }
            Standing::Observing { ends_by, .. } => (*ends_by + gap, *ends_by + gap, open()),
        };
        self.has_held = true;
        self.is_store_lost = false;
        let valid_until = sent_at + VALIDITY;
        self.standing =
            Standing::Holding { record, revision, valid_until, orders_from, others_from, closed };
        self.next_at = sent_at + RENEW_EVERY;
    }

    /// A call failed or its answer was lost; it is tried again soon. What was held stays valid until
    /// its time, and is renewed without a gap if nobody else claimed the lease until then.
    pub fn on_call_failed(&mut self, now: BootTime) {
        self.is_store_lost = true;
        self.next_at = now + SLACK;
        if matches!(self.standing, Standing::Vacant { .. }) {
            self.standing = Standing::Unknown;
        }
    }

    /// Whether the stored lease is the one that this instance holds, after a renewal whose answer
    /// was lost. Takes over its revision then.
    fn is_own_renewal(&mut self, found: &LeaseRecord, found_revision: u64) -> bool {
        let Standing::Holding { record, revision, .. } = &mut self.standing else { return false };
        let is_own = found.holder == self.me && found.fence == record.fence;
        if is_own {
            record.beat = record.beat.max(found.beat);
            *revision = found_revision;
        }
        is_own
    }
}
