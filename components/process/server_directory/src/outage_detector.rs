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

/// A time in which an instance followed the registry without an outage.
#[derive(Clone, Copy, Debug)]
pub struct SteadyTime {
    /// First confirmation after the instance's start or its last outage.
    pub since: Instant,
    /// Last confirmation.
    pub until: Instant,
}

/// Detects outages by the time between two confirmations of the registry.
///
/// An instance that was cut off or suspended has had no confirmation either. It is told apart from an
/// outage by another instance that followed the registry all the while.
///
/// An entry that vanishes during an outage or just after it may have expired although its server is
/// alive. The grace period of such servers starts when the registry is reachable again, not when
/// the loss is noticed. After that period, and without an outage, a vanished entry means that the
/// server leaves.
#[derive(Clone, Copy, Debug)]
pub struct OutageDetector {
    heartbeat: Duration,
    /// Own confirmations without an outage between them.
    steady: Option<SteadyTime>,
    /// Confirmations of another instance.
    steady_elsewhere: Option<SteadyTime>,
    /// Last confirmation before the last outage, and the first after it, from which the grace period
    /// counts.
    outage: Option<(Instant, Instant)>,
}

impl OutageDetector {
    /// Starts without a confirmation. `heartbeat` is the interval at which servers renew their
    /// entries.
    pub fn new(heartbeat: Duration) -> Self {
        Self { heartbeat, steady: None, steady_elsewhere: None, outage: None }
    }

    /// Records that the registry confirmed the known state at `now` or reported changes.
    pub fn record_confirmation(&mut self, now: Instant) {
        let Some(steady) = &mut self.steady else {
            self.steady = Some(SteadyTime { since: now, until: now });
            return;
        };
        let previous = steady.until;
        steady.until = previous.max(now);
        if self.is_outage(previous, now) {
            self.steady = Some(SteadyTime { since: now, until: now });
            self.outage = Some((previous, now));
        }
    }

    /// Records that another instance followed the registry in this time. Returns true if this ends a
    /// grace period: the outage was a time in which this instance alone had no confirmation.
    pub fn record_steady_elsewhere(&mut self, steady: SteadyTime) -> bool {
        self.steady_elsewhere = Some(steady);
        let is_refuted = self.outage.is_some_and(|(from, to)| !self.is_outage(from, to));
        if is_refuted {
            self.outage = None;
        }
        is_refuted
    }

    /// Whether entries may have expired because nobody is known to have reached the registry between
    /// two times, the first of which is a confirmation.
    fn is_outage(&self, from: Instant, to: Instant) -> bool {
        let from = match self.steady_elsewhere {
            Some(steady) if steady.since <= from => steady.until.max(from),
            _ => from,
        };
        to.saturating_duration_since(from) >= self.heartbeat.mul_f64(MIN_OUTAGE_HEARTBEATS)
    }

    /// The time up to the last confirmation in which this instance followed the registry.
    pub fn steady_time(&self) -> Option<SteadyTime> {
        self.steady
    }

    /// Time until which a server may be used whose entry vanished at `now`; `None` if the entry
    /// cannot have expired because of an outage.
    pub fn grace_deadline(&self, now: Instant) -> Option<Instant> {
        let deadline = self.outage.map(|(_, back_at)| back_at + OUTAGE_GRACE);
        deadline.filter(|deadline| now < *deadline)
    }
}
