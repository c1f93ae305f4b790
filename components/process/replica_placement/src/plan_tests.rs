//! Tests of the placement under the loads that it answers.

use super::*;
use crate::adapters::AdapterUse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use routes::{Engine, Model};
use server_directory::Holdings;

const LIMITS: PlanLimits =
    PlanLimits { max_store_loads: 2, is_prefetching: true, is_inventory_complete: true };

/// Ten models of which three fit on a server.
fn models() -> Engine {
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
        weights_mb: 230.0,
        host_memory_mb: 150.0,
        max_adapters: 2,
        store_loads_per_second: 4.0,
        models: (0..10).map(model).map(|m| (m.name.clone(), m)).collect(),
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
        is_leaving: false,
    }
}

fn demand(model: &str, waiting: u32, arrivals: u64, now: Instant) -> Demands {
    let mut demands = Demands::default();
    let demand = demands.models.entry(model.into()).or_default();
    demand.waiting = waiting;
    demand.record_arrivals(now, arrivals);
    demands
}

/// Guards against the slow weight store where a server has a copy on its disk.
#[test]
fn a_rare_model_is_loaded_from_a_disk_that_has_it() {
    let now = Instant::now();
    let all = ["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"];
    let (a, b) = (holdings(&["m0", "m1", "m2"], &all[..5]), holdings(&["m3", "m4", "m5"], &all));
    let servers = [view("a", &a), view("b", &b)];
    let plan = plan(now, &servers, &demand("m9", 1, 1, now), &models(), LIMITS);
    assert_eq!(plan.placements.len(), 1, "{plan:?}");
    let chosen = &plan.placements[0];
    assert_eq!((&*chosen.server, &*chosen.load, chosen.source), ("b", "m9", Source::Disk));
    assert_eq!(chosen.unload.len(), 1);
    assert!(plan.ready_at["m9"] < now + Duration::from_secs(3));
}

/// Guards against one load for each time that the plan is made while the first one is under way.
#[test]
fn a_model_on_its_way_is_not_loaded_again() {
    let now = Instant::now();
    let all = ["m0", "m1", "m2", "m3", "m9"];
    let (a, b) = (holdings(&["m0", "m1", "m2"], &all), holdings(&["m0", "m1", "m3"], &all));
    let mut servers = [view("a", &a), view("b", &b)];
    servers[0].is_blocked = true;
    servers[0].pending_model = Some("m9".into());
    let ends = now + Duration::from_secs(1);
    servers[0].pending_load = Some((Source::Disk, ends));
    let limits = PlanLimits { is_prefetching: false, ..LIMITS };
    let plan = plan(now, &servers, &demand("m9", 2, 2, now), &models(), limits);
    assert!(plan.placements.is_empty(), "{plan:?}");
    assert_eq!(plan.ready_at["m9"], ends);
}

/// Guards against a rare model that takes the place of a busy one while idle ones could go.
#[test]
fn idle_models_and_surplus_copies_make_way_first() {
    let now = Instant::now();
    let on_disk = ["m0", "m1", "m2", "m9"];
    let a = holdings(&["m0", "m1", "m2"], &on_disk);
    let servers = [view("a", &a)];
    let mut demands = demand("m9", 1, 1, now);
    demands.models.entry("m0".into()).or_default().record_arrivals(now, 100);
    demands.models.entry("m1".into()).or_default().record_arrivals(now, 20);
    let plan = plan(now, &servers, &demands, &models(), LIMITS);
    assert_eq!(plan.placements[0].unload, [Box::<str>::from("m2")], "{plan:?}");
}

/// Guards against a busy model with one copy, which a lost server would take away.
#[test]
fn a_busy_model_gets_a_second_copy() {
    let now = Instant::now();
    let on_disk = ["m0", "m1", "m2", "m3", "m4"];
    let (a, b) = (holdings(&["m0", "m1", "m2"], &on_disk), holdings(&["m3", "m4"], &on_disk));
    let servers = [view("a", &a), view("b", &b)];
    let plan = plan(now, &servers, &demand("m0", 0, 100, now), &models(), LIMITS);
    assert!(plan.placements.iter().any(|m| *m.load == *"m0" && *m.server == *"b"), "{plan:?}");
}

/// Guards against unloading a model right after its load, before the requests that waited for it
/// are sent: many rare models are asked for at once, and each one's arrival is seconds ago (seen on
/// kh-dielna trouble-3, where models were unloaded 20 ms after their load and loaded elsewhere).
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
    let chosen = plan(now, &servers, &demands, &models(), LIMITS);
    assert_eq!(chosen.placements[0].unload, [Box::<str>::from("m2")], "{chosen:?}");
    demands.models.entry("m2".into()).or_default().pending_send = 1;
    let chosen = plan(now, &servers, &demands, &models(), LIMITS);
    assert!(chosen.placements.is_empty(), "{chosen:?}");
}

/// Guards against losing all copies of a busy model with one data centre: the second copy goes
/// elsewhere, also if a server next to the first one is as good.
#[test]
fn copies_of_a_busy_model_spread_over_data_centres() {
    let now = Instant::now();
    let on_disk = ["m0", "m1", "m2", "m3", "m4"];
    let a = holdings(&["m0"], &on_disk);
    let (b, c) = (holdings(&["m1"], &on_disk), holdings(&["m2"], &on_disk));
    let mut servers = [view("a", &a), view("b", &b), view("c", &c)];
    servers[2].data_centre = "south";
    let chosen = plan(now, &servers, &demand("m0", 0, 100, now), &models(), LIMITS);
    let target = chosen.placements.iter().find(|m| *m.load == *"m0").map(|m| &*m.server);
    assert_eq!(target, Some("c"), "{chosen:?}");
}

/// Guards against giving up a surplus copy that is the only one in its data centre.
#[test]
fn surplus_copies_go_where_another_one_is_near() {
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
    let chosen = plan(now, &servers, &demands, &models(), limits);
    assert_eq!(chosen.placements.len(), 1, "{chosen:?}");
    assert_eq!(chosen.placements[0].unload, [Box::<str>::from("m0")], "{chosen:?}");
    assert_ne!(&*chosen.placements[0].server, "a", "{chosen:?}");
}

/// Guards against more loads at once than the weight store carries at full speed.
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
    let plan = plan(now, &servers, &demands, &models(), LIMITS);
    let from_store = plan.placements.iter().filter(|m| m.source == Source::Store).count();
    assert_eq!(from_store, LIMITS.max_store_loads, "{plan:?}");
    assert_eq!(plan.ready_at.len(), 6, "the others are told when their turn should come");
}

/// Guards against loads on servers that leave, that are ordered already or that have no room.
#[test]
fn servers_that_cannot_take_a_load_get_none() {
    let now = Instant::now();
    let on_disk = ["m9"];
    let (a, b) = (holdings(&[], &on_disk), holdings(&[], &on_disk));
    let mut servers = [view("a", &a), view("b", &b)];
    servers[0].is_leaving = true;
    servers[1].is_blocked = true;
    let plan = plan(now, &servers, &demand("m9", 1, 1, now), &models(), LIMITS);
    assert!(plan.placements.is_empty(), "{plan:?}");
    assert!(plan.ready_at.contains_key("m9"));
}

/// Guards against memory that is counted as free while a load is under way.
#[test]
fn a_model_that_is_being_loaded_takes_room() {
    let held = Holdings { loading: Some("m3".into()), ..holdings(&["m0", "m1"], &[]) };
    assert!((free_mb(&models(), &held) - 20.0).abs() < 1e-6);
}

/// Guards against an adapter that pushes out one in use, and against a full server while another
/// one has a free place.
#[test]
fn adapters_go_where_there_is_room_and_push_out_the_oldest() {
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
    // One on its way takes the free place (LIMIT, seen on all standard days in a failed trial).
    let mut coming = both.clone();
    coming[1].pending_adapters = 1;
    let chosen = place_adapter(now, &coming, 2, "m0", &used).unwrap();
    assert_eq!(chosen.unload.map(|(_, adapter)| adapter).as_deref(), Some("a3"));
    let all_fresh: AdapterUse = ["a1", "a2"].map(|a| (("m0".into(), a.into()), now)).into();
    assert_eq!(place_adapter(now, &both[..1], 2, "m0", &all_fresh), None);
    assert_eq!(place_adapter(now, &both, 2, "m7", &used), None);
}

/// Guards against requests that are refused because an order giver that has just begun does not
/// know yet which servers have copies (seen on alykes-stock quiet-1 at 27.3 s).
#[test]
fn nothing_is_said_of_missing_models_before_all_servers_are_known() {
    let now = Instant::now();
    let empty = Holdings::default();
    let servers = [view("a", &empty)];
    let limits = PlanLimits { is_inventory_complete: false, ..LIMITS };
    let plan = plan(now, &servers, &demand("m9", 1, 1, now), &models(), limits);
    assert!(plan.placements.is_empty() && plan.ready_at.is_empty(), "{plan:?}");
}

/// Guards against a refusal of requests whose model has a copy on a server that is busy for a
/// moment, as if it had to come from the weight store.
#[test]
fn a_copy_on_a_busy_server_is_waited_for() {
    let now = Instant::now();
    let held = holdings(&[], &["m9"]);
    let mut servers = [view("a", &held)];
    servers[0].is_blocked = true;
    let plan = plan(now, &servers, &demand("m9", 1, 1, now), &models(), LIMITS);
    assert!(plan.ready_at["m9"] <= now + Duration::from_secs(3), "{plan:?}");
}

/// Guards against a rare model that is loaded where a busy one fills the slots.
#[test]
fn a_rare_model_goes_to_a_server_with_free_slots() {
    let now = Instant::now();
    let on_disk = ["m0", "m9"];
    let (a, b) = (holdings(&["m0"], &on_disk), holdings(&["m0"], &on_disk));
    let mut servers = [view("a", &a), view("b", &b)];
    servers[0].in_flight = 12;
    let plan = plan(now, &servers, &demand("m9", 1, 1, now), &models(), LIMITS);
    assert_eq!(&*plan.placements[0].server, "b", "{plan:?}");
}

/// Guards against an extra copy of a loaded model that delays its requests on paper.
#[test]
fn a_loaded_model_has_no_time_at_which_it_will_be_loaded() {
    let now = Instant::now();
    let held = holdings(&["m0"], &["m0"]);
    let servers = [view("a", &held)];
    let plan = plan(now, &servers, &demand("m0", 0, 400, now), &models(), LIMITS);
    assert!(plan.ready_at.is_empty(), "{plan:?}");
}

/// Guards against models in equal demand that push each other out in turn (found by the soak,
/// seed 1: four models that each asked for two copies on six places).
#[test]
fn models_in_equal_demand_leave_each_other_in_place() {
    let now = Instant::now();
    let on_disk = ["m0", "m1", "m2", "m3"];
    let (a, b) = (holdings(&["m0", "m1", "m2"], &on_disk), holdings(&["m3", "m0", "m1"], &on_disk));
    let servers = [view("a", &a), view("b", &b)];
    let mut demands = Demands::default();
    for model in on_disk {
        demands.models.entry(model.into()).or_default().record_arrivals(now, 40);
    }
    let plan = plan(now, &servers, &demands, &models(), LIMITS);
    assert!(plan.placements.is_empty(), "{plan:?}");
}
