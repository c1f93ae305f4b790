//! Retry budget.

use types::prelude::*;

/// Length of the sliding window. Rarely used models bring few first attempts; a window of a minute
/// would leave most servers without a single retry.
pub const RETRY_WINDOW: Duration = Duration::from_secs(600);
/// Resolution of the window.
const SLOT: Duration = Duration::from_secs(10);
/// Slots of the window.
const SLOTS: u64 = RETRY_WINDOW.as_secs() / SLOT.as_secs();
/// First attempts that allow one retry.
const FIRST_ATTEMPTS_PER_RETRY: u64 = 10;
/// Retries allowed in one slot regardless of the slot's own first attempts. More must be covered
/// by first attempts of the same slot, so that a long quiet time does not pay for a burst.
const FREE_RETRIES_PER_SLOT: u64 = 2;

/// Keeps retries at most a tenth of first attempts, per backend server and overall.
///
/// A retry counts against the server whose failure caused it.
#[derive(Debug, Default)]
pub struct RetryBudget {
    start: Option<Instant>,
    overall: Window,
    servers: HashMap<BackendServerId, Window>,
    pruned_at: u64,
}

#[derive(Debug, Default)]
struct Window {
    /// Slots with their number, oldest first.
    slots: VecDeque<(u64, Counts)>,
    total: Counts,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    first_attempts: u64,
    retries: u64,
}

impl RetryBudget {
    /// An empty window.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, server: &str, now: Instant) {
        let slot = self.slot(now);
        self.overall.count(slot).first_attempts += 1;
        self.overall.total.first_attempts += 1;
        let window = self.server(server);
        window.count(slot).first_attempts += 1;
        window.total.first_attempts += 1;
    }

    /// Counts a retry after a failure at `server`, if the budget has room for it.
    pub fn try_retry(&mut self, server: &str, now: Instant) -> bool {
        let slot = self.slot(now);
        if !self.overall.has_room(slot) || !self.server(server).has_room(slot) {
            return false;
        }
        self.overall.count(slot).retries += 1;
        self.overall.total.retries += 1;
        let window = self.server(server);
        window.count(slot).retries += 1;
        window.total.retries += 1;
        true
    }

    /// Number of the present slot; also forgets servers that the window no longer mentions.
    fn slot(&mut self, now: Instant) -> u64 {
        let start = *self.start.get_or_insert(now);
        let slot = now.saturating_duration_since(start).as_secs() / SLOT.as_secs();
        if slot > self.pruned_at {
            self.pruned_at = slot;
            self.servers.retain(|_, window| {
                window.advance(slot);
                !window.slots.is_empty()
            });
        }
        slot
    }

    fn server(&mut self, server: &str) -> &mut Window {
        if !self.servers.contains_key(server) {
            self.servers.insert(server.into(), Window::default());
        }
        self.servers.get_mut(server).expect("inserted above")
    }
}

impl Window {
    fn advance(&mut self, slot: u64) {
        while let Some((number, counts)) = self.slots.front().copied() {
            if number + SLOTS > slot {
                break;
            }
            self.total.first_attempts -= counts.first_attempts;
            self.total.retries -= counts.retries;
            self.slots.pop_front();
        }
    }

    fn count(&mut self, slot: u64) -> &mut Counts {
        self.advance(slot);
        if self.slots.back().is_none_or(|(number, _)| *number < slot) {
            self.slots.push_back((slot, Counts::default()));
        }
        &mut self.slots.back_mut().expect("pushed above").1
    }

    fn has_room(&mut self, slot: u64) -> bool {
        let present = *self.count(slot);
        let of_slot =
            (present.first_attempts / FIRST_ATTEMPTS_PER_RETRY).max(FREE_RETRIES_PER_SLOT);
        present.retries < of_slot
            && (self.total.retries + 1) * FIRST_ATTEMPTS_PER_RETRY <= self.total.first_attempts
    }
}
