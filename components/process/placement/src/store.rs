//! Keeps model loads within the weight store's rate.

use types::prelude::*;

/// Starts of loads from the store during the last second.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreRate {
    starts: VecDeque<Instant>,
}

const WINDOW: Duration = Duration::from_secs(1);

impl StoreRate {
    /// When the next load may start, as far as the rate is concerned.
    pub(crate) fn next_start(&self, per_second: u32, now: Instant) -> Instant {
        let n = per_second.max(1) as usize;
        match self.starts.len().checked_sub(n) {
            Some(i) => (self.starts[i] + WINDOW).max(now),
            None => now,
        }
    }

    pub(crate) fn started(&mut self, now: Instant) {
        while self.starts.front().is_some_and(|&s| s + WINDOW <= now) {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }
}
