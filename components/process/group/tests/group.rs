//! Decision objects, orders and allowances against fake servers and a fake platform.

#[path = "cases/roles.rs"]
mod roles;
mod world;

use std::collections::VecDeque;
use std::time::{Instant, SystemTime};

use group::{Action, Decision, DecisionError, Group, Settings};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::object::{ObjectAnswer, ObjectCall};
use types::prelude::{ListedInstance, ListedRole, ListedState, LoadSource, ReplicaPhase};
use world::{DECLARED, World, secs};

/// Guards against a policy whose decisions never take effect, and against lost allowances.
#[test]
fn loads_take_effect_and_allowances_add_up() {
    let mut world = World::new(1);
    for step in 1..60 {
        world.run_until(f64::from(step));
        for model in ["m0", "m1", "m2"] {
            if step > 10 {
                assert_eq!(world.allowances(model), i64::from(DECLARED), "{model} at {step} s");
            }
        }
    }
    assert!(world.loads_delivered > 20, "only {} loads", world.loads_delivered);
}

/// Guards against counting on a result that never came: the successor keeps the memory and the
/// replica of an unresolved load until the server shows it.
#[test]
fn death_in_mid_load_keeps_the_replica_counted() {
    for server in ["checks0", "ignores0"] {
        let mut world = World::idle(2);
        world.allot(0, "m0", DECLARED);
        world.late = (1.0, secs(0.002));
        assert!(world.load(0, server, "m0"));
        world.run_for(0.05);
        world.kill(0);
        world.run_for(11.0);
        assert!(world.take_over(0));
        world.run_for(5.0);
        assert_eq!(world.loaded("m0"), 1);
        let view = world.owners[1].machine.view(world.now);
        assert_eq!(view.allowance_left["m0"], DECLARED - 1);
        assert_eq!(view.servers[server].replicas.len(), 1);
        assert_eq!(view.servers[server].memory_free, 75);
    }
}

/// Guards against a second owner that counts a late order out. A server that checks fencing
/// numbers refuses it; one that ignores them is given nothing until the outcome is known.
#[test]
fn a_late_order_of_a_paused_holder_finds_its_place_reserved() {
    for server in ["checks0", "ignores0"] {
        let mut world = World::idle(3);
        world.allot(0, "m0", DECLARED);
        world.late = (1.0, secs(60.0));
        assert!(world.load(0, server, "m0"));
        world.run_for(0.1);
        world.late.0 = 0.0;
        world.pause(0, secs(40.0));
        world.run_for(11.0);
        assert!(world.take_over(0));
        world.run_for(5.0);
        world.allot(1, "m1", 1);
        let blocked = world.owners[1].machine.view(world.now).servers[server].is_blocked;
        let ignores = server == "ignores0";
        assert_eq!(blocked, ignores, "{server}");
        assert_eq!(world.load(1, server, "m1"), !ignores, "{server}");
        world.run_for(60.0);
        assert_eq!(world.loaded("m0"), usize::from(ignores), "{server}");
        assert!(!world.owners[1].machine.view(world.now).servers[server].is_blocked);
    }
}

/// Guards against orders without a record while the platform is away, and against refusing the
/// cold starts that permits cover.
#[test]
fn only_permits_are_used_while_the_platform_is_away() {
    let mut world = World::idle(4);
    world.allot(0, "m0", DECLARED);
    world.run_for(5.0);
    world.cut_off(0);
    world.run_for(20.0);
    let loads = ["checks0", "also0", "ignores0"]
        .map(|server| (0..3).filter(|_| world.load(0, server, "m0")).count());
    // Granted in the order of the names: `also0` has a permit for two loads and `checks0` for the
    // one that the allowance leaves.
    assert_eq!(loads, [1, 2, 0]);
    world.run_for(5.0);
    assert_eq!(world.loaded("m0"), 3);
    assert!(world.take_over(0));
    world.run_for(5.0);
    let view = world.owners[1].machine.view(world.now);
    assert_eq!(view.allowance_left["m0"], 0);
    assert_eq!(view.servers.values().map(|server| server.replicas.len()).sum::<usize>(), 3);
}

/// Guards against releasing an order whose result was lost: it stays counted until a seal with a
/// higher fencing number shows the outcome.
#[test]
fn an_order_without_a_trace_is_resolved_by_a_seal() {
    let mut world = World::idle(5);
    world.allot(0, "m0", DECLARED);
    world.late = (1.0, secs(100_000.0));
    assert!(world.load(0, "checks0", "m0"));
    world.run_for(0.1);
    world.late.0 = 0.0;
    world.run_for(5.0);
    let left = |world: &World| world.owners[0].machine.view(world.now).allowance_left["m0"];
    assert_eq!(left(&world), DECLARED - 1);
    world.run_for(15.0);
    assert_eq!(left(&world), DECLARED);
}

/// Guards against memory that stays reserved after a server restarted or was reclaimed, and
/// against intervals that are lost with it.
#[test]
fn a_restart_and_a_reclaim_release_memory_and_end_intervals() {
    let mut world = World::idle(6);
    world.allot(0, "m0", DECLARED);
    assert!(world.load(0, "checks0", "m0") && world.load(0, "ignores0", "m0"));
    world.run_for(5.0);
    world.servers[0].restart();
    world.servers[2].alive = false;
    world.run_for(3.0);
    let machine = &world.owners[0].machine;
    let view = machine.view(world.now);
    assert_eq!(view.allowance_left["m0"], DECLARED);
    assert!(!view.servers.contains_key("ignores0"));
    assert_eq!(machine.closed_intervals().len(), 2);
    assert!(machine.closed_intervals().iter().all(|interval| interval.until > interval.from));
}

/// Guards against a replica that nobody counts: an order that was lost before a restart reaches the
/// new incarnation of a server that ignores fencing numbers after its place was released.
#[test]
fn a_replica_that_nobody_recorded_is_counted_once_it_is_shown() {
    let mut world = World::idle(8);
    world.late_survives_restart = true;
    world.allot(0, "m0", DECLARED);
    world.late = (1.0, secs(60.0));
    assert!(world.load(0, "ignores0", "m0"));
    world.run_for(0.1);
    world.late.0 = 0.0;
    world.run_for(3.0);
    world.servers[2].restart();
    world.run_for(1.0);
    let left = |world: &World| world.owners[0].machine.view(world.now).allowance_left["m0"];
    assert_eq!(left(&world), DECLARED);
    world.run_for(60.0);
    assert_eq!(world.loaded("m0"), 1);
    assert_eq!(left(&world), DECLARED - 1);
}

/// Guards against a replica that takes no requests, or is unloaded with requests, because the
/// answer to the write of its unload was lost.
#[test]
fn an_unload_in_doubt_is_withdrawn() {
    let mut world = World::idle(9);
    world.allot(0, "m0", DECLARED);
    assert!(world.load(0, "checks0", "m0"));
    world.run_for(5.0);
    let view = world.owners[0].machine.view(world.now);
    let replica = *view.servers["checks0"].replicas.keys().next().expect("a replica");
    world.platform.faults.answer_loss = 1.0;
    assert!(world.decide(0, Decision::Unload { replica }));
    for _ in 0..50 {
        assert_eq!(world.published_phase(0, replica), Some(ReplicaPhase::Ready));
        world.run_for(0.1);
    }
    world.platform.faults.answer_loss = 0.0;
    world.run_for(10.0);
    assert_eq!(world.loaded("m0"), 1);
    assert_eq!(world.published_phase(0, replica), Some(ReplicaPhase::Ready));
    assert!(world.decide(0, Decision::Unload { replica }));
    world.run_for(5.0);
    assert_eq!(world.loaded("m0"), 0);
}

/// Guards against values above the platform's limit of 1 MB: further decisions are refused before.
#[test]
fn decisions_are_refused_before_the_value_reaches_the_limit() {
    let (now, wall) = (Instant::now(), SystemTime::UNIX_EPOCH);
    let rng = &mut ChaCha8Rng::seed_from_u64(7);
    let mut group = Group::new(Settings::new("g0", "i0"));
    let answer = |group: &mut Group, actions: Vec<Action>, rng: &mut ChaCha8Rng| {
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
    answer(&mut group, actions, rng);
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
        let size = answer(&mut group, actions, rng);
        assert!(size < 1_000_000, "{size} bytes");
        assert_eq!(group.decide(now, wall, load(), rng), Err(refused), "{size} bytes");
    }
}

#[derive(Clone, Debug)]
enum Fault {
    Kill { at: f64, group: usize },
    Pause { at: f64, group: usize, time: f64 },
    CutOff { at: f64, group: usize },
    Release { at: f64, group: usize },
    Absent { at: f64, time: f64 },
    Restart { at: f64, server: usize },
    Reclaim { at: f64, server: usize },
    Slow { max_ms: u64 },
    LostAnswers { part: f64 },
    LostResults { part: f64 },
    LateOrders { part: f64, bound: f64 },
    SlowLoads { time: f64 },
    FailingLoads,
}

fn fault() -> impl Strategy<Value = Fault> {
    let at = || 5.0..50.0f64;
    let group = || 0..2usize;
    prop_oneof![
        (at(), group()).prop_map(|(at, group)| Fault::Kill { at, group }),
        (at(), group(), 1.0..40.0f64).prop_map(|(at, group, time)| Fault::Pause {
            at,
            group,
            time
        }),
        (at(), group()).prop_map(|(at, group)| Fault::CutOff { at, group }),
        (at(), group()).prop_map(|(at, group)| Fault::Release { at, group }),
        (at(), 1.0..60.0f64).prop_map(|(at, time)| Fault::Absent { at, time }),
        (at(), 0..6usize).prop_map(|(at, server)| Fault::Restart { at, server }),
        (at(), 0..6usize).prop_map(|(at, server)| Fault::Reclaim { at, server }),
        (10..3000u64).prop_map(|max_ms| Fault::Slow { max_ms }),
        (0.01..0.4f64).prop_map(|part| Fault::LostAnswers { part }),
        (0.01..0.4f64).prop_map(|part| Fault::LostResults { part }),
        (0.05..0.5f64, 0.1..40.0f64).prop_map(|(part, bound)| Fault::LateOrders { part, bound }),
        (0.1..30.0f64).prop_map(|time| Fault::SlowLoads { time }),
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
            | Fault::Absent { at, .. }
            | Fault::Restart { at, .. }
            | Fault::Reclaim { at, .. } => *at,
            _ => 0.0,
        }
    }

    fn inject(&self, world: &mut World) {
        match *self {
            Fault::Kill { group, .. } => world.kill(world.owner_of(group)),
            Fault::Pause { group, time, .. } => world.pause(world.owner_of(group), secs(time)),
            Fault::CutOff { group, .. } => world.cut_off(world.owner_of(group)),
            Fault::Release { group, .. } => world.release(world.owner_of(group)),
            Fault::Absent { time, .. } => {
                let absent = world.now..world.now + secs(time);
                world.platform.faults.outages.push(absent);
            }
            Fault::Restart { server, .. } => world.servers[server].restart(),
            Fault::Reclaim { server, .. } => world.servers[server].alive = false,
            Fault::Slow { max_ms } => world.platform.faults.latency_ms = 1..max_ms,
            Fault::LostAnswers { part } => world.platform.faults.answer_loss = part,
            Fault::LostResults { part } => world.lost_results = part,
            Fault::LateOrders { part, bound } => {
                world.late = (part, secs(bound));
                world.servers.iter_mut().for_each(|server| server.knows_all = false);
            }
            Fault::SlowLoads { time } => {
                world.servers.iter_mut().for_each(|server| server.load_time = secs(time));
            }
            Fault::FailingLoads => {
                world.servers.iter_mut().for_each(|server| server.loads_fail = true);
            }
        }
    }
}

/// A part of `PROPTEST_CASES`, as one case simulates minutes of several instances.
fn cases() -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig { cases: default.cases / 6, failure_persistence: None, ..default }
}

proptest! {
    #![proptest_config(cases())]

    /// Guards against more replicas than declared, overcommitted memory, orders without a record
    /// or sent twice, two outstanding orders at a server that ignores fencing numbers, lost
    /// allowances and servers that stay blocked, under every pair of faults. The servers count.
    #[test]
    fn invariants_hold_under_two_faults(
        seed in any::<u64>(),
        mut faults in prop::collection::vec(fault(), 2),
    ) {
        let mut world = World::new(seed);
        faults.sort_by(|a, b| a.at().total_cmp(&b.at()));
        for step in 0..280 {
            let at = f64::from(step) / 2.0;
            world.run_until(at);
            for fault in faults.iter().filter(|f| f.at() >= at && f.at() < at + 0.5) {
                world.run_until(fault.at());
                fault.inject(&mut world);
            }
            world.replace_failed_owners();
            if step == 220 {
                world.end_faults();
            }
            world.busy = step < 260;
        }
        // Two faults can take both instances of a group.
        for group in (0..2).filter(|group| world.has_working_instance(*group)) {
            let view = world.owners[world.owner_of(group)].machine.view(world.now);
            prop_assert!(view.is_writable, "group {} has no working owner", group);
            for (name, server) in &view.servers {
                prop_assert!(!server.checks_fencing || !server.is_blocked, "{} is blocked", name);
            }
        }
        for model in ["m0", "m1", "m2"] {
            prop_assert_eq!(world.allowances(model), i64::from(DECLARED), "{}", model);
        }
    }
}
