//! Bounded random samples.

use std::array::IntoIter;
use std::iter::Flatten;

use rand::Rng;

/// Random candidates of one decision. Two are enough to avoid herding on the best one.
const CANDIDATES: usize = 2;
/// Positions tried from a random start for each candidate, to step over excluded entries.
const TRIES: usize = 4;

/// What a sample yields.
pub(crate) type Picks<'a, T> = Flatten<IntoIter<Option<&'a T>, CANDIDATES>>;

/// Up to two allowed entries at random positions. Finds one if fewer than `TRIES` entries in a
/// row are not allowed.
pub(crate) fn sample<'a, T, F: Fn(&T) -> bool>(
    list: &'a [T],
    allowed: F,
    rng: &mut impl Rng,
) -> Picks<'a, T> {
    let mut picks: [Option<&T>; CANDIDATES] = [None; CANDIDATES];
    if list.is_empty() {
        return picks.into_iter().flatten();
    }
    let mut start = rng.random_range(0..list.len());
    let mut taken = None;
    for pick in &mut picks {
        let found = (0..TRIES.min(list.len()))
            .map(|offset| (start + offset) % list.len())
            .find(|at| taken != Some(*at) && allowed(&list[*at]));
        *pick = found.map(|at| &list[at]);
        taken = found;
        // The second start is any position but the first.
        start += rng.random_range(1..list.len().max(2));
    }
    picks.into_iter().flatten()
}
