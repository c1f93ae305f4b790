//! Brings a model to a server: unloads, loads, and waits for the end.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use platform_adapter::Order;
use replica_placement::{ModelPlacement, Source, free_mb};
use routes::{Engine, Model, ModelName};

use super::giver::Giver;
use super::order::{Ordered, accepted, count_accepted, doubt_holdings, note, order};
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
const LOAD_PATIENCE: u32 = 4;
/// Least patience with a load: the copy in memory may be gone, and the disk is slower.
const LEAST_LOAD_PATIENCE: Duration = Duration::from_secs(8);

/// Carries out one move and marks the server free again.
pub(super) async fn carry_out(
    cx: Rc<Entry>,
    giver: Rc<RefCell<Giver>>,
    engine: Engine,
    chosen: ModelPlacement,
) {
    let began = Instant::now();
    let server = chosen.server.clone();
    let is_done = unload_then_load(&cx, &giver, &engine, &chosen).await.is_some();
    tracing::info!(%server, model = %chosen.load, source = ?chosen.source, is_done,
        took_ms = began.elapsed().as_millis() as u64, unloaded = ?chosen.unload,
        "orders: move ended");
    if !is_done {
        doubt_holdings(&cx, &giver, &server);
    }
    let mut state = giver.borrow_mut();
    state.ordered.remove(&server);
    state.loading.remove(&server);
    drop(state);
    cx.plan_due.notify_one();
}

async fn unload_then_load(
    cx: &Rc<Entry>,
    giver: &RefCell<Giver>,
    engine: &Engine,
    chosen: &ModelPlacement,
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
    if chosen.source == Source::Store {
        let rate = engine.store_loads_per_second;
        let begin = giver.borrow_mut().store_rate.reserve(Instant::now(), rate);
        tokio::time::sleep_until(begin.into()).await;
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
            let crowd = state.store_loads() as f64 / state.pace.limit() as f64;
            model.store_load_time.mul_f64(crowd.max(1.0))
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
        if loaded.is_some() || began.elapsed() > model.store_load_time * 2 {
            state.pace.record_load(model.store_load_time, began.elapsed(), crowd);
        }
        tracing::info!(
            crowd,
            took_ms = began.elapsed().as_millis() as u64,
            at_once = state.pace.limit(),
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
                giver.borrow_mut().ordered_at.insert(server.into(), Instant::now());
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
