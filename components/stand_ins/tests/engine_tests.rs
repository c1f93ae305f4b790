//! Tests of the engine stand-in: orders, memory, weight store, restarts and reports.

use std::time::{Duration, Instant};

use stand_ins::engine::{Engine, EngineConfig};
use stand_ins::weight_store::{WeightStore, WeightStoreConfig};
use types::prelude::*;

const FAST_LOADS: LoadTime = LoadTime {
    memory: Duration::from_millis(5),
    disk: Duration::from_millis(10),
    remote: Duration::from_millis(100),
};

fn config(name: &str) -> EngineConfig {
    let report_lag = Duration::ZERO;
    EngineConfig {
        name: name.into(),
        memory_total: 100,
        load_time: FAST_LOADS,
        report_lag,
        ..EngineConfig::default()
    }
}

fn store(loads_per_second: f64) -> WeightStore {
    WeightStore::new(WeightStoreConfig { loads_per_second, ..WeightStoreConfig::default() })
}

fn order(order: OrderId, fencing: FencingNumber, kind: OrderKind) -> Order {
    Order { order, group: "g".into(), fencing, kind }
}

fn load(replica: ReplicaId, model: &str, memory_bytes: u64, source: LoadSource) -> OrderKind {
    let (model, version) = (model.into(), "1".into());
    OrderKind::Load { replica, model, version, memory_bytes, adapter_slots: 2, source }
}

async fn wait_until(what: &str, mut is_done: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while !is_done() {
        assert!(Instant::now() < deadline, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn phase(engine: &Engine, replica: ReplicaId) -> Option<ReplicaPhase> {
    engine.report().replicas.iter().find(|found| found.replica == replica).map(|found| found.phase)
}

/// Guards against overcommitted memory that tests do not notice.
#[tokio::test]
async fn overcommit_is_refused_and_counted() {
    let engine = Engine::start(config("e"), store(100.0)).await.expect("loopback");
    assert_eq!(engine.handle_order(order(1, 1, load(1, "m", 60, LoadSource::Remote))), 202);
    assert_eq!(engine.handle_order(order(2, 1, load(2, "m", 60, LoadSource::Remote))), 422);
    assert_eq!(engine.counters().overcommit_violations, 1);
    assert_eq!(engine.report().memory_used, 60);
    assert_eq!(engine.report().outcomes, [OrderOutcome { order: 2, succeeded: false }]);
    wait_until("load", || phase(&engine, 1) == Some(ReplicaPhase::Ready)).await;
    assert_eq!(engine.handle_order(order(3, 1, OrderKind::Unload { replica: 1 })), 202);
    wait_until("unload", || engine.report().memory_used == 0).await;
    // The checkpoint is cached now. A second order with the same number is a fault of the caller.
    assert_eq!(engine.handle_order(order(4, 1, load(3, "m", 100, LoadSource::Memory))), 202);
    assert_eq!(engine.handle_order(order(4, 1, load(4, "m", 0, LoadSource::Memory))), 422);
    assert_eq!(engine.counters().repeated_orders, 1);
    assert_eq!(engine.counters().max_replicas["m"], 1);
}

/// Guards against orders of a stale owner that take effect after a seal.
#[tokio::test]
async fn stale_orders_are_refused_only_by_engines_that_check() {
    let checking = Engine::start(config("a"), store(100.0)).await.expect("loopback");
    let cfg = EngineConfig { checks_fencing: false, ..config("b") };
    let ignoring = Engine::start(cfg, store(100.0)).await.expect("loopback");
    for (engine, status) in [(&checking, 409), (&ignoring, 202)] {
        assert_eq!(engine.handle_order(order(1, 7, OrderKind::Seal)), 202);
        assert_eq!(engine.handle_order(order(2, 6, load(1, "m", 1, LoadSource::Remote))), status);
    }
    assert_eq!((checking.counters().stale_orders, checking.report().highest_fencing), (1, 7));
    assert_eq!(ignoring.report().highest_fencing, 0);
    ignoring.handle_order(order(3, 6, load(2, "m", 1, LoadSource::Remote)));
    assert_eq!(ignoring.counters().overlapping_orders, 1);
}

/// Guards against a weight store without limits, which serves any number of loads at full speed.
#[tokio::test]
async fn the_store_limits_starts_and_slows_down_beyond_four_loads() {
    let store = store(20.0);
    let mut engines = Vec::new();
    for n in 0..8 {
        let engine = Engine::start(config(&format!("e{n}")), store.clone()).await;
        engines.push(engine.expect("loopback"));
    }
    let started_at = Instant::now();
    for engine in &engines {
        engine.handle_order(order(1, 1, load(1, "m", 1, LoadSource::Remote)));
    }
    wait_until("loads", || engines.iter().all(|e| phase(e, 1) == Some(ReplicaPhase::Ready))).await;
    let took = started_at.elapsed();
    assert!(took >= Duration::from_millis(450), "8 loads at 20 a second took {took:?}");
    assert_eq!(store.max_replicas()["m"], 8);
    // Eight loads that start at once share the speed of four.
    let store = WeightStore::new(WeightStoreConfig {
        loads_per_second: 1e6,
        ..WeightStoreConfig::default()
    });
    let engine = Engine::start(config("x"), store.clone()).await.expect("loopback");
    let started_at = Instant::now();
    for n in 0..8 {
        engine.handle_order(order(n, 1, load(n, "m", 1, LoadSource::Remote)));
    }
    wait_until("loads", || engine.report().replicas.iter().all(|r| r.phase == ReplicaPhase::Ready))
        .await;
    let took = started_at.elapsed();
    assert!(took >= Duration::from_millis(195), "8 shared loads of 100 ms took {took:?}");
    store.set_slowdown(5.0);
    let started_at = Instant::now();
    engine.handle_order(order(9, 1, load(9, "n", 1, LoadSource::Remote)));
    wait_until("slow load", || phase(&engine, 9) == Some(ReplicaPhase::Ready)).await;
    assert!(started_at.elapsed() >= Duration::from_millis(490));
}

/// Guards against adapter pools that hold more adapters than they have slots.
#[tokio::test]
async fn adapters_beyond_the_slots_are_refused() {
    let engine = Engine::start(config("e"), store(100.0)).await.expect("loopback");
    engine.handle_order(order(1, 1, load(1, "m", 1, LoadSource::Remote)));
    let adapter = |n: OrderId, name: &str, evict: Option<&str>| {
        let (adapter, evict) = (name.into(), evict.map(Into::into));
        order(n, 1, OrderKind::LoadAdapter { replica: 1, adapter, evict })
    };
    assert_eq!(engine.handle_order(adapter(2, "a", None)), 422, "the replica is not ready");
    wait_until("load", || phase(&engine, 1) == Some(ReplicaPhase::Ready)).await;
    let started_at = Instant::now();
    assert_eq!(engine.handle_order(adapter(3, "a", None)), 202);
    assert_eq!(engine.handle_order(adapter(4, "b", None)), 202);
    assert_eq!(engine.handle_order(adapter(5, "c", None)), 422);
    wait_until("adapters", || engine.report().replicas[0].adapters.len() == 2).await;
    assert!(started_at.elapsed() >= Duration::from_millis(5));
    assert_eq!(engine.handle_order(adapter(6, "c", Some("a"))), 202);
    wait_until("eviction", || engine.report().replicas[0].adapters == ["b".into(), "c".into()])
        .await;
}

/// Guards against state that survives a kill, and against reports with the old incarnation.
#[tokio::test]
async fn a_restart_has_a_new_incarnation_and_nothing_loaded() {
    let store = store(100.0);
    let engine = Engine::start(config("e"), store.clone()).await.expect("loopback");
    engine.handle_order(order(1, 3, load(1, "m", 1, LoadSource::Remote)));
    wait_until("load", || phase(&engine, 1) == Some(ReplicaPhase::Ready)).await;
    let before = engine.report();
    let url = format!("http://{}/v1/state", engine.address());
    engine.kill();
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(reqwest::get(&url).await.is_err());
    engine.restart().await.expect("the same address");
    let text = reqwest::get(&url).await.expect("response").text().await.expect("text");
    let after: ServerReport = serde_json::from_str(&text).expect("a report");
    assert_ne!(after.incarnation, before.incarnation);
    assert!(after.replicas.is_empty() && after.cached_in_memory.is_empty());
    assert_eq!((after.memory_used, after.highest_fencing), (0, 3));
    assert_eq!(after.cached_on_disk, ["m".into()]);
    // The killed replica no longer counts towards the store's maximum.
    engine.handle_order(order(2, 3, load(2, "m", 1, LoadSource::Disk)));
    assert_eq!(store.max_replicas()["m"], 1);
}

/// Guards against load figures without lag: tests would not notice instances that fail to correct
/// for it.
#[tokio::test]
async fn load_figures_lag() {
    // Longer than the delays of tasks on a busy machine.
    let report_lag = Duration::from_secs(2);
    let cfg = EngineConfig { report_lag, ..config("e") };
    let engine = Engine::start(cfg, store(100.0)).await.expect("loopback");
    engine.handle_order(order(1, 1, load(1, "m", 1, LoadSource::Remote)));
    wait_until("load", || phase(&engine, 1) == Some(ReplicaPhase::Ready)).await;
    tokio::time::sleep(report_lag).await;
    let url = format!("http://{}/v1/completions", engine.address());
    let body = r#"{"model":"m","prompt":"p","max_tokens":1000}"#;
    let request = tokio::spawn(reqwest::Client::new().post(url).body(body).send());
    wait_until("start", || engine.counters().requests_started == 1).await;
    let report = engine.report();
    assert_eq!(report.replicas[0].running, 0);
    assert_eq!(report.load_age_ms, 2_000);
    tokio::time::sleep(report_lag).await;
    assert_eq!(engine.report().replicas[0].running, 1);
    request.abort();
}
