//! Demand for each model, summed over all instances.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use admission::waiting::WaitingGroup;
use routes::ModelName;

use crate::waiting_loss::{Rank, WaitingLoss, WaitingWeights};

/// Time constant of the smoothed arrival rate. Demand shifts between models within seconds.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Demand for one model.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Requests that wait because no server has the model.
    pub waiting: u32,
    /// Requests that were last reported as waiting for the model or one of its adapters although a
    /// server already has the model: their instances are about to send them.
    pub pending_send: u32,
    /// The requests of `waiting` and `pending_send` by rank and client account. Empty where the
    /// configuration has neither client accounts nor several ranks.
    pub waiting_groups: Vec<WaitingGroup>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Time of the last arrival.
    pub last_arrival_at: Option<Instant>,
    /// What the callers of each of `waiting_groups` lose while the model is not loaded.
    losses: Vec<WaitingLoss>,
    /// Most urgent rank of the requests that waited for it last.
    rank: Option<Rank>,
    rate: f64,
    rate_updated_at: Option<Instant>,
}

impl Demand {
    /// Smoothed arrivals per second.
    pub fn arrival_rate(&self, now: Instant) -> f64 {
        let Some(at) = self.rate_updated_at else { return 0.0 };
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        self.rate * (-elapsed / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// What a load that takes `load_time` spares the callers of its waiting requests, in requests of
    /// the most urgent rank that waits.
    pub(crate) fn spared_loss(&self, load_time: Duration) -> f64 {
        match self.waiting_groups.is_empty() {
            true => f64::from(self.waiting + self.pending_send),
            false => self.losses.iter().map(|loss| loss.spared_by(load_time)).sum(),
        }
    }

    /// Adds `count` arrivals to the rate.
    pub fn record_arrivals(&mut self, now: Instant, count: u64) {
        self.rate = self.arrival_rate(now) + count as f64 / RATE_TIME_CONSTANT.as_secs_f64();
        self.rate_updated_at = Some(now);
        self.last_arrival_at = Some(now);
    }
}

/// Demand by model.
#[derive(Clone, Debug, Default)]
pub struct Demands {
    /// Demand for each model that was ever requested.
    pub models: HashMap<ModelName, Demand>,
    weights: WaitingWeights,
    /// Whether the configuration has client accounts or several ranks.
    are_weighed: bool,
}

impl Demands {
    /// Demand for a model; `None` if it was never requested.
    pub fn get(&self, model: &str) -> Option<&Demand> {
        self.models.get(model)
    }

    /// Weighs the `waiting_groups` of all models against each other, after these were set.
    /// `longest_waits` is how long a request may wait at most, by rank; `None` if the configuration
    /// has neither client accounts nor several ranks.
    pub fn weigh_waiting(&mut self, longest_waits: Option<&BTreeMap<Rank, Duration>>) {
        self.are_weighed = longest_waits.is_some();
        let Some(longest_waits) = longest_waits else {
            self.weights = WaitingWeights::default();
            return;
        };
        let groups = self.models.values().flat_map(|demand| &demand.waiting_groups);
        self.weights = WaitingWeights::new(groups);
        for demand in self.models.values_mut() {
            let groups = &demand.waiting_groups;
            let weigh = |group| self.weights.loss(group, longest_waits);
            demand.losses = groups.iter().map(weigh).collect();
            demand.rank = groups.iter().map(|group| group.rank).min().or(demand.rank);
        }
    }

    /// Whether requests are told apart by rank or account, so that what their callers lose decides.
    pub(crate) fn are_weighed(&self) -> bool {
        self.are_weighed
    }

    /// Weight of a request for a model, compared with one of the most urgent rank that waits; 1 if
    /// the rank of its requests is not known.
    pub(crate) fn weight(&self, model: &str) -> f64 {
        let rank = self.get(model).and_then(|demand| demand.rank);
        rank.map_or(1.0, |rank| self.weights.rank_weight(rank))
    }

    /// Smoothed arrivals per second over all models.
    pub fn arrival_rate(&self, now: Instant) -> f64 {
        self.models.values().map(|demand| demand.arrival_rate(now)).sum()
    }
}
