//! What models and copies are worth on their servers, in waiting requests.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use routes::{AdapterName, Engine, Model, ModelName};
use server_directory::Holdings;

use crate::demand::Demands;
use crate::plan::{ModelPlacement, ServerView, Source};

/// Part of a server's slots that one model's requests should fill, so that a burst finds room.
const FILL_TARGET: f64 = 0.4;

/// Arrivals a second from which a model has two copies, so that a lost server leaves one.
const TWO_COPIES_RATE: f64 = 2.0;

/// Worth of a copy beyond the need, and what each request in flight there and each arrival a second
/// of its model add. Its requests can go to another copy.
const SURPLUS_WORTH: f64 = 0.05;
const SURPLUS_REQUEST_WORTH: f64 = 0.02;
const SURPLUS_RATE_WORTH: f64 = 0.005;

/// Worth of keeping the last copy of a model, in waiting requests.
pub(crate) const LAST_COPY_WORTH: f64 = 0.6;

/// Seconds of arrivals that the reload of a model in use would delay.
pub(crate) const RELOAD_SECONDS: f64 = 2.0;

/// Times that a reload takes longer from the weight store than from a copy on the server.
const STORE_RELOAD: f64 = 3.0;

/// What each request in flight adds to the worth of a model's last copy.
const REQUEST_WORTH: f64 = 0.5;

/// A model that was asked for within this time is kept if others can go, and what that adds.
const KEEP_USED: Duration = Duration::from_millis(2_500);
const USED_WORTH: f64 = 0.5;

/// Part of a server's memory up to which room for a full set of adapters is left by model loads.
const ADAPTER_RESERVE: f64 = 0.02;

/// Cost of each second that a load takes, in waiting requests.
pub(crate) const LOAD_SECOND_COST: f64 = 0.4;

/// Cost of a load on a server whose slots are all taken, in waiting requests. All models of a
/// server share its batch, so that a rare one would wait behind a busy one there and slow it.
const FULL_SERVER_COST: f64 = 1.5;

/// Cost of a load on a server for each adapter there. Adapters are ordered one request at a time,
/// and a server that loads a model takes no such order meanwhile.
const ADAPTER_COST: f64 = 0.15;

/// Worth of the first copy of a model in a data centre, beside its copies elsewhere, in waiting
/// requests. Data centres are cut off from each other.
const SPREAD_WORTH: f64 = 0.5;

/// One service as a plan sees it, with the moves that the plan has chosen so far.
pub(crate) struct Planner<'a> {
    pub(crate) now: Instant,
    pub(crate) servers: &'a [ServerView<'a>],
    pub(crate) demands: &'a Demands,
    pub(crate) engine: &'a Engine,
    pub(crate) copies: HashMap<&'a str, usize>,
    /// Copies by model and data centre.
    pub(crate) copies_in: HashMap<(&'a str, &'a str), usize>,
    pub(crate) has_traffic: bool,
    pub(crate) taken: HashSet<&'a str>,
}

impl<'a> Planner<'a> {
    /// Arrivals a second of a model, smoothed.
    pub(crate) fn rate(&self, model: &str) -> f64 {
        self.demands.get(model).map_or(0.0, |demand| demand.arrival_rate(self.now))
    }

    /// Copies that the demand for a model asks for.
    pub(crate) fn wanted_copies(&self, model: &str) -> usize {
        if !self.has_traffic {
            // Before the first requests the initial placement is the only hint at demand.
            return self.copies.get(model).map_or(0, |n| n.div_ceil(2));
        }
        let Some(demand) = self.demands.get(model) else { return 0 };
        let requests = f64::from(demand.in_flight + demand.waiting);
        let slots = f64::from(self.engine.slots.max(1));
        let by_load = (requests / (slots * FILL_TARGET)).ceil() as usize;
        let spare = if self.rate(model) >= TWO_COPIES_RATE { 2 } else { 0 };
        by_load.max(spare).min(self.servers.len())
    }

    /// What keeping a model on a server is worth; `None` if it must stay.
    fn keep_worth(&self, server: &ServerView<'a>, model: &str) -> Option<f64> {
        let copies = self.copies.get(model).copied().unwrap_or(0);
        let here = f64::from(server.in_flight_by_model.get(model).copied().unwrap_or(0));
        let rate = self.rate(model);
        if copies > self.wanted_copies(model).max(1) {
            // A copy beyond the need; with requests on it the unload takes longer.
            let is_only_one_there = self.copies_at(model, server) <= 1;
            let spread = if is_only_one_there { SPREAD_WORTH } else { 0.0 };
            return Some(
                SURPLUS_WORTH + spread + here * SURPLUS_REQUEST_WORTH + rate * SURPLUS_RATE_WORTH,
            );
        }
        let demand = self.demands.get(model);
        if demand.is_some_and(|d| d.waiting > 0 || d.pending_send > 0) {
            return None;
        }
        let used = demand.and_then(|d| d.last_arrival_at);
        let is_fresh = used.is_some_and(|at| self.now.saturating_duration_since(at) < KEEP_USED);
        let recent = if is_fresh { USED_WORTH } else { 0.0 };
        let has_copy_left =
            server.holdings.on_disk.contains(model) || server.holdings.in_memory.contains(model);
        let reload = if has_copy_left { RELOAD_SECONDS } else { RELOAD_SECONDS * STORE_RELOAD };
        Some(LAST_COPY_WORTH + rate * reload + here * REQUEST_WORTH + recent)
    }

    /// Copies of a model in the server's data centre, that server included.
    fn copies_at(&self, model: &str, server: &ServerView<'a>) -> usize {
        self.copies_in.get(&(model, server.data_centre)).copied().unwrap_or(0)
    }

    /// The cheapest models to unload so that `model` fits, and what keeping them is worth.
    fn victims(&self, server: &ServerView<'a>, model: &Model) -> Option<(Vec<ModelName>, f64)> {
        // Room for a full set of adapters is left, because those are loaded without asking.
        let adapters = self.engine.max_adapters as f64
            * self.engine.models.values().map(|m| m.adapter_mb).fold(0.0, f64::max);
        let mut free = free_mb(self.engine, server.holdings);
        let reserve =
            if adapters < self.engine.weights_mb * ADAPTER_RESERVE { adapters } else { 0.0 };
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
    pub(crate) fn best(
        &self,
        model: &Model,
        allow_store: bool,
    ) -> Option<(ModelPlacement, f64, f64)> {
        let mut best: Option<(ModelPlacement, f64, f64)> = None;
        for server in self.servers {
            let is_excluded = server.is_blocked || server.is_leaving;
            let holds = server.holdings.models.contains_key(&model.name);
            if is_excluded || holds || self.taken.contains(server.id) {
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
                let chosen = ModelPlacement { server: server.id.into(), unload, load, source };
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

/// The nearest copy of a model's weights to a server.
pub(crate) fn source(holdings: &Holdings, model: &str) -> Source {
    if holdings.in_memory.contains(model) {
        Source::Memory
    } else if holdings.on_disk.contains(model) {
        Source::Disk
    } else {
        Source::Store
    }
}
