//! Learns how long an engine takes to unload a model that no request uses.
//!
//! An engine refuses the load that needs the room until the unload is done, and every refused order
//! is a message for nothing. The time is not documented.

use std::time::Duration;

/// Time before anything was learned.
const INITIAL: Duration = Duration::from_millis(70);
/// Change of the expected time after a load that came too early, and after one that did not. Their
/// ratio makes one load in twenty come too early.
const STEP_UP: Duration = Duration::from_millis(19);
const STEP_DOWN: Duration = Duration::from_millis(1);
/// Bounds of the expected time.
const MIN: Duration = Duration::from_millis(5);
const MAX: Duration = Duration::from_millis(400);

/// Time from the acceptance of an unload until the next order is accepted.
#[derive(Clone, Copy, Debug)]
pub struct UnloadTime {
    expected: Duration,
}

impl Default for UnloadTime {
    fn default() -> Self {
        Self { expected: INITIAL }
    }
}

impl UnloadTime {
    /// Time after which nineteen of twenty unloads are done.
    pub fn expected(&self) -> Duration {
        self.expected
    }

    /// Records whether the order that was sent after the expected time came too early.
    pub fn record(&mut self, was_too_early: bool) {
        let changed = match was_too_early {
            true => self.expected + STEP_UP,
            false => self.expected.saturating_sub(STEP_DOWN),
        };
        self.expected = changed.clamp(MIN, MAX);
    }
}
