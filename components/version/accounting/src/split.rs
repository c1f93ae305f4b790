//! Exact splits of a whole number.

/// Splits `total` in proportion to `weights` by the method of largest remainders.
///
/// The parts add up to `total` exactly. Equal remainders go to the earlier weight. Returns `None` if
/// all weights are zero, since there is then no proportion to follow.
pub fn largest_remainder(total: u64, weights: &[u64]) -> Option<Vec<u64>> {
    let sum: u128 = weights.iter().map(|w| u128::from(*w)).sum();
    if sum == 0 {
        return None;
    }
    let product = |w: &u64| u128::from(total) * u128::from(*w);
    // Each part is at most `total`, so the conversion never saturates.
    let mut parts: Vec<u64> =
        weights.iter().map(|w| u64::try_from(product(w) / sum).unwrap_or(total)).collect();
    let missing = total - parts.iter().sum::<u64>();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|i| (std::cmp::Reverse(product(&weights[*i]) % sum), *i));
    // Fewer than `weights.len()` units are missing, since each remainder is less than one unit.
    for i in order.into_iter().take(usize::try_from(missing).unwrap_or(usize::MAX)) {
        parts[i] += 1;
    }
    Some(parts)
}
