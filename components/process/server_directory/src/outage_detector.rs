//! Whether entries that vanish from the registry may be those of live servers.

use std::time::{Duration, Instant};

/// Heartbeats of a server that an outage must swallow before its entry can lapse: the registry
/// waits for three, and the last one before the outage may be almost one interval old. Heartbeats
/// come a little early and late, hence a quarter less than two.
const SWALLOWED_HEARTBEATS: f64 = 1.75;

/// Time from the return of the registry in which a server whose entry lapsed registers again. The
/// platform's pages give servers about two seconds.
pub const OUTAGE_GRACE: Duration = Duration::from_secs(2);

/// Contact with the registry.
///
/// An entry that vanishes during an outage, or just after it, may have lapsed although its server
/// lives. The grace for such servers counts from the return of the registry and not from when the
/// loss is seen: after it, and in calm times, a vanished entry means that the server leaves.
#[derive(Clone, Copy, Debug)]
pub struct OutageDetector {
    heartbeat: Duration,
    /// When the registry last confirmed what is known.
    confirmed_at: Option<Instant>,
    /// Entries that vanish before this deadline may have lapsed.
    grace_deadline: Option<Instant>,
}

impl OutageDetector {
    /// No contact yet; `heartbeat` is the interval at which servers renew their entries.
    pub fn new(heartbeat: Duration) -> Self {
        Self { heartbeat, confirmed_at: None, grace_deadline: None }
    }

    /// The registry confirmed at `now` what is known, or told what changed.
    pub fn record_confirmation(&mut self, now: Instant) {
        let former = self.confirmed_at;
        self.confirmed_at = former.max(Some(now));
        let is_outage = former.is_some_and(|former| {
            now.saturating_duration_since(former) >= self.heartbeat.mul_f64(SWALLOWED_HEARTBEATS)
        });
        if is_outage {
            self.grace_deadline = Some(now + OUTAGE_GRACE);
        }
    }

    /// Deadline until which a server may be used whose entry vanished at `now`; `None` if it
    /// cannot have lapsed.
    pub fn grace_deadline(&self, now: Instant) -> Option<Instant> {
        self.grace_deadline.filter(|until| now < *until)
    }
}
