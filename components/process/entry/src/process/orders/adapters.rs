//! Loads an adapter on a server that holds its model.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use platform_adapter::Order;
use replica_placement::place_adapter;
use routes::{AdapterName, Engine, ServiceName};
use tokio::task::spawn_local;

use super::leader::Leader;
use super::order::{
    OrderOutcome, accepted_orders, count_accepted, invalidate_holdings, record_failed_load,
    send_order, update_holdings,
};
use super::plan_loop::server_views;
use crate::process::{Entry, ModelKey};

/// Constant part of an adapter's load time, and the part per MB of its size.
const ADAPTER_BASE_MS: f64 = 5.0;
const ADAPTER_MS_PER_MB: f64 = 0.17;

/// Servers on which an adapter may be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdapterHosts {
    /// Only servers that loaded the adapter's model just now. They load the adapters that requests
    /// wait for before their next move, which would keep these requests waiting for seconds.
    JustLoaded,
    All,
}

pub(super) fn load_adapter(
    cx: &Rc<Entry>,
    leader: &Rc<RefCell<Leader>>,
    service: &str,
    engine: &Engine,
    key: &ModelKey,
    adapter: AdapterName,
    hosts: AdapterHosts,
) {
    let now = Instant::now();
    let is_served = cx.directory.borrow().servers().any(|server| {
        &*server.entry.service == service
            && !server.entry.is_draining
            && server.serves(&key.model, Some(&adapter))
    });
    let pending = (ServiceName::from(service), key.clone());
    let is_banned = cx.load_banned_until(service, &key.model, Some(&adapter)).is_some();
    if is_banned || is_served || leader.borrow().adapters_in_progress.contains(&pending) {
        return;
    }
    let planned = {
        let directory = cx.directory.borrow();
        let state = leader.borrow();
        let views = server_views(cx, &state, &directory, service, now);
        let is_host = |server: &str| {
            hosts == AdapterHosts::All || state.has_just_loaded(server, &key.model, now)
        };
        let mut hosts_of_model = directory
            .servers()
            .filter(|server| server.entry.holdings.models.contains_key(&key.model));
        if !hosts_of_model.any(|server| is_host(&server.entry.id)) {
            return;
        }
        let views: Vec<_> =
            views.into_iter().filter(|view| !view.is_leaving && is_host(view.id)).collect();
        place_adapter(now, &views, engine.max_adapters, &key.model, &state.adapters_used)
    };
    let Some(planned) = planned else { return };
    let size_mb = engine.models.get(&key.model).map_or(0.0, |model| model.adapter_mb);
    let expected = Duration::from_secs_f64((ADAPTER_BASE_MS + ADAPTER_MS_PER_MB * size_mb) / 1e3);
    {
        let mut state = leader.borrow_mut();
        state.adapters_in_progress.insert(pending.clone());
        state.orders_in_progress.insert(planned.server.clone(), None);
        *state.adapters_loading.entry(planned.server.clone()).or_default() += 1;
    }
    let (cx, leader, model) = (cx.clone(), leader.clone(), key.model.clone());
    spawn_local(async move {
        let server = planned.server.clone();
        let is_done = async {
            if let Some((model, adapter)) = planned.unload {
                update_holdings(&cx, &leader, &server, |holdings| {
                    if let Some(adapters) = holdings.models.get_mut(&model) {
                        adapters.remove(&adapter);
                    }
                });
                send_adapter_order(&cx, &leader, &server, false, &model, &adapter).await?;
            }
            send_adapter_order(&cx, &leader, &server, true, &model, &adapter).await?;
            // A server may load several adapters at once.
            leader.borrow_mut().orders_in_progress.remove(&server);
            cx.plan_due.notify_one();
            tokio::time::sleep(expected).await;
            update_holdings(&cx, &leader, &server, |holdings| {
                if let Some(adapters) = holdings.models.get_mut(&model) {
                    adapters.insert(adapter.clone());
                }
            });
            Some(())
        }
        .await
        .is_some();
        if !is_done {
            invalidate_holdings(&cx, &leader, &server);
            record_failed_load(&cx, &leader, &server, &model, Some(&adapter)).await;
        }
        let mut state = leader.borrow_mut();
        state.adapters_in_progress.remove(&pending);
        if let Some(count) = state.adapters_loading.get_mut(&server) {
            *count = count.saturating_sub(1);
        }
        if !is_done {
            state.orders_in_progress.remove(&server);
        }
        drop(state);
        cx.plan_due.notify_one();
    });
}

async fn send_adapter_order(
    cx: &Rc<Entry>,
    leader: &RefCell<Leader>,
    server: &str,
    is_load: bool,
    model: &str,
    adapter: &str,
) -> Option<()> {
    let order = Order {
        is_load,
        model: model.into(),
        adapter: Some(adapter.into()),
        after_sequence: accepted_orders(cx, leader, server).await?,
    };
    match send_order(cx, leader, server, &order).await {
        OrderOutcome::Accepted => count_accepted(leader, server),
        // The server unloads an idle adapter at once and counts the order. It does not count a load
        // of an adapter that it holds already.
        OrderOutcome::Holds if !is_load => count_accepted(leader, server),
        OrderOutcome::Holds => {}
        OrderOutcome::Conflict
        | OrderOutcome::Failed
        | OrderOutcome::Unknown
        | OrderOutcome::Void => return None,
    }
    Some(())
}
