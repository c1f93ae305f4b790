//! Estimates when memory that replicas hold can be free again.

use types::prelude::*;

use crate::estimate::UNLOAD_TIME;
use crate::placement::Placement;
use crate::view::{ReplicaView, ServerView, View};

/// Mean time that a replica stays busy, until one was observed: an answer of about 30 tokens at the
/// 73 ms between two tokens that callers are promised.
const DEFAULT_BUSY_TIME: Duration = Duration::from_secs(2);
/// Longer busy times (batch work) are clamped to this, so that a few of them do not make all demand
/// look unreachable.
const MAX_BUSY_TIME: Duration = Duration::from_secs(30);
/// Weight of the newest observation in the mean.
const GAIN: f64 = 0.1;
/// A replica that has already been busy for longer than the mean is expected to stay busy for the
/// mean divided by this.
const OVERDUE_DIVISOR: u32 = 16;

/// Busy replicas and the mean time that replicas stay busy.
#[derive(Clone, Debug)]
pub(crate) struct BusyTimes {
    since: HashMap<ReplicaId, Instant>,
    mean_s: f64,
}

impl Default for BusyTimes {
    fn default() -> Self {
        Self { since: HashMap::new(), mean_s: DEFAULT_BUSY_TIME.as_secs_f64() }
    }
}

impl BusyTimes {
    /// Updates the mean from replicas that have become idle.
    pub(crate) fn update(&mut self, view: &View, now: Instant) {
        let mut since = HashMap::with_capacity(self.since.len());
        for r in view.servers.iter().flat_map(|s| &s.replicas) {
            let before = self.since.get(&r.replica).copied();
            if r.phase == ReplicaPhase::Ready && !r.is_idle() {
                since.insert(r.replica, before.unwrap_or(now));
            } else if let (true, Some(from)) = (r.is_idle(), before) {
                let busy_for = now.saturating_duration_since(from).min(MAX_BUSY_TIME);
                self.mean_s += GAIN * (busy_for.as_secs_f64() - self.mean_s);
            }
        }
        self.since = since;
    }

    fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// When a busy replica is expected to be idle.
    fn idle_at(&self, replica: ReplicaId, now: Instant) -> Instant {
        let since = self.since.get(&replica).copied().unwrap_or(now);
        (since + self.mean()).max(now + self.mean() / OVERDUE_DIVISOR)
    }
}

impl Placement {
    /// Earliest time at which `memory` bytes can be free on a server: at once, after unloads of
    /// idle replicas, or after unloads of busy replicas in the order in which they finish.
    pub(crate) fn earliest_free_memory(
        &self,
        server: &ServerView,
        memory: u64,
        now: Instant,
    ) -> Instant {
        let unconfirmed = self.outstanding.unconfirmed_memory(&server.server);
        let mut free = server.memory_free.saturating_sub(unconfirmed);
        if free >= memory {
            return now;
        }
        let release =
            |r: &ReplicaView| (self.release_time(server, r, now) + UNLOAD_TIME, r.memory_bytes);
        let mut releases: Vec<_> = server.replicas.iter().map(release).collect();
        releases.sort();
        let mut memory_free_at = now + UNLOAD_TIME;
        for (at, bytes) in releases {
            memory_free_at = at;
            free += bytes;
            if free >= memory {
                break;
            }
        }
        memory_free_at
    }

    /// When the unload of a replica can start; `now` if it has started.
    fn release_time(&self, server: &ServerView, r: &ReplicaView, now: Instant) -> Instant {
        match r.phase {
            ReplicaPhase::Unloading => now,
            ReplicaPhase::Ready if r.is_idle() => match self.grace_until.get(&r.model) {
                Some(until) if self.is_in_grace_period(r, now) => *until,
                _ => now,
            },
            ReplicaPhase::Ready => self.busy.idle_at(r.replica, now),
            // The replica first serves the waiting requests that it is loaded for.
            ReplicaPhase::Loading => {
                let loads = self.outstanding.loads_of(&r.model);
                let expected_end =
                    loads.filter(|d| d.server == server.server).map(|d| d.expected_end).max();
                expected_end.unwrap_or(now).max(now) + self.busy.mean()
            }
        }
    }
}
