//! Pattern: a few busy models that change, and many rare ones that do not all fit.
//!
//! Weights are loaded from the server's memory or disk where a copy is left, which takes a second,
//! and otherwise from the weight store, which is slow and shared by all servers. So a rare model
//! that has a copy somewhere costs little when it is asked for, and models without any copy are
//! brought in ahead while the weight store is idle.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use routes::{AdapterName, Engine, Model, ModelName};
use server_directory::{Holdings, ServerId};

use crate::demand::Demands;

/// Part of a server's slots that one model's requests should fill, so that a burst finds room.
const FILL_TARGET: f64 = 0.4;

/// Arrivals a second from which a model has two copies, so that a lost server leaves one.
const TWO_COPIES_RATE: f64 = 2.0;

/// Worth of keeping the last copy of a model, in waiting requests.
const LAST_COPY_WORTH: f64 = 0.6;

/// Seconds of arrivals that the reload of a model in use would delay.
const RELOAD_SECONDS: f64 = 2.0;

/// A model is kept at least this long after it was asked for last if others can go.
const KEEP_USED: Duration = Duration::from_millis(2_500);

/// Cost of each second that a load takes, in waiting requests.
const LOAD_SECOND_COST: f64 = 0.4;

/// Cost of a load on a server whose slots are all taken, in waiting requests. All models of a
/// server share its batch, so that a rare one would wait behind a busy one there and slow it.
const FULL_SERVER_COST: f64 = 1.5;

/// Cost of a load on a server for each adapter there. Adapters are ordered one request at a time,
/// and a server that loads a model takes no such order meanwhile.
const ADAPTER_COST: f64 = 0.15;

/// Worth of the first copy of a model in a data centre, beside its copies elsewhere, in waiting
/// requests. Data centres are cut off from each other.
const SPREAD_WORTH: f64 = 0.5;

/// Part of the worth of one more copy that what it displaces may have.
const COPY_ADVANTAGE: f64 = 0.5;

/// Time after which a server that carries out orders should be free for another load.
const SERVER_TURN: Duration = Duration::from_millis(1_500);

/// Time that an unload takes before the load begins, as far as it is known ahead.
const UNLOAD_TIME: Duration = Duration::from_millis(300);

/// Limits of one service's placement.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Loads from the weight store that may run at once.
    pub store_concurrent: usize,
    /// Whether models without a copy are loaded before they are asked for.
    pub is_prefetching: bool,
    /// What every engine holds is known, copies in memory and on disk included. Before, nothing is
    /// said of models for which no server was found, and nothing is loaded from the weight store.
    pub is_informed: bool,
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
    pub by_model: HashMap<&'a str, u32>,
    /// No other order can be given there now.
    pub is_ordered: bool,
    /// Model that orders under way there will load.
    pub incoming: Option<ModelName>,
    /// Adapters on their way there, which take places already.
    pub adapters_coming: usize,
    /// Where the load under way comes from, and when it should end.
    pub loading: Option<(Source, Instant)>,
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
            Self::Memory => model.memory_load,
            Self::Disk => model.disk_load,
            Self::Store => model.store_load,
        }
    }
}

/// Orders that bring a model to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
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
    pub moves: Vec<Move>,
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

struct Planner<'a> {
    now: Instant,
    servers: &'a [ServerView<'a>],
    demands: &'a Demands,
    engine: &'a Engine,
    copies: HashMap<&'a str, usize>,
    /// Copies by model and data centre.
    copies_in: HashMap<(&'a str, &'a str), usize>,
    has_traffic: bool,
    taken: HashSet<&'a str>,
}

impl<'a> Planner<'a> {
    fn rate(&self, model: &str) -> f64 {
        self.demands.of(model).map_or(0.0, |demand| demand.per_second(self.now))
    }

    /// Copies that the demand for a model asks for.
    fn wanted_copies(&self, model: &str) -> usize {
        if !self.has_traffic {
            // Before the first requests the initial placement is the only hint at demand.
            return self.copies.get(model).map_or(0, |n| n.div_ceil(2));
        }
        let Some(demand) = self.demands.of(model) else { return 0 };
        let requests = f64::from(demand.in_flight + demand.waiting);
        let slots = f64::from(self.engine.slots.max(1));
        let by_load = (requests / (slots * FILL_TARGET)).ceil() as usize;
        let spare = if self.rate(model) >= TWO_COPIES_RATE { 2 } else { 0 };
        by_load.max(spare).min(self.servers.len())
    }

    /// What keeping a model on a server is worth; `None` if it must stay.
    fn keep_worth(&self, server: &ServerView<'a>, model: &str) -> Option<f64> {
        let copies = self.copies.get(model).copied().unwrap_or(0);
        let here = f64::from(server.by_model.get(model).copied().unwrap_or(0));
        let rate = self.rate(model);
        if copies > self.wanted_copies(model).max(1) {
            // A copy beyond the need; with requests on it the unload takes longer.
            let is_only_one_there = self.copies_at(model, server) <= 1;
            let spread = if is_only_one_there { SPREAD_WORTH } else { 0.0 };
            return Some(0.05 + spread + here * 0.02 + rate * 0.005);
        }
        let demand = self.demands.of(model);
        if demand.is_some_and(|d| d.waiting > 0 || d.claimed > 0) {
            return None;
        }
        let used = demand.and_then(|d| d.used_at);
        let is_fresh = used.is_some_and(|at| self.now.saturating_duration_since(at) < KEEP_USED);
        let recent = if is_fresh { 1.0 } else { 0.0 };
        let has_copy_left =
            server.holdings.on_disk.contains(model) || server.holdings.in_memory.contains(model);
        let reload = if has_copy_left { RELOAD_SECONDS } else { RELOAD_SECONDS * 3.0 };
        Some(LAST_COPY_WORTH + rate * reload + here * 0.5 + recent * 0.5)
    }

    /// Copies of a model in the server's data centre, that server included.
    fn copies_at(&self, model: &str, server: &ServerView<'a>) -> usize {
        self.copies_in.get(&(model, server.data_centre)).copied().unwrap_or(0)
    }

    /// The cheapest models to unload so that `model` fits, and what keeping them is worth.
    fn victims(&self, server: &ServerView<'a>, model: &Model) -> Option<(Vec<ModelName>, f64)> {
        // Room for a full set of adapters is left, because those are loaded without asking.
        let adapters = self.engine.adapter_places as f64
            * self.engine.models.values().map(|m| m.adapter_mb).fold(0.0, f64::max);
        let mut free = free_mb(self.engine, server.holdings);
        let reserve = if adapters < self.engine.weights_mb * 0.02 { adapters } else { 0.0 };
        let mut kept: Vec<(f64, &ModelName)> = server
            .holdings
            .models
            .keys()
            .filter_map(|name| Some((self.keep_worth(server, name)?, name)))
            .collect();
        kept.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        let mut victims = Vec::new();
        let mut worth = 0.0;
        let mut kept = kept.into_iter();
        while free < model.weights_mb + reserve {
            let (keep, name) = kept.next()?;
            worth += keep;
            free += self.engine.models.get(name).map_or(0.0, |m| m.weights_mb);
            victims.push(name.clone());
        }
        Some((victims, worth))
    }

    /// The best server for a load of `model`, with its cost and the worth of what it displaces.
    fn best(&self, model: &Model, allow_store: bool) -> Option<(Move, f64, f64)> {
        let mut best: Option<(Move, f64, f64)> = None;
        for server in self.servers {
            let is_blocked = server.is_ordered || server.is_leaving;
            let holds = server.holdings.models.contains_key(&model.name);
            if is_blocked || holds || self.taken.contains(server.id) {
                continue;
            }
            let source = source(server.holdings, &model.name);
            if source == Source::Store && !allow_store {
                continue;
            }
            let Some((unload, worth)) = self.victims(server, model) else { continue };
            let fill = f64::from(server.in_flight) / f64::from(self.engine.slots.max(1));
            let crowded = if self.copies_at(&model.name, server) > 0 { SPREAD_WORTH } else { 0.0 };
            let cost = worth
                + crowded
                + source.load_time(model).as_secs_f64() * LOAD_SECOND_COST
                + fill * FULL_SERVER_COST
                + server.holdings.adapter_count() as f64 * ADAPTER_COST;
            if best.as_ref().is_none_or(|(_, least, _)| cost < *least) {
                let load = model.name.clone();
                let chosen = Move { server: server.id.into(), unload, load, source };
                best = Some((chosen, cost, worth));
            }
        }
        best
    }
}

/// Accelerator memory that is left on a server, in MB.
pub fn free_mb(engine: &Engine, holdings: &Holdings) -> f64 {
    let size = |(model, adapters): (&ModelName, &BTreeSet<AdapterName>)| {
        let Some(model) = engine.models.get(model) else { return 0.0 };
        model.weights_mb + model.adapter_mb * adapters.len() as f64
    };
    let loading = holdings.loading.as_ref().and_then(|model| engine.models.get(model));
    let used: f64 = holdings.models.iter().map(size).sum();
    engine.weights_mb - used - loading.map_or(0.0, |model| model.weights_mb)
}

fn source(holdings: &Holdings, model: &str) -> Source {
    if holdings.in_memory.contains(model) {
        Source::Memory
    } else if holdings.on_disk.contains(model) {
        Source::Disk
    } else {
        Source::Store
    }
}

/// Whether a load serves more requests than what it displaces. One more copy of a loaded model has
/// to be worth clearly more, or two models in equal demand would push each other out in turn.
fn is_worth_it(model: &Model, score: f64, is_missing: bool, cost: f64, displaced: f64) -> bool {
    let highest_cost = model.store_load.as_secs_f64() * LOAD_SECOND_COST + 2.5;
    cost < score + highest_cost && (is_missing || displaced < score * COPY_ADVANTAGE)
}

/// Plans the next moves of one service.
pub fn plan<'a>(
    now: Instant,
    servers: &'a [ServerView<'a>],
    demands: &'a Demands,
    engine: &'a Engine,
    limits: Limits,
) -> Plan {
    let mut copies: HashMap<&str, usize> = HashMap::new();
    let mut copies_in: HashMap<(&str, &str), usize> = HashMap::new();
    let mut loading: HashMap<&str, Instant> = HashMap::new();
    let mut store_ends: Vec<Instant> = Vec::new();
    for server in servers.iter().filter(|s| !s.is_leaving) {
        let incoming = server.incoming.as_ref().or(server.holdings.loading.as_ref());
        for model in server.holdings.models.keys().chain(incoming) {
            *copies.entry(model).or_default() += 1;
            *copies_in.entry((model, server.data_centre)).or_default() += 1;
        }
        if let Some(model) = incoming {
            let (source, ends) = server.loading.unwrap_or((Source::Store, now));
            loading.insert(model, ends);
            if source == Source::Store {
                store_ends.push(ends.max(now));
            }
        }
    }
    let has_traffic = demands.per_second(now) > 1.0;
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
            let demand = demands.of(&model.name)?;
            let copies = planner.copies.get(&*model.name).copied().unwrap_or(0);
            let waiting = f64::from(demand.waiting);
            let is_missing = copies == 0 && demand.waiting > 0;
            let needs_more = copies > 0 && copies < planner.wanted_copies(&model.name);
            let score = waiting + planner.rate(&model.name) * RELOAD_SECONDS;
            let score = if is_missing { score + 1.0 } else { score };
            (is_missing || needs_more).then_some(Lacking { score, model, is_missing })
        })
        .collect();
    lacking
        .sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.model.name.cmp(&b.model.name)));

    let mut store_queue = 0_u32;
    for Lacking { score, model, is_missing } in lacking {
        let has_slot = limits.is_informed && store_ends.len() < limits.store_concurrent;
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
                plan.moves.push(chosen);
            }
            _ => {
                // Waits for a server that is busy, or for a place at the weight store.
                let near = servers.iter().filter(|server| !server.is_leaving);
                let near = near.map(|server| source(server.holdings, &model.name)).min();
                let ready_at = match near.unwrap_or(Source::Store) {
                    Source::Store => {
                        store_queue += 1;
                        let turns = f64::from(store_queue) / limits.store_concurrent.max(1) as f64;
                        let first = store_ends.iter().min().copied().unwrap_or(now);
                        first + model.store_load.mul_f64(turns) + model.store_load
                    }
                    copy => now + SERVER_TURN + copy.load_time(model),
                };
                if is_missing && limits.is_informed {
                    plan.ready_at.insert(model.name.clone(), ready_at);
                }
            }
        }
    }
    for (model, ends) in loading {
        if demands.of(model).is_some_and(|d| d.waiting > 0) {
            plan.ready_at.insert(model.into(), ends.max(now));
        }
    }
    if limits.is_prefetching && limits.is_informed && store_queue == 0 {
        prefetch(&mut planner, &mut plan, store_ends.len(), limits.store_concurrent);
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
        if displaced > LAST_COPY_WORTH + 0.2 {
            return;
        }
        let server = planner.servers.iter().find(|s| *s.id == *chosen.server);
        planner.taken.extend(server.map(|s| s.id));
        plan.moves.push(chosen);
    }
}
