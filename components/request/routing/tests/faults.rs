//! Tests that each guard against one specific fault of routing.

mod support;

use routing::*;
use support::*;
use types::prelude::*;

/// Guards against applying the state of a superseded owner, or publications that arrive out of
/// order.
#[test]
fn states_with_older_fencing_or_sequence_numbers_are_ignored() {
    let now = Instant::now();
    let mut router = Router::new();
    assert!(router.apply_group_state(&group(2, 5, vec![server("s", vec![replica(1, &[])])]), now));
    assert!(!router.apply_group_state(&group(1, 9, vec![]), now));
    assert!(!router.apply_group_state(&group(2, 5, vec![]), now));
    assert_eq!(router.usable_replicas("m"), 1);
    assert!(router.apply_group_state(&group(3, 1, vec![]), now));
    assert_eq!(router.usable_replicas("m"), 0);
}

/// Guards against requests to a leaving server because one source lags behind another.
#[test]
fn any_source_excludes_a_server_at_once() {
    let now = Instant::now();
    let plain = || server("s", vec![replica(1, &[])]);
    let after = |apply_update: &dyn Fn(&mut Router)| {
        let mut router = Router::new();
        router.apply_group_state(&group(1, 1, vec![plain()]), now);
        assert_eq!(router.usable_replicas("m"), 1);
        apply_update(&mut router);
        router.usable_replicas("m")
    };
    let publish = |router: &mut Router, sequence, server| {
        router.apply_group_state(&group(1, sequence, vec![server]), now);
    };
    let list = |router: &mut Router, state| {
        router.apply_platform_list(&[listed("s", ListedRole::Engine, state)]);
    };
    let report_then_stale_updates = |router: &mut Router| {
        router.apply_server_report("s", 1, true);
        list(router, ListedState::Live);
        publish(router, 2, plain());
    };
    assert_eq!(after(&report_then_stale_updates), 0);
    assert_eq!(after(&|router| list(router, ListedState::Leaving)), 0);
    assert_eq!(after(&|router| publish(router, 2, ServerState { leaving: true, ..plain() })), 0);
    assert_eq!(after(&|router| publish(router, 2, ServerState { reachable: false, ..plain() })), 0);
    let restart = |router: &mut Router| {
        report_then_stale_updates(router);
        publish(router, 3, ServerState { incarnation: 2, ..server("s", vec![replica(2, &[])]) });
    };
    assert_eq!(after(&restart), 1, "a restart ends the leaving report");
}

/// Guards against counting an ended request again. A new owner's first publication can carry an
/// older sample than the previous owner's last one, taken while the request was still running.
#[test]
fn request_that_ended_is_not_counted_again_after_an_older_sample() {
    let start = Instant::now() + ms(10_000);
    let mut router = Router::new();
    router.apply_group_state(&group(1, 1, vec![server("s", vec![replica(1, &[])])]), start);
    router.record_sent(&replica_ref(1), &[], start);
    router.record_ended(&replica_ref(1), start, start + ms(90));
    let now = start + ms(236);
    router.apply_group_state(&group(1, 2, vec![server("s", vec![replica(1, &[])])]), now);
    let sampled_while_running = ServerState {
        load_age_ms: 146,
        ..server("s", vec![ReplicaState { running: 1, ..replica(1, &[]) }])
    };
    router.apply_group_state(&group(2, 1, vec![sampled_while_running]), now);
    let RouteOutcome::Replica(selection) = route_with_seed(&mut router, None, &[], 1, now) else {
        panic!("the replica is usable");
    };
    assert_eq!(selection.load, 0);
}

/// Guards against a server that stays excluded after its circuit breaker's open time, or that
/// becomes usable too early.
#[test]
fn excluded_server_is_usable_again_when_the_exclusion_ends() {
    let now = Instant::now();
    let mut router = Router::new();
    router.apply_group_state(&group(1, 1, vec![server("s", vec![replica(1, &[])])]), now);
    router.exclude_server("s", now + ms(50));
    router.exclude_server("s", now + ms(20));
    assert!(matches!(route(&mut router, None, now + ms(49)), RouteOutcome::NoReplica(_)));
    assert!(matches!(route(&mut router, None, now + ms(50)), RouteOutcome::Replica(_)));
}

/// Guards against counting this instance's requests twice, or not at all, while reports lag.
#[test]
fn lagging_load_is_corrected_by_own_requests() {
    let now = Instant::now();
    let mut router = Router::new();
    let publish = |router: &mut Router, sequence, running, age, at| {
        let replica = ReplicaState { running, ..replica(1, &[]) };
        let server = ServerState { load_age_ms: age, ..server("s", vec![replica]) };
        router.apply_group_state(&group(1, sequence, vec![server]), at);
    };
    let load = |router: &mut Router, at| match route(router, None, at) {
        RouteOutcome::Replica(selection) => selection.load,
        other => panic!("{other:?}"),
    };
    publish(&mut router, 1, 3, 0, now);
    router.record_sent(&replica_ref(1), &[], now + ms(10));
    router.record_sent(&replica_ref(1), &[], now + ms(30));
    assert_eq!(load(&mut router, now + ms(30)), 5);
    // Sampled at 20 ms: only the second request is missing from the report.
    publish(&mut router, 2, 4, 20, now + ms(40));
    assert_eq!(load(&mut router, now + ms(40)), 5);
    router.record_ended(&replica_ref(1), now + ms(10), now + ms(50));
    assert_eq!(load(&mut router, now + ms(50)), 4);
    // Sampled at 45 ms: the first request had not ended by then.
    publish(&mut router, 3, 5, 15, now + ms(60));
    assert_eq!(load(&mut router, now + ms(60)), 4);
    assert!(!router.has_capacity("m"), "four of four requests run");
    router.record_ended(&replica_ref(1), now + ms(30), now + ms(61));
    assert!(router.has_capacity("m"));
}

/// Guards against needless adapter loads, and against queueing at a full replica that has the
/// adapter while others have free capacity.
#[test]
fn replica_with_the_adapter_is_preferred_while_it_has_capacity() {
    let now = Instant::now();
    let mut router = Router::new();
    let replicas = |running| {
        let with = ReplicaState { running, ..replica(1, &["a"]) };
        vec![server("s", vec![with]), server("t", vec![replica(2, &[]), replica(3, &[])])]
    };
    router.apply_group_state(&group(1, 1, replicas(3)), now);
    for _ in 0..20 {
        let RouteOutcome::Replica(selection) = route(&mut router, Some("a"), now) else { panic!() };
        assert_eq!((selection.replica.replica, selection.needs_adapter_load), (1, false));
    }
    router.apply_group_state(&group(1, 2, replicas(4)), now);
    let RouteOutcome::Replica(selection) = route(&mut router, Some("a"), now) else { panic!() };
    assert!(selection.replica.replica != 1 && selection.needs_adapter_load);
    let RouteOutcome::Replica(selection) = route(&mut router, Some("b"), now) else { panic!() };
    assert!(selection.needs_adapter_load);
}

/// Guards against ignoring a replica that has the prompt's prefix cached, and against relying on
/// cached prefixes that events lost in a gap may have evicted.
#[test]
fn prefix_affinity_follows_sends_and_events_and_ends_at_a_gap() {
    let now = Instant::now();
    let mut router = Router::new();
    let replicas = (1..=40).map(|n| replica(n, &[])).collect();
    router.apply_group_state(&group(1, 1, vec![server("s", replicas)]), now);
    let prefix = prefix_hashes(&Target::parse("m"), &[7; 4 * PREFIX_BLOCK_BYTES]);
    let hits = |router: &mut Router, wanted: ReplicaId| {
        let mut hit = |seed| match route_with_seed(router, None, &prefix, seed, now) {
            RouteOutcome::Replica(selection) => selection.replica.replica == wanted,
            other => panic!("{other:?}"),
        };
        (0..50).filter(|seed| hit(*seed)).count()
    };
    router.record_sent(&replica_ref(9), &prefix, now);
    router.record_ended(&replica_ref(9), now, now);
    assert_eq!(hits(&mut router, 9), 50);
    let event = |sequence, change| CacheEvent { sequence, change };
    router.apply_cache_events(&replica_ref(5), &[event(1, CacheChange::Stored(prefix[3]))]);
    assert_eq!(hits(&mut router, 5), 50);
    router.apply_cache_events(&replica_ref(5), &[event(7, CacheChange::Stored(1))]);
    assert!(hits(&mut router, 5) < 25);
}

/// Guards against a herd, in which all instances send to the one replica that an old report shows
/// as idle.
#[test]
fn instances_with_the_same_lagging_report_do_not_herd() {
    let now = Instant::now();
    let mut router = Router::new();
    let running = |n| if n == 7 { 0 } else { 2 };
    let replicas = (1..=40).map(|n| ReplicaState { running: running(n), ..replica(n, &[]) });
    router.apply_group_state(&group(1, 1, vec![server("s", replicas.collect())]), now);
    let to_idle = |seed| match route_with_seed(&mut router, None, &[], seed, now) {
        RouteOutcome::Replica(selection) => selection.replica.replica == 7,
        other => panic!("{other:?}"),
    };
    let sent_to_idle = (0..400).map(to_idle).filter(|idle| *idle).count();
    assert!((1..=40).contains(&sent_to_idle), "{sent_to_idle} of 400 to one of 40");
}

/// Guards against a flood of demands, and against losing a demand that comes before the interval
/// ends.
#[test]
fn demand_for_a_model_that_is_not_ready_is_coalesced() {
    let now = Instant::now();
    let mut router = Router::new();
    let sends_demand = |router: &mut Router, at| match route(router, Some("a"), at) {
        RouteOutcome::NoReplica(demand) => demand.is_some(),
        other => panic!("{other:?}"),
    };
    let sent = (0..250).filter(|n| sends_demand(&mut router, now + ms(*n))).count();
    assert_eq!(sent, 1, "held back until due_demands");
    assert_eq!(router.due_demands(now + ms(250)).len(), 1);
    assert!(router.due_demands(now + ms(349)).is_empty());
    assert!(router.due_demands(now + ms(350)).is_empty());
    assert!(sends_demand(&mut router, now + ms(351)));
    assert_eq!(router.next_demand_at(), Some(now + ms(451)));
}

/// Guards against using expired summaries, and against sending a whole burst to one data centre.
#[test]
fn other_data_centres_are_used_only_while_summaries_are_fresh_and_free() {
    let now = Instant::now();
    let mut router = Router::new();
    let free_capacity = vec![("m".into(), 2)];
    router.apply_summary(DataCentreSummary { data_centre: "d2".into(), free_capacity }, now);
    let routed_elsewhere = |router: &mut Router, at| match route(router, None, at) {
        RouteOutcome::DataCentre(_) => 1,
        _ => 0,
    };
    assert_eq!(routed_elsewhere(&mut router, now + ms(5_000)), 0);
    assert_eq!((0..5).map(|_| routed_elsewhere(&mut router, now)).sum::<i32>(), 2);
    router.apply_group_state(&group(1, 1, vec![server("s", vec![replica(1, &[])])]), now);
    assert!(matches!(route(&mut router, None, now), RouteOutcome::Replica(_)));
}

/// Guards against all calls of a plain service going to one server, or to a leaving one.
#[test]
fn plain_service_calls_go_to_the_less_busy_live_server() {
    let now = Instant::now();
    let mut router = Router::new();
    let ledger = || ListedRole::Service("ledger".into());
    router.apply_platform_list(&[
        listed("a", ledger(), ListedState::Live),
        listed("b", ledger(), ListedState::Live),
        listed("c", ledger(), ListedState::Leaving),
    ]);
    for _ in 0..10 {
        let selection = router.route_service("ledger", &[], now, &mut rng(3)).unwrap();
        router.record_service_sent(&selection.server);
    }
    let exclude = ["a".into()];
    assert_eq!(&*router.route_service("ledger", &exclude, now, &mut rng(1)).unwrap().server, "b");
    (0..5).for_each(|_| router.record_service_ended("a"));
    assert_eq!(&*router.route_service("ledger", &[], now, &mut rng(1)).unwrap().server, "a");
}

fn route(router: &mut Router, adapter: Option<&str>, now: Instant) -> RouteOutcome {
    route_with_seed(router, adapter, &[], 1, now)
}

fn listed(name: &str, role: ListedRole, state: ListedState) -> ListedInstance {
    ListedInstance {
        name: name.into(),
        role,
        data_centre: "d".into(),
        group: "g".into(),
        address: "127.0.0.1:2".into(),
        state,
        checks_fencing: true,
    }
}
