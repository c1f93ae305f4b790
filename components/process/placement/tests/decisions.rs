//! What placement decides in single situations.

mod world;

use placement::*;
use rstest::rstest;
use types::prelude::*;
use world::{World, name};

const PATIENT: Duration = Duration::from_secs(20);

fn loads(world: &World) -> Vec<(ModelId, LoadSource)> {
    let of = |d: &Decision| match d {
        Decision::Load { model, source, .. } => Some((model.clone(), *source)),
        _ => None,
    };
    world.decisions.iter().filter_map(of).collect()
}

fn pass(world: &mut World, seconds: u64) {
    for _ in 0..seconds {
        world.now += Duration::from_secs(1);
        world.tell(Event::Tick);
    }
}

/// A ready replica of model 0 with a history of bursts every 20 s, idle from now on.
fn with_history(weight: u8) -> World {
    let mut w = World::new(weight);
    for _ in 0..30 {
        w.now += Duration::from_secs(20);
        let deadline = w.now + Duration::from_secs(10);
        let arrival = Arrival { model: name(0), count: 1, worth_milli: 1_000, deadline };
        w.tell(Event::Arrived(arrival));
    }
    w.demand(0, 0, None, PATIENT);
    w.show();
    w.now += Duration::from_secs(2);
    w.load_ends(0, true);
    w.decisions.clear();
    w
}

/// Guards against loading from a far copy while a near one exists.
#[test]
fn the_nearest_copy_is_loaded() {
    let mut w = World::new(50);
    w.view.servers[2].cached_in_memory.insert(name(1));
    w.demand(1, 0, None, PATIENT);
    assert_eq!(loads(&w), [(name(1), LoadSource::Memory)]);
}

/// Guards against letting requests wait that cannot be served in time, or that never can.
#[rstest]
#[case::from_disk_in_time(0, 3_000, false)]
#[case::from_disk_too_late(0, 2_000, true)]
#[case::from_the_store_too_late(4, 4_000, true)]
fn demand_that_cannot_be_met_is_answered(
    #[case] model: usize,
    #[case] slack_ms: u64,
    #[case] refused: bool,
) {
    let mut w = World::new(50);
    w.demand(model, 0, None, Duration::from_millis(slack_ms));
    let answered = w.decisions.iter().any(|d| matches!(d, Decision::Unreachable { .. }));
    assert_eq!((answered, loads(&w).is_empty()), (refused, refused));
}

/// Guards against promising the declared load time while the store is slow.
#[test]
fn estimates_follow_a_slow_store() {
    let mut w = World::new(50);
    let target = Target { model: name(4), adapter: None };
    let before = w.placement.expected_ready(&w.view, &target, w.now).unwrap() - w.now;
    for _ in 0..10 {
        let started = w.now;
        w.now += Duration::from_secs(30);
        let (server, source) = ("s0".into(), LoadSource::Remote);
        let model = name(5);
        w.tell(Event::LoadEnded(LoadEnded { server, model, source, started, succeeded: true }));
    }
    let after = w.placement.expected_ready(&w.view, &target, w.now).unwrap() - w.now;
    assert_eq!(before, Duration::from_secs(5));
    assert!(after > Duration::from_secs(25), "{after:?}");
}

/// Guards against admitting demand while requests that have just begun hold all memory.
#[rstest]
#[case::after_the_default_time(4_000, true)]
#[case::with_enough_time(6_000, false)]
fn demand_waits_for_busy_replicas(#[case] slack_ms: u64, #[case] refused: bool) {
    let mut w = World::new(50);
    for (id, server) in (100..).zip(&mut w.view.servers) {
        let memory_bytes = std::mem::take(&mut server.memory_free);
        server.replicas = vec![ReplicaView {
            replica: id,
            model: name(5),
            phase: ReplicaPhase::Ready,
            memory_bytes,
            last_used: w.now,
            running: 1,
            queued: 0,
            adapters: Vec::new(),
        }];
    }
    w.tell(Event::ViewChanged);
    // 2 s until a replica is idle, 0.3 s for its unload, 2.5 s for the load from disk.
    w.demand(0, 0, None, Duration::from_millis(slack_ms));
    let answered = w.decisions.iter().any(|d| matches!(d, Decision::Unreachable { .. }));
    assert_eq!(answered, refused);
}

/// Guards against demand that waits for ever because other groups say that they use the whole
/// store, and against ignoring them at once.
#[test]
fn a_load_starts_after_the_longest_wait() {
    let mut w = World::new(50);
    w.view.store.others = OtherGroups { exist: true, loads: 4, ..OtherGroups::default() };
    w.demand(4, 0, None, Duration::from_secs(60));
    for second in 0..35 {
        assert!(loads(&w).is_empty() || second >= 30, "after {second} s");
        pass(&mut w, 1);
    }
    assert_eq!(loads(&w), [(name(4), LoadSource::Remote)]);
}

/// Guards against an operator setting that has no effect at its ends.
#[rstest]
#[case::only_idle_time_counts(0, true)]
#[case::only_cold_starts_count(100, false)]
fn the_weight_decides_whether_an_idle_replica_is_kept(#[case] weight: u8, #[case] unloaded: bool) {
    let mut w = with_history(weight);
    pass(&mut w, 10);
    let unloads = w.decisions.iter().any(|d| matches!(d, Decision::Unload { .. }));
    assert_eq!(unloads, unloaded);
}

/// Guards against unloading a replica before the requests that it was loaded for reach it.
#[test]
fn a_fresh_replica_waits_for_its_requests() {
    let mut w = with_history(0);
    pass(&mut w, 1);
    assert!(!w.decisions.iter().any(|d| matches!(d, Decision::Unload { .. })));
}

/// Guards against a tail of several seconds for models that were never prefetched.
#[test]
fn checkpoints_are_prefetched_while_the_store_is_idle() {
    let mut w = World::new(50);
    pass(&mut w, 3);
    assert!(w.decisions.iter().any(|d| matches!(d, Decision::Prefetch { .. })));
    assert!(loads(&w).is_empty());
}

/// Guards against evicting an adapter that was just used instead of the least recently used.
#[test]
fn the_least_recently_used_idle_adapter_is_evicted() {
    let mut w = with_history(100);
    let pooled = |a: &str, running| PooledAdapter { adapter: a.into(), running };
    let replica = w.view.servers.iter_mut().flat_map(|s| &mut s.replicas).next().unwrap();
    replica.adapters = vec![pooled("a0", 1), pooled("a1", 0)];
    w.demand(0, 0, Some(2), PATIENT);
    let evicted = w.decisions.iter().find_map(|d| match d {
        Decision::LoadAdapter { evict, .. } => evict.clone(),
        _ => None,
    });
    assert_eq!(evicted.as_deref(), Some("a1"));
}

/// Guards against a cold start at a time of day at which a model is asked for every day.
#[test]
fn a_model_is_loaded_ahead_of_its_daily_time() {
    let mut w = World::new(100);
    let start = w.now;
    for day in 0..4 {
        w.now = start + Duration::from_secs(day * 86_400 + 8 * 3_600 + 60);
        let deadline = w.now + Duration::from_secs(10);
        let arrival = Arrival { model: name(0), count: 1, worth_milli: 1_000, deadline };
        w.tell(Event::Arrived(arrival));
    }
    w.now = start + Duration::from_secs(4 * 86_400 + 8 * 3_600 - 20);
    w.tell(Event::Tick);
    assert_eq!(loads(&w), [(name(0), LoadSource::Disk)]);
}
