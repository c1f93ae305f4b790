//! Queue limits and load shedding. Workload: more requests for one model, of several priorities,
//! than its servers can run, from callers who leave soon.
//!
//! A queue inside a server cannot be reordered across servers and is lost if the server fails. A
//! request that waits there until its caller leaves has only delayed the others. So each server
//! gets only as many requests as it starts in time. The other requests wait at the instance, or are
//! refused early enough that the caller can still react.

use std::time::Duration;

/// Rank from which requests count as least urgent; 0 is the most urgent.
const LEAST_URGENT_RANK: u8 = 2;
/// Most requests in a server's queue per slot, by rank.
const MAX_QUEUE_PER_SLOT: [f64; 3] = [1.5, 1.0, 0.25];
/// Fraction of its latency target that a request may spend in a server's queue.
const QUEUE_TARGET_RATIO: f64 = 0.6;
/// Queued requests per slot that do not delay a most urgent request, because it overtakes them.
const OVERTAKEN_PER_SLOT: f64 = 0.5;
/// Fraction of its latency target that a least urgent request waits for a server. Its caller is
/// told early when to retry, instead of waiting behind more urgent requests.
const LEAST_URGENT_WAIT_RATIO: f64 = 0.5;
/// The same for a more urgent request. One that is late already would take the place of another
/// that can still be in time.
const URGENT_WAIT_RATIO: f64 = 0.7;
/// Assumed time for which a request occupies a slot, before any was measured.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(1_500);
/// Weight of the newest run in the mean.
const RUN_WEIGHT: f64 = 1.0 / 16.0;

/// Mean time for which a request occupies a slot of a server.
#[derive(Clone, Copy, Debug)]
pub struct RunTime {
    mean: Duration,
}

impl Default for RunTime {
    fn default() -> Self {
        Self { mean: INITIAL_RUN_TIME }
    }
}

impl RunTime {
    /// Records the time from the first event of a stream to its end.
    pub fn record(&mut self, run: Duration) {
        self.mean = self.mean.mul_f64(1.0 - RUN_WEIGHT) + run.mul_f64(RUN_WEIGHT);
    }

    /// Mean of the recent runs.
    pub fn mean(&self) -> Duration {
        self.mean
    }
}

/// Number of requests in flight at which a server gets no further request of this rank: its slots,
/// and a queue that is short enough for the latency target.
pub fn in_flight_limit(slots: u32, rank: u8, latency_target: Duration, run_time: RunTime) -> u32 {
    let rank = usize::from(rank.min(LEAST_URGENT_RANK));
    let turns = latency_target.as_secs_f64() * QUEUE_TARGET_RATIO
        / run_time.mean.as_secs_f64().max(f64::MIN_POSITIVE);
    let overtaken = if rank == 0 { OVERTAKEN_PER_SLOT } else { 0.0 };
    let queue_per_slot = (turns + overtaken).min(MAX_QUEUE_PER_SLOT[rank]);
    slots + (f64::from(slots) * queue_per_slot) as u32
}

/// How long a request of this rank waits for a server with capacity.
pub fn queue_timeout(rank: u8, latency_target: Duration, remaining: Duration) -> Duration {
    let ratio = match rank {
        ..LEAST_URGENT_RANK => URGENT_WAIT_RATIO,
        _ => LEAST_URGENT_WAIT_RATIO,
    };
    latency_target.mul_f64(ratio).min(remaining)
}

/// Probability with which one of `waiting` requests at all instances takes one of `room` places.
/// The instances get the load figures at the same time; without it, all their waiting requests
/// would take the same places.
pub fn turn_probability(room: u32, waiting: u32) -> f64 {
    (f64::from(room) / f64::from(waiting.max(1))).min(1.0)
}
