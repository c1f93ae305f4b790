//! Server selection. Workload: many short requests that share prompt prefixes, spread over unequal
//! servers.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Requests in flight by which the server that has the shared prompt part cached may exceed the
/// others. Prefilling the part again costs about as much as a few decoding steps of these requests.
const AFFINITY_BONUS: f64 = 3.0;

/// Number of requests in flight that one queued request counts as.
const QUEUED_WEIGHT: f64 = 4.0;

/// Number of requests in flight that one recent failure counts as.
const FAILURE_WEIGHT: f64 = 6.0;

/// Number of requests in flight that each multiple of the usual time counts as.
const SLOW_WEIGHT: f64 = 3.0;

/// Number of requests in flight that being in another data centre counts as. The network delay is
/// short, so this only decides between otherwise equal servers.
const REMOTE_WEIGHT: f64 = 0.4;

/// A server that can run the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Server id.
    pub id: &'a str,
    /// Whether it runs in the data centre of this instance.
    pub is_local: bool,
    /// Requests in flight from all instances, as last reported.
    pub in_flight: u32,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Decayed count of recent failures; see [`crate::Health`].
    pub failures: f64,
    /// Factor by which it is slower than usual; 1 if it is not slow. See [`crate::PaceBoard`].
    pub slowness: f64,
    /// Requests in flight that the long prompts it still has to read count as; 0 if it has none. See
    /// [`crate::PromptMix::reading_cost`].
    pub reading: f64,
}

/// Preference for the server that caches the shared part of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Affinity {
    /// Hash of a model and the shared part, which selects the server.
    key: u64,
    /// Requests in flight by which the server may exceed the others.
    bonus: f64,
}

impl Affinity {
    /// Sets the requests in flight that reading the shared part counts as. Short parts count as much
    /// as any.
    pub fn with_reading_cost(self, cost: f64) -> Self {
        Self { bonus: cost.max(AFFINITY_BONUS), ..self }
    }

    /// Index of the candidate that caches the part.
    pub fn preferred(self, candidates: &[Candidate<'_>]) -> Option<usize> {
        let rank = |c: &Candidate<'_>| xxh3_64_with_seed(c.id.as_bytes(), self.key);
        candidates.iter().enumerate().max_by_key(|(_, c)| rank(c)).map(|(index, _)| index)
    }
}

/// Affinity of the requests for a model that share a prompt part.
pub fn affinity_key(model: &str, part: &str) -> Affinity {
    let key = xxh3_64_with_seed(part.as_bytes(), xxh3_64_with_seed(model.as_bytes(), 0));
    Affinity { key, bonus: AFFINITY_BONUS }
}

/// A selected candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index of the candidate.
    pub index: usize,
    /// Whether it is the one that caches the shared part of the prompt.
    pub is_preferred: bool,
    /// Whether another one would have been selected if no candidate had long prompts to read.
    pub avoids_reading: bool,
}

fn cheapest(indices: impl Iterator<Item = usize>, cost: impl Fn(usize) -> f64) -> Option<usize> {
    indices.min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
}

/// Selects the best candidate. Only half of the candidates, selected by `draw` in `0..1`, and the one
/// that caches the prompt part are considered: load figures lag, and if every instance considered all
/// candidates, all would choose the same server until the next figures. If all of these have long
/// prompts to read, those that have none are considered as well.
pub fn choose_server(
    candidates: &[Candidate<'_>],
    affinity: Option<Affinity>,
    draw: f64,
) -> Option<Choice> {
    let preferred = affinity.and_then(|affinity| affinity.preferred(candidates));
    let bonus = affinity.map_or(0.0, |affinity| affinity.bonus);
    let seed = (draw * u32::MAX as f64) as u64;
    let mut drawn: Vec<usize> = (0..candidates.len()).collect();
    drawn.sort_by_key(|index| xxh3_64_with_seed(candidates[*index].id.as_bytes(), seed));
    let mut others = drawn.split_off(candidates.len().div_ceil(2).max(2).min(candidates.len()));
    if drawn.iter().all(|index| candidates[*index].reading > 0.0) {
        others.retain(|index| candidates[*index].reading == 0.0);
    } else {
        others.clear();
    }
    drawn.extend(preferred);
    let cost_without_reading = |index: usize| {
        let c = &candidates[index];
        // A full server queues: each request beyond its slots waits until another one completes.
        let queued = c.in_flight.saturating_sub(c.slots.saturating_sub(1));
        // The same requests take a slow server longer, the new one included.
        f64::from(c.in_flight) * c.slowness
            + (c.slowness - 1.0) * SLOW_WEIGHT
            + f64::from(queued) * QUEUED_WEIGHT
            + c.failures * FAILURE_WEIGHT
            + if c.is_local { 0.0 } else { REMOTE_WEIGHT }
            - if preferred == Some(index) { bonus } else { 0.0 }
    };
    let costs: Vec<f64> = (0..candidates.len()).map(cost_without_reading).collect();
    let cost = |index: usize| costs[index] + candidates[index].reading * candidates[index].slowness;
    let without_reading = cheapest(drawn.iter().copied(), |index| costs[index]);
    let index = cheapest(drawn.iter().chain(&others).copied(), cost)?;
    Some(Choice {
        index,
        is_preferred: preferred == Some(index),
        avoids_reading: without_reading != Some(index),
    })
}
