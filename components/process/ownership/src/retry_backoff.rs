//! Delays after failures in a row.

use rand::Rng;
use types::prelude::*;

const FIRST_DELAY: Duration = Duration::from_millis(200);
const MAX_DELAY: Duration = Duration::from_millis(6_400);

/// Counts failures in a row.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The time of the next attempt after a failure.
    pub(crate) fn next_attempt(&mut self, now: Instant, rng: &mut impl Rng) -> Instant {
        let delay = backoff::delay(FIRST_DELAY, MAX_DELAY, self.failures, rng);
        self.failures += 1;
        now + delay
    }

    /// A call got an answer.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}
