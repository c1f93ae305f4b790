//! Decisions of placement in single situations.

mod simulation;

use placement::*;
use rstest::rstest;
use simulation::{Simulation, name};
use types::prelude::*;

const LONG_SLACK: Duration = Duration::from_secs(20);

fn loads(sim: &Simulation) -> Vec<(ModelId, LoadSource)> {
    let load = |d: &Decision| match d {
        Decision::Load { model, source, .. } => Some((model.clone(), *source)),
        _ => None,
    };
    sim.decisions.iter().filter_map(load).collect()
}

fn advance(sim: &mut Simulation, seconds: u64) {
    for _ in 0..seconds {
        sim.now += Duration::from_secs(1);
        sim.send(Event::Tick);
    }
}

/// Returns a simulation with a ready replica of model 0, idle from now on, after bursts every 20 s.
fn replica_with_history(weight: u8) -> Simulation {
    let mut sim = Simulation::new(weight);
    for _ in 0..30 {
        sim.now += Duration::from_secs(20);
        let deadline = sim.now + Duration::from_secs(10);
        let arrival = Arrival { model: name(0), count: 1, worth_milli: 1_000, deadline };
        sim.send(Event::Arrived(arrival));
    }
    sim.demand(0, 0, None, LONG_SLACK);
    sim.update_view();
    sim.now += Duration::from_secs(2);
    sim.end_load(0, true);
    sim.decisions.clear();
    sim
}

/// Guards against loading from the store or disk while the checkpoint is in host memory.
#[test]
fn the_nearest_source_is_chosen() {
    let mut sim = Simulation::new(50);
    sim.view.servers[2].cached_in_memory.insert(name(1));
    sim.demand(1, 0, None, LONG_SLACK);
    assert_eq!(loads(&sim), [(name(1), LoadSource::Memory)]);
}

/// Guards against letting requests wait that cannot be served in time or at all.
#[rstest]
#[case::from_disk_in_time(0, 3_000, false)]
#[case::from_disk_too_late(0, 2_000, true)]
#[case::from_the_store_too_late(4, 4_000, true)]
fn demand_that_cannot_be_met_is_refused(
    #[case] model: usize,
    #[case] slack_ms: u64,
    #[case] refused: bool,
) {
    let mut sim = Simulation::new(50);
    sim.demand(model, 0, None, Duration::from_millis(slack_ms));
    let is_refused = sim.decisions.iter().any(|d| matches!(d, Decision::Unreachable { .. }));
    assert_eq!((is_refused, loads(&sim).is_empty()), (refused, refused));
}

/// Guards against estimates that stay at the declared load time while the store is slow.
#[test]
fn estimates_follow_a_slow_store() {
    let mut sim = Simulation::new(50);
    let target = Target { model: name(4), adapter: None };
    let before = sim.placement.expected_ready(&sim.view, &target, sim.now).unwrap() - sim.now;
    for _ in 0..10 {
        let started = sim.now;
        sim.now += Duration::from_secs(30);
        let (server, source) = ("s0".into(), LoadSource::Remote);
        let model = name(5);
        sim.send(Event::LoadEnded(LoadEnded { server, model, source, started, succeeded: true }));
    }
    let after = sim.placement.expected_ready(&sim.view, &target, sim.now).unwrap() - sim.now;
    assert_eq!(before, Duration::from_secs(5));
    assert!(after > Duration::from_secs(25), "{after:?}");
}

/// Guards against admitting demand while requests that have just begun hold all memory.
#[rstest]
#[case::with_too_little_time(4_000, true)]
#[case::with_enough_time(6_000, false)]
fn demand_waits_for_busy_replicas(#[case] slack_ms: u64, #[case] refused: bool) {
    let mut sim = Simulation::new(50);
    for (id, server) in (100..).zip(&mut sim.view.servers) {
        let memory_bytes = std::mem::take(&mut server.memory_free);
        server.replicas = vec![ReplicaView {
            replica: id,
            model: name(5),
            phase: ReplicaPhase::Ready,
            memory_bytes,
            last_used: sim.now,
            running: 1,
            queued: 0,
            adapters: Vec::new(),
        }];
    }
    sim.send(Event::ViewChanged);
    // 2 s until a replica is idle, 0.3 s for its unload, 2.5 s for the load from disk.
    sim.demand(0, 0, None, Duration::from_millis(slack_ms));
    let is_refused = sim.decisions.iter().any(|d| matches!(d, Decision::Unreachable { .. }));
    assert_eq!(is_refused, refused);
}

/// Guards against demand that waits for ever because other groups publish that they use the whole
/// store, and against ignoring them at once.
#[test]
fn a_load_starts_after_the_maximum_store_wait() {
    let mut sim = Simulation::new(50);
    sim.view.store.others = OtherGroups { exist: true, loads: 4, ..OtherGroups::default() };
    sim.demand(4, 0, None, Duration::from_secs(60));
    for second in 0..35 {
        assert!(loads(&sim).is_empty() || second >= 30, "after {second} s");
        advance(&mut sim, 1);
    }
    assert_eq!(loads(&sim), [(name(4), LoadSource::Remote)]);
}

/// Guards against a setting without effect at the ends of its range.
#[rstest]
#[case::only_idle_time_counts(0, true)]
#[case::only_cold_starts_count(100, false)]
fn the_weight_decides_whether_an_idle_replica_is_retained(
    #[case] weight: u8,
    #[case] unloaded: bool,
) {
    let mut sim = replica_with_history(weight);
    advance(&mut sim, 10);
    let unloads = sim.decisions.iter().any(|d| matches!(d, Decision::Unload { .. }));
    assert_eq!(unloads, unloaded);
}

/// Guards against unloading a replica before the requests that it was loaded for reach it.
#[test]
fn a_replica_is_not_unloaded_in_its_grace_period() {
    let mut sim = replica_with_history(0);
    advance(&mut sim, 1);
    assert!(!sim.decisions.iter().any(|d| matches!(d, Decision::Unload { .. })));
}

/// Guards against cold starts of several seconds for models that were never prefetched.
#[test]
fn checkpoints_are_prefetched_while_the_store_is_idle() {
    let mut sim = Simulation::new(50);
    advance(&mut sim, 3);
    assert!(sim.decisions.iter().any(|d| matches!(d, Decision::Prefetch { .. })));
    assert!(loads(&sim).is_empty());
}

/// Guards against evicting an adapter that was just used instead of the least recently used one.
#[test]
fn the_least_recently_used_idle_adapter_is_evicted() {
    let mut sim = replica_with_history(100);
    let pooled = |a: &str, running| PooledAdapter { adapter: a.into(), running };
    let replica = sim.view.servers.iter_mut().flat_map(|s| &mut s.replicas).next().unwrap();
    replica.adapters = vec![pooled("a0", 1), pooled("a1", 0)];
    sim.demand(0, 0, Some(2), LONG_SLACK);
    let evicted = sim.decisions.iter().find_map(|d| match d {
        Decision::LoadAdapter { evict, .. } => evict.clone(),
        _ => None,
    });
    assert_eq!(evicted.as_deref(), Some("a1"));
}

/// Guards against a cold start at a time of day at which requests for a model arrive every day.
#[test]
fn a_model_is_preloaded_before_its_daily_slot() {
    let mut sim = Simulation::new(100);
    let start = sim.now;
    for day in 0..4 {
        sim.now = start + Duration::from_secs(day * 86_400 + 8 * 3_600 + 60);
        let deadline = sim.now + Duration::from_secs(10);
        let arrival = Arrival { model: name(0), count: 1, worth_milli: 1_000, deadline };
        sim.send(Event::Arrived(arrival));
    }
    sim.now = start + Duration::from_secs(4 * 86_400 + 8 * 3_600 - 20);
    sim.send(Event::Tick);
    assert_eq!(loads(&sim), [(name(0), LoadSource::Disk)]);
}
