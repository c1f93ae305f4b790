//! Counts that can be merged across instances. They form the body of `GET /burn`.

use std::collections::btree_map::Entry;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::window::{Counts, WINDOWS};

/// Counts of one or several instances.
///
/// Buckets are identified by age, so that the clocks of instances need not agree. Bucket boundaries
/// of different instances differ by up to one bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnState {
    /// Counts by client account and class, sorted by both.
    pub series: Vec<SeriesState>,
    /// Requests that were not counted because there were too many client accounts and classes.
    pub uncounted: u64,
}

/// Counts of one client account and class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeriesState {
    /// The client account.
    pub client_account: ClientAccountId,
    /// The class.
    pub class: ClassId,
    /// Configuration version that defines `objective`.
    pub version: ConfigurationVersion,
    /// Fraction of requests that must be good, in basis points.
    pub objective: BasisPoints,
    /// Non-empty buckets with their ages for each of [`WINDOWS`], newest first.
    pub windows: Vec<Vec<(u16, Counts)>>,
}

impl BurnState {
    /// Adds the counts of another instance.
    pub fn merge(&mut self, other: &Self) {
        let own_series = std::mem::take(&mut self.series);
        let mut merged = BTreeMap::<(ClientAccountId, ClassId), SeriesState>::new();
        for series in own_series.into_iter().chain(other.series.iter().cloned()) {
            match merged.entry((series.client_account.clone(), series.class.clone())) {
                Entry::Vacant(entry) => {
                    entry.insert(series);
                }
                Entry::Occupied(mut entry) => entry.get_mut().merge(&series),
            }
        }
        self.series = merged.into_values().collect();
        self.uncounted = self.uncounted.saturating_add(other.uncounted);
    }
}

impl SeriesState {
    fn merge(&mut self, other: &Self) {
        // Two objectives with the same version would be a fault; the stricter one is then shown.
        let is_newer = (other.version, other.objective) > (self.version, self.objective);
        if is_newer {
            (self.version, self.objective) = (other.version, other.objective);
        }
        self.windows.resize(WINDOWS.len(), Vec::new());
        for (own, other) in self.windows.iter_mut().zip(&other.windows) {
            let mut sums = BTreeMap::<u16, Counts>::new();
            for (age, counts) in own.iter().chain(other) {
                sums.entry(*age).or_default().add(*counts);
            }
            *own = sums.into_iter().collect();
        }
    }

    /// Sums the counts of a window, given by its index in [`WINDOWS`].
    pub fn sum(&self, window: usize) -> Counts {
        let mut sum = Counts::default();
        for (_, counts) in self.windows.get(window).into_iter().flatten() {
            sum.add(*counts);
        }
        sum
    }
}
