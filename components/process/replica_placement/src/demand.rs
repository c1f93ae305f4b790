//! How much each model is asked for, over all instances.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use routes::ModelName;

/// Time constant of the arrival rate. Demand moves between models within seconds.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Demand for one model.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Requests that wait until a server has the model.
    pub waiting: u32,
    /// Requests that wait for the model or one of its adapters as far as told, although a server
    /// has the model already: their instances are only just sending them.
    pub pending_send: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Last arrival.
    pub last_arrival_at: Option<Instant>,
    rate: f64,
    rate_updated_at: Option<Instant>,
}

impl Demand {
    /// Arrivals a second, smoothed.
    pub fn arrival_rate(&self, now: Instant) -> f64 {
        let Some(at) = self.rate_updated_at else { return 0.0 };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        self.rate * (-passed / RATE_WINDOW.as_secs_f64()).exp()
    }

    /// Counts arrivals.
    pub fn record_arrivals(&mut self, now: Instant, count: u64) {
        self.rate = self.arrival_rate(now) + count as f64 / RATE_WINDOW.as_secs_f64();
        self.rate_updated_at = Some(now);
        self.last_arrival_at = Some(now);
    }
}

/// Demand by model.
#[derive(Clone, Debug, Default)]
pub struct Demands {
    /// Models that were asked for.
    pub models: HashMap<ModelName, Demand>,
}

impl Demands {
    /// Demand for a model; none if it was never asked for.
    pub fn get(&self, model: &str) -> Option<&Demand> {
        self.models.get(model)
    }

    /// Arrivals a second of all models.
    pub fn arrival_rate(&self, now: Instant) -> f64 {
        self.models.values().map(|demand| demand.arrival_rate(now)).sum()
    }
}
