//! Random samples of bounded size.

use std::array::IntoIter;
use std::iter::Flatten;

use rand::Rng;

/// Number of random candidates for one decision. Two are enough to prevent a herd on the best one.
const SAMPLE_SIZE: usize = 2;
/// Maximum positions probed for each candidate from a random start, to skip entries that are not
/// allowed.
const MAX_PROBES: usize = 4;

/// Iterator over a sample.
pub(crate) type Sample<'a, T> = Flatten<IntoIter<Option<&'a T>, SAMPLE_SIZE>>;

/// Returns up to two allowed entries at random positions. Finds at least one if fewer than
/// `MAX_PROBES` consecutive entries are not allowed.
pub(crate) fn sample<'a, T, F: Fn(&T) -> bool>(
    list: &'a [T],
    is_allowed: F,
    rng: &mut impl Rng,
) -> Sample<'a, T> {
    let mut entries: [Option<&T>; SAMPLE_SIZE] = [None; SAMPLE_SIZE];
    if list.is_empty() {
        return entries.into_iter().flatten();
    }
    let mut start = rng.random_range(0..list.len());
    let mut previous = None;
    for entry in &mut entries {
        let found = (0..MAX_PROBES.min(list.len()))
            .map(|offset| (start + offset) % list.len())
            .find(|at| previous != Some(*at) && is_allowed(&list[*at]));
        *entry = found.map(|at| &list[at]);
        previous = found;
        // The second start can be any position but the first.
        start += rng.random_range(1..list.len().max(2));
    }
    entries.into_iter().flatten()
}
