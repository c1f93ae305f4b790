//! Tests of the placement plan and of adapter placement.

use super::*;
use crate::adapters::AdapterUse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use routes::{Engine, Model, ModelName};
use rstest::rstest;
use server_directory::Holdings;

const LIMITS: PlanLimits =
    PlanLimits { max_store_loads: 2, is_prefetching: true, is_inventory_complete: true };

const NO_BANS: BTreeSet<ModelName> = BTreeSet::new();

/// An engine with ten models, three of which fit on a server.
fn engine() -> Engine {
    engine_with(10)
}

/// An engine with the models `m0`, `m1` and so on, three of which fit on a server.
pub(crate) fn engine_with(models: u32) -> Engine {
    let model = |n: u32| Model {
        name: format!("m{n}").into(),
        weights_mb: 70.0,
        store_load_time: Duration::from_secs(6),
        disk_load_time: Duration::from_millis(1_500),
        memory_load_time: Duration::from_millis(600),
        adapter_mb: 0.1,
    };
    Engine {
        slots: 10,
        accelerator_memory_mb: 230.0,
        host_memory_mb: 150.0,
        max_adapters: 2,
        store_loads_per_second: 4.0,
        models: (0..models).map(model).map(|m| (m.name.clone(), m)).collect(),
    }
}

fn holdings(loaded: &[&str], on_disk: &[&str]) -> Holdings {
    let models: BTreeMap<_, _> = loaded.iter().map(|m| ((*m).into(), BTreeSet::new())).collect();
    let on_disk = on_disk.iter().map(|m| (*m).into()).collect();
    Holdings { models, on_disk, ..Holdings::default() }
}

fn view<'a>(id: &'a str, holdings: &'a Holdings) -> ServerView<'a> {
    ServerView {
        id,
        data_centre: "north",
        holdings,
        in_flight: 0,
        in_flight_by_model: HashMap::new(),
        is_blocked: false,
        pending_model: None,
        pending_adapters: 0,
        pending_load: None,
        slowness: 1.0,
        is_leaving: false,
        may_return: false,
    }
}

fn demand(model: &str, waiting: u32, arrivals: u64, now: Instant) -> Demands {
    let mut demands = Demands::default();
    let demand = demands.models.entry(model.into()).or_default();
    demand.waiting = waiting;
    demand.record_arrivals(now, arrivals);
    demands
}

/// Guards against a load from the slow weight store where a server has a copy on its disk.
#[test]
fn a_rare_model_is_loaded_from_a_disk_copy() {
    let now = Instant::now();
    let all = ["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"];
    let (a, b) = (holdings(&["m0", "m1", "m2"], &all[..5]), holdings(&["m3", "m4", "m5"], &all));
    let servers = [view("a", &a), view("b", &b)];
    let plan = plan(now, &servers, &demand("m9", 1, 1, now), &engine(), &NO_BANS, LIMITS);
    assert_eq!(plan.placements.len(), 1, "{plan:?}");
    let chosen = &plan.placements[0];
    assert_eq!((&*chosen.server, &*chosen.load, chosen.source), ("b", "m9", Source::Disk));
    assert_eq!(chosen.unload.len(), 1);
    assert!(plan.ready_at["m9"] < now + Duration::from_secs(3));
}

/// Guards against another load in every plan while the first load is in progress.
#[test]
fn a_model_that_is_being_loaded_is_not_loaded_again() {
    let now = Instant::now();
    let all = ["m0", "m1", "m2", "m3", "m9"];
    let (a, b) = (holdings(&["m0", "m1", "m2"], &all), holdings(&["m0", "m1", "m3"], &all));
    let mut servers = [view("a", &a), view("b", &b)];
    servers[0].is_blocked = true;
    servers[0].pending_model = Some("m9".into());
    let ends = now + Duration::from_secs(1);
    servers[0].pending_load = Some((Source::Disk, ends));
    let limits = PlanLimits { is_prefetching: false, ..LIMITS };
    let plan = plan(now, &servers, &demand("m9", 2, 2, now), &engine(), &NO_BANS, limits);
    assert!(plan.placements.is_empty(), "{plan:?}");
    assert_eq!(plan.ready_at["m9"], ends);
}

/// Guards against a rare model that displaces a busy one while idle ones could be unloaded.
#[test]
fn idle_models_are_unloaded_first() {
    let now = Instant::now();
    let on_disk = ["m0", "m1", "m2", "m9"];
    let a = holdings(&["m0", "m1", "m2"], &on_disk);
    let servers = [view("a", &a)];
    let mut demands = demand("m9", 1, 1, now);
    demands.models.entry("m0".into()).or_default().record_arrivals(now, 100);
    demands.models.entry("m1".into()).or_default().record_arrivals(now, 20);
    let plan = plan(now, &servers, &demands, &engine(), &NO_BANS, LIMITS);
    assert_eq!(plan.placements[0].unload, [Box::<str>::from("m2")], "{plan:?}");
}

/// Guards against a busy model whose only replica would be lost with its server.
#[test]
fn a_busy_model_gets_a_second_replica() {
    let now = Instant::now();
    let on_disk = ["m0", "m1", "m2", "m3", "m4"];
    let (a, b) = (holdings(&["m0", "m1", "m2"], &on_disk), holdings(&["m3", "m4"], &on_disk));
    let servers = [view("a", &a), view("b", &b)];
    let plan = plan(now, &servers, &demand("m0", 0, 100, now), &engine(), &NO_BANS, LIMITS);
    assert!(plan.placements.iter().any(|m| *m.load == *"m0" && *m.server == *"b"), "{plan:?}");
}

/// Guards against unloading a model right after its load, before the requests that waited for it
/// are sent. It happens if many rare models are requested at once and each arrival is seconds old
/// (seen on kh-dielna trouble-3, where models were unloaded 20 ms after their load and loaded
/// elsewhere).
#[test]
fn a_model_whose_waiting_requests_are_about_to_be_sent_stays() {
    let now = Instant::now();
    let on_disk = ["m0", "m1", "m2", "m9"];
    let a = holdings(&["m0", "m1", "m2"], &on_disk);
    let servers = [view("a", &a)];
    let mut demands = demand("m9", 1, 1, now);
    for model in ["m0", "m1"] {
        demands.models.entry(model.into()).or_default().pending_send = 1;
    }
    let chosen = plan(now, &servers, &demands, &engine(), &NO_BANS, LIMITS);
    assert_eq!(chosen.placements[0].unload, [Box::<str>::from("m2")], "{chosen:?}");
    demands.models.entry("m2".into()).or_default().pending_send = 1;
    let chosen = plan(now, &servers, &demands, &engine(), &NO_BANS, LIMITS);
    assert!(chosen.placements.is_empty(), "{chosen:?}");
}

/// Guards against losing all replicas of a busy model with one data centre. The second replica goes
/// to another data centre even if a server in the first one is equally suitable.
#[test]
fn replicas_of_a_busy_model_spread_over_data_centres() {
    let now = Instant::now();
    let on_disk = ["m0", "m1", "m2", "m3", "m4"];
    let a = holdings(&["m0"], &on_disk);
    let (b, c) = (holdings(&["m1"], &on_disk), holdings(&["m2"], &on_disk));
    let mut servers = [view("a", &a), view("b", &b), view("c", &c)];
    servers[2].data_centre = "south";
    let chosen = plan(now, &servers, &demand("m0", 0, 100, now), &engine(), &NO_BANS, LIMITS);
    let target = chosen.placements.iter().find(|m| *m.load == *"m0").map(|m| &*m.server);
    assert_eq!(target, Some("c"), "{chosen:?}");
}

/// Guards against unloading a surplus replica that is the only one in its data centre.
#[test]
fn surplus_replicas_are_unloaded_where_the_data_centre_has_another() {
    let now = Instant::now();
    let on_disk = ["m0", "m9"];
    let others = [["m1", "m2"], ["m3", "m4"], ["m5", "m6"], ["m7", "m8"]];
    let held = others.map(|[x, y]| holdings(&["m0", x, y], &on_disk));
    let mut servers: Vec<_> =
        ["a", "b", "c", "d"].iter().zip(&held).map(|(id, held)| view(id, held)).collect();
    servers[0].data_centre = "south";
    let mut demands = demand("m9", 1, 1, now);
    for model in others.as_flattened() {
        demands.models.entry((*model).into()).or_default().pending_send = 1;
    }
    demands.models.entry("m0".into()).or_default().record_arrivals(now, 4);
    let limits = PlanLimits { is_prefetching: false, ..LIMITS };
    let chosen = plan(now, &servers, &demands, &engine(), &NO_BANS, limits);
    assert_eq!(chosen.placements.len(), 1, "{chosen:?}");
    assert_eq!(chosen.placements[0].unload, [Box::<str>::from("m0")], "{chosen:?}");
    assert_ne!(&*chosen.placements[0].server, "a", "{chosen:?}");
}

/// Guards against more concurrent loads than the weight store serves at full speed.
#[test]
fn loads_from_the_store_stay_within_its_limit() {
    let now = Instant::now();
    let empty = Holdings::default();
    let ids: Vec<String> = (0..6).map(|n| format!("s{n}")).collect();
    let servers: Vec<_> = ids.iter().map(|id| view(id, &empty)).collect();
    let mut demands = Demands::default();
    for n in 0..6 {
        let demand = demands.models.entry(format!("m{n}").into()).or_default();
        demand.waiting = 1;
        demand.record_arrivals(now, 1);
    }
    let plan = plan(now, &servers, &demands, &engine(), &NO_BANS, LIMITS);
    let from_store = plan.placements.iter().filter(|m| m.source == Source::Store).count();
    assert_eq!(from_store, LIMITS.max_store_loads, "{plan:?}");
    assert_eq!(plan.ready_at.len(), 6, "the other models have a predicted load time");
}

/// Guards against a weight store that is idle while the last copies of a model leave with their
/// servers (karta-ph-grown, trouble-3: 33 of 90 servers left, and 33 models had no copy afterwards).
#[test]
fn model_whose_last_copies_leave_is_prefetched() {
    let now = Instant::now();
    let all = ["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"];
    let (stays, leaves) = (holdings(&["m0"], &all), holdings(&["m0"], &["m9"]));
    let mut servers = [view("a", &stays), view("b", &leaves)];
    let no_demand = Demands::default();
    let first = plan(now, &servers, &no_demand, &engine(), &NO_BANS, LIMITS);
    assert!(first.placements.is_empty(), "{first:?}");
    servers[1].is_leaving = true;
    let second = plan(now, &servers, &no_demand, &engine(), &NO_BANS, LIMITS);
    let prefetched: Vec<_> = second.placements.iter().map(|m| (&*m.server, &*m.load)).collect();
    assert_eq!(prefetched, [("a", "m9")], "{second:?}");
    // A server that cannot be reached may be back earlier (a data centre that is cut off for 6 s).
    servers[1].may_return = true;
    let third = plan(now, &servers, &no_demand, &engine(), &NO_BANS, LIMITS);
    assert!(third.placements.is_empty(), "{third:?}");
}

/// Guards against a weight store that loads models without a copy in the order of their names, while
/// callers of one of them were refused and come back.
#[test]
fn requested_models_without_a_copy_are_prefetched_first() {
    let now = Instant::now();
    let a = holdings(&["m0"], &["m0", "m1", "m2", "m3"]);
    let servers = [view("a", &a)];
    let limits = PlanLimits { max_store_loads: 1, ..LIMITS };
    let plan = plan(now, &servers, &demand("m8", 0, 3, now), &engine(), &NO_BANS, limits);
    assert_eq!(plan.placements.iter().map(|m| &*m.load).collect::<Vec<_>>(), ["m8"], "{plan:?}");
}

/// Guards against the place at the weight store for a model without a copy that one caller asked
/// for, while callers of a busy model with one copy are refused (karta-ph-grown: 398 of 742 refusals
/// for full queues were for one model).
#[test]
fn further_copy_of_a_busy_model_comes_before_a_rare_missing_one() {
    let now = Instant::now();
    let (a, b) = (holdings(&["m0"], &["m0"]), holdings(&["m1"], &["m1"]));
    let mut servers = [view("a", &a), view("b", &b)];
    servers[0].in_flight = 10;
    servers[0].in_flight_by_model = [("m0", 10)].into();
    let mut demands = demand("m0", 0, 40, now);
    let busy = demands.models.get_mut("m0").unwrap();
    (busy.in_flight, busy.pending_send) = (10, 3);
    demands.models.entry("m5".into()).or_default().waiting = 1;
    let limits = PlanLimits { max_store_loads: 1, ..LIMITS };
    let plan = plan(now, &servers, &demands, &engine(), &NO_BANS, limits);
    assert_eq!(plan.placements.iter().map(|m| &*m.load).collect::<Vec<_>>(), ["m0"], "{plan:?}");
}

/// Guards against loads on servers that leave or that can receive no order.
#[test]
fn leaving_and_blocked_servers_get_no_load() {
    let now = Instant::now();
    let on_disk = ["m9"];
    let (a, b) = (holdings(&[], &on_disk), holdings(&[], &on_disk));
    let mut servers = [view("a", &a), view("b", &b)];
    servers[0].is_leaving = true;
    servers[1].is_blocked = true;
    let plan = plan(now, &servers, &demand("m9", 1, 1, now), &engine(), &NO_BANS, LIMITS);
    assert!(plan.placements.is_empty(), "{plan:?}");
    assert!(plan.ready_at.contains_key("m9"));
}

/// Guards against counting the memory of a model that is being loaded as free.
#[test]
fn a_model_that_is_being_loaded_uses_memory() {
    let held = Holdings { loading: Some("m3".into()), ..holdings(&["m0", "m1"], &[]) };
    assert!((free_mb(&engine(), &held) - 20.0).abs() < 1e-6);
}

/// Guards against unloading an adapter that is in use, and against choosing a full server while
/// another one has a free adapter place.
#[test]
fn adapters_go_to_free_places_or_replace_the_least_recently_used() {
    let now = Instant::now();
    let with = |names: &[&str]| {
        let adapters = names.iter().map(|a| (*a).into()).collect();
        Holdings { models: [("m0".into(), adapters)].into(), ..Holdings::default() }
    };
    let (full, free) = (with(&["a1", "a2"]), with(&["a3"]));
    let used: AdapterUse = [("a1", 10), ("a2", 1)]
        .map(|(a, ago)| (("m0".into(), a.into()), now - Duration::from_secs(ago)))
        .into();
    let both = [view("a", &full), view("b", &free)];
    let chosen = place_adapter(now, &both, 2, "m0", &used).unwrap();
    assert_eq!((&*chosen.server, chosen.unload), ("b", None));
    let chosen = place_adapter(now, &both[..1], 2, "m0", &used).unwrap();
    assert_eq!(chosen.unload, Some(("m0".into(), "a1".into())));
    // An adapter that is being loaded uses the free place (LIMIT, violated on all standard
    // days in a trial that ignored this).
    let mut coming = both.clone();
    coming[1].pending_adapters = 1;
    let chosen = place_adapter(now, &coming, 2, "m0", &used).unwrap();
    assert_eq!(chosen.unload.map(|(_, adapter)| adapter).as_deref(), Some("a3"));
    let all_fresh: AdapterUse = ["a1", "a2"].map(|a| (("m0".into(), a.into()), now)).into();
    assert_eq!(place_adapter(now, &both[..1], 2, "m0", &all_fresh), None);
    assert_eq!(place_adapter(now, &both, 2, "m7", &used), None);
}

/// Guards against refusing requests because a new leader does not know yet which servers have
/// cached copies (seen on alykes-stock quiet-1 at 27.3 s).
#[test]
fn no_load_time_is_predicted_before_all_holdings_are_known() {
    let now = Instant::now();
    let empty = Holdings::default();
    let servers = [view("a", &empty)];
    let limits = PlanLimits { is_inventory_complete: false, ..LIMITS };
    let plan = plan(now, &servers, &demand("m9", 1, 1, now), &engine(), &NO_BANS, limits);
    assert!(plan.placements.is_empty() && plan.ready_at.is_empty(), "{plan:?}");
}

/// Guards against refusing requests whose model has a cached copy on a temporarily blocked server,
/// as if the model had to be loaded from the weight store.
#[test]
fn a_cached_copy_on_a_blocked_server_is_waited_for() {
    let now = Instant::now();
    let held = holdings(&[], &["m9"]);
    let mut servers = [view("a", &held)];
    servers[0].is_blocked = true;
    let plan = plan(now, &servers, &demand("m9", 1, 1, now), &engine(), &NO_BANS, LIMITS);
    assert!(plan.ready_at["m9"] <= now + Duration::from_secs(3), "{plan:?}");
}

/// Guards against loading a rare model on a server whose slots are used by a busy one.
#[test]
fn a_rare_model_goes_to_a_server_with_free_slots() {
    let now = Instant::now();
    let on_disk = ["m0", "m9"];
    let (a, b) = (holdings(&["m0"], &on_disk), holdings(&["m0"], &on_disk));
    let mut servers = [view("a", &a), view("b", &b)];
    servers[0].in_flight = 12;
    let plan = plan(now, &servers, &demand("m9", 1, 1, now), &engine(), &NO_BANS, LIMITS);
    assert_eq!(&*plan.placements[0].server, "b", "{plan:?}");
}

/// Guards against a predicted load time for a loaded model that gets an additional replica, which
/// would seem to delay its requests.
#[test]
fn a_loaded_model_has_no_predicted_load_time() {
    let now = Instant::now();
    let held = holdings(&["m0"], &["m0"]);
    let servers = [view("a", &held)];
    let plan = plan(now, &servers, &demand("m0", 0, 400, now), &engine(), &NO_BANS, LIMITS);
    assert!(plan.ready_at.is_empty(), "{plan:?}");
}

/// Guards against models with equal demand that displace each other alternately (found by the soak
/// test with seed 1: four models that each required two replicas on six places).
#[test]
fn models_with_equal_demand_do_not_displace_each_other() {
    let now = Instant::now();
    let on_disk = ["m0", "m1", "m2", "m3"];
    let (a, b) = (holdings(&["m0", "m1", "m2"], &on_disk), holdings(&["m3", "m0", "m1"], &on_disk));
    let servers = [view("a", &a), view("b", &b)];
    let mut demands = Demands::default();
    for model in on_disk {
        demands.models.entry(model.into()).or_default().record_arrivals(now, 40);
    }
    let plan = plan(now, &servers, &demands, &engine(), &NO_BANS, LIMITS);
    assert!(plan.placements.is_empty(), "{plan:?}");
}

/// Guards against counting a held model as free memory because its loads are banned (review/1), or
/// because the configuration no longer describes it: a full server was ordered to load one more.
#[rstest]
#[case::banned(true, &["m1"])]
#[case::not_described(false, &[])]
fn held_model_that_may_not_be_loaded_takes_memory(
    #[case] is_described: bool,
    #[case] banned: &[&str],
) {
    let now = Instant::now();
    let mut engine = engine();
    if !is_described {
        engine.models.remove("m1");
    }
    let banned = banned.iter().map(|model| (*model).into()).collect();
    let a = holdings(&["m0", "m1", "m2"], &["m0", "m1", "m2", "m9"]);
    let demands = demand("m9", 1, 1, now);
    let servers = [view("a", &a)];
    let plan = plan(now, &servers, &demands, &engine, &banned, LIMITS);
    assert_eq!(plan.placements.len(), 1, "{plan:?}");
    // Three models fit on a server, and it holds three.
    assert!(!plan.placements[0].unload.is_empty(), "{plan:?}");
    assert!(free_mb(&engine, &a) < 70.0);
}

/// Guards against loads of a model whose loads are banned, on demand or ahead of it.
#[test]
fn banned_model_is_not_loaded() {
    let now = Instant::now();
    let a = holdings(&["m0"], &["m0"]);
    let servers = [view("a", &a)];
    let banned: BTreeSet<ModelName> = (1..10).map(|n| format!("m{n}").into()).collect();
    let plan = plan(now, &servers, &demand("m9", 3, 3, now), &engine(), &banned, LIMITS);
    assert!(plan.placements.is_empty(), "{plan:?}");
    assert!(plan.ready_at.is_empty(), "{plan:?}");
}
