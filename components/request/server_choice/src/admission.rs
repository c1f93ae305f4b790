//! Queue limits and load shedding. Workload: more requests for one model, of several priorities,
//! than its servers can run.
//!
//! A queue inside a server cannot be reordered across servers and is lost if the server fails. So
//! each server gets only a short queue, with a lower limit for less urgent requests. The other
//! requests wait at the instance, or are refused early enough that the caller can still react.

use std::time::Duration;

/// Rank from which requests count as least urgent; 0 is the most urgent.
const LEAST_URGENT_RANK: u8 = 2;
/// Running and queued requests per slot up to which the least urgent requests are sent.
const LEAST_URGENT_REQUESTS_PER_SLOT: f64 = 1.5;
/// Additional requests per slot for each rank of greater urgency.
const EXTRA_REQUESTS_PER_RANK: f64 = 0.5;
/// Fraction of its latency target that a least urgent request waits for a server. Its caller is
/// told early when to retry, instead of waiting behind more urgent requests.
const LEAST_URGENT_WAIT_RATIO: f64 = 0.5;
/// Fraction of its remaining time that a more urgent request waits for a server.
const URGENT_WAIT_RATIO: f64 = 0.5;

/// Number of requests in flight at which a server gets no further request of this rank.
pub fn in_flight_limit(slots: u32, rank: u8) -> u32 {
    let extra_per_slot =
        f64::from(LEAST_URGENT_RANK.saturating_sub(rank)) * EXTRA_REQUESTS_PER_RANK;
    (f64::from(slots) * (LEAST_URGENT_REQUESTS_PER_SLOT + extra_per_slot)) as u32
}

/// How long a request of this rank waits for a server with capacity.
pub fn queue_timeout(rank: u8, latency_target: Duration, remaining: Duration) -> Duration {
    let wait = match rank {
        ..LEAST_URGENT_RANK => remaining.mul_f64(URGENT_WAIT_RATIO),
        _ => latency_target.mul_f64(LEAST_URGENT_WAIT_RATIO),
    };
    wait.min(remaining)
}
