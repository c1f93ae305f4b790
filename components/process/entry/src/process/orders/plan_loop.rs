//! The leader's loop: queries holdings, plans, sends orders and publishes its state.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::waiting::{WaitingGroup, sum_groups};
use replica_placement::{ModelPlacement, PlanLimits, ServerView, plan};
use routes::{Engine, ModelName};
use server_directory::ServerId;
use tokio::task::spawn_local;

use super::REFUSED_PAUSE;
use super::adapters::{AdapterHosts, load_adapter};
use super::copies::record_without_copy;
use super::leader::Leader;
use super::moves::execute_move;
use super::order::refresh_holdings;
use super::publish::{publish_to_all, publish_to_waiting};
use crate::process::peers::PeerSocket;
use crate::process::{Entry, ModelKey, PUBLISH_INTERVAL, boot_now};

/// Interval between two plans if nothing changes.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Least time between two plans, so that one plan covers several changes.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(15);
/// Time after which a report reflects an order and its completion. Reports lag by some hundred
/// milliseconds.
const REPORT_LAG: Duration = Duration::from_millis(700);
/// Most servers that are queried for their holdings at the same time. A new leader of thousands of
/// servers would otherwise open connections to all of them at once.
const MAX_CONCURRENT_QUERIES: usize = 96;

/// While this instance holds the lease, plans, sends orders and publishes its state to the other
/// instances.
pub(crate) async fn run_plan_loop(cx: Rc<Entry>, socket: Rc<PeerSocket>) {
    // Terms count from 1.
    let mut leader = Rc::new(RefCell::new(Leader::new(&cx, 0)));
    let mut was_leader = false;
    let mut publish_at = Instant::now();
    let mut plan_at = Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(plan_at.min(publish_at).into()) => {}
            () = cx.plan_due.notified() => {}
        }
        let held = {
            let (lease, now) = (cx.leader_lease.borrow(), boot_now());
            lease.held_lease(now).zip(lease.term(now))
        };
        let Some((lease, term)) = held else {
            if was_leader {
                tracing::warn!("orders: lease no longer held");
                // Only the leader knows.
                cx.metrics.models_without_copy.clear();
            }
            was_leader = false;
            plan_at = Instant::now() + PLAN_INTERVAL;
            publish_at = plan_at;
            continue;
        };
        was_leader = true;
        if leader.borrow().term != term {
            let next = leader.borrow().next_term(&cx, term);
            leader = Rc::new(RefCell::new(next));
            tracing::info!(fence = lease.fence, term, "orders: this instance gives the orders");
        }
        record_arrivals(&cx, &mut leader.borrow_mut());
        if cx.leader_lease.borrow().fencing_number(boot_now()).is_some() {
            consume_stale_holdings(&cx, &mut leader.borrow_mut());
            query_unknown_holdings(&cx, &leader);
            plan_services(&cx, &leader);
        }
        plan_at = Instant::now() + PLAN_INTERVAL;
        if Instant::now() >= publish_at {
            publish_to_all(&cx, &socket, &mut leader.borrow_mut(), lease);
            publish_at = Instant::now() + PUBLISH_INTERVAL;
        } else {
            publish_to_waiting(&cx, &socket, &mut leader.borrow_mut(), lease);
        }
        tokio::time::sleep(MIN_PLAN_INTERVAL).await;
    }
}

/// Discards the accepted orders of servers with stale holdings, so that these are queried again.
fn consume_stale_holdings(cx: &Entry, leader: &mut Leader) {
    let mut stale = std::mem::take(&mut *cx.stale_holdings.borrow_mut());
    stale.extend(cx.instances.borrow_mut().take_stale_holdings());
    for server in stale {
        // A request may cross an order in progress. The holdings are known after the order.
        if !leader.orders_in_progress.contains_key(&server)
            && leader.accepted_orders.remove(&server).is_some()
        {
            tracing::info!(%server, "orders: holdings in doubt; querying the server again");
        }
    }
}

/// Queries the holdings of servers that have not reported them to this instance yet. The first plan
/// for a server must not rely on the registry, which lags and does not count orders.
fn query_unknown_holdings(cx: &Rc<Entry>, leader: &Rc<RefCell<Leader>>) {
    let Some(deployment) = cx.deployment.borrow().clone() else { return };
    let now = Instant::now();
    let mut unknown: Vec<ServerId> = Vec::new();
    {
        let state = leader.borrow();
        for server in cx.directory.borrow().servers() {
            let id = &server.entry.id;
            let service = deployment.services.get(&server.entry.service);
            let is_engine = service.is_some_and(|service| service.engine.is_some());
            let is_paused = cx.paused_until(id).is_some()
                || state.paused_until.get(id).is_some_and(|until| *until > now);
            let is_settling = state.last_order_at.get(id).is_some_and(|at| now < *at + REPORT_LAG);
            if is_engine
                && !server.entry.is_draining
                && !state.has_current_holdings(server)
                && !state.orders_in_progress.contains_key(id)
                && !is_paused
                && !is_settling
            {
                unknown.push(id.clone());
            }
        }
    }
    let running = leader.borrow().queries_in_progress;
    for server in unknown.into_iter().take(MAX_CONCURRENT_QUERIES.saturating_sub(running)) {
        leader.borrow_mut().queries_in_progress += 1;
        leader.borrow_mut().orders_in_progress.insert(server.clone(), None);
        let (cx, leader) = (cx.clone(), leader.clone());
        spawn_local(async move {
            if refresh_holdings(&cx, &leader, &server).await.is_none() {
                leader
                    .borrow_mut()
                    .paused_until
                    .insert(server.clone(), Instant::now() + REFUSED_PAUSE);
            }
            let mut state = leader.borrow_mut();
            state.orders_in_progress.remove(&server);
            state.queries_in_progress = state.queries_in_progress.saturating_sub(1);
            drop(state);
            cx.plan_due.notify_one();
        });
    }
}

fn record_arrivals(cx: &Entry, leader: &mut Leader) {
    let now = Instant::now();
    let mut arrivals = cx.instances.borrow_mut().take_new_arrivals();
    for (key, total) in &cx.request_counts.borrow().arrivals {
        let counted = leader.counted_arrivals.entry(key.clone()).or_default();
        if total > counted {
            arrivals.push((key.clone(), total - *counted));
            *counted = *total;
        }
    }
    for (key, count) in arrivals {
        leader.demands.models.entry(key.model.clone()).or_default().record_arrivals(now, count);
        if let Some(adapter) = key.adapter {
            leader.adapters_used.insert((key.model, adapter), now);
        }
    }
}

/// Number of waiting requests of all instances for a service, by model and adapter.
fn waiting_by_model(cx: &Entry, service: &str) -> HashMap<ModelKey, u32> {
    let own = cx.waiting_requests.borrow();
    let instances = cx.instances.borrow();
    let others = instances.live(Instant::now()).flat_map(|status| &status.waiting);
    let others = others.map(|(name, key, count)| (name, key, *count));
    let mut waiting = HashMap::new();
    for (_, key, count) in own.iter().chain(others).filter(|(name, ..)| &***name == service) {
        *waiting.entry(key.clone()).or_default() += count;
    }
    waiting
}

/// Groups of the waiting requests of all instances for a service, by model. Empty where the
/// configuration has neither client accounts nor several ranks.
fn waiting_groups(cx: &Entry, service: &str) -> HashMap<ModelName, Vec<WaitingGroup>> {
    if !cx.has_waiting_groups() {
        return HashMap::new();
    }
    let own = cx.waiting_requests.borrow();
    let own = own.groups().map(|(name, key, groups)| (name, key, groups.collect()));
    let instances = cx.instances.borrow();
    let others = instances.live(Instant::now()).flat_map(|status| {
        let groups = status.waiting_groups.iter().cloned();
        status.waiting.iter().zip(groups).map(|((name, key, _), groups)| (name, key, groups))
    });
    let mut waiting: HashMap<ModelName, Vec<WaitingGroup>> = HashMap::new();
    for (_, key, groups) in own.chain(others).filter(|(name, ..)| &***name == service) {
        waiting.entry(key.model.clone()).or_default().extend::<Vec<WaitingGroup>>(groups);
    }
    waiting.values_mut().for_each(|groups| *groups = sum_groups(groups.drain(..)));
    waiting
}

fn plan_services(cx: &Rc<Entry>, leader: &Rc<RefCell<Leader>>) {
    let Some(deployment) = cx.deployment.borrow().clone() else { return };
    let now = Instant::now();
    leader.borrow_mut().ready_at.clear();
    leader.borrow_mut().queued.clear();
    leader.borrow_mut().queued_groups.clear();
    for (service, engine) in deployment.engines() {
        let waiting = waiting_by_model(cx, service);
        let load_adapters = |hosts| {
            for key in waiting.keys() {
                if let Some(adapter) = key.adapter.clone() {
                    load_adapter(cx, leader, service, engine, key, adapter, hosts);
                }
            }
        };
        load_adapters(AdapterHosts::JustLoaded);
        let moves = plan_service(cx, &mut leader.borrow_mut(), service, engine, &waiting, now);
        for planned in moves {
            spawn_local(execute_move(cx.clone(), leader.clone(), engine.clone(), planned));
        }
        load_adapters(AdapterHosts::All);
    }
    let ready_at = leader.borrow().ready_at.clone();
    *cx.ready_at.borrow_mut() = ready_at;
    (*cx.queued.borrow_mut()).clone_from(&leader.borrow().queued);
    (*cx.queued_groups.borrow_mut()).clone_from(&leader.borrow().queued_groups);
    cx.servers_changed.notify_waiters();
}

/// Models whose loads end servers.
fn banned_models(cx: &Entry, service: &str, engine: &Engine) -> BTreeSet<ModelName> {
    if !cx.quarantine.borrow().has_bans() {
        return BTreeSet::new();
    }
    let is_banned = |model: &&ModelName| cx.load_banned_until(service, model, None).is_some();
    engine.models.keys().filter(is_banned).cloned().collect()
}

fn plan_service(
    cx: &Entry,
    leader: &mut Leader,
    service: &str,
    engine: &Engine,
    waiting: &HashMap<ModelKey, u32>,
    now: Instant,
) -> Vec<ModelPlacement> {
    let directory = cx.directory.borrow();
    let views = server_views(cx, leader, &directory, service, now);
    for demand in leader.demands.models.values_mut() {
        (demand.waiting, demand.pending_send, demand.in_flight) = (0, 0, 0);
        demand.waiting_groups.clear();
    }
    for view in &views {
        for (model, count) in &view.in_flight_by_model {
            leader.demands.models.entry((*model).into()).or_default().in_flight += count;
        }
    }
    for (key, count) in waiting {
        let demand = leader.demands.models.entry(key.model.clone()).or_default();
        let is_loaded = views
            .iter()
            .any(|view| !view.is_leaving && view.holdings.models.contains_key(&key.model));
        match is_loaded {
            true => demand.pending_send += count,
            false => demand.waiting += count,
        }
    }
    for (model, groups) in waiting_groups(cx, service) {
        leader.demands.models.entry(model).or_default().waiting_groups = groups;
    }
    if let Some(deployment) = &*cx.deployment.borrow() {
        let waits = cx.has_waiting_groups().then(|| deployment.engine_waits());
        leader.demands.weigh_waiting(waits);
    }
    let queued = leader.demands.models.iter().filter(|(_, demand)| demand.pending_send > 1);
    let queued: Vec<_> = queued.map(|(model, d)| (model.clone(), d.pending_send)).collect();
    // The order of accounts for places is used only where there are accounts.
    for (model, _) in queued.iter().filter(|_| cx.has_accounts()) {
        let demand = leader.demands.models.get(model);
        if let Some(demand) = demand.filter(|demand| !demand.waiting_groups.is_empty()) {
            leader.queued_groups.insert(model.clone(), demand.waiting_groups.clone());
        }
    }
    leader.queued.extend(queued);
    let limits = PlanLimits {
        max_store_loads: leader.store_concurrency.limit(),
        is_prefetching: cx.settings.is_prefetching && leader.are_servers_settled(now),
        is_inventory_complete: directory
            .servers()
            .filter(|server| &*server.entry.service == service)
            .all(|server| server.entry.is_draining || leader.has_been_queried(server)),
    };
    let banned = banned_models(cx, service, engine);
    let plan = plan(now, &views, &leader.demands, engine, &banned, limits);
    leader.ready_at.extend(plan.ready_at);
    if let Some(models) = plan.without_copy.filter(|_| leader.are_servers_settled(now)) {
        record_without_copy(cx, leader, service, models);
    }
    for planned in &plan.placements {
        let waiting = leader.demands.get(&planned.load);
        tracing::info!(server = %planned.server, model = %planned.load, source = ?planned.source,
            unload = ?planned.unload, spared = rounded(planned.spared),
            displaced = rounded(planned.displaced),
            waiting = waiting.map_or(0, |demand| demand.waiting),
            pending_send = waiting.map_or(0, |demand| demand.pending_send),
            "orders: move planned");
        leader.orders_in_progress.insert(planned.server.clone(), Some(planned.load.clone()));
        let ends = now + planned.source.load_time(&engine.models[&planned.load]);
        leader.loading.insert(planned.server.clone(), (planned.source, ends));
    }
    plan.placements
}

/// For log lines.
fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

pub(super) fn server_views<'a>(
    cx: &Entry,
    leader: &Leader,
    directory: &'a server_directory::Directory,
    service: &str,
    now: Instant,
) -> Vec<ServerView<'a>> {
    let counts = cx.request_counts.borrow();
    let instances = cx.instances.borrow();
    let unreachable = instances.unreachable(now);
    let (lease, boot) = (cx.leader_lease.borrow(), boot_now());
    let reach = cx.reach.borrow();
    let mut views: Vec<ServerView<'a>> = directory
        .servers()
        .filter(|server| &*server.entry.service == service)
        .map(|server| {
            let id = &*server.entry.id;
            let health = cx.health.borrow().get(id).copied().unwrap_or_default();
            let is_paused = health.paused_until(now).is_some()
                || leader.paused_until.get(id).is_some_and(|until| *until > now);
            let is_going = server.entry.is_draining || server.grace_ends_at.is_some();
            ServerView {
                id,
                data_centre: &server.entry.data_centre,
                holdings: &server.entry.holdings,
                in_flight: 0,
                in_flight_by_model: HashMap::new(),
                is_blocked: leader.orders_in_progress.contains_key(id)
                    || !leader.has_current_holdings(server)
                    || is_paused
                    || !lease.has_gap_elapsed(id, boot)
                    || health.is_backing_off(now)
                    || reach.is_cut_off(&server.entry.data_centre),
                pending_adapters: leader.adapters_loading.get(id).copied().unwrap_or(0),
                pending_model: leader.orders_in_progress.get(id).cloned().flatten(),
                pending_load: leader.loading.get(id).copied(),
                slowness: cx.slowness(id),
                is_leaving: is_going || unreachable.contains(id),
                may_return: !is_going,
            }
        })
        .collect();
    views.sort_by(|a, b| a.id.cmp(b.id));
    let mut add = |server: &str, model: &str, count: u32| {
        let Ok(index) = views.binary_search_by(|view| view.id.cmp(server)) else { return };
        let view = &mut views[index];
        // The name is borrowed from the holdings, which live as long as the view.
        let Some((name, _)) = view.holdings.models.get_key_value(model) else { return };
        *view.in_flight_by_model.entry(name).or_default() += count;
        view.in_flight += count;
    };
    for (server, models) in &counts.in_flight {
        models.iter().for_each(|(model, count)| add(server, model, *count));
    }
    for (server, models) in instances.live(now).flat_map(|status| &status.in_flight) {
        models.iter().for_each(|(model, count)| add(server, model, *count));
    }
    views
}
