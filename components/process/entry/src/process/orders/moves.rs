//! Brings a model to a server: unloads, loads, and waits for the end.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use model_homes::{Move, Source, free_mb};
use platform_adapter::Order;
use routes::{Engine, Model, ModelName};

use super::leader::Leader;
use super::order::{
    OrderOutcome, accepted_orders, count_accepted, invalidate_holdings, send_order, update_holdings,
};
use crate::process::Entry;

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
const LOAD_TIMEOUT_FACTOR: u32 = 4;
/// Least patience with a load: the copy in memory may be gone, and the disk is slower.
const MIN_LOAD_TIMEOUT: Duration = Duration::from_secs(8);

/// Carries out one move and marks the server free again.
pub(super) async fn execute_move(
    cx: Rc<Entry>,
    leader: Rc<RefCell<Leader>>,
    engine: Engine,
    chosen: Move,
) {
    let began = Instant::now();
    let server = chosen.server.clone();
    let is_done = unload_then_load(&cx, &leader, &engine, &chosen).await.is_some();
    tracing::info!(%server, model = %chosen.load, source = ?chosen.source, is_done,
        took_ms = began.elapsed().as_millis() as u64, unloaded = ?chosen.unload,
        "orders: move ended");
    if !is_done {
        invalidate_holdings(&cx, &leader, &server);
    }
    let mut state = leader.borrow_mut();
    state.orders_in_progress.remove(&server);
    state.loading.remove(&server);
    drop(state);
    cx.plan_due.notify_one();
}

async fn unload_then_load(
    cx: &Rc<Entry>,
    leader: &RefCell<Leader>,
    engine: &Engine,
    chosen: &Move,
) -> Option<()> {
    let server = &*chosen.server;
    for model in &chosen.unload {
        // No instance sends requests for the model there from now on.
        update_holdings(cx, leader, server, |held| {
            held.models.remove(model);
        });
        let unload = Order {
            is_load: false,
            model: model.clone(),
            adapter: None,
            after_sequence: accepted_orders(cx, leader, server).await?,
        };
        match send_order(cx, server, &unload).await {
            OrderOutcome::Accepted => count_accepted(leader, server),
            OrderOutcome::Holds => {}
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
    if chosen.source == Source::Store {
        let rate = engine.store_loads_per_second;
        let begin = leader.borrow_mut().store_rate.book(Instant::now(), rate);
        tokio::time::sleep_until(begin.into()).await;
    }
    let load = Order {
        is_load: true,
        model: model.name.clone(),
        adapter: None,
        after_sequence: accepted_orders(cx, leader, server).await?,
    };
    // The engine takes the load only once the unload is complete.
    match retry_while_busy(cx, server, &load).await? {
        OrderOutcome::Accepted => count_accepted(leader, server),
        _ => return None,
    }
    let took = match chosen.source {
        Source::Store => {
            // This load is counted already, since it was planned.
            let state = leader.borrow();
            let concurrency = state.store_loads() as f64 / state.store_concurrency.at_once() as f64;
            model.store_load.mul_f64(concurrency.max(1.0))
        }
        source => source.load_time(model),
    };
    let began = Instant::now();
    leader.borrow_mut().loading.insert(server.into(), (chosen.source, began + took));
    let born = cx.directory.borrow().get(server)?.entry.holdings.born;
    update_holdings(cx, leader, server, |held| {
        held.loading = Some(model.name.clone());
    });
    cx.metrics.loads.inc();
    let is_from_store = chosen.source == Source::Store;
    if is_from_store {
        leader.borrow_mut().running_store_loads += 1;
    }
    let concurrency = leader.borrow().running_store_loads;
    let loaded = wait_until_loaded(cx, leader, server, &load, born, began, took).await;
    if is_from_store {
        let mut state = leader.borrow_mut();
        let concurrency = concurrency.min(state.running_store_loads);
        state.running_store_loads = state.running_store_loads.saturating_sub(1);
        // A load that failed late was slow as well; one that failed early tells nothing.
        if loaded.is_some() || began.elapsed() > model.store_load * 2 {
            state.store_concurrency.ended(model.store_load, began.elapsed(), concurrency);
        }
        tracing::info!(
            crowd = concurrency,
            took_ms = began.elapsed().as_millis() as u64,
            at_once = state.store_concurrency.at_once(),
            "orders: pace of the weight store"
        );
    }
    loaded?;
    record_cached_copy(cx, leader, engine, server, model);
    Some(())
}

/// Every load leaves a copy in the server's main memory, which pushes out the least recent ones.
fn record_cached_copy(
    cx: &Entry,
    leader: &RefCell<Leader>,
    engine: &Engine,
    server: &str,
    model: &Model,
) {
    let fitting = (engine.host_memory_mb / model.weights_mb.max(1.0)) as usize;
    let copies: BTreeSet<ModelName> = {
        let mut state = leader.borrow_mut();
        let loaded = state.recent_loads.entry(server.into()).or_default();
        loaded.retain(|name| *name != model.name);
        loaded.push_front(model.name.clone());
        loaded.truncate(fitting);
        loaded.iter().cloned().collect()
    };
    update_holdings(cx, leader, server, |held| held.in_memory = copies);
}

/// Repeats an order while another one is under way at the server.
async fn retry_while_busy(cx: &Rc<Entry>, server: &str, what: &Order) -> Option<OrderOutcome> {
    let until = Instant::now() + UNLOAD_TIME;
    let mut pause = UNLOAD_POLL;
    loop {
        let ended = send_order(cx, server, what).await;
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

/// Waits for the end of a load. The same order once more is the question: the server says that it
/// holds, or that an order is under way, and unlike a report this does not lag.
async fn wait_until_loaded(
    cx: &Rc<Entry>,
    leader: &RefCell<Leader>,
    server: &str,
    load: &Order,
    born: u64,
    began: Instant,
    took: Duration,
) -> Option<()> {
    let give_up_at = began + (took * LOAD_TIMEOUT_FACTOR).max(MIN_LOAD_TIMEOUT);
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
        let question =
            Order { after_sequence: accepted_orders(cx, leader, server).await?, ..load.clone() };
        match send_order(cx, server, &question).await {
            OrderOutcome::Holds => {
                leader.borrow_mut().last_order_at.insert(server.into(), Instant::now());
                update_holdings(cx, leader, server, |held| {
                    held.loading = None;
                    held.models.entry(load.model.clone()).or_default();
                    held.on_disk.insert(load.model.clone());
                });
                return Some(());
            }
            // It is still being carried out; the same order once more does not count.
            OrderOutcome::Accepted | OrderOutcome::Conflict | OrderOutcome::Unknown => {}
            OrderOutcome::Failed => return None,
        }
        if Instant::now() >= give_up_at {
            return None;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LOAD_POLL_MAX);
    }
}
