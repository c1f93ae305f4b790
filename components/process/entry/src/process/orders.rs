//! Gives orders to the engines while this instance holds the lease.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use model_homes::{
    Action, Demands, HeldLease, LeaseRecord, Limits, Move, ServerView, Source, StorePace,
    adapter_move, free_mb, plan,
};
use platform::Call;
use platform_adapter::{Error, Order, OrderReply, Put, Report, Store};
use routes::{AdapterName, Engine, Model, ModelName, ServiceName};
use serde::Deserialize;
use server_directory::{Holdings, ServerId};
use tokio::task::spawn_local;

use super::instances::{Held, Homes, Message, SyncMark};
use super::peers::PeerSocket;
use super::{Entry, ModelKey, boot_now};
use crate::connection::control_call;

/// Kind and name of the lease object.
const LEASE_KIND: &str = "order-leases";
const LEASE_NAME: &str = "engines";

/// Longest time for a call about the lease; a third of the time it is valid.
const LEASE_CALL_TIME: Duration = Duration::from_millis(700);
/// Longest time for an order or a report; engines answer in a few milliseconds.
const ORDER_TIME: Duration = Duration::from_millis(600);
/// First time between two tries of a load while the unload before it is under way; doubles.
const UNLOAD_POLL: Duration = Duration::from_millis(25);
/// Longest wait for an unload, which waits for running requests to end.
const UNLOAD_TIME: Duration = Duration::from_secs(8);
/// First time between two questions whether a load that is due has ended; doubles up to the next.
const LOAD_POLL: Duration = Duration::from_millis(60);
/// Longest time between two such questions.
const LOAD_POLL_MAX: Duration = Duration::from_millis(800);
/// Slack after the expected end of a load before the first question.
const LOAD_SLACK: Duration = Duration::from_millis(15);
/// A load that takes this many times its expected time has failed.
const LOAD_PATIENCE: u32 = 4;
/// Most loads from the weight store at once, however many it seems to carry.
const MOST_CONCURRENT_LOADS: usize = 8;
/// Least patience with a load: the copy in memory may be gone, and the disk is slower.
const LEAST_LOAD_PATIENCE: Duration = Duration::from_secs(8);
/// Time between two plans if nothing happens.
const PLAN_EVERY: Duration = Duration::from_millis(200);
/// Least time between two plans, in which changes gather.
const PLAN_GAP: Duration = Duration::from_millis(15);
/// Time between two messages to all other instances.
const TELL_EVERY: Duration = Duration::from_millis(200);
/// All servers are told again within this many of these messages, in turn.
const TOLD_WITHIN: usize = 15;
/// A server that refused an order is left alone for this time.
const REFUSED_PAUSE: Duration = Duration::from_millis(700);
/// Part of an adapter's load time that does not depend on its size, and the rest for each MB.
const ADAPTER_BASE_MS: f64 = 5.0;
const ADAPTER_MS_PER_MB: f64 = 0.17;

/// State of the order giver.
struct Giver {
    pace: StorePace,
    demands: Demands,
    /// Servers with orders under way, and the model that these load.
    ordered: HashMap<ServerId, Option<ModelName>>,
    /// Loads under way: source and expected end.
    loading: HashMap<ServerId, (Source, Instant)>,
    /// No order to these servers before the deadline.
    paused: HashMap<ServerId, Instant>,
    /// Run and number of accepted orders of the servers that were given orders.
    accepted: HashMap<ServerId, (u64, u64)>,
    /// Models that were loaded on a server, the newest first, as many as its memory keeps.
    recent_loads: HashMap<ServerId, VecDeque<ModelName>>,
    /// Servers that were asked what they hold, with or without an answer.
    asked: HashSet<ServerId>,
    adapters_used: HashMap<(ModelName, AdapterName), Instant>,
    adapters_ordered: HashSet<(ServiceName, ModelKey)>,
    /// Adapters that were ordered and are not known to be there yet, by server.
    adapters_coming: HashMap<ServerId, usize>,
    /// Arrivals at this instance that were already taken into the demand.
    counted: HashMap<ModelKey, u64>,
    ready_at: HashMap<ModelName, Instant>,
    /// Servers whose holdings changed since the last message.
    changed: HashSet<ServerId>,
    told: usize,
    /// Loads from the weight store that servers have accepted and not ended.
    store_running: usize,
}

impl Giver {
    fn new(cx: &Entry) -> Self {
        Self {
            pace: StorePace::new(cx.settings.concurrent_loads, MOST_CONCURRENT_LOADS),
            demands: Demands::default(),
            ordered: HashMap::new(),
            loading: HashMap::new(),
            paused: HashMap::new(),
            accepted: HashMap::new(),
            recent_loads: HashMap::new(),
            asked: HashSet::new(),
            adapters_used: HashMap::new(),
            adapters_ordered: HashSet::new(),
            adapters_coming: HashMap::new(),
            counted: HashMap::new(),
            ready_at: HashMap::new(),
            changed: HashSet::new(),
            told: 0,
            store_running: 0,
        }
    }

    /// Loads from the weight store that are under way.
    fn store_loads(&self) -> usize {
        self.loading.values().filter(|(source, _)| *source == Source::Store).count()
    }

    /// Whether the server was asked for what it holds. One that gives no answer is passed over.
    fn has_tried(&self, server: &server_directory::Server) -> bool {
        self.asked.contains(&server.entry.id)
    }

    /// Whether the server's present run was asked for what it holds.
    fn knows(&self, server: &server_directory::Server) -> bool {
        let run = self.accepted.get(&server.entry.id).map(|(run, _)| *run);
        run == Some(server.entry.holdings.born)
    }
}

/// Holds the lease if nobody else does, for as long as the process lives.
pub(crate) async fn keep_lease(cx: Rc<Entry>) {
    loop {
        let now = boot_now();
        let action = cx.authority.borrow().next(now);
        let store: Store = cx.store.borrow().clone();
        let by = Call::lease_by(Instant::now() + LEASE_CALL_TIME);
        match action {
            Action::Wait(until) => {
                tokio::time::sleep(until.saturating_sub(now).min(Duration::from_millis(300))).await;
            }
            Action::Read => match store.get(LEASE_KIND, LEASE_NAME, by).await {
                Ok(found) => found_lease(&cx, found),
                Err(error) => lease_failed(&cx, &error),
            },
            Action::Write { revision, record } => {
                let written = match revision {
                    Some(at) => store.replace(LEASE_KIND, LEASE_NAME, at, &record, by).await,
                    None => store.create(LEASE_KIND, LEASE_NAME, &record, by).await,
                };
                match written {
                    Ok(Put::Written(revision)) => {
                        let is_claim = record.beat == 0;
                        let fence = record.fence;
                        let mut authority = cx.authority.borrow_mut();
                        authority.written(record, revision, now, boot_now());
                        if is_claim {
                            tracing::info!(fence, revision, "orders: lease claimed");
                            cx.plan_due.notify_one();
                        }
                    }
                    Ok(Put::Conflict(Some(object))) => found_lease(&cx, Some(object)),
                    Ok(Put::Conflict(None)) => cx.authority.borrow_mut().read(None, boot_now()),
                    Err(error) => lease_failed(&cx, &error),
                }
            }
        }
    }
}

fn found_lease(cx: &Entry, found: Option<platform_adapter::StoredObject>) {
    let lease = found.and_then(|object| {
        let record = LeaseRecord::deserialize(&object.value).ok()?;
        Some((record, object.revision))
    });
    if let Some((record, revision)) = &lease {
        tracing::info!(holder = %record.holder, fence = record.fence, revision,
            is_released = record.is_released, "orders: lease read");
    }
    cx.authority.borrow_mut().read(lease, boot_now());
}

fn lease_failed(cx: &Entry, error: &Error) {
    tracing::warn!(%error, "orders: call about the lease failed");
    cx.authority.borrow_mut().failed(boot_now());
}

/// Plans and gives orders while the lease is held, and tells the other instances.
pub(crate) async fn give(cx: Rc<Entry>, socket: Rc<PeerSocket>) {
    let giver = Rc::new(RefCell::new(Giver::new(&cx)));
    let mut was_holder = false;
    let mut tell_at = Instant::now();
    let mut plan_at = Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(plan_at.min(tell_at).into()) => {}
            () = cx.plan_due.notified() => {}
        }
        let Some(lease) = cx.authority.borrow().held(boot_now()) else {
            if was_holder {
                tracing::warn!("orders: lease no longer held");
                *giver.borrow_mut() = Giver::new(&cx);
            }
            was_holder = false;
            plan_at = Instant::now() + PLAN_EVERY;
            tell_at = plan_at;
            continue;
        };
        if !was_holder {
            was_holder = true;
            tracing::info!(fence = lease.fence, "orders: this instance gives the orders");
        }
        take_arrivals(&cx, &mut giver.borrow_mut());
        if cx.authority.borrow().may_order(boot_now()).is_some() {
            take_mistakes(&cx, &mut giver.borrow_mut());
            learn_holdings(&cx, &giver);
            plan_services(&cx, &giver);
        }
        plan_at = Instant::now() + PLAN_EVERY;
        if Instant::now() >= tell_at {
            tell_all(&cx, &socket, &mut giver.borrow_mut(), lease);
            tell_at = Instant::now() + TELL_EVERY;
        } else {
            tell_waiting(&cx, &socket, &mut giver.borrow_mut(), lease);
        }
        tokio::time::sleep(PLAN_GAP).await;
    }
}

/// Forgets what is known of servers that turned away a request for a model they should have.
fn take_mistakes(cx: &Entry, giver: &mut Giver) {
    let mut mistaken = std::mem::take(&mut *cx.mistaken.borrow_mut());
    mistaken.extend(cx.instances.borrow_mut().take_mistaken());
    for server in mistaken {
        // While orders are under way, requests may cross them; what is held is known afterwards.
        if !giver.ordered.contains_key(&server) && giver.accepted.remove(&server).is_some() {
            tracing::info!(%server, "orders: holdings in doubt; asked again");
        }
    }
}

/// Asks the servers that this instance has not asked yet what they hold. The first plan for a
/// server must not rest on the registry, which lags and does not count orders.
fn learn_holdings(cx: &Rc<Entry>, giver: &Rc<RefCell<Giver>>) {
    let Some(deployment) = cx.deployment.borrow().clone() else { return };
    let now = Instant::now();
    let mut unknown: Vec<ServerId> = Vec::new();
    {
        let state = giver.borrow();
        for server in cx.directory.borrow().servers() {
            let id = &server.entry.id;
            let service = deployment.services.get(&server.entry.service);
            let is_engine = service.is_some_and(|service| service.engine.is_some());
            let is_paused = state.paused.get(id).is_some_and(|until| *until > now);
            if is_engine
                && !server.entry.is_draining
                && !state.knows(server)
                && !state.ordered.contains_key(id)
                && !is_paused
            {
                unknown.push(id.clone());
            }
        }
    }
    for server in unknown {
        giver.borrow_mut().ordered.insert(server.clone(), None);
        let (cx, giver) = (cx.clone(), giver.clone());
        spawn_local(async move {
            if refresh(&cx, &giver, &server).await.is_none() {
                giver.borrow_mut().paused.insert(server.clone(), Instant::now() + REFUSED_PAUSE);
            }
            giver.borrow_mut().ordered.remove(&server);
            cx.plan_due.notify_one();
        });
    }
}

fn take_arrivals(cx: &Entry, giver: &mut Giver) {
    let now = Instant::now();
    let mut arrivals = cx.instances.borrow_mut().new_arrivals();
    for (key, total) in &cx.loads.borrow().arrivals {
        let counted = giver.counted.entry(key.clone()).or_default();
        if total > counted {
            arrivals.push((key.clone(), total - *counted));
            *counted = *total;
        }
    }
    for (key, count) in arrivals {
        giver.demands.models.entry(key.model.clone()).or_default().arrived(now, count);
        if let Some(adapter) = key.adapter {
            giver.adapters_used.insert((key.model, adapter), now);
        }
    }
}

/// What requests of all instances wait for in a service.
fn wants(cx: &Entry, service: &str) -> HashMap<ModelKey, u32> {
    let own = cx.wants.borrow();
    let instances = cx.instances.borrow();
    let others = instances.live(Instant::now()).flat_map(|status| &status.wants);
    let others = others.map(|(name, key, count)| (name, key, *count));
    let mut wants = HashMap::new();
    for (_, key, count) in own.iter().chain(others).filter(|(name, ..)| &***name == service) {
        *wants.entry(key.clone()).or_default() += count;
    }
    wants
}

fn plan_services(cx: &Rc<Entry>, giver: &Rc<RefCell<Giver>>) {
    let Some(deployment) = cx.deployment.borrow().clone() else { return };
    let now = Instant::now();
    giver.borrow_mut().ready_at.clear();
    for (service, engine) in deployment.engines() {
        let wants = wants(cx, service);
        let moves = plan_service(cx, &mut giver.borrow_mut(), service, engine, &wants, now);
        for chosen in moves {
            spawn_local(carry_out(cx.clone(), giver.clone(), engine.clone(), chosen));
        }
        for (key, _) in wants {
            if let Some(adapter) = key.adapter.clone() {
                bring_adapter(cx, giver, service, engine, &key, adapter);
            }
        }
    }
    let ready_at = giver.borrow().ready_at.clone();
    *cx.ready_at.borrow_mut() = ready_at;
    cx.servers_changed.notify_waiters();
}

fn plan_service(
    cx: &Entry,
    giver: &mut Giver,
    service: &str,
    engine: &Engine,
    wants: &HashMap<ModelKey, u32>,
    now: Instant,
) -> Vec<Move> {
    let directory = cx.directory.borrow();
    let views = views(cx, giver, &directory, service, now);
    for demand in giver.demands.models.values_mut() {
        (demand.waiting, demand.in_flight) = (0, 0);
    }
    for view in &views {
        for (model, count) in &view.by_model {
            giver.demands.models.entry((*model).into()).or_default().in_flight += count;
        }
    }
    for (key, count) in wants {
        let demand = giver.demands.models.entry(key.model.clone()).or_default();
        let is_loaded = views
            .iter()
            .any(|view| !view.is_leaving && view.holdings.models.contains_key(&key.model));
        if !is_loaded {
            demand.waiting += count;
        }
    }
    let limits = Limits {
        store_concurrent: giver.pace.at_once(),
        is_prefetching: cx.settings.is_prefetching,
        is_informed: directory
            .servers()
            .filter(|server| &*server.entry.service == service)
            .all(|server| server.entry.is_draining || giver.has_tried(server)),
    };
    let plan = plan(now, &views, &giver.demands, engine, limits);
    giver.ready_at.extend(plan.ready_at);
    for chosen in &plan.moves {
        giver.ordered.insert(chosen.server.clone(), Some(chosen.load.clone()));
        let ends = now + chosen.source.load_time(&engine.models[&chosen.load]);
        giver.loading.insert(chosen.server.clone(), (chosen.source, ends));
    }
    plan.moves
}

fn views<'a>(
    cx: &Entry,
    giver: &Giver,
    directory: &'a server_directory::Directory,
    service: &str,
    now: Instant,
) -> Vec<ServerView<'a>> {
    let loads = cx.loads.borrow();
    let instances = cx.instances.borrow();
    let unreachable = instances.unreachable(now);
    let mut views: Vec<ServerView<'a>> = directory
        .servers()
        .filter(|server| &*server.entry.service == service)
        .map(|server| {
            let id = &*server.entry.id;
            let health = cx.health.borrow().get(id).copied().unwrap_or_default();
            let is_paused = giver.paused.get(id).is_some_and(|until| *until > now);
            ServerView {
                id,
                holdings: &server.entry.holdings,
                in_flight: 0,
                by_model: HashMap::new(),
                is_ordered: giver.ordered.contains_key(id)
                    || !giver.knows(server)
                    || is_paused
                    || health.is_paused(now),
                adapters_coming: giver.adapters_coming.get(id).copied().unwrap_or(0),
                incoming: giver.ordered.get(id).cloned().flatten(),
                loading: giver.loading.get(id).copied(),
                is_leaving: server.entry.is_draining
                    || server.lapses_at.is_some()
                    || unreachable.contains(id),
            }
        })
        .collect();
    views.sort_by(|a, b| a.id.cmp(b.id));
    for view in &mut views {
        let own = loads.in_flight.get(view.id).into_iter().flatten();
        let others = instances
            .live(now)
            .flat_map(|status| &status.in_flight)
            .filter(|(id, _)| **id == *view.id)
            .flat_map(|(_, models)| models.iter().map(|(model, count)| (model, count)));
        for (model, count) in own.chain(others) {
            // The name is borrowed from the holdings, which live as long as the view.
            let Some((name, _)) = view.holdings.models.get_key_value(model) else { continue };
            *view.by_model.entry(name).or_default() += count;
            view.in_flight += count;
        }
    }
    views
}

/// Tells all instances what changed, some of the servers again, and what is in flight.
fn tell_all(cx: &Entry, socket: &PeerSocket, giver: &mut Giver, lease: HeldLease) {
    let now = Instant::now();
    let mut ids: Vec<ServerId> = {
        let directory = cx.directory.borrow();
        let engines = directory.servers().filter(|s| !s.entry.holdings.models.is_empty());
        engines.map(|server| server.entry.id.clone()).collect()
    };
    ids.sort();
    let mut told: HashSet<ServerId> = giver.changed.drain().collect();
    for _ in 0..ids.len().div_ceil(TOLD_WITHIN) {
        giver.told = (giver.told + 1) % ids.len();
        told.insert(ids[giver.told].clone());
    }
    let mut others: HashMap<ServerId, u32> = HashMap::new();
    for (server, models) in cx.instances.borrow().live(now).flat_map(|s| &s.in_flight) {
        *others.entry(server.clone()).or_default() += models.iter().map(|(_, n)| n).sum::<u32>();
    }
    cx.instances.borrow_mut().set_in_flight(others.clone());
    let mut totals = others;
    for (server, models) in &cx.loads.borrow().in_flight {
        *totals.entry(server.clone()).or_default() += models.values().sum::<u32>();
    }
    let in_flight = Some(totals.into_iter().collect());
    let message = homes(cx, giver, told, in_flight, lease);
    socket.send(&message, &cx.instances.borrow().addresses());
}

/// Tells the instances that wait for a model what changed for it; the others hear it with the
/// next message to all.
fn tell_waiting(cx: &Entry, socket: &PeerSocket, giver: &mut Giver, lease: HeldLease) {
    let now = Instant::now();
    let mut models: HashSet<ModelName> = giver.ready_at.keys().cloned().collect();
    {
        let directory = cx.directory.borrow();
        for server in giver.changed.iter().filter_map(|id| directory.get(id)) {
            models.extend(server.entry.holdings.model_names().cloned());
        }
    }
    let to = cx.instances.borrow().waiting_for(&models, now);
    if !to.is_empty() {
        let told = giver.changed.clone();
        socket.send(&homes(cx, giver, told, None, lease), &to);
    }
}

fn homes(
    cx: &Entry,
    giver: &Giver,
    told: HashSet<ServerId>,
    in_flight: Option<Vec<(ServerId, u32)>>,
    lease: HeldLease,
) -> Message {
    let now = Instant::now();
    let directory = cx.directory.borrow();
    let held = told
        .into_iter()
        .filter_map(|id| {
            let holdings = &directory.get(&id)?.entry.holdings;
            let models = holdings.models.iter();
            Some(Held {
                born: holdings.born,
                models: models.map(|(m, a)| (m.clone(), a.iter().cloned().collect())).collect(),
                loading: holdings.loading.clone(),
                server: id,
            })
        })
        .collect();
    let ready_in = giver
        .ready_at
        .iter()
        .map(|(model, at)| (model.clone(), at.saturating_duration_since(now).as_millis() as u32))
        .collect();
    let mark = |mark: u64, at: Option<Instant>| SyncMark {
        mark,
        age_ms: at.map_or(u32::MAX / 2, |at| at.elapsed().as_millis() as u32),
    };
    let sync = &cx.sync;
    Message::Homes(Homes {
        from: cx.settings.name.clone(),
        lease,
        instances: cx.instances.borrow().count() as u32,
        registry: mark(sync.registry_mark.get(), sync.registry_at.get()),
        configuration: mark(sync.configuration_mark.get(), sync.configuration_at.get()),
        held,
        in_flight,
        ready_in,
    })
}

/// Changes what is known of a server and tells the others.
fn note(cx: &Entry, giver: &RefCell<Giver>, server: &str, change: impl FnOnce(&mut Holdings)) {
    let born = cx.directory.borrow().get(server).map(|s| s.entry.holdings.born);
    if let Some(born) = born {
        cx.directory.borrow_mut().observe(server, born, Instant::now(), change);
    }
    giver.borrow_mut().changed.insert(server.into());
    cx.servers_changed.notify_waiters();
    cx.plan_due.notify_one();
}

/// How an order ended.
#[derive(Debug)]
enum Ordered {
    Accepted,
    Holds,
    Conflict,
    /// Not allowed now, refused, or the server could not be reached.
    Failed,
    /// The order may still be carried out. The next order carries the same sequence, so that only
    /// one of the two can be.
    Unknown,
}

async fn order(cx: &Rc<Entry>, server: &str, order: &Order) -> Ordered {
    let Some(address) = cx.directory.borrow().get(server).map(|s| s.entry.address) else {
        return Ordered::Failed;
    };
    // The right to order is checked when the order is about to leave.
    let body = || {
        let fence = cx.authority.borrow().may_order(boot_now())?;
        Some(platform_adapter::order_body(order, &cx.settings.name, fence))
    };
    cx.metrics.orders.inc();
    let by = Instant::now() + ORDER_TIME;
    let reply = control_call(address, server, platform_adapter::ORDER_PATH, Some(&body), by).await;
    let ended = match reply {
        Ok((status, _)) => match platform_adapter::order_reply(status) {
            OrderReply::Accepted => Ordered::Accepted,
            OrderReply::Holds => Ordered::Holds,
            OrderReply::Conflict => Ordered::Conflict,
            OrderReply::Refused => Ordered::Failed,
        },
        Err(is_sent) if is_sent => Ordered::Unknown,
        Err(_) => Ordered::Failed,
    };
    tracing::info!(server, model = %order.model, adapter = ?order.adapter, load = order.is_load,
        after_sequence = order.after_sequence, outcome = ?ended, "orders: order sent");
    ended
}

/// Asks a server what it holds.
async fn report(cx: &Rc<Entry>, server: &str) -> Option<Report> {
    let address = cx.directory.borrow().get(server)?.entry.address;
    cx.metrics.reports.inc();
    let by = Instant::now() + ORDER_TIME;
    let reply = control_call(address, server, platform_adapter::REPORT_PATH, None, by).await;
    let report = match reply {
        Ok((StatusCode::OK, body)) => platform_adapter::report(&body),
        _ => None,
    };
    match &report {
        Some(report) => tracing::info!(server, accepted_orders = report.accepted_orders,
            is_busy = report.is_busy, born = report.holdings.born,
            models = ?report.holdings.model_names().collect::<Vec<_>>(),
            in_memory = report.holdings.in_memory.len(), on_disk = report.holdings.on_disk.len(),
            "orders: report read"),
        None => tracing::info!(server, "orders: no report"),
    }
    report
}

/// Orders that the server accepted, as the next order has to name them. It is asked if this
/// instance has not given it orders yet.
async fn accepted(cx: &Rc<Entry>, giver: &RefCell<Giver>, server: &str) -> Option<u64> {
    let born = cx.directory.borrow().get(server)?.entry.holdings.born;
    if let Some((run, count)) = giver.borrow().accepted.get(server).copied()
        && run == born
    {
        return Some(count);
    }
    refresh(cx, giver, server).await?;
    let (run, count) = giver.borrow().accepted.get(server).copied()?;
    (run == born).then_some(count)
}

/// The server accepted one more order.
fn count_accepted(giver: &RefCell<Giver>, server: &str) {
    if let Some((_, count)) = giver.borrow_mut().accepted.get_mut(server) {
        *count += 1;
    }
}

/// Carries out one move and marks the server free again.
async fn carry_out(cx: Rc<Entry>, giver: Rc<RefCell<Giver>>, engine: Engine, chosen: Move) {
    let began = Instant::now();
    let server = chosen.server.clone();
    let is_done = unload_then_load(&cx, &giver, &engine, &chosen).await.is_some();
    tracing::info!(%server, model = %chosen.load, source = ?chosen.source, is_done,
        took_ms = began.elapsed().as_millis() as u64, unloaded = ?chosen.unload,
        "orders: move ended");
    if !is_done {
        refresh(&cx, &giver, &server).await;
        giver.borrow_mut().paused.insert(server.clone(), Instant::now() + REFUSED_PAUSE);
    }
    let mut state = giver.borrow_mut();
    state.ordered.remove(&server);
    state.loading.remove(&server);
    drop(state);
    cx.plan_due.notify_one();
}

/// Replaces what is known of a server by its own report.
async fn refresh(cx: &Rc<Entry>, giver: &RefCell<Giver>, server: &str) -> Option<()> {
    giver.borrow_mut().accepted.remove(server);
    let report = report(cx, server).await;
    giver.borrow_mut().asked.insert(server.into());
    let Report { mut holdings, accepted_orders, is_busy } = report?;
    // A busy server finishes an order of a former holder. What that loads is not known, so that
    // no plan may rest on this report.
    if !is_busy {
        giver.borrow_mut().accepted.insert(server.into(), (holdings.born, accepted_orders));
    }
    note(cx, giver, server, |held| {
        if is_busy {
            holdings.loading = held.loading.take();
        }
        if holdings.on_disk.is_empty() && holdings.born == held.born {
            holdings.on_disk = std::mem::take(&mut held.on_disk);
            holdings.in_memory = std::mem::take(&mut held.in_memory);
        }
        *held = holdings;
    });
    (!is_busy).then_some(())
}

async fn unload_then_load(
    cx: &Rc<Entry>,
    giver: &RefCell<Giver>,
    engine: &Engine,
    chosen: &Move,
) -> Option<()> {
    let server = &*chosen.server;
    for model in &chosen.unload {
        // No instance sends requests for the model there from now on.
        note(cx, giver, server, |held| {
            held.models.remove(model);
        });
        let unload = Order {
            is_load: false,
            model: model.clone(),
            adapter: None,
            after_sequence: accepted(cx, giver, server).await?,
        };
        match order(cx, server, &unload).await {
            Ordered::Accepted => count_accepted(giver, server),
            Ordered::Holds => {}
            _ => return None,
        }
    }
    let model = engine.models.get(&chosen.load)?;
    // What the server holds may have become known better since the plan.
    let free = free_mb(engine, &cx.directory.borrow().get(server)?.entry.holdings);
    if free < model.weights_mb {
        tracing::info!(server, model = %model.name, free_mb = free as u64,
            "orders: no room for the model; left to the next plan");
        return None;
    }
    let load = Order {
        is_load: true,
        model: model.name.clone(),
        adapter: None,
        after_sequence: accepted(cx, giver, server).await?,
    };
    // The engine takes the load only once the unload is complete.
    match retry_while_busy(cx, server, &load).await? {
        Ordered::Accepted => count_accepted(giver, server),
        _ => return None,
    }
    let took = match chosen.source {
        Source::Store => {
            // This load is counted already, since it was planned.
            let state = giver.borrow();
            let crowd = state.store_loads() as f64 / state.pace.at_once() as f64;
            model.store_load.mul_f64(crowd.max(1.0))
        }
        source => source.load_time(model),
    };
    let began = Instant::now();
    giver.borrow_mut().loading.insert(server.into(), (chosen.source, began + took));
    let born = cx.directory.borrow().get(server)?.entry.holdings.born;
    note(cx, giver, server, |held| {
        held.loading = Some(model.name.clone());
    });
    cx.metrics.loads.inc();
    let is_from_store = chosen.source == Source::Store;
    if is_from_store {
        giver.borrow_mut().store_running += 1;
    }
    let crowd = giver.borrow().store_running;
    let loaded = wait_loaded(cx, giver, server, &load, born, began, took).await;
    if is_from_store {
        let mut state = giver.borrow_mut();
        let crowd = crowd.min(state.store_running);
        state.store_running = state.store_running.saturating_sub(1);
        // A load that failed late was slow as well; one that failed early tells nothing.
        if loaded.is_some() || began.elapsed() > model.store_load * 2 {
            state.pace.ended(model.store_load, began.elapsed(), crowd);
        }
        tracing::info!(
            crowd,
            took_ms = began.elapsed().as_millis() as u64,
            at_once = state.pace.at_once(),
            "orders: pace of the weight store"
        );
    }
    loaded?;
    remember_copy(cx, giver, engine, server, model);
    Some(())
}

/// Every load leaves a copy in the server's main memory, which pushes out the least recent ones.
fn remember_copy(cx: &Entry, giver: &RefCell<Giver>, engine: &Engine, server: &str, model: &Model) {
    let fitting = (engine.host_memory_mb / model.weights_mb.max(1.0)) as usize;
    let copies: BTreeSet<ModelName> = {
        let mut state = giver.borrow_mut();
        let loaded = state.recent_loads.entry(server.into()).or_default();
        loaded.retain(|name| *name != model.name);
        loaded.push_front(model.name.clone());
        loaded.truncate(fitting);
        loaded.iter().cloned().collect()
    };
    note(cx, giver, server, |held| held.in_memory = copies);
}

/// Repeats an order while another one is under way at the server.
async fn retry_while_busy(cx: &Rc<Entry>, server: &str, what: &Order) -> Option<Ordered> {
    let until = Instant::now() + UNLOAD_TIME;
    let mut pause = UNLOAD_POLL;
    loop {
        let ended = order(cx, server, what).await;
        if !matches!(ended, Ordered::Conflict) || Instant::now() >= until {
            return Some(ended);
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(Duration::from_millis(400));
        if !cx.directory.borrow().is_usable(server) {
            return None;
        }
    }
}

/// Waits for the end of a load. The same order once more is the question: the server says that it
/// holds, or that an order is under way, and unlike a report this does not lag.
async fn wait_loaded(
    cx: &Rc<Entry>,
    giver: &RefCell<Giver>,
    server: &str,
    load: &Order,
    born: u64,
    began: Instant,
    took: Duration,
) -> Option<()> {
    let give_up_at = began + (took * LOAD_PATIENCE).max(LEAST_LOAD_PATIENCE);
    let mut pause = LOAD_POLL;
    tokio::time::sleep_until((began + took + LOAD_SLACK).into()).await;
    loop {
        {
            let directory = cx.directory.borrow();
            let known = directory.get(server)?;
            if known.entry.holdings.born != born || known.entry.is_draining {
                return None;
            }
        }
        let question = Order { after_sequence: accepted(cx, giver, server).await?, ..load.clone() };
        match order(cx, server, &question).await {
            Ordered::Holds => {
                note(cx, giver, server, |held| {
                    held.loading = None;
                    held.models.entry(load.model.clone()).or_default();
                    held.on_disk.insert(load.model.clone());
                });
                return Some(());
            }
            // It is still being carried out; the same order once more does not count.
            Ordered::Accepted | Ordered::Conflict | Ordered::Unknown => {}
            Ordered::Failed => return None,
        }
        if Instant::now() >= give_up_at {
            return None;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LOAD_POLL_MAX);
    }
}

fn bring_adapter(
    cx: &Rc<Entry>,
    giver: &Rc<RefCell<Giver>>,
    service: &str,
    engine: &Engine,
    key: &ModelKey,
    adapter: AdapterName,
) {
    let now = Instant::now();
    let is_served = cx.directory.borrow().servers().any(|server| {
        &*server.entry.service == service
            && !server.entry.is_draining
            && server.entry.holdings.serves(&key.model, Some(&adapter))
    });
    let token = (ServiceName::from(service), key.clone());
    if is_served || giver.borrow().adapters_ordered.contains(&token) {
        return;
    }
    let chosen = {
        let directory = cx.directory.borrow();
        let state = giver.borrow();
        let views = views(cx, &state, &directory, service, now);
        let views: Vec<_> = views.into_iter().filter(|view| !view.is_leaving).collect();
        adapter_move(now, &views, engine.adapter_places, &key.model, &state.adapters_used)
    };
    let Some(chosen) = chosen else { return };
    let size_mb = engine.models.get(&key.model).map_or(0.0, |model| model.adapter_mb);
    let took = Duration::from_secs_f64((ADAPTER_BASE_MS + ADAPTER_MS_PER_MB * size_mb) / 1e3);
    {
        let mut state = giver.borrow_mut();
        state.adapters_ordered.insert(token.clone());
        state.ordered.insert(chosen.server.clone(), None);
        *state.adapters_coming.entry(chosen.server.clone()).or_default() += 1;
    }
    let (cx, giver, model) = (cx.clone(), giver.clone(), key.model.clone());
    spawn_local(async move {
        let server = chosen.server.clone();
        let is_done = async {
            if let Some((model, adapter)) = chosen.unload {
                note(&cx, &giver, &server, |held| {
                    if let Some(adapters) = held.models.get_mut(&model) {
                        adapters.remove(&adapter);
                    }
                });
                order_adapter(&cx, &giver, &server, false, &model, &adapter).await?;
            }
            order_adapter(&cx, &giver, &server, true, &model, &adapter).await?;
            // Several adapters may be on their way to a server at once.
            giver.borrow_mut().ordered.remove(&server);
            cx.plan_due.notify_one();
            tokio::time::sleep(took).await;
            note(&cx, &giver, &server, |held| {
                if let Some(adapters) = held.models.get_mut(&model) {
                    adapters.insert(adapter.clone());
                }
            });
            Some(())
        }
        .await
        .is_some();
        if !is_done {
            refresh(&cx, &giver, &server).await;
            giver.borrow_mut().paused.insert(server.clone(), Instant::now() + REFUSED_PAUSE);
        }
        let mut state = giver.borrow_mut();
        state.adapters_ordered.remove(&token);
        if let Some(coming) = state.adapters_coming.get_mut(&server) {
            *coming = coming.saturating_sub(1);
        }
        if !is_done {
            state.ordered.remove(&server);
        }
        drop(state);
        cx.plan_due.notify_one();
    });
}

async fn order_adapter(
    cx: &Rc<Entry>,
    giver: &RefCell<Giver>,
    server: &str,
    is_load: bool,
    model: &str,
    adapter: &str,
) -> Option<()> {
    let what = Order {
        is_load,
        model: model.into(),
        adapter: Some(adapter.into()),
        after_sequence: accepted(cx, giver, server).await?,
    };
    match order(cx, server, &what).await {
        Ordered::Accepted => count_accepted(giver, server),
        // An idle adapter is unloaded at once, which counts; a load that holds already does not.
        Ordered::Holds if !is_load => count_accepted(giver, server),
        Ordered::Holds => {}
        Ordered::Conflict | Ordered::Failed | Ordered::Unknown => return None,
    }
    Some(())
}
