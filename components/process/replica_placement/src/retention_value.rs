//! Values of replicas on their servers and costs of loads, in units of waiting requests.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use routes::{AdapterName, Engine, Model, ModelName};
use server_directory::Holdings;

use crate::demand::Demands;
use crate::plan::{ModelPlacement, ServerView, Source};

/// Fraction of a server's slots that one model's requests should use, which leaves room for bursts.
const TARGET_SLOT_USE: f64 = 0.4;

/// Arrivals per second from which a model gets two replicas, so that one survives the loss of a
/// server.
const TWO_REPLICAS_RATE: f64 = 2.0;

/// Value of a surplus replica, and what each of its requests in flight and each arrival per second
/// of its model add. The value is low because its requests can go to another replica.
const SURPLUS_VALUE: f64 = 0.05;
const SURPLUS_REQUEST_VALUE: f64 = 0.02;
const SURPLUS_RATE_VALUE: f64 = 0.005;

/// Value of keeping the last replica of a model, in waiting requests.
pub(crate) const LAST_REPLICA_VALUE: f64 = 0.6;

/// Seconds of arrivals that the reload of a model in use delays.
pub(crate) const RELOAD_DELAY_SECONDS: f64 = 2.0;

/// Ratio of the reload time from the weight store to that from a cached copy on the server.
const STORE_RELOAD_FACTOR: f64 = 3.0;

/// Cost of unloading a model that requests are using: the unload, and the load after it, wait until
/// the last of them has ended.
const BUSY_UNLOAD_COST: f64 = 0.6;

/// What each request in flight adds to the value of a model's last replica.
const REQUEST_VALUE: f64 = 0.5;

/// A model requested within `RECENT_USE_TIME` gains `RECENT_USE_VALUE`, so that others are unloaded
/// first.
const RECENT_USE_TIME: Duration = Duration::from_millis(2_500);
const RECENT_USE_VALUE: f64 = 0.5;

/// Fraction of a server's accelerator memory. Model loads leave room for a full set of adapters if
/// that needs less than this.
const MAX_ADAPTER_RESERVE: f64 = 0.02;

/// Cost of each second of a load, in waiting requests.
pub(crate) const LOAD_COST_PER_SECOND: f64 = 0.4;

/// Cost of a load on a server whose slots are all in use, in waiting requests. All models of a
/// server share its batch, so a rarely used one would wait behind a busy one there and slow it.
const FULL_SERVER_COST: f64 = 1.5;

/// Cost of a load on a slow server for each multiple of the usual time, in waiting requests.
const SLOW_SERVER_COST: f64 = 0.5;

/// Cost of a load on a server for each adapter there. Adapters are ordered as single requests need
/// them, and a server accepts no adapter orders while it loads a model.
const COST_PER_ADAPTER: f64 = 0.15;

/// Value of the first replica of a model in a data centre in addition to those elsewhere, in
/// waiting requests. Data centres can be cut off from each other.
const SPREAD_VALUE: f64 = 0.5;

/// Input of a plan for one service, and the servers with placements chosen so far.
pub(crate) struct Planner<'a> {
    pub(crate) now: Instant,
    pub(crate) servers: &'a [ServerView<'a>],
    pub(crate) demands: &'a Demands,
    pub(crate) engine: &'a Engine,
    /// Models that no server may load now. Those that are held stay held.
    pub(crate) banned: &'a BTreeSet<ModelName>,
    pub(crate) replicas: HashMap<&'a str, usize>,
    /// Replicas by model and data centre.
    pub(crate) replicas_by_data_centre: HashMap<(&'a str, &'a str), usize>,
    pub(crate) has_traffic: bool,
    pub(crate) assigned_servers: HashSet<&'a str>,
}

impl<'a> Planner<'a> {
    /// Smoothed arrivals per second of a model.
    pub(crate) fn rate(&self, model: &str) -> f64 {
        self.demands.get(model).map_or(0.0, |demand| demand.arrival_rate(self.now))
    }

    /// Number of replicas that the demand for a model requires.
    pub(crate) fn wanted_replicas(&self, model: &str) -> usize {
        if !self.has_traffic {
            // Before the first requests, the initial placement is the only indication of demand.
            return self.replicas.get(model).map_or(0, |n| n.div_ceil(2));
        }
        let Some(demand) = self.demands.get(model) else { return 0 };
        let requests = f64::from(demand.in_flight + demand.waiting + demand.pending_send);
        let slots = f64::from(self.engine.slots.max(1));
        let replicas_for_load = (requests / (slots * TARGET_SLOT_USE)).ceil() as usize;
        let min_replicas = if self.rate(model) >= TWO_REPLICAS_RATE { 2 } else { 0 };
        // A replica on a server that other models keep busy serves nobody.
        let is_stuck = demand.pending_send > 0 && self.has_only_full_servers(model);
        let one_more = match is_stuck {
            true => self.replicas.get(model).copied().unwrap_or(0) + 1,
            false => 0,
        };
        replicas_for_load.max(min_replicas).max(one_more).min(self.servers.len())
    }

    /// Whether all servers with the model have a request in every slot.
    fn has_only_full_servers(&self, model: &str) -> bool {
        let mut hosts = self.servers.iter().filter(|s| s.holdings.models.contains_key(model));
        hosts.all(|server| server.in_flight >= self.engine.slots)
    }

    /// Value of keeping a model on a server; `None` if it must not be unloaded.
    fn retention_value(&self, server: &ServerView<'a>, model: &str) -> Option<f64> {
        let replicas = self.replicas.get(model).copied().unwrap_or(0);
        let weight = self.demands.weight(model);
        let in_flight = f64::from(server.in_flight_by_model.get(model).copied().unwrap_or(0));
        let rate = self.rate(model) * weight;
        let delay = if in_flight > 0.0 { BUSY_UNLOAD_COST } else { 0.0 };
        if replicas > self.wanted_replicas(model).max(1) {
            // A surplus replica. The unload takes longer with requests in flight.
            let is_only_one_in_data_centre = self.replicas_in_data_centre(model, server) <= 1;
            let spread = if is_only_one_in_data_centre { SPREAD_VALUE } else { 0.0 };
            return Some(
                SURPLUS_VALUE
                    + spread
                    + delay
                    + in_flight * SURPLUS_REQUEST_VALUE
                    + rate * SURPLUS_RATE_VALUE,
            );
        }
        let demand = self.demands.get(model);
        if demand.is_some_and(|d| d.waiting > 0 || d.pending_send > 0) {
            return None;
        }
        let last_use = demand.and_then(|d| d.last_arrival_at);
        let is_recent =
            last_use.is_some_and(|at| self.now.saturating_duration_since(at) < RECENT_USE_TIME);
        let recent_use = if is_recent { RECENT_USE_VALUE } else { 0.0 };
        let has_cached_copy =
            server.holdings.on_disk.contains(model) || server.holdings.in_memory.contains(model);
        let reload = if has_cached_copy {
            RELOAD_DELAY_SECONDS
        } else {
            RELOAD_DELAY_SECONDS * STORE_RELOAD_FACTOR
        };
        Some(LAST_REPLICA_VALUE + rate * reload + in_flight * REQUEST_VALUE + delay + recent_use)
    }

    /// Number of replicas of a model in the server's data centre, including the server itself.
    fn replicas_in_data_centre(&self, model: &str, server: &ServerView<'a>) -> usize {
        self.replicas_by_data_centre.get(&(model, server.data_centre)).copied().unwrap_or(0)
    }

    /// Returns the least valuable models whose unload makes room for `model`, and the sum of their
    /// values.
    fn victims(&self, server: &ServerView<'a>, model: &Model) -> Option<(Vec<ModelName>, f64)> {
        // Leave room for a full set of adapters, which are loaded without a check for free memory.
        let full_adapters = self.engine.max_adapters as f64
            * self.engine.models.values().map(|m| m.adapter_mb).fold(0.0, f64::max);
        let mut free = free_mb(self.engine, server.holdings);
        let reserved = if full_adapters < self.engine.accelerator_memory_mb * MAX_ADAPTER_RESERVE {
            full_adapters
        } else {
            0.0
        };
        let mut candidates: Vec<(f64, &ModelName)> = server
            .holdings
            .models
            .keys()
            .filter_map(|name| Some((self.retention_value(server, name)?, name)))
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        let mut victims = Vec::new();
        let mut displaced = 0.0;
        let mut candidates = candidates.into_iter();
        while free < model.weights_mb + reserved {
            let (value, name) = candidates.next()?;
            displaced += value;
            free += weights_mb(self.engine, name);
            victims.push(name.clone());
        }
        Some((victims, displaced))
    }

    /// Returns the cheapest placement of `model`, its cost, and the value of the models it unloads.
    pub(crate) fn best_placement(
        &self,
        model: &Model,
        allow_store: bool,
    ) -> Option<(ModelPlacement, f64, f64)> {
        let mut best: Option<(ModelPlacement, f64, f64)> = None;
        for server in self.servers {
            let is_excluded = server.is_blocked || server.is_leaving;
            let has_replica = server.holdings.models.contains_key(&model.name);
            if is_excluded || has_replica || self.assigned_servers.contains(server.id) {
                continue;
            }
            let source = nearest_source(server.holdings, &model.name);
            if source == Source::Store && !allow_store {
                continue;
            }
            let Some((unload, displaced)) = self.victims(server, model) else { continue };
            let slot_use = f64::from(server.in_flight) / f64::from(self.engine.slots.max(1));
            let crowding_cost = if self.replicas_in_data_centre(&model.name, server) > 0 {
                SPREAD_VALUE
            } else {
                0.0
            };
            let cost = displaced
                + crowding_cost
                + source.load_time(model).as_secs_f64() * LOAD_COST_PER_SECOND
                + slot_use * FULL_SERVER_COST
                + (server.slowness - 1.0) * SLOW_SERVER_COST
                + server.holdings.adapter_count() as f64 * COST_PER_ADAPTER;
            if best.as_ref().is_none_or(|(_, least, _)| cost < *least) {
                let load = model.name.clone();
                let chosen = ModelPlacement {
                    server: server.id.into(),
                    unload,
                    load,
                    source,
                    spared: 0.0,
                    displaced,
                };
                best = Some((chosen, cost, displaced));
            }
        }
        best
    }
}

/// Accelerator memory of a model that a server holds, in MB. A model that the configuration no longer
/// describes has an unknown size and may take all of it.
fn weights_mb(engine: &Engine, model: &str) -> f64 {
    engine.models.get(model).map_or(engine.accelerator_memory_mb, |model| model.weights_mb)
}

/// Free accelerator memory of a server, in MB; negative if it holds more than is known to fit.
/// `engine` must describe all models, whether they may be loaded or not.
pub fn free_mb(engine: &Engine, holdings: &Holdings) -> f64 {
    let size = |(model, adapters): (&ModelName, &BTreeSet<AdapterName>)| {
        let adapter_mb = engine.models.get(model).map_or(0.0, |model| model.adapter_mb);
        weights_mb(engine, model) + adapter_mb * adapters.len() as f64
    };
    let loading = holdings.loading.iter().filter(|model| !holdings.models.contains_key(*model));
    let used: f64 = holdings.models.iter().map(size).sum();
    engine.accelerator_memory_mb
        - used
        - loading.map(|model| weights_mb(engine, model)).sum::<f64>()
}

/// The fastest source of a model's weights for a server.
pub(crate) fn nearest_source(holdings: &Holdings, model: &str) -> Source {
    if holdings.in_memory.contains(model) {
        Source::Memory
    } else if holdings.on_disk.contains(model) {
        Source::Disk
    } else {
        Source::Store
    }
}
