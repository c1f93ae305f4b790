//! Pattern: many short requests that share prompt parts, spread over unequal servers.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Requests in flight that the server with the kept prompt parts may have more than the others.
/// Reading a shared part again costs about as much as a few decoding steps of these.
const AFFINITY_LEAD: f64 = 3.0;

/// Requests in flight that one request in a server's queue counts for.
const QUEUED_WEIGHT: f64 = 4.0;

/// Requests in flight that one recent failure counts for.
const FAILURE_WEIGHT: f64 = 6.0;

/// Requests in flight that a server in another data centre counts for. The way there is short,
/// so that it only decides between servers that are otherwise alike.
const DISTANCE_WEIGHT: f64 = 0.4;

/// A server that could run the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Id of the server.
    pub id: &'a str,
    /// Whether it runs in the data centre of this instance.
    pub is_local: bool,
    /// Requests in flight from all instances, as far as known.
    pub in_flight: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Recent failures, decayed; see [`crate::Health`].
    pub failures: f64,
}

/// Key of the prompt part that decides where a prompt is kept.
pub fn affinity_key(model: &str, part: &str) -> u64 {
    xxh3_64_with_seed(part.as_bytes(), xxh3_64_with_seed(model.as_bytes(), 0))
}

/// Index of the best candidate. `draw` in `0..1` picks the half of the candidates that are looked
/// at, besides the one that keeps the prompt: the figures lag behind, and instances that all
/// looked at all of them would send to the same server until the next figures.
pub fn choose_server(
    candidates: &[Candidate<'_>],
    affinity: Option<u64>,
    draw: f64,
) -> Option<usize> {
    let preferred = affinity.and_then(|key| {
        let rank = |c: &Candidate<'_>| xxh3_64_with_seed(c.id.as_bytes(), key);
        candidates.iter().enumerate().max_by_key(|(_, c)| rank(c)).map(|(at, _)| at)
    });
    let salt = (draw * u32::MAX as f64) as u64;
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|at| xxh3_64_with_seed(candidates[*at].id.as_bytes(), salt));
    order.truncate(candidates.len().div_ceil(2).max(2));
    order.extend(preferred);
    let cost = |at: usize| {
        let c = &candidates[at];
        // A full server queues: each request beyond the slots waits for a whole one to end.
        let queued = c.in_flight.saturating_sub(c.slots.saturating_sub(1));
        f64::from(c.in_flight)
            + f64::from(queued) * QUEUED_WEIGHT
            + c.failures * FAILURE_WEIGHT
            + if c.is_local { 0.0 } else { DISTANCE_WEIGHT }
            - if preferred == Some(at) { AFFINITY_LEAD } else { 0.0 }
    };
    order.into_iter().min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
}
