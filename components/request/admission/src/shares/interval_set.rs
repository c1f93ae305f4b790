//! Sets of disjoint intervals of a limit.

use serde::{Deserialize, Serialize};

/// Length of the whole span.
pub const SPAN_LENGTH: u64 = 1 << 32;

/// A set of points of the span from 0 to `SPAN_LENGTH`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IntervalSet {
    /// Half-open intervals in rising order, neither empty, touching nor overlapping.
    intervals: Vec<(u64, u64)>,
}

impl IntervalSet {
    /// No part.
    pub fn empty() -> Self {
        Self::default()
    }

    /// The whole span.
    pub fn full() -> Self {
        Self::from_interval(0, SPAN_LENGTH)
    }

    /// One interval; empty if `from` is not below `to`.
    pub fn from_interval(from: u64, to: u64) -> Self {
        let intervals = if from < to { vec![(from, to)] } else { Vec::new() };
        Self { intervals }
    }

    /// Part `index` of `count` equal parts.
    pub fn equal_share(index: u64, count: u64) -> Self {
        Self::from_interval(SPAN_LENGTH * index / count, SPAN_LENGTH * (index + 1) / count)
    }

    /// Whether there is no part.
    pub fn is_empty(&self) -> bool {
        self.intervals.is_empty()
    }

    /// Sum of the lengths.
    pub fn length(&self) -> u64 {
        self.intervals.iter().map(|(from, to)| to - from).sum()
    }

    /// Units of a limit that belong to these parts.
    pub fn units(&self, limit: u64) -> u64 {
        let below = |point: u64| {
            (u128::from(limit) * u128::from(point)).div_ceil(u128::from(SPAN_LENGTH)) as u64
        };
        self.intervals.iter().map(|(from, to)| below(*to) - below(*from)).sum()
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
            for &(cut_from, cut_to) in &other.intervals {
                if cut_to <= start || cut_from >= to {
                    continue;
                }
                if cut_from > start {
                    intervals.push((start, cut_from));
                }
                start = cut_to;
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

    /// IntervalSet of at most `length` in all, from a single interval if one is long enough.
    #[must_use]
    pub fn take_length(&self, length: u64) -> Self {
        let fitting = self
            .intervals
            .iter()
            .filter(|(from, to)| to - from >= length)
            .min_by_key(|(from, to)| to - from);
        if let Some(&(from, _)) = fitting {
            return Self::from_interval(from, from + length);
        }
        let mut left = length;
        let mut intervals = Vec::new();
        for &(from, to) in &self.intervals {
            let part = left.min(to - from);
            if part > 0 {
                intervals.push((from, from + part));
            }
            left -= part;
        }
        Self { intervals }
    }
}
