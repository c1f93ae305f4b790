//! Jittered exponential backoff.

use rand::Rng;
use types::prelude::*;

const FIRST_DELAY: Duration = Duration::from_millis(200);
const MAX_DOUBLINGS: u32 = 5;

/// Counts failures in a row.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The time of the next attempt after a failure.
    pub(crate) fn failed(&mut self, now: Instant, rng: &mut impl Rng) -> Instant {
        let delay = FIRST_DELAY * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        now + delay.mul_f64(rng.random_range(0.5..1.0))
    }

    /// A call got an answer.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}
