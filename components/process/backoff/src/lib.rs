//! Jittered exponential backoff.

use rand::Rng;
use types::prelude::*;

/// A delay between half of and the whole of `base` doubled `doublings` times, at most `longest`.
/// The jitter keeps callers that failed together from coming back together.
pub fn delay(base: Duration, longest: Duration, doublings: u32, rng: &mut impl Rng) -> Duration {
    let whole = base.saturating_mul(1 << doublings.min(20)).min(longest);
    whole.mul_f64(rng.random_range(0.5..=1.0))
}
