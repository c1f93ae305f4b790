//! Exponential backoff after failed calls.

use rand::Rng;
use types::prelude::*;

const FIRST_DELAY: Duration = Duration::from_millis(200);
const MAX_DELAY: Duration = Duration::from_millis(6_400);

/// Number of consecutive failures, which sets the delay before the next attempt.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure and returns the time of the next attempt.
    pub(crate) fn next_attempt(&mut self, now: Instant, rng: &mut impl Rng) -> Instant {
        let delay = backoff::delay(FIRST_DELAY, MAX_DELAY, self.failures, rng);
        self.failures += 1;
        now + delay
    }

    /// Starts over after a successful call.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}
