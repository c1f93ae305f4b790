//! Detects registry outages, after which vanished entries may belong to live servers.

use std::time::{Duration, Instant};

/// Minimum length of an outage, in heartbeat intervals, after which an entry may have expired. The
/// registry expires an entry three intervals after its last heartbeat, and the last heartbeat before
/// the outage may be almost one interval old. This is 0.25 less than two because heartbeats come
/// slightly early or late.
const MIN_OUTAGE_HEARTBEATS: f64 = 1.75;

/// Time after the end of a registry outage in which a server whose entry expired registers again.
/// The platform's pages allow servers about two seconds.
pub const OUTAGE_GRACE: Duration = Duration::from_secs(2);

/// Detects outages by the time between two confirmations of the registry.
///
/// An entry that vanishes during an outage or just after it may have expired although its server is
/// alive. The grace period of such servers starts when the registry is reachable again, not when
/// the loss is noticed. After that period, and without an outage, a vanished entry means that the
/// server leaves.
#[derive(Clone, Copy, Debug)]
pub struct OutageDetector {
    heartbeat: Duration,
    /// Time of the last confirmation that the known state is current.
    confirmed_at: Option<Instant>,
    /// Entries that vanish before this time may have expired because of an outage.
    grace_deadline: Option<Instant>,
}

impl OutageDetector {
    /// Starts without a confirmation. `heartbeat` is the interval at which servers renew their
    /// entries.
    pub fn new(heartbeat: Duration) -> Self {
        Self { heartbeat, confirmed_at: None, grace_deadline: None }
    }

    /// Records that the registry confirmed the known state at `now` or reported changes.
    pub fn record_confirmation(&mut self, now: Instant) {
        let previous = self.confirmed_at;
        self.confirmed_at = previous.max(Some(now));
        let is_outage = previous.is_some_and(|previous| {
            now.saturating_duration_since(previous) >= self.heartbeat.mul_f64(MIN_OUTAGE_HEARTBEATS)
        });
        if is_outage {
            self.grace_deadline = Some(now + OUTAGE_GRACE);
        }
    }

    /// Time until which a server may be used whose entry vanished at `now`; `None` if the entry
    /// cannot have expired because of an outage.
    pub fn grace_deadline(&self, now: Instant) -> Option<Instant> {
        self.grace_deadline.filter(|deadline| now < *deadline)
    }
}
