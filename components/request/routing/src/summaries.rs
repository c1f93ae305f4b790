//! What is known of other data centres.

use types::prelude::*;

/// A summary older than this is not used; delegates exchange one every second.
const SUMMARY_TERM: Duration = Duration::from_secs(5);

/// What is known of another data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreSummary {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Ready models with the number of requests that they can take at once.
    pub free_capacity: Vec<(ModelId, u32)>,
}

/// Latest summaries.
#[derive(Debug, Default)]
pub(crate) struct Summaries {
    centres: BTreeMap<DataCentreId, Summary>,
}

#[derive(Debug)]
struct Summary {
    usable_until: Instant,
    free: HashMap<ModelId, u32>,
}

impl Summaries {
    pub(crate) fn set(&mut self, summary: DataCentreSummary, now: Instant) {
        let free = summary.free_capacity.into_iter().collect();
        let entry = Summary { usable_until: now + SUMMARY_TERM, free };
        self.centres.insert(summary.data_centre, entry);
    }

    /// The data centre with most free capacity for a model. Takes one request off it, so that a
    /// burst does not all go to the same place on one summary.
    pub(crate) fn take(&mut self, model: &str, now: Instant) -> Option<DataCentreId> {
        let (name, free) = self
            .centres
            .iter_mut()
            .filter(|(_, summary)| summary.usable_until > now)
            .filter_map(|(name, summary)| Some((name, summary.free.get_mut(model)?)))
            .max_by_key(|(_, free)| **free)?;
        *free = free.checked_sub(1)?;
        Some(name.clone())
    }
}
