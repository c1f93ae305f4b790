//! Summaries of other data centres.

use types::prelude::*;

/// Older summaries are ignored. Delegates exchange summaries every second.
const SUMMARY_LIFETIME: Duration = Duration::from_secs(5);

/// Summary of another data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreSummary {
    /// The summarised data centre.
    pub data_centre: DataCentreId,
    /// Ready models, each with the number of requests that it can start at once.
    pub free_capacity: Vec<(ModelId, u32)>,
}

/// Latest summary of each data centre.
#[derive(Debug, Default)]
pub(crate) struct Summaries {
    by_data_centre: BTreeMap<DataCentreId, SummaryEntry>,
}

#[derive(Debug)]
struct SummaryEntry {
    expires_at: Instant,
    free_capacity: HashMap<ModelId, u32>,
}

impl Summaries {
    pub(crate) fn insert(&mut self, summary: DataCentreSummary, now: Instant) {
        let free_capacity = summary.free_capacity.into_iter().collect();
        let entry = SummaryEntry { expires_at: now + SUMMARY_LIFETIME, free_capacity };
        self.by_data_centre.insert(summary.data_centre, entry);
    }

    /// Returns the data centre with the most free capacity for a model. Reserves capacity for one
    /// request there, so that one summary does not send a whole burst to the same data centre.
    pub(crate) fn reserve(&mut self, model: &str, now: Instant) -> Option<DataCentreId> {
        let (name, free) = self
            .by_data_centre
            .iter_mut()
            .filter(|(_, summary)| summary.expires_at > now)
            .filter_map(|(name, summary)| Some((name, summary.free_capacity.get_mut(model)?)))
            .max_by_key(|(_, free)| **free)?;
        *free = free.checked_sub(1)?;
        Some(name.clone())
    }
}
