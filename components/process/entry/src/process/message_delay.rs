//! Finds messages of the leader that were held up on their way. Does no I/O.
//!
//! A message says how old its revisions are and how long the lease is valid, as of the time at
//! which it was sent. An instance that was paused, or that gets its messages through one that was
//! paused, would take old messages for new ones.

use std::time::Duration;

use replica_placement::BootTime;

/// By how much the least delay grows with each message, so that clocks whose rates differ do not
/// look like a delay.
const DRIFT_PER_MESSAGE: Duration = Duration::from_millis(1);

/// Delay of the messages of one leader, compared with the least delay so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MessageDelay {
    /// Fencing number of the leader.
    fence: u64,
    /// When the leader sent the newest message, by its own clock.
    newest: Option<BootTime>,
    /// Least difference of the two clocks at an arrival, in microseconds.
    least_offset: i64,
}

impl MessageDelay {
    /// Records a message that the leader with fencing number `fence` sent at `sent_at`, by the
    /// leader's clock, and that arrived at `now`, by the clock of this instance. Returns by how much
    /// it was later than the fastest one, or `None` if a newer message has arrived already.
    pub(crate) fn record(
        &mut self,
        fence: u64,
        sent_at: BootTime,
        now: BootTime,
    ) -> Option<Duration> {
        if fence < self.fence {
            return None;
        }
        let offset = now.as_micros() as i64 - sent_at.as_micros() as i64;
        let newest = self.newest.filter(|_| fence == self.fence);
        let Some(newest) = newest else {
            *self = Self { fence, newest: Some(sent_at), least_offset: offset };
            return Some(Duration::ZERO);
        };
        if sent_at < newest {
            return None;
        }
        self.newest = Some(sent_at);
        let least = self.least_offset + DRIFT_PER_MESSAGE.as_micros() as i64;
        self.least_offset = least.min(offset);
        Some(Duration::from_micros((offset - self.least_offset).unsigned_abs()))
    }
}

#[cfg(test)]
mod tests;
