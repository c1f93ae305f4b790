//! The loop of the order giver: learns, plans, orders and tells.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use replica_placement::{ModelPlacement, PlanLimits, ServerView, plan};
use routes::Engine;
use server_directory::ServerId;
use tokio::task::spawn_local;

use super::REFUSED_PAUSE;
use super::adapters::bring_adapter;
use super::giver::Giver;
use super::moves::carry_out;
use super::order::refresh;
use super::tell::{tell_all, tell_waiting};
use crate::process::peers::PeerSocket;
use crate::process::{Entry, ModelKey, boot_now};

/// Time between two plans if nothing happens.
const PLAN_EVERY: Duration = Duration::from_millis(200);
/// Least time between two plans, in which changes gather.
const PLAN_GAP: Duration = Duration::from_millis(15);
/// Time after which a report shows an order and its end. Reports lag by some hundred milliseconds.
const REPORT_SETTLE: Duration = Duration::from_millis(700);
/// Time between two messages to all other instances.
const TELL_EVERY: Duration = Duration::from_millis(200);

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
        let Some(lease) = cx.authority.borrow().held_lease(boot_now()) else {
            if was_holder {
                tracing::warn!("orders: lease no longer held");
                let former = giver.replace(Giver::new(&cx));
                // What was learned of the weight store holds on.
                let mut state = giver.borrow_mut();
                (state.pace, state.store_rate) = (former.pace, former.store_rate);
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
        if cx.authority.borrow().fencing_number(boot_now()).is_some() {
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
            let is_settling = state.ordered_at.get(id).is_some_and(|at| now < *at + REPORT_SETTLE);
            if is_engine
                && !server.entry.is_draining
                && !state.knows(server)
                && !state.ordered.contains_key(id)
                && !is_paused
                && !is_settling
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
        giver.demands.models.entry(key.model.clone()).or_default().record_arrivals(now, count);
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
) -> Vec<ModelPlacement> {
    let directory = cx.directory.borrow();
    let views = views(cx, giver, &directory, service, now);
    for demand in giver.demands.models.values_mut() {
        (demand.waiting, demand.pending_send, demand.in_flight) = (0, 0, 0);
    }
    for view in &views {
        for (model, count) in &view.in_flight_by_model {
            giver.demands.models.entry((*model).into()).or_default().in_flight += count;
        }
    }
    for (key, count) in wants {
        let demand = giver.demands.models.entry(key.model.clone()).or_default();
        let is_loaded = views
            .iter()
            .any(|view| !view.is_leaving && view.holdings.models.contains_key(&key.model));
        match is_loaded {
            true => demand.pending_send += count,
            false => demand.waiting += count,
        }
    }
    let limits = PlanLimits {
        max_store_loads: giver.pace.limit(),
        is_prefetching: cx.settings.is_prefetching,
        is_inventory_complete: directory
            .servers()
            .filter(|server| &*server.entry.service == service)
            .all(|server| server.entry.is_draining || giver.has_tried(server)),
    };
    let plan = plan(now, &views, &giver.demands, engine, limits);
    giver.ready_at.extend(plan.ready_at);
    for chosen in &plan.placements {
        giver.ordered.insert(chosen.server.clone(), Some(chosen.load.clone()));
        let ends = now + chosen.source.load_time(&engine.models[&chosen.load]);
        giver.loading.insert(chosen.server.clone(), (chosen.source, ends));
    }
    plan.placements
}

pub(super) fn views<'a>(
    cx: &Entry,
    giver: &Giver,
    directory: &'a server_directory::Directory,
    service: &str,
    now: Instant,
) -> Vec<ServerView<'a>> {
    let loads = cx.loads.borrow();
    let instances = cx.instances.borrow();
    let unreachable = instances.unreachable(now);
    let (authority, boot) = (cx.authority.borrow(), boot_now());
    let mut views: Vec<ServerView<'a>> = directory
        .servers()
        .filter(|server| &*server.entry.service == service)
        .map(|server| {
            let id = &*server.entry.id;
            let health = cx.health.borrow().get(id).copied().unwrap_or_default();
            let is_paused = giver.paused.get(id).is_some_and(|until| *until > now);
            ServerView {
                id,
                data_centre: &server.entry.data_centre,
                holdings: &server.entry.holdings,
                in_flight: 0,
                in_flight_by_model: HashMap::new(),
                is_blocked: giver.ordered.contains_key(id)
                    || !giver.knows(server)
                    || is_paused
                    || !authority.has_gap_elapsed(id, boot)
                    || health.is_backing_off(now),
                pending_adapters: giver.adapters_coming.get(id).copied().unwrap_or(0),
                pending_model: giver.ordered.get(id).cloned().flatten(),
                pending_load: giver.loading.get(id).copied(),
                is_leaving: server.entry.is_draining
                    || server.grace_ends_at.is_some()
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
            *view.in_flight_by_model.entry(name).or_default() += count;
            view.in_flight += count;
        }
    }
    views
}
