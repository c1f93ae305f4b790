//! Carries out a planned move on a server: unloads models, loads one and waits until it is loaded.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use platform_adapter::Order;
use replica_placement::{ModelPlacement, Source, free_mb};
use routes::{Engine, Model, ModelName};

use super::leader::Leader;
use super::order::{
    OrderOutcome, accepted_orders, count_accepted, invalidate_holdings, record_failed_load,
    send_order, update_holdings,
};
use crate::process::Entry;

/// Initial delay between two attempts of a load while the unload before it is in progress; doubles
/// each time.
const UNLOAD_POLL: Duration = Duration::from_millis(40);
/// Timeout of an unload, which waits for running requests to end.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Initial delay between two polls of a load that should be complete; doubles up to
/// `LOAD_POLL_MAX`.
const LOAD_POLL: Duration = Duration::from_millis(60);
/// Longest delay between two polls of a load.
const LOAD_POLL_MAX: Duration = Duration::from_millis(800);
/// Slack after the expected end of a load before the first poll.
const LOAD_SLACK: Duration = Duration::from_millis(15);
/// A load counts as failed after this many times its expected time.
const LOAD_TIMEOUT_FACTOR: u32 = 4;
/// Least timeout of a load: the copy cached in memory may be evicted, and the disk is slower.
const MIN_LOAD_TIMEOUT: Duration = Duration::from_secs(8);

/// Executes one move and makes the server available for further orders.
pub(super) async fn execute_move(
    cx: Rc<Entry>,
    leader: Rc<RefCell<Leader>>,
    engine: Engine,
    planned: ModelPlacement,
) {
    let began = Instant::now();
    let server = planned.server.clone();
    let is_done = unload_then_load(&cx, &leader, &engine, &planned).await.is_some();
    tracing::info!(%server, model = %planned.load, source = ?planned.source, is_done,
        took_ms = began.elapsed().as_millis() as u64, unloaded = ?planned.unload,
        "orders: move ended");
    if !is_done {
        invalidate_holdings(&cx, &leader, &server);
    }
    let mut state = leader.borrow_mut();
    if is_done {
        state.last_loads.insert(server.clone(), (planned.load.clone(), Instant::now()));
    }
    state.orders_in_progress.remove(&server);
    state.loading.remove(&server);
    drop(state);
    cx.plan_due.notify_one();
}

async fn unload_then_load(
    cx: &Rc<Entry>,
    leader: &RefCell<Leader>,
    engine: &Engine,
    planned: &ModelPlacement,
) -> Option<()> {
    let server = &*planned.server;
    let in_use: HashSet<ModelName> = models_in_use(cx, server);
    let is_idle = |model: &ModelName| !in_use.contains(model);
    let mut unloaded_at = None;
    for model in &planned.unload {
        // From now on, no instance sends requests for the model to this server.
        update_holdings(cx, leader, server, |holdings| {
            holdings.models.remove(model);
        });
        let unload = Order {
            is_load: false,
            model: model.clone(),
            adapter: None,
            after_sequence: accepted_orders(cx, leader, server).await?,
        };
        // The server takes the next order only after it has carried out the one before.
        let ended = match unloaded_at {
            Some(_) => send_after_unload(cx, leader, server, &unload, unloaded_at).await?,
            None => send_order(cx, leader, server, &unload).await,
        };
        match ended {
            OrderOutcome::Accepted => {
                count_accepted(leader, server);
                unloaded_at = Some(Unload { accepted_at: Instant::now(), is_idle: is_idle(model) });
            }
            OrderOutcome::Holds => {}
            _ => return None,
        }
    }
    let model = engine.models.get(&planned.load)?;
    if planned.source == Source::Store {
        let rate = engine.store_loads_per_second;
        let begin = leader.borrow_mut().store_rate.reserve(Instant::now(), rate);
        tokio::time::sleep_until(begin.into()).await;
    }
    let load = Order {
        is_load: true,
        model: model.name.clone(),
        adapter: None,
        after_sequence: accepted_orders(cx, leader, server).await?,
    };
    // The known holdings of the server may have been corrected since the plan, last by the line above.
    let free = free_mb(engine, &cx.directory.borrow().get(server)?.entry.holdings);
    if free < model.weights_mb {
        tracing::info!(server, model = %model.name, free_mb = free as i64,
            "orders: not enough free memory for the model; leaving it to the next plan");
        return None;
    }
    match send_after_unload(cx, leader, server, &load, unloaded_at).await? {
        OrderOutcome::Accepted => count_accepted(leader, server),
        OrderOutcome::Unknown => {
            record_failed_load(cx, leader, &planned.server, &model.name, None).await;
            return None;
        }
        _ => return None,
    }
    let expected = match planned.source {
        Source::Store => {
            // `store_loads` counts this load since it was planned.
            let state = leader.borrow();
            let slowdown = state.store_loads() as f64 / state.store_concurrency.limit() as f64;
            model.store_load_time.mul_f64(slowdown.max(1.0))
        }
        source => source.load_time(model),
    };
    let began = Instant::now();
    leader.borrow_mut().loading.insert(server.into(), (planned.source, began + expected));
    let born = cx.directory.borrow().get(server)?.entry.holdings.born;
    update_holdings(cx, leader, server, |holdings| {
        holdings.loading = Some(model.name.clone());
    });
    cx.metrics.loads.inc();
    let is_from_store = planned.source == Source::Store;
    if is_from_store {
        leader.borrow_mut().running_store_loads += 1;
    }
    let concurrency = leader.borrow().running_store_loads;
    let loaded = wait_until_loaded(cx, leader, server, &load, born, began, expected).await;
    if is_from_store {
        let mut state = leader.borrow_mut();
        let concurrency = concurrency.min(state.running_store_loads);
        state.running_store_loads = state.running_store_loads.saturating_sub(1);
        // A load that failed late was slow as well; an early failure says nothing about the speed.
        if loaded.is_some() || began.elapsed() > model.store_load_time * 2 {
            state.store_concurrency.record_load(
                model.store_load_time,
                began.elapsed(),
                concurrency,
            );
        }
        tracing::info!(
            crowd = concurrency,
            took_ms = began.elapsed().as_millis() as u64,
            at_once = state.store_concurrency.limit(),
            "orders: concurrency limit of the weight store"
        );
    }
    if loaded.is_none() {
        record_failed_load(cx, leader, &planned.server, &model.name, None).await;
    }
    loaded?;
    cx.record_load(server, &model.name, None);
    record_cached_copy(cx, leader, engine, server, model);
    Some(())
}

/// Records that a load leaves a cached copy in the server's main memory and evicts the oldest ones.
fn record_cached_copy(
    cx: &Entry,
    leader: &RefCell<Leader>,
    engine: &Engine,
    server: &str,
    model: &Model,
) {
    let max_copies = (engine.host_memory_mb / model.weights_mb.max(1.0)) as usize;
    let copies: BTreeSet<ModelName> = {
        let mut state = leader.borrow_mut();
        let loaded = state.recent_loads.entry(server.into()).or_default();
        loaded.retain(|name| *name != model.name);
        loaded.push_front(model.name.clone());
        loaded.truncate(max_copies);
        loaded.iter().cloned().collect()
    };
    update_holdings(cx, leader, server, |holdings| holdings.in_memory = copies);
}

/// Models that requests in flight at the server use, as far as known.
fn models_in_use(cx: &Entry, server: &str) -> HashSet<ModelName> {
    let counts = cx.request_counts.borrow();
    let instances = cx.instances.borrow();
    let own = counts.in_flight.get(server).into_iter().flat_map(HashMap::keys);
    let others = instances.live(Instant::now()).flat_map(|status| &status.in_flight);
    let others = others.filter(|(id, _)| **id == *server).flat_map(|(_, models)| models);
    own.chain(others.map(|(model, _)| model)).cloned().collect()
}

/// An unload that the server accepted.
#[derive(Clone, Copy, Debug)]
struct Unload {
    accepted_at: Instant,
    /// No request was known to use the model.
    is_idle: bool,
}

/// Sends the order that follows an unload once the unload should be done, and again with backoff
/// while the server is not done.
async fn send_after_unload(
    cx: &Rc<Entry>,
    leader: &RefCell<Leader>,
    server: &str,
    order: &Order,
    unload: Option<Unload>,
) -> Option<OrderOutcome> {
    let until = Instant::now() + UNLOAD_TIMEOUT;
    if let Some(unload) = unload {
        let expected = leader.borrow().unload_time.expected();
        tokio::time::sleep_until((unload.accepted_at + expected).into()).await;
    }
    let mut pause = UNLOAD_POLL;
    let mut is_first = true;
    loop {
        let ended = send_order(cx, leader, server, order).await;
        let is_too_early = matches!(ended, OrderOutcome::Conflict);
        if std::mem::take(&mut is_first) && unload.is_some_and(|unload| unload.is_idle) {
            leader.borrow_mut().unload_time.record(is_too_early);
        }
        if !matches!(ended, OrderOutcome::Conflict) || Instant::now() >= until {
            return Some(ended);
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(Duration::from_millis(400));
        if !cx.directory.borrow().is_usable(server) {
            return None;
        }
    }
}

/// Waits until a load is complete by sending the same order again: the server answers that it holds
/// the model, or that an order is in progress. Unlike a report, this answer does not lag. The order
/// names the load itself as the last one that the server accepted. It cannot begin another load, even
/// if the model was unloaded meanwhile.
async fn wait_until_loaded(
    cx: &Rc<Entry>,
    leader: &RefCell<Leader>,
    server: &str,
    load: &Order,
    born: u64,
    began: Instant,
    expected: Duration,
) -> Option<()> {
    let give_up_at = began + (expected * LOAD_TIMEOUT_FACTOR).max(MIN_LOAD_TIMEOUT);
    let poll = Order { after_sequence: load.after_sequence + 1, ..load.clone() };
    let mut pause = LOAD_POLL;
    tokio::time::sleep_until((began + expected + LOAD_SLACK).into()).await;
    loop {
        {
            let directory = cx.directory.borrow();
            let known = directory.get(server)?;
            if known.entry.holdings.born != born || known.entry.is_draining {
                return None;
            }
        }
        match send_order(cx, leader, server, &poll).await {
            OrderOutcome::Holds => {
                leader.borrow_mut().last_order_at.insert(server.into(), Instant::now());
                update_holdings(cx, leader, server, |holdings| {
                    holdings.loading = None;
                    holdings.models.entry(load.model.clone()).or_default();
                    holdings.on_disk.insert(load.model.clone());
                });
                return Some(());
            }
            // The load is still in progress; the server does not count the same order again.
            OrderOutcome::Accepted | OrderOutcome::Conflict | OrderOutcome::Unknown => {}
            OrderOutcome::Failed | OrderOutcome::Void => return None,
        }
        if Instant::now() >= give_up_at {
            return None;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LOAD_POLL_MAX);
    }
}
