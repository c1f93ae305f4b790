//! When memory that replicas hold can be free again.

use types::prelude::*;

use crate::estimate::UNLOAD;
use crate::placement::Placement;
use crate::view::{ReplicaView, ServerView, View};

/// Usual time that a replica stays busy, before any was observed: an answer of about 30 tokens at
/// the 73 ms between two tokens that callers are promised.
const BUSY_TIME: Duration = Duration::from_secs(2);
/// Longer busy times (batch work) are cut to this, so that a few do not shut out all demand.
const LONGEST_BUSY_TIME: Duration = Duration::from_secs(30);
/// Weight of the newest observation.
const GAIN: f64 = 0.1;
/// A replica that is busy for longer than usual is expected to be so for this part of the usual
/// time more.
const REST_PART: u32 = 16;

/// Busy replicas and how long replicas usually stay busy.
#[derive(Clone, Debug)]
pub(crate) struct BusyTimes {
    since: HashMap<ReplicaId, Instant>,
    usual_s: f64,
}

impl Default for BusyTimes {
    fn default() -> Self {
        Self { since: HashMap::new(), usual_s: BUSY_TIME.as_secs_f64() }
    }
}

impl BusyTimes {
    /// Learns from replicas that have become idle.
    pub(crate) fn update(&mut self, view: &View, now: Instant) {
        let mut since = HashMap::with_capacity(self.since.len());
        for r in view.servers.iter().flat_map(|s| &s.replicas) {
            let before = self.since.get(&r.replica).copied();
            if r.phase == ReplicaPhase::Ready && !r.is_idle() {
                since.insert(r.replica, before.unwrap_or(now));
            } else if let (true, Some(from)) = (r.is_idle(), before) {
                let took = now.saturating_duration_since(from).min(LONGEST_BUSY_TIME);
                self.usual_s += GAIN * (took.as_secs_f64() - self.usual_s);
            }
        }
        self.since = since;
    }

    fn usual(&self) -> Duration {
        Duration::from_secs_f64(self.usual_s)
    }

    /// When a busy replica is expected to be idle.
    fn idle_at(&self, replica: ReplicaId, now: Instant) -> Instant {
        let since = self.since.get(&replica).copied().unwrap_or(now);
        (since + self.usual()).max(now + self.usual() / REST_PART)
    }
}

impl Placement {
    /// Earliest time at which `memory` can be free on a server: at once, after unloads of idle
    /// replicas, or after busy replicas have finished, those that finish first.
    pub(crate) fn earliest_room(&self, server: &ServerView, memory: u64, now: Instant) -> Instant {
        let unseen = self.outstanding.unseen_memory(&server.server);
        let mut free = server.memory_free.saturating_sub(unseen);
        if free >= memory {
            return now;
        }
        let release = |r: &ReplicaView| (self.release(server, r, now) + UNLOAD, r.memory_bytes);
        let mut releases: Vec<_> = server.replicas.iter().map(release).collect();
        releases.sort();
        let mut room_at = now + UNLOAD;
        for (at, bytes) in releases {
            room_at = at;
            free += bytes;
            if free >= memory {
                break;
            }
        }
        room_at
    }

    /// When the unload of a replica can start, or has started.
    fn release(&self, server: &ServerView, r: &ReplicaView, now: Instant) -> Instant {
        match r.phase {
            ReplicaPhase::Unloading => now,
            ReplicaPhase::Ready if r.is_idle() => match self.fresh.get(&r.model) {
                Some(until) if self.is_fresh(r, now) => *until,
                _ => now,
            },
            ReplicaPhase::Ready => self.busy.idle_at(r.replica, now),
            // It is loaded for requests that wait, which it serves first.
            ReplicaPhase::Loading => {
                let loads = self.outstanding.loads_of(&r.model);
                let known = loads.filter(|i| i.server == server.server).map(|i| i.ready_at).max();
                known.unwrap_or(now).max(now) + self.busy.usual()
            }
        }
    }
}
