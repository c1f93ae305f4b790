//! Finds servers that have turned slow. Workload: servers whose steps take several times as long as
//! before while their health check succeeds and no request fails.
//!
//! Each instance compares the pace of its streams and calls with that of other servers for the same
//! model, which takes the size of the model out. One instance has too few requests at one server,
//! so the leader puts the measurements of all instances together.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Relative step by which the usual pace of a model follows a measurement. The step has the same
/// size in both directions, so that the pace follows the median and a few slow servers do not
/// change it.
const USUAL_PACE_STEP: f64 = 0.05;
/// Largest ratio that one measurement may have, so that one pause does not make a server slow.
const MAX_RATIO: f64 = 8.0;
/// Ratio from which a server counts as slow. Prompts that are read between the steps of other
/// requests make servers with long prompts less than twice as slow.
const SLOW_RATIO: f64 = 2.0;
/// Measurements, less those that were forgotten, from which a server can count as slow.
const MIN_MEASUREMENTS: f64 = 6.0;
/// Time in which a measurement loses half of its weight. Without new measurements a server counts as
/// usual again after a few seconds, and the next requests show whether it still is slow.
const HALF_LIFE: Duration = Duration::from_millis(2_500);

/// Measurements of one server since the last message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PaceSum {
    /// Number of measurements.
    pub count: u32,
    /// Sum of the logarithms of the ratios to the usual pace.
    pub log_ratios: f32,
}

/// Measurements of one instance. `S` names a server and `M` a model or a plain service.
#[derive(Clone, Debug)]
pub struct PaceMeter<S, M> {
    /// Usual time of a step in seconds, by model.
    usual: HashMap<M, f64>,
    sums: HashMap<S, PaceSum>,
}

impl<S, M> Default for PaceMeter<S, M> {
    fn default() -> Self {
        Self { usual: HashMap::new(), sums: HashMap::new() }
    }
}

impl<S: Hash + Eq, M: Hash + Eq> PaceMeter<S, M> {
    /// Records that a step for a model took `step` at a server.
    pub fn record(&mut self, server: S, model: M, step: Duration) {
        let step = step.as_secs_f64().max(1e-6);
        let usual = self.usual.entry(model).or_insert(step);
        let ratio = step / *usual;
        *usual *= if ratio > 1.0 { 1.0 + USUAL_PACE_STEP } else { 1.0 - USUAL_PACE_STEP };
        let sum = self.sums.entry(server).or_default();
        sum.count += 1;
        sum.log_ratios += ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln() as f32;
    }

    /// Takes the measurements since the last call.
    pub fn take(&mut self) -> Vec<(S, PaceSum)> {
        self.sums.drain().collect()
    }
}

#[derive(Clone, Copy, Debug)]
struct Pace {
    weight: f64,
    log_ratios: f64,
    updated_at: Instant,
}

impl Pace {
    fn decayed(&self, now: Instant) -> (f64, f64) {
        let age = now.saturating_duration_since(self.updated_at);
        let factor = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        (self.weight * factor, self.log_ratios * factor)
    }
}

/// Measurements of all instances, at the leader.
#[derive(Clone, Debug)]
pub struct PaceBoard<S> {
    servers: HashMap<S, Pace>,
}

impl<S> Default for PaceBoard<S> {
    fn default() -> Self {
        Self { servers: HashMap::new() }
    }
}

impl<S: Hash + Eq + Copy> PaceBoard<S> {
    /// Adds the measurements of one instance.
    pub fn add(&mut self, server: S, sum: PaceSum, now: Instant) {
        let known = self.servers.get(&server).map_or((0.0, 0.0), |pace| pace.decayed(now));
        let weight = known.0 + f64::from(sum.count);
        let log_ratios = known.1 + f64::from(sum.log_ratios);
        self.servers.insert(server, Pace { weight, log_ratios, updated_at: now });
    }

    /// Slow servers, and by which factor each is slower than usual.
    pub fn slow(&mut self, now: Instant) -> Vec<(S, f64)> {
        self.servers.retain(|_, pace| pace.decayed(now).0 > 0.1);
        let ratio = |pace: &Pace| {
            let (weight, log_ratios) = pace.decayed(now);
            (weight >= MIN_MEASUREMENTS).then(|| (log_ratios / weight).exp())
        };
        let servers = self.servers.iter();
        let slow = servers.filter_map(|(server, pace)| Some((*server, ratio(pace)?)));
        slow.filter(|(_, ratio)| *ratio >= SLOW_RATIO).collect()
    }
}
