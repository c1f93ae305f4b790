//! Rate limit for model loads from the weight store.

use types::prelude::*;

/// Starts of loads from the store in the last [`RATE_WINDOW`].
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreRateLimiter {
    starts: VecDeque<Instant>,
    /// Number of starts so far; wraps around.
    total: u32,
}

const RATE_WINDOW: Duration = Duration::from_secs(1);

impl StoreRateLimiter {
    /// When the rate limit allows the next load. Other groups started `starts_of_others` loads
    /// during the last second.
    pub(crate) fn next_start(
        &self,
        per_second: u32,
        starts_of_others: u32,
        now: Instant,
    ) -> Instant {
        let per_second = per_second.max(1);
        let available = per_second.saturating_sub(starts_of_others) as usize;
        if available == 0 {
            // It is not known when the first start of the others leaves the window.
            return now + RATE_WINDOW / per_second;
        }
        match self.starts.len().checked_sub(available) {
            Some(i) => (self.starts[i] + RATE_WINDOW).max(now),
            None => now,
        }
    }

    /// When the last load started.
    pub(crate) fn last_start(&self) -> Option<Instant> {
        self.starts.back().copied()
    }

    /// Number of starts so far; wraps around.
    pub(crate) fn total_starts(&self) -> u32 {
        self.total
    }

    pub(crate) fn record_start(&mut self, now: Instant) {
        while self.starts.front().is_some_and(|&s| s + RATE_WINDOW <= now) {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
        self.total = self.total.wrapping_add(1);
    }
}
