//! The order in which the requests of one instance take places at the servers of a model.
//!
//! The instances know each other's load only as of the last message, so a request that finds room
//! draws a lot, by [`turn_probability`](crate::waiting::turn_probability). A lot that wins is a place
//! for the first request in the order of its instance: the most urgent rank first, and the accounts
//! of one rank in start-time fair order.

use types::prelude::*;

use crate::fair_queue::FairQueue;
use crate::waiting::AccountTag;

/// How long a place that was won is kept for the first request, which is woken to take it.
const OFFER_TERM: Duration = Duration::from_millis(40);

/// Least number of remembered accounts at which idle ones are forgotten.
const MIN_FORGET: usize = 1_024;

/// Number of a waiting request; unique within its queue.
pub type PlaceTicket = u64;

/// Order of the requests of one account. It is drawn by lot: if there are more requests than places,
/// an order by arrival would let each of them wait until it is late.
type Lot = (u32, PlaceTicket);

/// Result of a look of a waiting request at the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Look {
    /// Whether the request takes a place. It has then left the queue.
    pub takes_place: bool,
    /// Request that is to look now, because a place is kept for it.
    pub wake: Option<PlaceTicket>,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    rank: u8,
    account: Option<AccountTag>,
    lot: Lot,
    /// Until then the request draws no other lot.
    drawn_until: Option<Instant>,
    /// Whether it is in the order. One that a place was kept for, but that no server has room for,
    /// is not in it until it finds room.
    is_in_order: bool,
}

/// Requests of one instance that wait for places at the servers of one model.
#[derive(Debug, Default)]
pub struct PlaceQueue {
    order: BTreeMap<u8, FairQueue<Option<AccountTag>, Lot>>,
    waiting: HashMap<PlaceTicket, Waiter>,
    /// Ends of the places that were won and not taken.
    won: VecDeque<Instant>,
    /// Request for which a place is kept.
    offered_to: Option<PlaceTicket>,
    last_ticket: PlaceTicket,
    /// Remembered accounts of a rank from which on idle ones are forgotten.
    forget_at: usize,
}

impl PlaceQueue {
    /// Number of accounts that the order remembers, those without a waiting request included.
    pub fn remembered_accounts(&self) -> usize {
        self.order.values().map(FairQueue::flows).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request. `lot` is a random number.
    pub fn join(&mut self, rank: u8, account: Option<AccountTag>, lot: u32) -> PlaceTicket {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let lot = (lot, ticket);
        let queue = self.order.entry(rank).or_default();
        if queue.flows() >= self.forget_at {
            queue.forget_idle();
            self.forget_at = MIN_FORGET.max(queue.flows() * 2);
        }
        queue.push(account, lot);
        let waiter = Waiter { rank, account, lot, drawn_until: None, is_in_order: true };
        self.waiting.insert(ticket, waiter);
        ticket
    }

    /// Removes a request. Returns the one that is to look now.
    pub fn leave(&mut self, ticket: PlaceTicket, now: Instant) -> Option<PlaceTicket> {
        self.remove_from_order(ticket);
        self.waiting.remove(&ticket)?;
        self.offered_to.take_if(|offered| *offered == ticket)?;
        self.offer(now)
    }

    /// A waiting request looks for a place at the servers, which have room for it or not. `wins`
    /// draws a lot, which counts until `drawn_until`.
    pub fn look(
        &mut self,
        ticket: PlaceTicket,
        has_room: bool,
        now: Instant,
        drawn_until: Instant,
        wins: impl FnOnce() -> bool,
    ) -> Look {
        let waits = |wake| Look { takes_place: false, wake };
        if !has_room {
            if self.offered_to.take_if(|offered| *offered == ticket).is_none() {
                return waits(None);
            }
            self.remove_from_order(ticket);
            return waits(self.offer(now));
        }
        let Some(waiter) = self.waiting.get_mut(&ticket) else { return waits(None) };
        if !std::mem::replace(&mut waiter.is_in_order, true) {
            self.order.entry(waiter.rank).or_default().push(waiter.account, waiter.lot);
        }
        if waiter.drawn_until.is_none_or(|until| until <= now) {
            waiter.drawn_until = Some(drawn_until);
            if wins() {
                self.won.push_back(now + OFFER_TERM);
            }
        }
        let Waiter { rank, account, .. } = *waiter;
        let first = self.offer(now);
        if first != Some(ticket) {
            return waits(first);
        }
        self.won.pop_front();
        if let Some(queue) = self.order.get_mut(&rank) {
            queue.charge(account, 1, 1);
        }
        self.remove_from_order(ticket);
        self.waiting.remove(&ticket);
        Look { takes_place: true, wake: self.offer(now) }
    }

    /// Keeps a place, if one was won, for the first request, and returns that.
    fn offer(&mut self, now: Instant) -> Option<PlaceTicket> {
        self.won.retain(|until| *until > now);
        self.offered_to = None;
        if !self.won.is_empty() {
            let mut firsts =
                self.order.values_mut().filter_map(|queue| queue.select_next(|_| true));
            self.offered_to = firsts.next().map(|(_, (_, ticket))| ticket);
        }
        self.offered_to
    }

    fn remove_from_order(&mut self, ticket: PlaceTicket) {
        let Some(waiter) = self.waiting.get_mut(&ticket) else { return };
        waiter.is_in_order = false;
        if let Some(queue) = self.order.get_mut(&waiter.rank) {
            queue.remove(waiter.account, waiter.lot);
        }
    }
}
