//! Keeps model loads within the weight store's rate.

use types::prelude::*;

/// Starts of loads from the store during the last second.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreRate {
    starts: VecDeque<Instant>,
    /// Starts so far, wrapping.
    total: u32,
}

const WINDOW: Duration = Duration::from_secs(1);

impl StoreRate {
    /// When the next load may start, as far as the rate is concerned. `others` were started by
    /// other groups during the last second.
    pub(crate) fn next_start(&self, per_second: u32, others: u32, now: Instant) -> Instant {
        let per_second = per_second.max(1);
        let left = per_second.saturating_sub(others) as usize;
        if left == 0 {
            // When the first of the others' starts leaves the window is not known.
            return now + WINDOW / per_second;
        }
        match self.starts.len().checked_sub(left) {
            Some(i) => (self.starts[i] + WINDOW).max(now),
            None => now,
        }
    }

    /// When the last load started.
    pub(crate) fn last(&self) -> Option<Instant> {
        self.starts.back().copied()
    }

    /// Starts so far, wrapping.
    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    pub(crate) fn started(&mut self, now: Instant) {
        while self.starts.front().is_some_and(|&s| s + WINDOW <= now) {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
        self.total = self.total.wrapping_add(1);
    }
}
