//! Pattern: more requests for one model than its servers can run, of several urgencies.
//!
//! A queue inside a server cannot be reordered over servers and is lost with it. So a server gets
//! only a short queue, the less urgent requests a shorter one, and the rest waits at the instance
//! or is refused while its caller can still do something else.

use std::time::Duration;

/// Rank up to which requests may fill a server's queue the most; 0 is the most urgent.
const LEAST_URGENT: u8 = 2;
/// Requests for each slot, running and queued, up to which the least urgent requests are sent.
const LEAST_URGENT_FILL: f64 = 1.5;
/// What each rank more adds to that.
const FILL_FOR_RANK: f64 = 0.5;
/// Part of its latency target for which the least urgent request waits for a place. Its caller is
/// told early when to come back instead of waiting behind more urgent ones.
const LEAST_URGENT_WAIT: f64 = 0.5;
/// Part of the time left for which a more urgent request waits for a place.
const URGENT_WAIT: f64 = 0.5;

/// Requests in flight at a server up to which one more of this rank is sent there.
pub fn in_flight_limit(slots: u32, rank: u8) -> u32 {
    let more = f64::from(LEAST_URGENT.saturating_sub(rank)) * FILL_FOR_RANK;
    (f64::from(slots) * (LEAST_URGENT_FILL + more)) as u32
}

/// How long a request of this rank waits for a place at a server.
pub fn queue_timeout(rank: u8, latency_target: Duration, left: Duration) -> Duration {
    let wait = match rank {
        ..LEAST_URGENT => left.mul_f64(URGENT_WAIT),
        _ => latency_target.mul_f64(LEAST_URGENT_WAIT),
    };
    wait.min(left)
}
