//! Rate limit on demands for models that are not ready.

use types::prelude::*;

/// An instance sends at most one demand for a model in each interval of this length.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(100);

/// Demand for a model that is not ready.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The model.
    pub model: ModelId,
    /// Adapter of the request that was routed last.
    pub adapter: Option<AdapterId>,
    /// Number of requests that wait on this instance.
    pub waiting: usize,
    /// Earliest first-token deadline of the waiting requests.
    pub earliest_deadline: Instant,
    /// Total worth of the waiting requests, in thousandths.
    pub worth_milli: u64,
}

/// Coalesces demands: sends the first one for a model and holds back later ones until the interval
/// ends.
#[derive(Debug, Default)]
pub(crate) struct DemandLimiter {
    /// Latest demand held back, for each model with an entry in `interval_ends`.
    held_back: HashMap<ModelId, Option<Demand>>,
    /// End of the interval that began with a model's latest demand.
    interval_ends: BTreeSet<(Instant, ModelId)>,
}

impl DemandLimiter {
    /// Returns the demand if it may be sent now, or else holds it back in place of any earlier one.
    pub(crate) fn offer(&mut self, demand: Demand, now: Instant) -> Option<Demand> {
        match self.held_back.get_mut(&demand.model) {
            Some(held_back) => {
                *held_back = Some(demand);
                None
            }
            None => {
                self.start_interval(&demand.model, now);
                Some(demand)
            }
        }
    }

    /// Removes and returns the held-back demands whose intervals have ended.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<Demand> {
        let mut due = Vec::new();
        while let Some((at, model)) = self.interval_ends.pop_first() {
            if at > now {
                self.interval_ends.insert((at, model));
                break;
            }
            if let Some(demand) = self.held_back.remove(&model).flatten() {
                self.start_interval(&demand.model, now);
                due.push(demand);
            }
        }
        due
    }

    /// Drops the held-back demand for a model that has become ready.
    pub(crate) fn discard(&mut self, model: &str) {
        if let Some(held_back) = self.held_back.get_mut(model) {
            *held_back = None;
        }
    }

    pub(crate) fn next_due_at(&self) -> Option<Instant> {
        self.interval_ends.first().map(|(at, _)| *at)
    }

    fn start_interval(&mut self, model: &ModelId, now: Instant) {
        self.held_back.insert(model.clone(), None);
        self.interval_ends.insert((now + DEMAND_INTERVAL, model.clone()));
    }
}
