//! Requests on one replica at the target scale's peak load.

use rand::Rng;
use rand_distr::{Binomial, Distribution, Poisson};

/// Requests a second of one replica: 12,000 over 7,800 replicas.
const ARRIVALS: f64 = 12_000.0 / 7_800.0;
/// Seconds of one request: 3.4 million tokens a second over 12,000 requests a second are 283 tokens,
/// with 50 ms between them. The bound of 73 ms holds for 95 in 100.
const SERVICE_TIME: f64 = 3_400_000.0 / 12_000.0 * 0.05;

/// Requests on a replica one second later. Each ends by itself, others arrive.
pub(crate) fn after_a_second(requests: u32, rng: &mut impl Rng) -> u32 {
    let part_ended = 1.0 - (-1.0 / SERVICE_TIME).exp();
    let ended = Binomial::new(requests.into(), part_ended).map_or(0, |ended| ended.sample(rng));
    let arrived = Poisson::new(ARRIVALS).map_or(0.0, |arrived| arrived.sample(rng));
    requests.saturating_sub(ended as u32) + arrived as u32
}
