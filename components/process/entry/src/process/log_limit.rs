//! Limits the log lines that callers can cause.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Most lines in each interval. The counters count what is not logged.
const MAX_LINES: u32 = 100;
const INTERVAL: Duration = Duration::from_secs(1);

/// Allows a bounded number of log lines.
#[derive(Debug)]
pub(crate) struct LogLimit {
    /// End of the present interval.
    ends: Cell<Instant>,
    /// Lines in the present interval.
    lines: Cell<u32>,
}

impl LogLimit {
    pub(crate) fn new(now: Instant) -> Self {
        Self { ends: Cell::new(now + INTERVAL), lines: Cell::new(0) }
    }

    /// Whether one more line may be written.
    pub(crate) fn allows_line(&self, now: Instant) -> bool {
        if now >= self.ends.get() {
            self.ends.set(now + INTERVAL);
            self.lines.set(0);
        }
        self.lines.set(self.lines.get().saturating_add(1));
        self.lines.get() <= MAX_LINES
    }
}
