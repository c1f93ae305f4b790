//! Brings an adapter to a server that has its model.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use platform_adapter::Order;
use replica_placement::place_adapter;
use routes::{AdapterName, Engine, ServiceName};
use tokio::task::spawn_local;

use super::give::views;
use super::giver::Giver;
use super::order::{Ordered, accepted, count_accepted, doubt_holdings, note, order};
use crate::process::{Entry, ModelKey};

/// Part of an adapter's load time that does not depend on its size, and the rest for each MB.
const ADAPTER_BASE_MS: f64 = 5.0;
const ADAPTER_MS_PER_MB: f64 = 0.17;

pub(super) fn bring_adapter(
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
        place_adapter(now, &views, engine.max_adapters, &key.model, &state.adapters_used)
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
            doubt_holdings(&cx, &giver, &server);
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
