//! State of one connection, as far as the limits need it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::table::{Close, Full, Reason, Shared};

/// What connections take in memory, in bytes. Measured figures are in `docs/platform.md`.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// A connection that has sent nothing yet.
    pub silent: usize,
    /// A connection that has sent something, with the buffers for reading and writing.
    pub open: usize,
    /// A request whose head is complete, with the connection to a server.
    pub request: usize,
    /// Each field of the head of a request.
    pub field: usize,
    /// Bytes that the kernel accepts for a connection while nothing is read.
    pub unread: usize,
    /// Length of a head that fits into the buffers of `open`.
    pub buffered_head: usize,
}

/// Time after which an answer that its caller does not take counts as not read.
const UNREAD_GRACE: Duration = Duration::from_secs(1);
/// Time after which a connection without a request counts as idle. A new one needs some to bring its
/// first request.
const IDLE_GRACE: Duration = Duration::from_millis(500);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No byte of a request has arrived.
    Idle,
    /// The head of a request is incomplete.
    Head,
    /// The body of a request is incomplete.
    Body,
    /// The whole request was read and is not answered completely.
    Served,
}

/// What is known of the rest of a body that was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyRest {
    /// There is none.
    None,
    /// The next bytes may belong to it. The library reads at most once to skip a body, and closes the
    /// connection if that was not enough.
    Expected,
    /// Bytes that may belong to it, and to the next head, were read.
    Read,
}

/// A connection in a table, which it leaves when it is dropped. Its task records here what happens.
pub struct TrackedConnection<C: Close> {
    pub(crate) state: Rc<State<C>>,
}

pub(crate) struct State<C: Close> {
    pub(crate) table: Rc<Shared<C>>,
    /// Place in the table; `None` once the connection has left it.
    pub(crate) index: Cell<Option<usize>>,
    pub(crate) closer: C,
    pub(crate) phase: Cell<Phase>,
    /// When the phase began.
    pub(crate) begins: Cell<Instant>,
    /// Since when the caller has taken no byte of what is ready for it.
    pub(crate) blocked_since: Cell<Option<Instant>>,
    /// Since when the caller has taken fewer than the least number of bytes. It says something only
    /// while the caller is blocked: the kernel's buffer was full then and is full again, so what was
    /// written meanwhile is what the caller took.
    pub(crate) slow_since: Cell<Option<Instant>>,
    /// Bytes that the caller took after `slow_since`.
    taken: Cell<usize>,
    /// Bytes that the caller sent since the last check of its pace.
    pub(crate) moved: Cell<usize>,
    /// When the pace is checked next; only while a body is incomplete.
    pub(crate) pace_due: Cell<Instant>,
    /// Bytes of the head so far.
    head_len: Cell<usize>,
    /// Whether the caller sent something before the answer to its former request had ended, and
    /// there may be more of it.
    has_sent_ahead: Cell<bool>,
    /// The rest of a refused body.
    body_rest: Cell<BodyRest>,
    /// Whether this instance reads the body of the request, which it does once it has room and the
    /// request may be served. Until then the caller is not held to a pace.
    pub(crate) is_reading_body: Cell<bool>,
    /// Part of the table's sum.
    pub(crate) bytes: Cell<usize>,
}

impl<C: Close> Clone for TrackedConnection<C> {
    fn clone(&self) -> Self {
        Self { state: self.state.clone() }
    }
}

impl<C: Close> Drop for State<C> {
    fn drop(&mut self) {
        self.table.remove(self);
    }
}

impl<C: Close> State<C> {
    pub(crate) fn new(table: Rc<Shared<C>>, index: usize, closer: C, now: Instant) -> Self {
        let bytes = Cell::new(table.cost.silent);
        Self {
            table,
            index: Cell::new(Some(index)),
            closer,
            phase: Cell::new(Phase::Idle),
            begins: Cell::new(now),
            blocked_since: Cell::new(None),
            slow_since: Cell::new(None),
            taken: Cell::new(0),
            moved: Cell::new(0),
            pace_due: Cell::new(now),
            head_len: Cell::new(0),
            has_sent_ahead: Cell::new(false),
            body_rest: Cell::new(BodyRest::None),
            is_reading_body: Cell::new(false),
            bytes,
        }
    }

    /// The least progress comes first; `None` for a connection that is never closed for others.
    pub(crate) fn rank(&self, now: Instant) -> Option<(Reason, Instant)> {
        let lasts = |since, least: Duration| now.saturating_duration_since(since) >= least;
        if let Some(since) = self.blocked_since.get() {
            let since = self.slow_since.get().unwrap_or(since);
            if self.has_sent_ahead.get() {
                return Some((Reason::SentAhead, since));
            }
            return lasts(since, UNREAD_GRACE).then_some((Reason::Unread, since));
        }
        let is_new = !lasts(self.begins.get(), self.table.paces.get().least);
        let reason = match self.phase.get() {
            Phase::Served => return None,
            Phase::Body if !self.is_reading_body.get() => return None,
            Phase::Idle if self.has_sent_ahead.get() => Reason::SentAhead,
            _ if is_new => return None,
            Phase::Idle if lasts(self.begins.get(), IDLE_GRACE) => Reason::Idle,
            Phase::Idle => Reason::Fresh,
            Phase::Head if self.head_len.get() > self.table.cost.buffered_head => Reason::LongHead,
            Phase::Head => Reason::Head,
            Phase::Body => Reason::Body,
        };
        Some((reason, self.begins.get()))
    }

    /// The memory that the connection takes in its present state.
    fn cost(&self, fields: usize) -> usize {
        let cost = &self.table.cost;
        let head_len = self.head_len.get();
        let mut bytes = cost.open;
        if head_len > cost.buffered_head {
            // The buffer grows by doubling.
            bytes += 2 * head_len;
        }
        if matches!(self.phase.get(), Phase::Body | Phase::Served) {
            bytes += cost.request + fields * cost.field;
        }
        if self.has_sent_ahead.get() {
            bytes += cost.unread;
        }
        bytes
    }

    fn charge(&self, bytes: usize, now: impl FnOnce() -> Instant) -> Result<(), Full> {
        if self.index.get().is_none() {
            return Err(Full);
        }
        let present = self.bytes.get();
        if bytes > present {
            self.table.make_room(bytes - present, 0, now, Some(self))?;
        }
        self.table.resize(self, bytes);
        Ok(())
    }
}

impl<C: Close> TrackedConnection<C> {
    /// Whether the caller sent something before the answer to its former request had ended, and
    /// there may be more of it.
    pub fn has_sent_ahead(&self) -> bool {
        self.state.has_sent_ahead.get()
    }

    /// Whether the connection has been closed for others.
    pub fn is_closed(&self) -> bool {
        self.state.index.get().is_none()
    }

    /// Records that `len` bytes were read.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for a longer head. The connection is then to be closed.
    pub fn read(&self, len: usize, now: impl Fn() -> Instant) -> Result<(), Full> {
        let state = &*self.state;
        let phase = state.phase.get();
        if state.body_rest.get() == BodyRest::Expected
            && matches!(phase, Phase::Idle | Phase::Served)
        {
            state.body_rest.set(BodyRest::Read);
            return Ok(());
        }
        match phase {
            Phase::Idle => {
                let at = now();
                state.phase.set(Phase::Head);
                state.begins.set(at);
                state.head_len.set(len);
                state.charge(state.cost(0), || at)
            }
            Phase::Head => {
                let head_len = state.head_len.get() + len;
                state.head_len.set(head_len);
                if head_len <= state.table.cost.buffered_head {
                    return Ok(());
                }
                state.charge(state.cost(0), now)
            }
            Phase::Body => {
                state.moved.set(state.moved.get() + len);
                Ok(())
            }
            Phase::Served if state.has_sent_ahead.get() => Ok(()),
            Phase::Served => {
                state.has_sent_ahead.set(true);
                state.charge(state.bytes.get() + state.table.cost.unread, now)
            }
        }
    }

    /// Records that nothing more has arrived. Without a request, nothing that was sent ahead is left.
    pub fn read_all(&self) {
        let state = &*self.state;
        if state.phase.get() == Phase::Idle && state.has_sent_ahead.replace(false) {
            state.table.resize(state, state.cost(0));
        }
    }

    /// Records that the kernel took `len` bytes of an answer.
    pub fn wrote(&self, len: usize) {
        let state = &*self.state;
        if len == 0 || state.slow_since.get().is_none() {
            return;
        }
        state.blocked_since.set(None);
        state.taken.set(state.taken.get() + len);
        if state.taken.get() >= state.table.paces.get().read_bytes {
            state.slow_since.set(None);
        }
    }

    /// Records that the caller does not take what is ready for it.
    pub fn blocked(&self, now: impl Fn() -> Instant) {
        let state = &*self.state;
        if state.blocked_since.get().is_some() {
            return;
        }
        let at = now();
        state.blocked_since.set(Some(at));
        if state.slow_since.get().is_none() {
            state.slow_since.set(Some(at));
            state.taken.set(0);
        }
    }

    /// Records that the head of a request with `fields` fields is complete.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for the request.
    pub fn begin_request(&self, fields: usize, has_body: bool, now: Instant) -> Result<(), Full> {
        let state = &*self.state;
        let body_rest = state.body_rest.replace(BodyRest::None);
        if state.phase.get() == Phase::Idle && body_rest != BodyRest::Read {
            // The head was in the buffer already when the answer before ended.
            state.has_sent_ahead.set(true);
        }
        state.phase.set(if has_body { Phase::Body } else { Phase::Served });
        state.begins.set(now);
        state.is_reading_body.set(false);
        state.charge(state.cost(fields), || now)
    }

    /// Records that the body of the request is read from now on.
    pub fn begin_body(&self, now: impl Fn() -> Instant) {
        let state = &*self.state;
        if !state.is_reading_body.replace(true) {
            let at = now();
            state.begins.set(at);
            state.moved.set(0);
            state.pace_due.set(at + state.table.paces.get().window);
        }
    }

    /// Records that the body of the request was read to its end.
    pub fn end_body(&self) {
        if self.state.phase.get() == Phase::Body {
            self.state.phase.set(Phase::Served);
        }
    }

    /// Records that the rest of the body of the request is not used.
    pub fn abandon_body(&self) {
        self.end_body();
        self.state.body_rest.set(BodyRest::Expected);
    }

    /// Records that the answer has ended; its last bytes may not have been written yet.
    pub fn end_answer(&self, now: impl Fn() -> Instant) {
        let state = &*self.state;
        state.phase.set(Phase::Idle);
        state.begins.set(now());
        state.head_len.set(0);
        state.table.resize(state, state.cost(0));
    }
}
