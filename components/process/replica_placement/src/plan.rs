//! Pattern: a few busy models that change, and many rare ones that do not all fit.
//!
//! Weights are loaded from the server's memory or disk where a copy is left, which takes a second,
//! and otherwise from the weight store, which is slow and shared by all servers. So a rare model
//! that has a copy somewhere costs little when it is asked for, and models without any copy are
//! brought in ahead while the weight store is idle.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use routes::{Engine, Model, ModelName};
use server_directory::{Holdings, ServerId};

use crate::demand::Demands;
use crate::retention_value::{LAST_COPY_WORTH, LOAD_SECOND_COST, Planner, RELOAD_SECONDS, source};

/// Part of the worth of one more copy that what it displaces may have.
const COPY_ADVANTAGE: f64 = 0.5;

/// Cost beyond its score and its load from the weight store up to which a load is ordered, in
/// waiting requests. Dearer ones would displace what is needed as much.
const HIGHEST_DISPLACEMENT: f64 = 2.5;

/// What is added to the score of a model without any copy that requests wait for.
const MISSING_SCORE: f64 = 1.0;

/// Worth beyond that of an unused last copy up to which a model makes way for one that nobody has
/// asked for yet.
const IDLE_WORTH: f64 = 0.2;

/// Arrivals a second of all models from which demand tells how many copies are needed.
const TRAFFIC_RATE: f64 = 1.0;

/// Time after which a server that carries out orders should be free for another load.
const SERVER_TURN: Duration = Duration::from_millis(1_500);

/// Time that an unload takes before the load begins, as far as it is known ahead.
const UNLOAD_TIME: Duration = Duration::from_millis(300);

/// PlanLimits of one service's placement.
#[derive(Clone, Copy, Debug)]
pub struct PlanLimits {
    /// Loads from the weight store that may run at once.
    pub max_store_loads: usize,
    /// Whether models without a copy are loaded before they are asked for.
    pub is_prefetching: bool,
    /// What every engine holds is known, copies in memory and on disk included. Before, nothing is
    /// said of models for which no server was found, and nothing is loaded from the weight store.
    pub is_inventory_complete: bool,
}

/// A server as the plan sees it.
#[derive(Clone, Debug)]
pub struct ServerView<'a> {
    /// Its id.
    pub id: &'a str,
    /// Data centre in which it runs.
    pub data_centre: &'a str,
    /// What it holds.
    pub holdings: &'a Holdings,
    /// Requests in flight from all instances.
    pub in_flight: u32,
    /// Requests in flight by model.
    pub in_flight_by_model: HashMap<&'a str, u32>,
    /// No other order can be given there now.
    pub is_blocked: bool,
    /// Model that orders under way there will load.
    pub pending_model: Option<ModelName>,
    /// Adapters on their way there, which take places already.
    pub pending_adapters: usize,
    /// Where the load under way comes from, and when it should end.
    pub pending_load: Option<(Source, Instant)>,
    /// It is about to leave, so that nothing is loaded there.
    pub is_leaving: bool,
}

/// Where weights are loaded from.
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
    /// Load time of a model from there, with the weight store otherwise idle.
    pub fn load_time(self, model: &Model) -> Duration {
        match self {
            Self::Memory => model.memory_load_time,
            Self::Disk => model.disk_load_time,
            Self::Store => model.store_load_time,
        }
    }
}

/// Orders that bring a model to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelPlacement {
    /// The server.
    pub server: ServerId,
    /// Models that have to go first.
    pub unload: Vec<ModelName>,
    /// Model to load.
    pub load: ModelName,
    /// Where the weights are.
    pub source: Source,
}

/// What to order now and what to expect.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Moves to begin now, at most one a server.
    pub placements: Vec<ModelPlacement>,
    /// When each model that is waited for should be loaded.
    pub ready_at: HashMap<ModelName, Instant>,
}

/// A model that has fewer copies than its demand asks for.
struct Lacking<'a> {
    /// Requests that a copy would serve soon.
    score: f64,
    model: &'a Model,
    /// It has no copy, and requests wait for one.
    is_missing: bool,
}

/// Whether a load serves more requests than what it displaces. One more copy of a loaded model has
/// to be worth clearly more, or two models in equal demand would push each other out in turn.
fn is_worth_it(model: &Model, score: f64, is_missing: bool, cost: f64, displaced: f64) -> bool {
    let highest_cost =
        model.store_load_time.as_secs_f64() * LOAD_SECOND_COST + HIGHEST_DISPLACEMENT;
    cost < score + highest_cost && (is_missing || displaced < score * COPY_ADVANTAGE)
}

/// Plans the next moves of one service.
pub fn plan<'a>(
    now: Instant,
    servers: &'a [ServerView<'a>],
    demands: &'a Demands,
    engine: &'a Engine,
    limits: PlanLimits,
) -> Plan {
    let mut copies: HashMap<&str, usize> = HashMap::new();
    let mut copies_in: HashMap<(&str, &str), usize> = HashMap::new();
    let mut loading: HashMap<&str, Instant> = HashMap::new();
    let mut store_ends: Vec<Instant> = Vec::new();
    for server in servers.iter().filter(|s| !s.is_leaving) {
        let incoming = server.pending_model.as_ref().or(server.holdings.loading.as_ref());
        for model in server.holdings.models.keys().chain(incoming) {
            *copies.entry(model).or_default() += 1;
            *copies_in.entry((model, server.data_centre)).or_default() += 1;
        }
        if let Some(model) = incoming {
            let (source, ends) = server.pending_load.unwrap_or((Source::Store, now));
            loading.insert(model, ends);
            if source == Source::Store {
                store_ends.push(ends.max(now));
            }
        }
    }
    let has_traffic = demands.arrival_rate(now) > TRAFFIC_RATE;
    let mut planner = Planner {
        now,
        servers,
        demands,
        engine,
        copies,
        copies_in,
        has_traffic,
        taken: HashSet::new(),
    };
    let mut plan = Plan::default();

    // Models that lack copies, those with the most requests that wait first.
    let mut lacking: Vec<Lacking<'_>> = engine
        .models
        .values()
        .filter_map(|model| {
            let demand = demands.get(&model.name)?;
            let copies = planner.copies.get(&*model.name).copied().unwrap_or(0);
            let waiting = f64::from(demand.waiting);
            let is_missing = copies == 0 && demand.waiting > 0;
            let needs_more = copies > 0 && copies < planner.wanted_copies(&model.name);
            let score = waiting + planner.rate(&model.name) * RELOAD_SECONDS;
            let score = if is_missing { score + MISSING_SCORE } else { score };
            (is_missing || needs_more).then_some(Lacking { score, model, is_missing })
        })
        .collect();
    lacking
        .sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.model.name.cmp(&b.model.name)));

    let mut store_queue = 0_u32;
    for Lacking { score, model, is_missing } in lacking {
        let has_slot = limits.is_inventory_complete && store_ends.len() < limits.max_store_loads;
        match planner.best(model, has_slot) {
            Some((chosen, cost, worth)) if is_worth_it(model, score, is_missing, cost, worth) => {
                let ready_at = now + UNLOAD_TIME + chosen.source.load_time(model);
                if chosen.source == Source::Store {
                    store_ends.push(ready_at);
                }
                if is_missing {
                    plan.ready_at.insert(model.name.clone(), ready_at);
                }
                if let Some(server) = servers.iter().find(|s| *s.id == *chosen.server) {
                    planner.taken.insert(server.id);
                }
                plan.placements.push(chosen);
            }
            _ => {
                // Waits for a server that is busy, or for a place at the weight store.
                let near = servers.iter().filter(|server| !server.is_leaving);
                let near = near.map(|server| source(server.holdings, &model.name)).min();
                let ready_at = match near.unwrap_or(Source::Store) {
                    Source::Store => {
                        store_queue += 1;
                        let turns = f64::from(store_queue) / limits.max_store_loads.max(1) as f64;
                        let first = store_ends.iter().min().copied().unwrap_or(now);
                        first + model.store_load_time.mul_f64(turns) + model.store_load_time
                    }
                    copy => now + SERVER_TURN + copy.load_time(model),
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
    if limits.is_prefetching && limits.is_inventory_complete && store_queue == 0 {
        prefetch(&mut planner, &mut plan, store_ends.len(), limits.max_store_loads);
    }
    plan
}

/// Loads models without any copy while the weight store has room.
fn prefetch<'a>(planner: &mut Planner<'a>, plan: &mut Plan, under_way: usize, concurrent: usize) {
    let has_copy = |model: &str| {
        planner.copies.contains_key(model)
            || planner.servers.iter().any(|s| source(s.holdings, model) != Source::Store)
            || plan.ready_at.contains_key(model)
    };
    let mut missing: Vec<&Model> =
        planner.engine.models.values().filter(|m| !has_copy(&m.name)).collect();
    missing.sort_by(|a, b| a.name.cmp(&b.name));
    let room = concurrent.saturating_sub(under_way);
    for model in missing.into_iter().take(room) {
        let Some((chosen, _, displaced)) = planner.best(model, true) else { return };
        // Only what is idle makes way for a model that nobody has asked for yet.
        if displaced > LAST_COPY_WORTH + IDLE_WORTH {
            return;
        }
        let server = planner.servers.iter().find(|s| *s.id == *chosen.server);
        planner.taken.extend(server.map(|s| s.id));
        plan.placements.push(chosen);
    }
}
