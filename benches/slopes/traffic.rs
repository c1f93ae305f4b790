//! Simulates the requests on one replica at the peak load of the target scale.

use rand::Rng;
use rand_distr::{Binomial, Distribution, Poisson};

/// Arrivals per second at one replica: 12,000 requests per second over 7,800 replicas.
const ARRIVALS_PER_SECOND: f64 = 12_000.0 / 7_800.0;
/// Mean run time of a request in seconds: 3.4 million tokens per second over 12,000 requests per
/// second are 283 tokens per request, with 50 ms between tokens. The bound of 73 ms between tokens
/// holds for 95 in 100.
const SERVICE_TIME_SECONDS: f64 = 3_400_000.0 / 12_000.0 * 0.05;

/// Returns the number of requests on a replica one second later. Each running request may end,
/// independently of the others, and new ones arrive.
pub(crate) fn after_a_second(requests: u32, rng: &mut impl Rng) -> u32 {
    let end_probability = 1.0 - (-1.0 / SERVICE_TIME_SECONDS).exp();
    let ended =
        Binomial::new(requests.into(), end_probability).map_or(0, |ended| ended.sample(rng));
    let arrived = Poisson::new(ARRIVALS_PER_SECOND).map_or(0.0, |arrived| arrived.sample(rng));
    requests.saturating_sub(ended as u32) + arrived as u32
}
