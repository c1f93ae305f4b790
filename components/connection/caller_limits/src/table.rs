//! The connections of one listener.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use crate::connection::{Cost, Phase, State, TrackedConnection};

/// Most connections that are ranked at a time, so that not each new connection of a crowd ranks all.
const RANKED: usize = 64;

/// Least time between two reliefs of answers.
pub(crate) const RELIEF_INTERVAL: Duration = Duration::from_millis(50);

/// Progress of a connection; the least comes first.
type Rank = (Reason, Instant);

/// Closes a connection.
pub trait Close {
    /// Closes the connection at once, or soon.
    fn close(&self);
}

/// Why a connection was closed. The least progress comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// It sent requests ahead and does not read the answers, and others need its room.
    SentAhead,
    /// It has no request, and others need its room.
    Idle,
    /// The head of its request is incomplete and beyond the first buffer, and others need its room.
    LongHead,
    /// The head of its request is incomplete, and others need its room.
    Head,
    /// The body of its request is incomplete, and others need its room.
    Body,
    /// Its caller does not read the answer, and others need its room.
    Unread,
    /// It is new or was answered just now, and others need its room.
    Fresh,
    /// It has had no request for the idle timeout.
    IdleTimeout,
    /// The head of its request was not complete in time.
    HeadTimeout,
    /// The body of its request came too slowly.
    BodyPace,
    /// Its caller took nothing of the answer for too long.
    ReadTimeout,
    /// Its caller took the answer too slowly.
    ReadPace,
    /// Its request was not answered in time.
    AnswerTimeout,
    /// There was no room for it, or for its request.
    NoRoom,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 14] = [
        Self::SentAhead,
        Self::Idle,
        Self::LongHead,
        Self::Head,
        Self::Body,
        Self::Unread,
        Self::Fresh,
        Self::IdleTimeout,
        Self::HeadTimeout,
        Self::BodyPace,
        Self::ReadTimeout,
        Self::ReadPace,
        Self::AnswerTimeout,
        Self::NoRoom,
    ];

    /// Name in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SentAhead => "sent_ahead",
            Self::Idle => "idle",
            Self::LongHead => "long_head",
            Self::Head => "unfinished_head",
            Self::Body => "unfinished_body",
            Self::Unread => "unread_answer",
            Self::Fresh => "fresh",
            Self::IdleTimeout => "idle_timeout",
            Self::HeadTimeout => "head_timeout",
            Self::BodyPace => "body_too_slow",
            Self::ReadTimeout => "read_timeout",
            Self::ReadPace => "read_too_slow",
            Self::AnswerTimeout => "answer_timeout",
            Self::NoRoom => "no_room",
        }
    }
}

/// No connection can be closed that would make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// Limits of a table.
#[derive(Clone, Copy, Debug)]
pub struct TableLimits {
    /// Most connections.
    pub connections: usize,
    /// Most memory for them, in bytes.
    pub bytes: usize,
}

/// Times within which callers must progress. They are durations because they apply to each
/// connection from a time of its own.
#[derive(Clone, Copy, Debug)]
pub struct Paces {
    /// Longest time without a request.
    pub idle: Duration,
    /// Longest time from the first byte of a head to its end.
    pub head: Duration,
    /// Time over which the pace of a body is measured.
    pub window: Duration,
    /// Least number of bytes of a body in that time.
    pub window_bytes: usize,
    /// Longest time in which a caller takes nothing of an answer. Time over which the pace of taking it
    /// is measured.
    pub read: Duration,
    /// Least number of bytes that a caller takes in that time.
    pub read_bytes: usize,
    /// Longest time from the end of a request to the first byte of its answer, where requests have no
    /// time limit of their own.
    pub answer: Option<Duration>,
    /// Least time from the start of a connection, head or body until it may be closed for others.
    pub least: Duration,
}

/// Number of connections closed, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts([u64; Reason::ALL.len()]);

impl Counts {
    /// Connections closed for a reason.
    pub fn of(&self, reason: Reason) -> u64 {
        self.0[reason as usize]
    }
}

/// The connections of one listener and what they take.
pub struct ConnectionTable<C: Close> {
    shared: Rc<Shared<C>>,
}

pub(crate) struct Shared<C: Close> {
    limits: TableLimits,
    pub(crate) cost: Cost,
    pub(crate) paces: Cell<Paces>,
    /// Connections by index; each place in `free` is empty.
    places: RefCell<Vec<Weak<State<C>>>>,
    free: RefCell<Vec<usize>>,
    /// Connections with the least progress when they were ranked, the least first. One whose rank has
    /// changed since has progressed.
    ranked: RefCell<VecDeque<(Rank, Weak<State<C>>)>>,
    /// Number of connections in the table.
    count: Cell<usize>,
    /// Sum of the memory of all connections in the table.
    bytes: Cell<usize>,
    closed: Cell<Counts>,
    /// Before that time, no answers are relieved.
    relief_due: Cell<Option<Instant>>,
}

impl<C: Close> Shared<C> {
    pub(crate) fn resize(&self, state: &State<C>, bytes: usize) {
        if state.index.get().is_some() {
            self.bytes.set(self.bytes.get() - state.bytes.get() + bytes);
            state.bytes.set(bytes);
        }
    }

    /// Takes a connection out of the table.
    pub(crate) fn remove(&self, state: &State<C>) {
        let Some(index) = state.index.take() else { return };
        self.places.borrow_mut()[index] = Weak::new();
        self.free.borrow_mut().push(index);
        self.count.set(self.count.get() - 1);
        self.bytes.set(self.bytes.get() - state.bytes.get());
    }

    pub(crate) fn record(&self, reason: Reason) {
        let mut closed = self.closed.get();
        closed.0[reason as usize] += 1;
        self.closed.set(closed);
    }

    fn close(&self, state: &State<C>, reason: Reason) {
        self.remove(state);
        self.record(reason);
        state.closer.close();
    }

    fn connections(&self) -> Vec<Rc<State<C>>> {
        self.places.borrow().iter().filter_map(Weak::upgrade).collect()
    }

    fn has_room(&self, bytes: usize, connections: usize) -> bool {
        self.bytes.get() + bytes <= self.limits.bytes
            && self.count.get() + connections <= self.limits.connections
    }

    /// The connection with the least progress. Ranks the connections at most once.
    fn next_victim(
        &self,
        now: Instant,
        is_ranked_now: &mut bool,
    ) -> Option<(Reason, Rc<State<C>>)> {
        loop {
            let next = self.ranked.borrow_mut().pop_front();
            if let Some((rank, state)) = next {
                let state = state.upgrade().filter(|state| state.index.get().is_some());
                if let Some(state) = state
                    && state.rank(now) == Some(rank)
                {
                    return Some((rank.0, state));
                }
            } else if std::mem::replace(is_ranked_now, true) {
                return None;
            } else {
                *self.ranked.borrow_mut() = self.rank(now);
            }
        }
    }

    fn rank(&self, now: Instant) -> VecDeque<(Rank, Weak<State<C>>)> {
        let mut ranked: Vec<_> = self
            .connections()
            .into_iter()
            .filter_map(|state| Some((state.rank(now)?, Rc::downgrade(&state))))
            .collect();
        if ranked.len() > RANKED {
            ranked.select_nth_unstable_by_key(RANKED, |(rank, _)| *rank);
            ranked.truncate(RANKED);
        }
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked.into()
    }

    /// Closes connections other than `except` until there is room.
    pub(crate) fn make_room(
        &self,
        bytes: usize,
        connections: usize,
        now: impl FnOnce() -> Instant,
        except: Option<&State<C>>,
    ) -> Result<(), Full> {
        if self.has_room(bytes, connections) {
            return Ok(());
        }
        let now = now();
        let mut is_ranked_now = false;
        while let Some((reason, state)) = self.next_victim(now, &mut is_ranked_now) {
            if except.is_some_and(|except| std::ptr::eq(&*state, except)) {
                continue;
            }
            self.close(&state, reason);
            if self.has_room(bytes, connections) {
                return Ok(());
            }
        }
        self.record(Reason::NoRoom);
        Err(Full)
    }
}

impl<C: Close> ConnectionTable<C> {
    /// An empty table.
    pub fn new(limits: TableLimits, cost: Cost, paces: Paces) -> Self {
        let shared = Shared {
            limits,
            cost,
            paces: Cell::new(paces),
            places: RefCell::default(),
            free: RefCell::default(),
            ranked: RefCell::default(),
            count: Cell::new(0),
            bytes: Cell::new(0),
            closed: Cell::default(),
            relief_due: Cell::new(None),
        };
        Self { shared: Rc::new(shared) }
    }

    /// Sets the times within which callers must progress.
    pub fn set_paces(&self, paces: Paces) {
        self.shared.paces.set(paces);
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.shared.count.get()
    }

    /// Memory that the connections take, in bytes.
    pub fn bytes(&self) -> usize {
        self.shared.bytes.get()
    }

    /// Whether more than half of the connections or of the memory is in use.
    pub fn is_crowded(&self) -> bool {
        let limits = &self.shared.limits;
        self.count() > limits.connections / 2 || self.bytes() > limits.bytes / 2
    }

    /// Connections closed so far.
    pub fn closed(&self) -> Counts {
        self.shared.closed.get()
    }

    /// Takes a new connection into the table.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub fn accept(&self, closer: C, now: Instant) -> Result<TrackedConnection<C>, Full> {
        let shared = &self.shared;
        shared.make_room(shared.cost.silent, 1, || now, None)?;
        let mut places = shared.places.borrow_mut();
        let index = shared.free.borrow_mut().pop().unwrap_or_else(|| {
            places.push(Weak::new());
            places.len() - 1
        });
        let state = Rc::new(State::new(shared.clone(), index, closer, now));
        places[index] = Rc::downgrade(&state);
        shared.count.set(shared.count.get() + 1);
        shared.bytes.set(shared.bytes.get() + state.bytes.get());
        Ok(TrackedConnection { state })
    }

    /// Closes up to `count` connections whose bodies or answers take memory without progress: bodies
    /// that are incomplete, then answers that are not read.
    pub fn relieve_bodies(&self, count: usize, now: Instant) {
        self.relieve(count, now, |_, reason| matches!(reason, Reason::Body | Reason::Unread));
    }

    /// Closes up to `count` connections whose callers do not read their answers. Does nothing if it
    /// was called less than [`RELIEF_INTERVAL`] ago, because each call ranks all connections.
    pub fn relieve_answers(&self, count: usize, now: Instant) {
        let due = self.shared.relief_due.get();
        if due.is_none_or(|due| now >= due) {
            self.shared.relief_due.set(Some(now + RELIEF_INTERVAL));
            self.relieve(count, now, |state, _| state.blocked_since.get().is_some());
        }
    }

    fn relieve(&self, count: usize, now: Instant, may_close: impl Fn(&State<C>, Reason) -> bool) {
        let mut victims: Vec<_> = self
            .shared
            .connections()
            .into_iter()
            .filter_map(|state| Some((state.rank(now)?, state)))
            .filter(|((reason, _), state)| may_close(state, *reason))
            .collect();
        victims.sort_unstable_by_key(|(rank, _)| *rank);
        for ((reason, _), state) in victims.into_iter().take(count) {
            self.shared.close(&state, reason);
        }
    }

    /// Closes the connections that have not progressed in time.
    pub fn sweep(&self, now: Instant) {
        let paces = self.shared.paces.get();
        for state in self.shared.connections() {
            if let Some(reason) = overdue(&state, &paces, now) {
                self.shared.close(&state, reason);
            }
        }
    }
}

/// Why a connection has not progressed in time.
fn overdue<C: Close>(state: &State<C>, paces: &Paces, now: Instant) -> Option<Reason> {
    let lasted = now.saturating_duration_since(state.begins.get());
    if let Some(since) = state.blocked_since.get() {
        let is_over = |since| now.saturating_duration_since(since) >= paces.read;
        let is_slow = state.slow_since.get().is_some_and(is_over);
        return match is_over(since) {
            true => Some(Reason::ReadTimeout),
            false => is_slow.then_some(Reason::ReadPace),
        };
    }
    if state.slow_since.get().is_some_and(|since| now >= since + paces.read) {
        // The caller has caught up.
        state.slow_since.set(None);
    }
    match state.phase.get() {
        Phase::Idle => (lasted >= paces.idle).then_some(Reason::IdleTimeout),
        Phase::Head => (lasted >= paces.head).then_some(Reason::HeadTimeout),
        Phase::Body if state.is_reading_body.get() && now >= state.pace_due.get() => {
            state.pace_due.set(now + paces.window);
            (state.moved.replace(0) < paces.window_bytes).then_some(Reason::BodyPace)
        }
        Phase::Served => {
            paces.answer.is_some_and(|answer| lasted >= answer).then_some(Reason::AnswerTimeout)
        }
        Phase::Body => None,
    }
}
