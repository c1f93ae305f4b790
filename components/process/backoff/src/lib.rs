//! Jittered exponential backoff.

use rand::Rng;
use types::prelude::*;

/// Returns a random delay between half and all of `base * 2^doublings`, capped at `max`.
/// The jitter keeps callers that failed together from retrying together.
pub fn delay(base: Duration, max: Duration, doublings: u32, rng: &mut impl Rng) -> Duration {
    let full = base.saturating_mul(1 << doublings.min(20)).min(max);
    full.mul_f64(rng.random_range(0.5..=1.0))
}
