//! Counts good and bad requests of one instance.

use types::prelude::*;

use crate::state::{BurnState, SeriesState};
use crate::window::{Counts, Ring, WINDOWS};

/// Maximum number of series. Requests of further series are only counted in total. At about 1.4 KiB
/// each, the series take 6 MiB of the 64 MB that an instance may use.
pub const MAX_SERIES: usize = 4096;

/// Objective of a class and the configuration version that defines it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Objective {
    /// Version under which the request was admitted.
    pub version: ConfigurationVersion,
    /// Fraction of requests that must be good, in basis points.
    pub objective: BasisPoints,
}

/// Counts good and bad requests per client account and class in bounded memory.
#[derive(Clone, Debug)]
pub struct BurnTracker {
    start: Instant,
    series: BTreeMap<(ClientAccountId, ClassId), Series>,
    uncounted: u64,
}

#[derive(Clone, Debug)]
struct Series {
    objective: Objective,
    rings: [Ring; 3],
}

impl BurnTracker {
    /// Creates an empty tracker whose first buckets begin at `start`.
    pub fn new(start: Instant) -> Self {
        Self { start, series: BTreeMap::new(), uncounted: 0 }
    }

    /// Counts one request.
    pub fn record(
        &mut self,
        now: Instant,
        client_account: &str,
        class: &str,
        objective: Objective,
        good: bool,
    ) {
        let elapsed = now.saturating_duration_since(self.start);
        let key = (client_account.into(), class.into());
        if !self.series.contains_key(&key) && self.series.len() >= MAX_SERIES {
            self.uncounted += 1;
            return;
        }
        let series = self
            .series
            .entry(key)
            .or_insert_with(|| Series { objective, rings: WINDOWS.map(Ring::new) });
        // Requests finish out of order, so the objective of the highest version is used.
        if objective.version >= series.objective.version {
            series.objective = objective;
        }
        let counts = Counts { good: u32::from(good), bad: u32::from(!good) };
        for ring in &mut series.rings {
            ring.record(elapsed, counts);
        }
    }

    /// Removes the series of classes that the configuration no longer contains.
    pub fn retain(&mut self, configuration: &Configuration) {
        self.series.retain(|(client_account, class), _| {
            configuration
                .contracts
                .get(client_account)
                .is_some_and(|c| c.classes.contains_key(class))
        });
    }

    /// Returns the counts by age, for merging with those of other instances.
    pub fn state(&self, now: Instant) -> BurnState {
        let elapsed = now.saturating_duration_since(self.start);
        let series = self.series.iter().map(|((client_account, class), series)| SeriesState {
            client_account: client_account.clone(),
            class: class.clone(),
            version: series.objective.version,
            objective: series.objective.objective,
            windows: series.rings.iter().map(|ring| ring.by_age(elapsed)).collect(),
        });
        BurnState { series: series.collect(), uncounted: self.uncounted }
    }
}
