//! Demand for each model, summed over all instances.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use admission::waiting::WaitingGroup;
use routes::ModelName;

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
    /// configuration has no client accounts.
    pub waiting_groups: Vec<WaitingGroup>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Time of the last arrival.
    pub last_arrival_at: Option<Instant>,
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
}

impl Demands {
    /// Demand for a model; `None` if it was never requested.
    pub fn get(&self, model: &str) -> Option<&Demand> {
        self.models.get(model)
    }

    /// Smoothed arrivals per second over all models.
    pub fn arrival_rate(&self, now: Instant) -> f64 {
        self.models.values().map(|demand| demand.arrival_rate(now)).sum()
    }
}
