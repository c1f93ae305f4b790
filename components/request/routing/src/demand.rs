//! Coalesced demand for models that are not ready.

use types::prelude::*;

/// An instance sends at most one demand for a model in this time.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(100);

/// Demand for a model that is not ready.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The model.
    pub model: ModelId,
    /// Adapter of the latest waiting request.
    pub adapter: Option<AdapterId>,
    /// Requests that wait on this instance.
    pub waiting: usize,
    /// Earliest deadline among them.
    pub earliest_deadline: Instant,
    /// Their worth.
    pub worth_milli: u64,
}

/// Demands sent lately and demands held back.
#[derive(Debug, Default)]
pub(crate) struct Demands {
    /// The latest demand held back, by model, for each model with an entry in `due`.
    held_back: HashMap<ModelId, Option<Demand>>,
    /// When the interval of a model's latest demand ends.
    due: BTreeSet<(Instant, ModelId)>,
}

impl Demands {
    /// Returns the demand if it may be sent now; otherwise it replaces what is held back.
    pub(crate) fn offer(&mut self, demand: Demand, now: Instant) -> Option<Demand> {
        match self.held_back.get_mut(&demand.model) {
            Some(held_back) => {
                *held_back = Some(demand);
                None
            }
            None => {
                self.started(&demand.model, now);
                Some(demand)
            }
        }
    }

    /// Demands whose interval has ended.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<Demand> {
        let mut due = Vec::new();
        while let Some((at, model)) = self.due.pop_first() {
            if at > now {
                self.due.insert((at, model));
                break;
            }
            if let Some(demand) = self.held_back.remove(&model).flatten() {
                self.started(&demand.model, now);
                due.push(demand);
            }
        }
        due
    }

    /// Drops what is held back for a model that has become ready.
    pub(crate) fn satisfied(&mut self, model: &str) {
        if let Some(held_back) = self.held_back.get_mut(model) {
            *held_back = None;
        }
    }

    pub(crate) fn next_at(&self) -> Option<Instant> {
        self.due.first().map(|(at, _)| *at)
    }

    fn started(&mut self, model: &ModelId, now: Instant) {
        self.held_back.insert(model.clone(), None);
        self.due.insert((now + DEMAND_INTERVAL, model.clone()));
    }
}
