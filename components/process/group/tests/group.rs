//! Tests decision objects, orders and allowances with fake servers and a fake platform.

#[path = "cases/roles.rs"]
mod roles;
mod simulation;

use std::collections::VecDeque;
use std::time::{Instant, SystemTime};

use group::{Action, Decision, DecisionError, Group, Settings};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use simulation::{DECLARED, Simulation, secs};
use types::object::{ObjectAnswer, ObjectCall};
use types::prelude::{ListedInstance, ListedRole, ListedState, LoadSource, ReplicaPhase};

/// Guards against decisions that never take effect, and against lost allowances.
#[test]
fn loads_take_effect_and_allowances_add_up() {
    let mut sim = Simulation::new(1);
    for step in 1..60 {
        sim.run_until(f64::from(step));
        for model in ["m0", "m1", "m2"] {
            if step > 10 {
                assert_eq!(sim.allowances(model), i64::from(DECLARED), "{model} at {step} s");
            }
        }
    }
    assert!(sim.loads_delivered > 20, "only {} loads", sim.loads_delivered);
}

/// Guards against a successor that releases the memory and the replica of an unresolved load. The
/// old owner dies before it learns the result, so the load must stay counted until the server
/// reports the replica.
#[test]
fn owner_death_during_a_load_keeps_the_replica_counted() {
    for server in ["checks0", "ignores0"] {
        let mut sim = Simulation::idle(2);
        sim.allot(0, "m0", DECLARED);
        sim.late_orders = (1.0, secs(0.002));
        assert!(sim.load(0, server, "m0"));
        sim.run_for(0.05);
        sim.kill(0);
        sim.run_for(11.0);
        assert!(sim.take_over(0));
        sim.run_for(5.0);
        assert_eq!(sim.loaded("m0"), 1);
        let view = sim.owners[1].machine.view(sim.now);
        assert_eq!(view.allowance_left["m0"], DECLARED - 1);
        assert_eq!(view.servers[server].replicas.len(), 1);
        assert_eq!(view.servers[server].memory_free, 75);
    }
}

/// Guards against overcommitment by a successor while an order of the old owner, which was paused
/// after the check of its lease, may still arrive. A server that checks fencing numbers refuses the
/// late order; a server that ignores them gets no other order until the outcome is known.
#[test]
fn a_late_order_of_a_paused_owner_is_refused_or_stays_reserved() {
    for server in ["checks0", "ignores0"] {
        let mut sim = Simulation::idle(3);
        sim.allot(0, "m0", DECLARED);
        sim.late_orders = (1.0, secs(60.0));
        assert!(sim.load(0, server, "m0"));
        sim.run_for(0.1);
        sim.late_orders.0 = 0.0;
        sim.pause(0, secs(40.0));
        sim.run_for(11.0);
        assert!(sim.take_over(0));
        sim.run_for(5.0);
        sim.allot(1, "m1", 1);
        let blocked = sim.owners[1].machine.view(sim.now).servers[server].is_blocked;
        let ignores = server == "ignores0";
        assert_eq!(blocked, ignores, "{server}");
        assert_eq!(sim.load(1, server, "m1"), !ignores, "{server}");
        sim.run_for(60.0);
        assert_eq!(sim.loaded("m0"), usize::from(ignores), "{server}");
        assert!(!sim.owners[1].machine.view(sim.now).servers[server].is_blocked);
    }
}

/// Guards against unrecorded orders while the platform is unavailable, and against rejecting the
/// loads that permits cover.
#[test]
fn only_permits_are_used_while_the_platform_is_unavailable() {
    let mut sim = Simulation::idle(4);
    sim.allot(0, "m0", DECLARED);
    sim.run_for(5.0);
    sim.cut_off(0);
    sim.run_for(20.0);
    let loads = ["checks0", "also0", "ignores0"]
        .map(|server| (0..3).filter(|_| sim.load(0, server, "m0")).count());
    // Permits are granted in the order of the server names: `also0` gets one for two loads, and
    // `checks0` one for the single load that the allowance leaves.
    assert_eq!(loads, [1, 2, 0]);
    sim.run_for(5.0);
    assert_eq!(sim.loaded("m0"), 3);
    assert!(sim.take_over(0));
    sim.run_for(5.0);
    let view = sim.owners[1].machine.view(sim.now);
    assert_eq!(view.allowance_left["m0"], 0);
    assert_eq!(view.servers.values().map(|server| server.replicas.len()).sum::<usize>(), 3);
}

/// Guards against releasing an order whose result was lost. It must stay counted until a seal with
/// a higher fencing number excludes that it still arrives.
#[test]
fn an_order_with_an_unknown_result_is_resolved_by_a_seal() {
    let mut sim = Simulation::idle(5);
    sim.allot(0, "m0", DECLARED);
    sim.late_orders = (1.0, secs(100_000.0));
    assert!(sim.load(0, "checks0", "m0"));
    sim.run_for(0.1);
    sim.late_orders.0 = 0.0;
    sim.run_for(5.0);
    let left = |sim: &Simulation| sim.owners[0].machine.view(sim.now).allowance_left["m0"];
    assert_eq!(left(&sim), DECLARED - 1);
    sim.run_for(15.0);
    assert_eq!(left(&sim), DECLARED);
}

/// Guards against memory that stays reserved after a server restarted or was reclaimed, and
/// against losing the accelerator intervals of its replicas.
#[test]
fn a_restart_and_a_reclaim_release_memory_and_end_intervals() {
    let mut sim = Simulation::idle(6);
    sim.allot(0, "m0", DECLARED);
    assert!(sim.load(0, "checks0", "m0") && sim.load(0, "ignores0", "m0"));
    sim.run_for(5.0);
    sim.servers[0].restart();
    sim.servers[2].alive = false;
    sim.run_for(3.0);
    let machine = &sim.owners[0].machine;
    let view = machine.view(sim.now);
    assert_eq!(view.allowance_left["m0"], DECLARED);
    assert!(!view.servers.contains_key("ignores0"));
    assert_eq!(machine.closed_intervals().len(), 2);
    assert!(machine.closed_intervals().iter().all(|interval| interval.until > interval.from));
}

/// Guards against a replica that is not counted. A load order with a lost result reaches a server
/// that ignores fencing numbers after the server restarted and its memory was released.
#[test]
fn an_unrecorded_replica_is_counted_once_a_report_shows_it() {
    let mut sim = Simulation::idle(8);
    sim.late_orders_survive_restart = true;
    sim.allot(0, "m0", DECLARED);
    sim.late_orders = (1.0, secs(60.0));
    assert!(sim.load(0, "ignores0", "m0"));
    sim.run_for(0.1);
    sim.late_orders.0 = 0.0;
    sim.run_for(3.0);
    sim.servers[2].restart();
    sim.run_for(1.0);
    let left = |sim: &Simulation| sim.owners[0].machine.view(sim.now).allowance_left["m0"];
    assert_eq!(left(&sim), DECLARED);
    sim.run_for(60.0);
    assert_eq!(sim.loaded("m0"), 1);
    assert_eq!(left(&sim), DECLARED - 1);
}

/// Guards against a replica that gets no requests, or is unloaded while it serves requests, because
/// the answer to the write of its unload order was lost.
#[test]
fn an_unload_whose_write_has_no_answer_is_withdrawn() {
    let mut sim = Simulation::idle(9);
    sim.allot(0, "m0", DECLARED);
    assert!(sim.load(0, "checks0", "m0"));
    sim.run_for(5.0);
    let view = sim.owners[0].machine.view(sim.now);
    let replica = *view.servers["checks0"].replicas.keys().next().expect("a replica");
    sim.platform.faults.answer_loss = 1.0;
    assert!(sim.decide(0, Decision::Unload { replica }));
    for _ in 0..50 {
        assert_eq!(sim.published_phase(0, replica), Some(ReplicaPhase::Ready));
        sim.run_for(0.1);
    }
    sim.platform.faults.answer_loss = 0.0;
    sim.run_for(10.0);
    assert_eq!(sim.loaded("m0"), 1);
    assert_eq!(sim.published_phase(0, replica), Some(ReplicaPhase::Ready));
    assert!(sim.decide(0, Decision::Unload { replica }));
    sim.run_for(5.0);
    assert_eq!(sim.loaded("m0"), 0);
}

/// Guards against values above the platform's limit of 1 MB. Decisions must be rejected before the
/// value reaches it.
#[test]
fn decisions_are_rejected_before_the_value_reaches_the_limit() {
    let (now, wall) = (Instant::now(), SystemTime::UNIX_EPOCH);
    let rng = &mut ChaCha8Rng::seed_from_u64(7);
    let mut group = Group::new(Settings::new("g0", "i0"));
    let run_calls = |group: &mut Group, actions: Vec<Action>, rng: &mut ChaCha8Rng| {
        let mut size = 0;
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            let Action::Call { call, request } = action else { continue };
            let answer = match request {
                ObjectCall::Read { .. } | ObjectCall::ReadIfChanged { .. } => ObjectAnswer::Missing,
                ObjectCall::Write { value, .. } => {
                    size = value.len();
                    ObjectAnswer::Written { version: 1 }
                }
            };
            queue.extend(group.on_answer(now, call, answer, rng));
        }
        size
    };
    let actions = group.on_gained(now, 1, now + secs(9.0), rng);
    run_calls(&mut group, actions, rng);
    let listed = |count: usize| -> Vec<ListedInstance> {
        let entry = |n| ListedInstance {
            name: format!("server{n}").into(),
            role: ListedRole::Engine,
            data_centre: "dc".into(),
            group: "g0".into(),
            address: "127.0.0.1:1".into(),
            state: ListedState::Live,
            checks_fencing: true,
        };
        (0..count).map(entry).collect()
    };
    let load = || Decision::Load {
        server: "server0".into(),
        model: "m".into(),
        source: LoadSource::Remote,
    };
    for (servers, refused) in [(100, DecisionError::Blocked), (8_100, DecisionError::TooLarge)] {
        let actions = group.on_server_list(now, wall, &listed(servers), rng);
        let size = run_calls(&mut group, actions, rng);
        assert!(size < 1_000_000, "{size} bytes");
        assert_eq!(group.decide(now, wall, load(), rng), Err(refused), "{size} bytes");
    }
}

#[derive(Clone, Debug)]
enum Fault {
    Kill { at: f64, group: usize },
    Pause { at: f64, group: usize, duration: f64 },
    CutOff { at: f64, group: usize },
    Release { at: f64, group: usize },
    PlatformOutage { at: f64, duration: f64 },
    Restart { at: f64, server: usize },
    Reclaim { at: f64, server: usize },
    SlowPlatform { max_ms: u64 },
    LostAnswers { fraction: f64 },
    LostResults { fraction: f64 },
    LateOrders { fraction: f64, max_delay: f64 },
    SlowLoads { duration: f64 },
    FailingLoads,
}

fn fault() -> impl Strategy<Value = Fault> {
    let at = || 5.0..50.0f64;
    let group = || 0..2usize;
    prop_oneof![
        (at(), group()).prop_map(|(at, group)| Fault::Kill { at, group }),
        (at(), group(), 1.0..40.0f64).prop_map(|(at, group, duration)| Fault::Pause {
            at,
            group,
            duration
        }),
        (at(), group()).prop_map(|(at, group)| Fault::CutOff { at, group }),
        (at(), group()).prop_map(|(at, group)| Fault::Release { at, group }),
        (at(), 1.0..60.0f64).prop_map(|(at, duration)| Fault::PlatformOutage { at, duration }),
        (at(), 0..6usize).prop_map(|(at, server)| Fault::Restart { at, server }),
        (at(), 0..6usize).prop_map(|(at, server)| Fault::Reclaim { at, server }),
        (10..3000u64).prop_map(|max_ms| Fault::SlowPlatform { max_ms }),
        (0.01..0.4f64).prop_map(|fraction| Fault::LostAnswers { fraction }),
        (0.01..0.4f64).prop_map(|fraction| Fault::LostResults { fraction }),
        (0.05..0.5f64, 0.1..40.0f64)
            .prop_map(|(fraction, max_delay)| Fault::LateOrders { fraction, max_delay }),
        (0.1..30.0f64).prop_map(|duration| Fault::SlowLoads { duration }),
        Just(Fault::FailingLoads),
    ]
}

impl Fault {
    fn at(&self) -> f64 {
        match self {
            Fault::Kill { at, .. }
            | Fault::Pause { at, .. }
            | Fault::CutOff { at, .. }
            | Fault::Release { at, .. }
            | Fault::PlatformOutage { at, .. }
            | Fault::Restart { at, .. }
            | Fault::Reclaim { at, .. } => *at,
            _ => 0.0,
        }
    }

    fn inject(&self, sim: &mut Simulation) {
        match *self {
            Fault::Kill { group, .. } => sim.kill(sim.owner_of(group)),
            Fault::Pause { group, duration, .. } => sim.pause(sim.owner_of(group), secs(duration)),
            Fault::CutOff { group, .. } => sim.cut_off(sim.owner_of(group)),
            Fault::Release { group, .. } => sim.release(sim.owner_of(group)),
            Fault::PlatformOutage { duration, .. } => {
                let outage = sim.now..sim.now + secs(duration);
                sim.platform.faults.outages.push(outage);
            }
            Fault::Restart { server, .. } => sim.servers[server].restart(),
            Fault::Reclaim { server, .. } => sim.servers[server].alive = false,
            Fault::SlowPlatform { max_ms } => sim.platform.faults.latency_ms = 1..max_ms,
            Fault::LostAnswers { fraction } => sim.platform.faults.answer_loss = fraction,
            Fault::LostResults { fraction } => sim.lost_results = fraction,
            Fault::LateOrders { fraction, max_delay } => {
                sim.late_orders = (fraction, secs(max_delay));
                sim.servers.iter_mut().for_each(|server| server.results_arrive_in_time = false);
            }
            Fault::SlowLoads { duration } => {
                sim.servers.iter_mut().for_each(|server| server.load_time = secs(duration));
            }
            Fault::FailingLoads => {
                sim.servers.iter_mut().for_each(|server| server.loads_fail = true);
            }
        }
    }
}

/// Runs a sixth of `PROPTEST_CASES`, because each case simulates minutes of several instances.
fn cases() -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig { cases: default.cases / 6, failure_persistence: None, ..default }
}

proptest! {
    #![proptest_config(cases())]

    /// Guards against more replicas than declared, overcommitted memory, orders that are unrecorded
    /// or sent twice, two outstanding orders at a server that ignores fencing numbers, lost
    /// allowances and servers that stay blocked, under any pair of faults. The fake servers count
    /// memory and replicas themselves.
    #[test]
    fn invariants_hold_under_two_faults(
        seed in any::<u64>(),
        mut faults in prop::collection::vec(fault(), 2),
    ) {
        let mut sim = Simulation::new(seed);
        faults.sort_by(|a, b| a.at().total_cmp(&b.at()));
        for step in 0..280 {
            let at = f64::from(step) / 2.0;
            sim.run_until(at);
            for fault in faults.iter().filter(|f| f.at() >= at && f.at() < at + 0.5) {
                sim.run_until(fault.at());
                fault.inject(&mut sim);
            }
            sim.replace_failed_owners();
            if step == 220 {
                sim.end_faults();
            }
            sim.runs_policy = step < 260;
        }
        // Two faults can disable both instances of a group.
        for group in (0..2).filter(|group| sim.has_working_instance(*group)) {
            let view = sim.owners[sim.owner_of(group)].machine.view(sim.now);
            prop_assert!(view.is_writable, "group {} has no working owner", group);
            for (name, server) in &view.servers {
                prop_assert!(!server.checks_fencing || !server.is_blocked, "{} is blocked", name);
            }
        }
        for model in ["m0", "m1", "m2"] {
            prop_assert_eq!(sim.allowances(model), i64::from(DECLARED), "{}", model);
        }
    }
}
