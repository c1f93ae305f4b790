//! Jittered exponential backoff.

use rand::Rng;
use types::prelude::*;

/// Returns a random delay. The upper bound is `base * 2^doublings`, capped at `max`; the jitter is
/// applied after the cap and picks a delay between half of this bound and all of it.
///
/// The jitter keeps callers that failed together from retrying together.
pub fn delay(base: Duration, max: Duration, doublings: u32, rng: &mut impl Rng) -> Duration {
    let full = base.saturating_mul(1 << doublings.min(20)).min(max);
    full.mul_f64(rng.random_range(0.5..=1.0))
}
