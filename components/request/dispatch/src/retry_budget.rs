//! Retry budget over a sliding window.

use types::prelude::*;

/// Length of the sliding window. Rarely used models get few first attempts, so with a window of one
/// minute most servers would have no retry at all.
pub const RETRY_WINDOW: Duration = Duration::from_secs(600);
/// Length of one slot of the window.
const SLOT_DURATION: Duration = Duration::from_secs(10);
/// Number of slots in the window.
const WINDOW_SLOTS: u64 = RETRY_WINDOW.as_secs() / SLOT_DURATION.as_secs();
/// Number of first attempts per allowed retry.
const FIRST_ATTEMPTS_PER_RETRY: u64 = 10;
/// Retries allowed in one slot regardless of its first attempts. Further retries must be covered by
/// first attempts in the same slot, so that first attempts spread over a long quiet period do not
/// allow a burst of retries.
const FREE_RETRIES_PER_SLOT: u64 = 2;

/// Limits retries to a tenth of the first attempts, per backend server and overall.
///
/// A retry counts against the server whose failure caused it.
#[derive(Debug, Default)]
pub struct RetryBudget {
    start: Option<Instant>,
    overall: SlidingWindow,
    servers: HashMap<BackendServerId, SlidingWindow>,
    /// Slot in which idle servers were last removed.
    pruned_at: u64,
}

#[derive(Debug, Default)]
struct SlidingWindow {
    /// Counts by slot number, oldest first.
    slots: VecDeque<(u64, Counts)>,
    total: Counts,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    first_attempts: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates a budget with empty windows.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a first attempt at `server`.
    pub fn record_first_attempt(&mut self, server: &str, now: Instant) {
        let slot = self.current_slot(now);
        self.overall.slot_counts(slot).first_attempts += 1;
        self.overall.total.first_attempts += 1;
        let window = self.server_window(server);
        window.slot_counts(slot).first_attempts += 1;
        window.total.first_attempts += 1;
    }

    /// Records a retry after a failure at `server` and returns true if the budget allows it.
    pub fn try_retry(&mut self, server: &str, now: Instant) -> bool {
        let slot = self.current_slot(now);
        if !self.overall.allows_retry(slot) || !self.server_window(server).allows_retry(slot) {
            return false;
        }
        self.overall.slot_counts(slot).retries += 1;
        self.overall.total.retries += 1;
        let window = self.server_window(server);
        window.slot_counts(slot).retries += 1;
        window.total.retries += 1;
        true
    }

    /// Returns the number of the current slot. In each new slot, removes servers whose windows have
    /// become empty.
    fn current_slot(&mut self, now: Instant) -> u64 {
        let start = *self.start.get_or_insert(now);
        let slot = now.saturating_duration_since(start).as_secs() / SLOT_DURATION.as_secs();
        if slot > self.pruned_at {
            self.pruned_at = slot;
            self.servers.retain(|_, window| {
                window.advance(slot);
                !window.slots.is_empty()
            });
        }
        slot
    }

    fn server_window(&mut self, server: &str) -> &mut SlidingWindow {
        if !self.servers.contains_key(server) {
            self.servers.insert(server.into(), SlidingWindow::default());
        }
        self.servers.get_mut(server).expect("inserted above")
    }
}

impl SlidingWindow {
    /// Drops slots that have left the window.
    fn advance(&mut self, slot: u64) {
        while let Some((number, counts)) = self.slots.front().copied() {
            if number + WINDOW_SLOTS > slot {
                break;
            }
            self.total.first_attempts -= counts.first_attempts;
            self.total.retries -= counts.retries;
            self.slots.pop_front();
        }
    }

    fn slot_counts(&mut self, slot: u64) -> &mut Counts {
        self.advance(slot);
        if self.slots.back().is_none_or(|(number, _)| *number < slot) {
            self.slots.push_back((slot, Counts::default()));
        }
        &mut self.slots.back_mut().expect("pushed above").1
    }

    fn allows_retry(&mut self, slot: u64) -> bool {
        let counts = *self.slot_counts(slot);
        let slot_limit =
            (counts.first_attempts / FIRST_ATTEMPTS_PER_RETRY).max(FREE_RETRIES_PER_SLOT);
        counts.retries < slot_limit
            && (self.total.retries + 1) * FIRST_ATTEMPTS_PER_RETRY <= self.total.first_attempts
    }
}
