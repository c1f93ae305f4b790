//! Sets of disjoint intervals of a limit's span.

use serde::{Deserialize, Serialize};

/// Length of the span that represents a limit.
pub const SPAN_LENGTH: u64 = 1 << 32;

/// A set of points between 0 and `SPAN_LENGTH`, stored as intervals.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IntervalSet {
    /// Half-open intervals in ascending order; none are empty, adjacent or overlapping.
    intervals: Vec<(u64, u64)>,
}

impl IntervalSet {
    /// The empty set.
    pub fn empty() -> Self {
        Self::default()
    }

    /// The set of all points of the span.
    pub fn full() -> Self {
        Self::from_interval(0, SPAN_LENGTH)
    }

    /// The half-open interval `from..to`; empty if `from` is not below `to`.
    pub fn from_interval(from: u64, to: u64) -> Self {
        let intervals = if from < to { vec![(from, to)] } else { Vec::new() };
        Self { intervals }
    }

    /// Interval `index` of `count` intervals of equal length that cover the span.
    pub fn equal_share(index: u64, count: u64) -> Self {
        Self::from_interval(SPAN_LENGTH * index / count, SPAN_LENGTH * (index + 1) / count)
    }

    /// Whether the set has no points.
    pub fn is_empty(&self) -> bool {
        self.intervals.is_empty()
    }

    /// Sum of the lengths of the intervals.
    pub fn length(&self) -> u64 {
        self.intervals.iter().map(|(from, to)| to - from).sum()
    }

    /// Number of units of `limit` whose points are in the set.
    pub fn units(&self, limit: u64) -> u64 {
        let units_below = |point: u64| {
            (u128::from(limit) * u128::from(point)).div_ceil(u128::from(SPAN_LENGTH)) as u64
        };
        self.intervals.iter().map(|(from, to)| units_below(*to) - units_below(*from)).sum()
    }

    /// Points in either set.
    #[must_use]
    pub fn union(&self, other: &Self) -> Self {
        Self::union_all([self, other])
    }

    /// Points in any of the sets.
    pub fn union_all<'a>(sets: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut all: Vec<_> = sets.into_iter().flat_map(|set| &set.intervals).copied().collect();
        all.sort_unstable();
        let mut intervals: Vec<(u64, u64)> = Vec::with_capacity(all.len());
        for (from, to) in all {
            match intervals.last_mut() {
                Some(last) if from <= last.1 => last.1 = last.1.max(to),
                _ => intervals.push((from, to)),
            }
        }
        Self { intervals }
    }

    /// Points in this set but not in the other.
    #[must_use]
    pub fn difference(&self, other: &Self) -> Self {
        let mut intervals = Vec::new();
        for &(from, to) in &self.intervals {
            let mut start = from;
            for &(other_from, other_to) in &other.intervals {
                if other_to <= start || other_from >= to {
                    continue;
                }
                if other_from > start {
                    intervals.push((start, other_from));
                }
                start = other_to;
            }
            if start < to {
                intervals.push((start, to));
            }
        }
        Self { intervals }
    }

    /// Points in both sets.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        self.difference(&self.difference(other))
    }

    /// Subset of at most `length` in total. Uses the shortest single interval that is long enough,
    /// if there is one.
    #[must_use]
    pub fn take_length(&self, length: u64) -> Self {
        let best_fit = self
            .intervals
            .iter()
            .filter(|(from, to)| to - from >= length)
            .min_by_key(|(from, to)| to - from);
        if let Some(&(from, _)) = best_fit {
            return Self::from_interval(from, from + length);
        }
        let mut left = length;
        let mut intervals = Vec::new();
        for &(from, to) in &self.intervals {
            let taken = left.min(to - from);
            if taken > 0 {
                intervals.push((from, from + taken));
            }
            left -= taken;
        }
        Self { intervals }
    }
}
