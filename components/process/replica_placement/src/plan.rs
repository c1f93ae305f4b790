//! Plans model loads. Workload: a few busy models that change over time, and many rarely used ones
//! that do not all fit.
//!
//! Weights are loaded from a cached copy in the server's memory or on its disk if there is one,
//! which takes about a second, and otherwise from the weight store, which is slow and shared by all
//! servers. A rarely used model with a cached copy is therefore cheap to load on demand, and models
//! without any copy are prefetched while the weight store is idle.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use routes::{Engine, Model, ModelName};
use server_directory::{Holdings, ServerId};

use crate::demand::Demands;
use crate::retention_value::{
    LAST_REPLICA_VALUE, LOAD_COST_PER_SECOND, Planner, RELOAD_DELAY_SECONDS, nearest_source,
};

/// Maximum value of the displaced models, as a fraction of the score of an additional replica.
const MAX_DISPLACED_RATIO: f64 = 0.5;

/// Cost in waiting requests by which a load may exceed its score plus the cost of loading from the
/// weight store. Costlier loads would displace models that are needed as much.
const MAX_EXTRA_COST: f64 = 2.5;

/// Added to the score of a model that has no replica while requests wait for it.
const MISSING_MODEL_SCORE: f64 = 1.0;

/// A prefetch may displace models whose value exceeds that of an unused last replica by at most
/// this.
const MAX_PREFETCH_DISPLACEMENT: f64 = 0.2;

/// Arrivals per second over all models above which demand determines the number of replicas.
const MIN_TRAFFIC_RATE: f64 = 1.0;

/// Expected time until a server that executes orders can start another load.
const BUSY_SERVER_DELAY: Duration = Duration::from_millis(1_500);

/// Expected time of the unload before a load.
const UNLOAD_DELAY: Duration = Duration::from_millis(300);

/// Limits and modes of planning for one service.
#[derive(Clone, Copy, Debug)]
pub struct PlanLimits {
    /// Maximum number of concurrent loads from the weight store.
    pub max_store_loads: usize,
    /// Whether models without any copy are loaded before they are requested.
    pub is_prefetching: bool,
    /// Whether the holdings of every engine are known, including cached copies in memory and on
    /// disk. Until then the plan predicts no load time for models without a suitable server, and
    /// loads nothing from the weight store.
    pub is_inventory_complete: bool,
}

/// State of a server as input of a plan.
#[derive(Clone, Debug)]
pub struct ServerView<'a> {
    /// Id of the server.
    pub id: &'a str,
    /// Data centre in which it runs.
    pub data_centre: &'a str,
    /// Models, adapters and cached copies on the server.
    pub holdings: &'a Holdings,
    /// Requests in flight from all instances.
    pub in_flight: u32,
    /// Requests in flight by model.
    pub in_flight_by_model: HashMap<&'a str, u32>,
    /// Whether the server can receive no order now.
    pub is_blocked: bool,
    /// Model that orders in progress will load on the server.
    pub pending_model: Option<ModelName>,
    /// Number of adapters that are being loaded, which already count against the adapter limit.
    pub pending_adapters: usize,
    /// Source and expected end of the load in progress.
    pub pending_load: Option<(Source, Instant)>,
    /// Factor by which it is slower than usual; 1 if it is not slow.
    pub slowness: f64,
    /// Whether the server is about to leave or cannot be reached, so that nothing is loaded on it.
    pub is_leaving: bool,
    /// Whether it only cannot be reached, and may come back with its copies.
    pub may_return: bool,
}

/// Source of the weights for a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The server's main memory.
    Memory,
    /// The server's disk.
    Disk,
    /// The weight store that all servers share.
    Store,
}

impl Source {
    /// Load time of a model from this source while the weight store is otherwise idle.
    pub fn load_time(self, model: &Model) -> Duration {
        match self {
            Self::Memory => model.memory_load_time,
            Self::Disk => model.disk_load_time,
            Self::Store => model.store_load_time,
        }
    }
}

/// A load of a model on a server, and the unloads that make room for it.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelPlacement {
    /// Server that loads the model.
    pub server: ServerId,
    /// Models to unload first.
    pub unload: Vec<ModelName>,
    /// Model to load.
    pub load: ModelName,
    /// Source of the weights.
    pub source: Source,
    /// What it spares callers, in requests of the most urgent rank that waits.
    pub spared: f64,
    /// Value of the models that make way, in the same unit.
    pub displaced: f64,
}

/// Placements to order now, and predicted load times.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Placements to start now, at most one per server.
    pub placements: Vec<ModelPlacement>,
    /// Expected time at which each model with waiting requests is loaded.
    pub ready_at: HashMap<ModelName, Instant>,
    /// Models of which no server that stays has a copy, in the order of their names; `None` while not
    /// all holdings are known.
    pub without_copy: Option<Box<[ModelName]>>,
}

/// A model with fewer replicas than its demand requires.
struct UnderReplicated<'a> {
    /// What an additional replica would soon spare callers, in requests of the most urgent rank that
    /// waits.
    score: f64,
    /// The same per time of the weight store, if the replica must come from there.
    precedence: f64,
    model: &'a Model,
    /// Whether it has no replica while requests wait for it.
    is_missing: bool,
}

/// Whether a load serves more requests than the models it displaces. An additional replica of a
/// loaded model must be worth clearly more, or two models with equal demand would displace each
/// other alternately.
fn is_worthwhile(model: &Model, score: f64, is_missing: bool, cost: f64, displaced: f64) -> bool {
    let max_cost = model.store_load_time.as_secs_f64() * LOAD_COST_PER_SECOND + MAX_EXTRA_COST;
    cost < score + max_cost && (is_missing || displaced < score * MAX_DISPLACED_RATIO)
}

/// Fastest source of a model at any server that stays.
fn nearest_copy(servers: &[ServerView<'_>], model: &str) -> Source {
    let nearest = servers.iter().filter(|server| !server.is_leaving);
    nearest.map(|server| nearest_source(server.holdings, model)).min().unwrap_or(Source::Store)
}

/// Shortest time of a load from the weight store, as a fraction of the time of this model's; 1 for a
/// model whose load takes no time.
fn store_share(least_store_time: Duration, model: &Model) -> f64 {
    match model.store_load_time {
        Duration::ZERO => 1.0,
        time => least_store_time.as_secs_f64() / time.as_secs_f64(),
    }
}

/// Plans the next placements of one service. `engine` describes all models; those in `banned` are
/// not loaded, but take memory where they are held.
pub fn plan<'a>(
    now: Instant,
    servers: &'a [ServerView<'a>],
    demands: &'a Demands,
    engine: &'a Engine,
    banned: &'a BTreeSet<ModelName>,
    limits: PlanLimits,
) -> Plan {
    let mut replicas: HashMap<&str, usize> = HashMap::new();
    let mut replicas_by_data_centre: HashMap<(&str, &str), usize> = HashMap::new();
    let mut loading: HashMap<&str, Instant> = HashMap::new();
    let mut store_ends: Vec<Instant> = Vec::new();
    for server in servers.iter().filter(|s| !s.is_leaving) {
        let incoming = server.pending_model.as_ref().or(server.holdings.loading.as_ref());
        for model in server.holdings.models.keys().chain(incoming) {
            *replicas.entry(model).or_default() += 1;
            *replicas_by_data_centre.entry((model, server.data_centre)).or_default() += 1;
        }
        if let Some(model) = incoming {
            let (source, ends) = server.pending_load.unwrap_or((Source::Store, now));
            loading.insert(model, ends);
            if source == Source::Store {
                store_ends.push(ends.max(now));
            }
        }
    }
    let has_traffic = demands.arrival_rate(now) > MIN_TRAFFIC_RATE;
    let mut planner = Planner {
        now,
        servers,
        demands,
        engine,
        banned,
        replicas,
        replicas_by_data_centre,
        has_traffic,
        assigned_servers: HashSet::new(),
    };
    let mut plan = Plan::default();

    let store_times = engine.models.values().map(|model| model.store_load_time);
    let least_store_time = store_times.filter(|time| !time.is_zero()).min().unwrap_or_default();

    // Models with too few replicas, highest precedence first.
    let mut under_replicated: Vec<UnderReplicated<'_>> = engine
        .models
        .values()
        .filter(|model| !banned.contains(&model.name))
        .filter_map(|model| {
            let demand = demands.get(&model.name)?;
            let replicas = planner.replicas.get(&*model.name).copied().unwrap_or(0);
            let is_missing = replicas == 0 && demand.waiting > 0;
            let needs_more = replicas > 0 && replicas < planner.wanted_replicas(&model.name);
            if !is_missing && !needs_more {
                return None;
            }
            let source = nearest_copy(servers, &model.name);
            let arriving = planner.rate(&model.name) * demands.weight(&model.name);
            let spared = demand.spared_loss(UNLOAD_DELAY + source.load_time(model));
            let score = spared + arriving * RELOAD_DELAY_SECONDS;
            let score = if is_missing { score + MISSING_MODEL_SCORE } else { score };
            let precedence = match source {
                Source::Store if demands.are_weighed() => {
                    score * store_share(least_store_time, model)
                }
                _ => score,
            };
            Some(UnderReplicated { score, precedence, model, is_missing })
        })
        .collect();
    under_replicated.sort_by(|a, b| {
        b.precedence.total_cmp(&a.precedence).then_with(|| a.model.name.cmp(&b.model.name))
    });

    let mut queued_store_loads = 0_u32;
    for UnderReplicated { score, model, is_missing, .. } in under_replicated {
        let has_slot = limits.is_inventory_complete && store_ends.len() < limits.max_store_loads;
        match planner.best_placement(model, has_slot) {
            Some((mut chosen, cost, displaced))
                if is_worthwhile(model, score, is_missing, cost, displaced) =>
            {
                chosen.spared = score;
                let ready_at = now + UNLOAD_DELAY + chosen.source.load_time(model);
                if chosen.source == Source::Store {
                    store_ends.push(ready_at);
                }
                if is_missing {
                    plan.ready_at.insert(model.name.clone(), ready_at);
                }
                if let Some(server) = servers.iter().find(|s| *s.id == *chosen.server) {
                    planner.assigned_servers.insert(server.id);
                }
                plan.placements.push(chosen);
            }
            _ => {
                // The model waits for a busy server or for a free load at the weight store.
                let ready_at = match nearest_copy(servers, &model.name) {
                    Source::Store => {
                        queued_store_loads += 1;
                        let turns =
                            f64::from(queued_store_loads) / limits.max_store_loads.max(1) as f64;
                        let first = store_ends.iter().min().copied().unwrap_or(now);
                        first + model.store_load_time.mul_f64(turns) + model.store_load_time
                    }
                    copy => now + BUSY_SERVER_DELAY + copy.load_time(model),
                };
                if is_missing && limits.is_inventory_complete {
                    plan.ready_at.insert(model.name.clone(), ready_at);
                }
            }
        }
    }
    for (model, ends) in loading {
        if demands.get(model).is_some_and(|d| d.waiting > 0) {
            plan.ready_at.insert(model.into(), ends.max(now));
        }
    }
    if limits.is_inventory_complete {
        let without_copy = models_without_copy(&planner);
        if limits.is_prefetching && queued_store_loads == 0 {
            prefetch(&mut planner, &mut plan, &without_copy, store_ends.len(), limits);
        }
        plan.without_copy = Some(without_copy.iter().map(|model| model.name.clone()).collect());
    }
    plan
}

/// Models that only the weight store has, also while they are loaded from there, in the order of
/// their names. Copies at servers that leave are lost soon. Those at servers that cannot be reached
/// may be back before a load from the weight store would end.
fn models_without_copy<'a>(planner: &Planner<'a>) -> Vec<&'a Model> {
    let staying = planner.servers.iter().filter(|server| !server.is_leaving || server.may_return);
    let copies = staying.flat_map(|server| {
        let holdings = server.holdings;
        holdings.models.keys().chain(&holdings.on_disk).chain(&holdings.in_memory)
    });
    let copies: HashSet<&str> = copies.map(|model| &**model).collect();
    let models = planner.engine.models.values();
    let mut missing: Vec<&Model> = models.filter(|model| !copies.contains(&*model.name)).collect();
    missing.sort_by(|a, b| a.name.cmp(&b.name));
    missing
}

/// Plans loads of models without any copy while the weight store has free capacity, those first that
/// callers ask for most.
fn prefetch<'a>(
    planner: &mut Planner<'a>,
    plan: &mut Plan,
    without_copy: &[&'a Model],
    running: usize,
    limits: PlanLimits,
) {
    let loss = |model: &Model| planner.rate(&model.name) * planner.demands.weight(&model.name);
    let may_load = |model: &Model| {
        !planner.banned.contains(&model.name)
            && !planner.replicas.contains_key(&*model.name)
            && !plan.ready_at.contains_key(&model.name)
    };
    let mut missing: Vec<&Model> =
        without_copy.iter().copied().filter(|model| may_load(model)).collect();
    missing.sort_by(|a, b| loss(b).total_cmp(&loss(a)));
    let free_loads = limits.max_store_loads.saturating_sub(running);
    for model in missing.into_iter().take(free_loads) {
        let Some((chosen, _, displaced)) = planner.best_placement(model, true) else { return };
        // Only idle models are displaced for a model that was not requested yet.
        if displaced > LAST_REPLICA_VALUE + MAX_PREFETCH_DISPLACEMENT {
            return;
        }
        let server = planner.servers.iter().find(|s| *s.id == *chosen.server);
        planner.assigned_servers.extend(server.map(|s| s.id));
        plan.placements.push(chosen);
    }
}
