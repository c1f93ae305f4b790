//! Order handling: loads, unloads, prefetches, adapters, roles and seals.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::time::sleep;
use types::prelude::*;

use super::state::{Inner, Replica, State, consume_fault};
use crate::http_server::ErrorResponse;

/// Interval at which an unload checks whether the last request has finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handles an order. Work that takes time continues in a task that ends with the incarnation.
///
/// # Errors
///
/// 409 for a stale fencing number; 422 for an order that cannot be executed.
pub(super) fn handle_order(inner: &Arc<Inner>, order: Order) -> Result<(), ErrorResponse> {
    let mut state = inner.state();
    check_fencing(inner, &mut state, &order)?;
    if matches!(order.kind, OrderKind::Seal) {
        return Ok(());
    }
    if !state.seen_orders.insert(order.order) {
        state.counters.repeated_orders += 1;
        return Err(unprocessable("order number seen before"));
    }
    let is_recorded = !matches!(order.kind, OrderKind::LoadAdapter { .. });
    if is_recorded && !inner.cfg.checks_fencing && !state.unresolved_orders.is_empty() {
        state.counters.overlapping_orders += 1;
    }
    let is_load = matches!(order.kind, OrderKind::Load { .. });
    state.unresolved_orders.insert(order.order, is_load);
    let order_id = order.order;
    let result = match order.kind {
        OrderKind::Seal => Ok(()),
        OrderKind::Load { .. } => load(inner, &mut state, order),
        OrderKind::Unload { replica } => unload(inner, &mut state, order_id, replica),
        OrderKind::Prefetch { model } => prefetch(inner, &mut state, order_id, model),
        OrderKind::LoadAdapter { replica, adapter, evict } => {
            load_adapter(inner, &mut state, order_id, replica, adapter, evict)
        }
        OrderKind::SetRole { role } => {
            state.role = role;
            state.resolve(order_id, true);
            Ok(())
        }
    };
    if result.is_err() {
        state.resolve(order_id, false);
    }
    result
}

fn unprocessable(message: &str) -> ErrorResponse {
    ErrorResponse::new(StatusCode::UNPROCESSABLE_ENTITY, message)
}

fn check_fencing(inner: &Inner, state: &mut State, order: &Order) -> Result<(), ErrorResponse> {
    if !inner.cfg.checks_fencing {
        return Ok(());
    }
    if order.fencing < state.highest_fencing {
        state.counters.stale_orders += 1;
        return Err(ErrorResponse::new(StatusCode::CONFLICT, "stale fencing number"));
    }
    state.highest_fencing = order.fencing;
    Ok(())
}

fn load(inner: &Arc<Inner>, state: &mut State, order: Order) -> Result<(), ErrorResponse> {
    let OrderKind::Load { replica, model, version, memory_bytes, adapter_slots, source } =
        order.kind
    else {
        return Err(unprocessable("not a load"));
    };
    if state.replicas.contains_key(&replica) {
        return Err(unprocessable("replica number in use"));
    }
    if state.memory_used().saturating_add(memory_bytes) > inner.cfg.memory_total {
        state.counters.overcommit_violations += 1;
        return Err(unprocessable("accelerator memory would be overcommitted"));
    }
    let is_cached = match source {
        LoadSource::Memory => state.memory_cache.contains(&model),
        LoadSource::Disk => state.disk_cache.contains(&model),
        LoadSource::Remote => true,
    };
    if !is_cached {
        return Err(unprocessable("checkpoint is not cached there"));
    }
    let counters = &mut state.counters;
    *counters.loads_started.entry(model.clone()).or_default() += 1;
    counters.loads_after_leaving += u64::from(state.leaving_since.is_some());
    inner.store.add_replica(&model);
    let task = state.spawn(run_load(inner.clone(), order.order, replica, model.clone(), source));
    let loaded = Replica {
        model,
        version,
        phase: ReplicaPhase::Loading,
        memory_bytes,
        adapter_slots,
        adapters: Vec::new(),
        loading_adapters: Vec::new(),
        running: 0,
        queue: BTreeMap::new(),
        load: Some((order.order, task)),
    };
    state.replicas.insert(replica, loaded);
    Ok(())
}

async fn fetch_weights(inner: &Inner, model: &ModelId, source: LoadSource) {
    let times = inner.cfg.load_times.get(model).unwrap_or(&inner.cfg.load_time);
    match source {
        LoadSource::Memory => sleep(times.memory).await,
        LoadSource::Disk => sleep(times.disk).await,
        LoadSource::Remote => inner.store.load(times.remote).await,
    }
}

async fn run_load(
    inner: Arc<Inner>,
    order: OrderId,
    replica: ReplicaId,
    model: ModelId,
    source: LoadSource,
) {
    fetch_weights(&inner, &model, source).await;
    let mut state = inner.state();
    let fails = consume_fault(&mut state.faults.fail_loads);
    if fails {
        inner.remove_replica(&mut state, replica);
    } else {
        if let Some(loaded) = state.replicas.get_mut(&replica) {
            loaded.phase = ReplicaPhase::Ready;
            loaded.load = None;
        }
        state.memory_cache.insert(&model);
        state.disk_cache.insert(&model);
    }
    state.resolve(order, !fails);
}

fn unload(
    inner: &Arc<Inner>,
    state: &mut State,
    order: OrderId,
    replica: ReplicaId,
) -> Result<(), ErrorResponse> {
    let Some(found) = state.replicas.get_mut(&replica) else {
        return Err(unprocessable("no such replica"));
    };
    if found.phase == ReplicaPhase::Unloading {
        return Err(unprocessable("replica is being unloaded"));
    }
    found.phase = ReplicaPhase::Unloading;
    if let Some((load, task)) = found.load.take() {
        task.abort();
        state.resolve(load, false);
    }
    state.spawn(run_unload(inner.clone(), order, replica));
    Ok(())
}

async fn run_unload(inner: Arc<Inner>, order: OrderId, replica: ReplicaId) {
    let is_busy = || {
        let state = inner.state();
        state.replicas.get(&replica).is_some_and(|found| found.running + found.queued() > 0)
    };
    while is_busy() {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    sleep(inner.cfg.unload_time).await;
    let mut state = inner.state();
    inner.remove_replica(&mut state, replica);
    state.resolve(order, true);
}

fn prefetch(
    inner: &Arc<Inner>,
    state: &mut State,
    order: OrderId,
    model: ModelId,
) -> Result<(), ErrorResponse> {
    let source = match (state.memory_cache.contains(&model), state.disk_cache.contains(&model)) {
        (true, _) => LoadSource::Memory,
        (false, true) => LoadSource::Disk,
        (false, false) => LoadSource::Remote,
    };
    let inner = inner.clone();
    state.spawn(async move {
        fetch_weights(&inner, &model, source).await;
        let mut state = inner.state();
        state.memory_cache.insert(&model);
        state.disk_cache.insert(&model);
        state.resolve(order, true);
    });
    Ok(())
}

fn load_adapter(
    inner: &Arc<Inner>,
    state: &mut State,
    order: OrderId,
    replica: ReplicaId,
    adapter: AdapterId,
    evict: Option<AdapterId>,
) -> Result<(), ErrorResponse> {
    let Some(found) = state.replicas.get_mut(&replica) else {
        return Err(unprocessable("no such replica"));
    };
    if found.phase != ReplicaPhase::Ready {
        return Err(unprocessable("replica is not ready"));
    }
    if found.adapters.contains(&adapter) || found.loading_adapters.contains(&adapter) {
        return Err(unprocessable("adapter is in the pool"));
    }
    if evict.as_ref().is_some_and(|evict| !found.adapters.contains(evict)) {
        return Err(unprocessable("adapter to evict is not in the pool"));
    }
    let occupied_slots =
        found.adapters.len() + found.loading_adapters.len() - usize::from(evict.is_some());
    if occupied_slots >= found.adapter_slots as usize {
        return Err(unprocessable("adapter pool is full"));
    }
    found.adapters.retain(|resident| Some(resident) != evict.as_ref());
    found.loading_adapters.push(adapter.clone());
    let inner = inner.clone();
    state.spawn(async move {
        inner.store.load_adapter().await;
        let mut state = inner.state();
        let found = state.replicas.get_mut(&replica);
        let succeeded = found.is_some();
        if let Some(found) = found {
            found.loading_adapters.retain(|loading| *loading != adapter);
            found.adapters.push(adapter);
        }
        state.resolve(order, succeeded);
    });
    Ok(())
}
