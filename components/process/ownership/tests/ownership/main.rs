//! Simulates leases and claims against a fake platform in virtual time.

mod fleet;
mod superseded;

use std::collections::BTreeSet;
use std::time::Instant;

use fleet::{Fleet, secs};
use ownership::{Action, Ownership, Settings};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::object::{ObjectAnswer, ObjectCall};

/// Guards against groups that stay without an owner or move when members join, and against owners
/// that are unevenly chosen.
#[test]
fn every_group_gets_one_owner_and_keeps_it_when_members_join() {
    let mut fleet = Fleet::new(5, 40, 1);
    fleet.run_until(25.0);
    let before = fleet.owned();
    assert_eq!(before.len(), 40);
    let owners: BTreeSet<_> = before.values().collect();
    assert_eq!(owners.len(), 5);
    fleet.join();
    fleet.join();
    fleet.run_until(80.0);
    assert_eq!(fleet.owned(), before, "groups moved although no owner left");
    assert_eq!(fleet.gained.len(), 40, "groups were claimed more than once");
    fleet.check_history();
}

/// Guards against a slow takeover, and against moving groups of members that are still live.
#[test]
fn only_the_groups_of_a_dead_instance_move() {
    let mut fleet = Fleet::new(6, 30, 2);
    fleet.run_until(30.0);
    let before = fleet.owned();
    fleet.kill(2);
    fleet.run_until(30.0 + 14.0);
    let after = fleet.owned();
    assert_eq!(after.len(), 30, "some groups have no owner 14 s after the death");
    for (group, owner) in before {
        assert!(owner == 2 || after[&group] == owner, "{group} moved from {owner}");
    }
    fleet.check_history();
}

/// Guards against instances that own several groups by chance while others own none, because the
/// control traffic of an instance grows with its groups.
#[test]
fn groups_are_spread_evenly() {
    let mut fleet = Fleet::new(20, 20, 7);
    fleet.run_until(40.0);
    assert_eq!(max_owned(&fleet), 1);
    for node in 0..3 {
        fleet.kill(node);
        fleet.run_until(40.0 + 20.0 * (node + 1) as f64);
    }
    assert_eq!(fleet.owned().len(), 20);
    assert_eq!(max_owned(&fleet), 2, "20 groups of 17 instances");
    fleet.check_history();
}

fn max_owned(fleet: &Fleet) -> usize {
    let mut counts = std::collections::BTreeMap::new();
    fleet.owned().into_values().for_each(|owner| *counts.entry(owner).or_insert(0) += 1);
    counts.into_values().max().unwrap_or(0)
}

/// Guards against a planned stop after which groups have no owner until the lease expires.
#[test]
fn a_planned_stop_hands_over_within_a_second() {
    let mut fleet = Fleet::new(4, 20, 3);
    fleet.run_until(30.0);
    fleet.stop(1);
    fleet.run_until(31.0);
    assert_eq!(fleet.owned().len(), 20);
    assert!(fleet.owned().values().all(|owner| *owner != 1));
    assert!(fleet.handed_over.contains_key(&1));
}

/// Guards against a holder that resumes after a pause longer than its lease and acts for its groups
/// without claiming them again.
#[test]
fn a_paused_holder_resumes_without_authority() {
    let mut fleet = Fleet::new(3, 9, 4);
    fleet.run_until(30.0);
    let held: Vec<_> = fleet
        .owned()
        .into_iter()
        .filter(|(_, owner)| *owner == 0)
        .map(|(group, _)| group)
        .collect();
    assert!(!held.is_empty());
    fleet.pause(0, secs(9.5));
    fleet.run_until(39.4);
    for group in &held {
        assert!(!fleet.authorities(group).contains(&0));
    }
    fleet.run_until(60.0);
    assert_eq!(fleet.owned().len(), 9);
    fleet.check_history();
}

/// Guards against two owners or none after a platform outage that is longer than the lease.
#[test]
fn owners_keep_their_groups_over_a_platform_outage() {
    let mut fleet = Fleet::new(4, 16, 5);
    fleet.run_until(30.0);
    let before = fleet.owned();
    let outage = fleet.now..fleet.now + secs(120.0);
    fleet.platform.faults.outages.push(outage);
    fleet.run_until(100.0);
    assert!(fleet.owned().is_empty(), "authority outlived the lease");
    fleet.run_until(180.0);
    assert_eq!(fleet.owned().len(), 16);
    let same = fleet.owned().into_iter().filter(|(group, owner)| before[group] == *owner).count();
    assert!(same >= 14, "only {same} of 16 groups stayed with their owner");
    fleet.check_history();
}

/// Guards against exceeding the platform's rates of several hundred writes and two thousand reads a
/// second when all instances of a data centre restart at once.
#[test]
fn the_restart_of_a_whole_data_centre_stays_within_the_rates() {
    let mut fleet = Fleet::new(40, 160, 6);
    fleet.run_until(20.0);
    for node in 0..40 {
        fleet.kill(node);
        fleet.restart(node);
    }
    fleet.run_until(50.0);
    let (writes, reads) =
        (fleet.platform.peak_per_second(true), fleet.platform.peak_per_second(false));
    println!("peak of 40 instances and 160 groups: {writes} writes/s, {reads} reads/s");
    assert_eq!(fleet.owned().len(), 160);
    assert!(writes <= 100 && reads <= 200, "{writes} writes/s, {reads} reads/s");
    fleet.check_history();
}

/// Guards against a second write after the answer to the first was lost, although reading the nonce
/// back shows that the first took effect.
#[test]
fn a_lost_answer_does_not_cause_a_second_claim() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(1, 40, seed);
        fleet.platform.faults.answer_loss = 0.1;
        fleet.run_until(90.0);
        let claims = fleet.platform.history.iter().filter(|(_, key, _)| key.kind == "group");
        assert_eq!(claims.count(), 40, "seed {seed}");
        assert_eq!(fleet.gained.len(), 40, "seed {seed}");
    }
}

/// Guards against a claim that is written after the lease expired and used once it is renewed.
#[test]
fn nothing_is_claimed_while_the_lease_is_not_valid() {
    let (start, rng) = (Instant::now(), &mut ChaCha8Rng::seed_from_u64(8));
    let mut machine = Ownership::new(Settings::new("a", 1, "127.0.0.1:1", "dc"), start, rng);
    machine.set_members(start, ["a".into()].into());
    machine.set_groups(start, ["g".into()].into());
    let mut now = start;
    let group_read = loop {
        now = machine.next_timer().expect("a timer").max(now);
        let Some((call, request)) = calls(machine.on_timer(now, rng)).pop() else { continue };
        match request {
            ObjectCall::Read { key } if key.kind == "group" => break call,
            ObjectCall::Read { .. } | ObjectCall::ReadIfChanged { .. } => {
                machine.on_answer(now, call, ObjectAnswer::Missing, rng)
            }
            ObjectCall::Write { .. } => {
                machine.on_answer(now, call, ObjectAnswer::Written { version: 1 }, rng)
            }
        };
    };
    now += secs(20.0);
    let actions = machine.on_answer(now, group_read, ObjectAnswer::Missing, rng);
    assert_eq!(calls(actions), Vec::new());
}

fn calls(actions: Vec<Action>) -> Vec<(u64, ObjectCall)> {
    let call = |action| match action {
        Action::Call { call, request, .. } => Some((call, request)),
        _ => None,
    };
    actions.into_iter().filter_map(call).collect()
}

/// A fault, with times in seconds.
#[derive(Clone, Debug)]
enum Fault {
    Kill { at: f64, node: usize, restart_after: f64 },
    Pause { at: f64, node: usize, duration: f64 },
    Partition { at: f64, node: usize, duration: f64 },
    Outage { at: f64, duration: f64 },
    Latency { max_ms: u64 },
    LostAnswers { fraction: f64 },
    Stop { at: f64, node: usize },
}

fn fault() -> impl Strategy<Value = Fault> {
    let (at, node) = (10.0..50.0f64, 0..4usize);
    prop_oneof![
        (at.clone(), node.clone(), 0.0..20.0f64)
            .prop_map(|(at, node, restart_after)| Fault::Kill { at, node, restart_after }),
        (at.clone(), node.clone(), 1.0..30.0f64).prop_map(|(at, node, duration)| Fault::Pause {
            at,
            node,
            duration
        }),
        (at.clone(), node.clone(), 1.0..30.0f64)
            .prop_map(|(at, node, duration)| Fault::Partition { at, node, duration }),
        (at.clone(), 1.0..30.0f64).prop_map(|(at, duration)| Fault::Outage { at, duration }),
        (10..2500u64).prop_map(|max_ms| Fault::Latency { max_ms }),
        (0.01..0.4f64).prop_map(|fraction| Fault::LostAnswers { fraction }),
        (at, node).prop_map(|(at, node)| Fault::Stop { at, node }),
    ]
}

fn inject(fleet: &mut Fleet, faults: &[Fault]) {
    let mut events: Vec<(f64, Fault, bool)> = Vec::new();
    for fault in faults {
        match *fault {
            Fault::Latency { max_ms } => fleet.platform.faults.latency_ms = 1..max_ms,
            Fault::LostAnswers { fraction } => fleet.platform.faults.answer_loss = fraction,
            Fault::Kill { at, restart_after, .. } => {
                events.push((at, fault.clone(), false));
                events.push((at + restart_after, fault.clone(), true));
            }
            Fault::Pause { at, .. }
            | Fault::Partition { at, .. }
            | Fault::Outage { at, .. }
            | Fault::Stop { at, .. } => events.push((at, fault.clone(), false)),
        }
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, fault, is_restart) in events {
        fleet.run_until(at);
        let now = fleet.now;
        match fault {
            Fault::Kill { node, .. } if is_restart => fleet.restart(node),
            Fault::Kill { node, .. } => fleet.kill(node),
            Fault::Pause { node, duration, .. } => fleet.pause(node, secs(duration)),
            Fault::Partition { node, duration, .. } => {
                fleet.platform.faults.partitions.push((node, now..now + secs(duration)));
            }
            Fault::Outage { duration, .. } => {
                fleet.platform.faults.outages.push(now..now + secs(duration))
            }
            Fault::Stop { node, .. } => fleet.stop(node),
            Fault::Latency { .. } | Fault::LostAnswers { .. } => {}
        }
    }
}

/// A third of `PROPTEST_CASES`, because one case simulates several instances for minutes.
fn cases() -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig { cases: default.cases / 3, failure_persistence: None, ..default }
}

proptest! {
    #![proptest_config(cases())]

    /// Guards against two simultaneous owners, a fencing number that is used twice, and groups that
    /// stay without an owner, for every pair of faults.
    #[test]
    fn at_most_one_instance_has_authority_under_two_faults(
        seed in any::<u64>(),
        faults in prop::collection::vec(fault(), 2),
    ) {
        let mut fleet = Fleet::new(5, 8, seed);
        inject(&mut fleet, &faults);
        fleet.run_until(90.0);
        fleet.platform.faults.latency_ms = 2..8;
        fleet.platform.faults.answer_loss = 0.0;
        fleet.run_until(150.0);
        fleet.check_history();
        prop_assert_eq!(fleet.owned().len(), 8, "groups without an owner after the faults");
    }
}
