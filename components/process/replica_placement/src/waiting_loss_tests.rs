//! Tests of the order of loads by what waiting callers lose.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use admission::waiting::{AccountTag, WaitingGroup};
use routes::{Engine, ModelName};
use rstest::rstest;
use server_directory::Holdings;

use crate::demand::Demands;
use crate::plan::{Plan, PlanLimits, ServerView, plan};
use crate::plan_tests::engine_with;

/// Place for one load from the weight store at a time.
const LIMITS: PlanLimits =
    PlanLimits { max_store_loads: 1, is_prefetching: false, is_inventory_complete: true };

/// Longest wait of each rank.
const LONGEST_WAITS: [(u8, Duration); 4] = [
    (0, Duration::from_secs(20)),
    (1, Duration::from_secs(20)),
    (2, Duration::from_secs(20)),
    (3, Duration::from_secs(3)),
];

const NO_BANS: BTreeSet<ModelName> = BTreeSet::new();

/// An engine with five models, three of which fit on a server.
fn engine() -> Engine {
    engine_with(5)
}

fn view<'a>(id: &'a str, holdings: &'a Holdings) -> ServerView<'a> {
    ServerView {
        id,
        data_centre: "north",
        holdings,
        in_flight: 0,
        in_flight_by_model: Default::default(),
        is_blocked: false,
        pending_model: None,
        pending_adapters: 0,
        pending_load: None,
        slowness: 1.0,
        is_leaving: false,
        may_return: false,
    }
}

fn group(rank: u8, account: Option<AccountTag>, count: u32) -> WaitingGroup {
    WaitingGroup { rank, account, accounts: 1, count }
}

/// Adds waiting requests for a model that no server has.
fn add(demands: &mut Demands, model: &str, groups: impl IntoIterator<Item = WaitingGroup>) {
    let demand = demands.models.entry(model.into()).or_default();
    demand.waiting_groups = groups.into_iter().collect();
    demand.waiting = demand.waiting_groups.iter().map(|group| group.count).sum();
    demands.weigh_waiting(Some(&LONGEST_WAITS.into()));
}

/// Plans for two empty servers.
fn plan_empty(demands: &Demands, engine: &Engine) -> Plan {
    let empty = Holdings::default();
    let servers = [view("a", &empty), view("b", &empty)];
    plan(Instant::now(), &servers, demands, engine, &NO_BANS, LIMITS)
}

/// Models that get the places at the weight store, in a plan for two empty servers.
fn loaded(demands: &Demands, engine: &Engine) -> Vec<ModelName> {
    plan_empty(demands, engine).placements.into_iter().map(|placement| placement.load).collect()
}

/// Guards against the many least urgent requests that keep the weight store's one place from a few
/// urgent ones (karta-ph-grown: advisories beside pilots' questions).
#[test]
fn urgent_few_come_before_least_urgent_many() {
    let mut demands = Demands::default();
    add(&mut demands, "m1", [group(2, None, 6)]);
    add(&mut demands, "m2", [group(0, None, 2)]);
    assert_eq!(loaded(&demands, &engine()), ["m2".into()]);
    // The least urgent are not starved: enough of them come first.
    add(&mut demands, "m1", [group(2, None, 12)]);
    assert_eq!(loaded(&demands, &engine()), ["m1".into()]);
}

/// Guards against a hot account whose requests decide which models are loaded (`hot_tenant` of
/// rpra-points-grown).
#[test]
fn requests_of_several_accounts_come_before_more_of_a_hot_one() {
    let mut demands = Demands::default();
    add(&mut demands, "m1", [group(1, Some(1), 20)]);
    add(&mut demands, "m2", (2..8).map(|account| group(1, Some(account), 1)));
    assert_eq!(loaded(&demands, &engine()), ["m2".into()]);
}

/// Guards against a hot account that counts anew for each model that it asks for.
#[test]
fn share_of_an_account_covers_all_models_that_it_waits_for() {
    let mut demands = Demands::default();
    for model in ["m1", "m2", "m3"] {
        add(&mut demands, model, [group(1, Some(1), 8)]);
    }
    add(&mut demands, "m4", [group(1, Some(2), 5)]);
    assert_eq!(loaded(&demands, &engine()), ["m4".into()]);
}

/// Guards against an order that changes where requests have one rank and no accounts, or all the
/// same account.
#[rstest]
#[case::no_account(None)]
#[case::one_account(Some(7))]
fn requests_of_one_rank_and_account_count_as_one_each(
    #[values(0, 1, 2, 5)] rank: u8,
    #[case] account: Option<AccountTag>,
) {
    let mut counted = Demands::default();
    let mut grouped = Demands::default();
    for (model, count) in [("m1", 3), ("m2", 5), ("m3", 4)] {
        counted.models.entry(model.into()).or_default().waiting = count;
        add(&mut grouped, model, [group(rank, account, count)]);
        assert!((grouped.weight(model) - 1.0).abs() < 1e-9);
    }
    for model in ["m1", "m2", "m3"] {
        let losses = [&counted, &grouped]
            .map(|demands| demands.get(model).unwrap().spared_loss(Duration::ZERO));
        assert!((losses[0] - losses[1]).abs() < 1e-9, "{losses:?}");
    }
    assert_eq!(
        plan_empty(&counted, &engine()).placements,
        plan_empty(&grouped, &engine()).placements
    );
}

/// Guards against a load from the weight store for callers who will have left before it ends
/// (karta-ph-grown: a load takes 13.2 s, and pilots wait for 12 s).
#[test]
fn callers_who_leave_before_the_end_of_a_load_do_not_call_for_it() {
    let mut demands = Demands::default();
    add(&mut demands, "m1", [group(3, None, 8)]);
    add(&mut demands, "m2", [group(2, None, 2)]);
    assert_eq!(loaded(&demands, &engine()), ["m2".into()]);
    // From a disk, the same load would be in time.
    let held = Holdings { on_disk: [ModelName::from("m1")].into(), ..Holdings::default() };
    let servers = [view("a", &held)];
    let plan = plan(Instant::now(), &servers, &demands, &engine(), &NO_BANS, LIMITS);
    assert_eq!(*plan.placements[0].load, *"m1", "{plan:?}");
}

/// Guards against a slow load that keeps the weight store from two faster ones which would serve
/// more callers in the same time.
#[test]
fn place_at_the_weight_store_goes_to_the_greatest_loss_per_time() {
    let mut engine = engine();
    engine.models.get_mut("m1").unwrap().store_load_time = Duration::from_secs(14);
    let mut demands = Demands::default();
    add(&mut demands, "m1", [group(0, None, 5)]);
    add(&mut demands, "m2", [group(0, None, 3)]);
    assert_eq!(loaded(&demands, &engine), ["m2".into()]);
}

/// Guards against an urgent request that displaces a model of urgent callers while one of least
/// urgent callers, with as many requests, could make way.
#[test]
fn models_of_less_urgent_callers_are_displaced_first() {
    let now = Instant::now();
    let names = ["m0", "m1", "m2"];
    let held = Holdings {
        models: names.iter().map(|name| ((*name).into(), BTreeSet::new())).collect(),
        on_disk: names.iter().chain(&["m3"]).map(|name| (*name).into()).collect(),
        ..Holdings::default()
    };
    let mut demands = Demands::default();
    for (model, rank) in names.into_iter().zip([0, 0, 2]) {
        add(&mut demands, model, [group(rank, None, 1)]);
    }
    for model in names {
        demands.models.get_mut(model).unwrap().record_arrivals(now, 8);
        add(&mut demands, model, []);
    }
    add(&mut demands, "m3", [group(0, None, 6)]);
    let servers = [view("a", &held)];
    let plan = plan(now, &servers, &demands, &engine(), &NO_BANS, LIMITS);
    assert_eq!(plan.placements[0].unload, [ModelName::from("m2")], "{plan:?}");
}

/// Guards against load times that change the order where a configuration has one rank and no accounts.
#[test]
fn place_at_the_weight_store_goes_by_count_without_ranks_and_accounts() {
    let mut engine = engine();
    engine.models.get_mut("m1").unwrap().store_load_time = Duration::from_secs(14);
    let mut demands = Demands::default();
    for (model, count) in [("m1", 5), ("m2", 3)] {
        demands.models.entry(model.into()).or_default().waiting = count;
    }
    demands.weigh_waiting(None);
    assert_eq!(loaded(&demands, &engine), ["m1".into()]);
}

/// Guards against a model without a load time, which made every other load worth nothing, so that the
/// names decided.
#[test]
fn model_without_a_load_time_leaves_the_order_of_the_others() {
    let mut engine = engine();
    engine.models.get_mut("m0").unwrap().store_load_time = Duration::ZERO;
    let mut demands = Demands::default();
    add(&mut demands, "m1", [group(0, None, 3)]);
    add(&mut demands, "m2", [group(0, None, 5)]);
    assert_eq!(loaded(&demands, &engine), ["m2".into()]);
}
