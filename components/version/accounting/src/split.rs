//! Splits a whole number exactly.

/// Splits `total` in proportion to `weights` by the method of largest remainders.
///
/// The parts add up to `total` exactly. Among equal remainders, the earlier weight comes first.
/// Returns `None` if all weights are zero, since there is then no proportion to follow.
pub fn largest_remainder(total: u64, weights: &[u64]) -> Option<Vec<u64>> {
    let sum: u128 = weights.iter().map(|w| u128::from(*w)).sum();
    if sum == 0 {
        return None;
    }
    let product = |w: &u64| u128::from(total) * u128::from(*w);
    // Each part is at most `total`, so the conversion never saturates.
    let mut parts: Vec<u64> =
        weights.iter().map(|w| u64::try_from(product(w) / sum).unwrap_or(total)).collect();
    let remaining = total - parts.iter().sum::<u64>();
    let mut by_remainder: Vec<usize> = (0..weights.len()).collect();
    by_remainder.sort_by_key(|i| (std::cmp::Reverse(product(&weights[*i]) % sum), *i));
    // Fewer than `weights.len()` units remain, since each remainder is less than one unit.
    for i in by_remainder.into_iter().take(usize::try_from(remaining).unwrap_or(usize::MAX)) {
        parts[i] += 1;
    }
    Some(parts)
}
