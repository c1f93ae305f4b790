//! A second process under the name of an instance that is still running.

use std::collections::BTreeSet;
use std::time::Instant;

use ownership::{Action, GroupObject, LeaseObject, Ownership, Settings};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::object::{ObjectAnswer, ObjectCall, decode, encode};

use crate::fleet::{Fleet, secs};

/// Guards against two processes of one name that act for the same groups, and against a superseded
/// process that claims groups again when its successor dies.
#[test]
fn superseded_run_loses_its_groups_permanently() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(3, 9, seed);
        fleet.run_until(30.0);
        let held: BTreeSet<Box<str>> =
            fleet.owned().into_iter().filter(|(_, node)| *node == 0).map(|(g, _)| g).collect();
        assert!(!held.is_empty());
        let second = fleet.duplicate(0);
        // The fleet checks at every event that no group has two owners.
        fleet.run_until(70.0);
        let lost: BTreeSet<Box<str>> =
            fleet.lost.iter().filter(|(.., node)| *node == 0).map(|(_, g, _)| g.clone()).collect();
        assert_eq!(lost, held, "the groups reported as lost are not those held");
        assert_eq!(fleet.owned().len(), 9);
        let seen = fleet.platform.history.len();
        fleet.kill(second);
        fleet.run_until(150.0);
        assert_eq!(fleet.owned().len(), 9);
        assert!(
            fleet.owned().values().all(|node| *node != 0),
            "the superseded run owns groups again"
        );
        for (_, key, value) in &fleet.platform.history[seen..] {
            let renews = key.kind == "lease"
                && decode::<LeaseObject>(value).is_some_and(|lease| *lease.instance == *"i0");
            let claims = key.kind == "group"
                && decode::<GroupObject>(value).is_some_and(|g| g.owner == Some("i0".into()));
            assert!(!renews && !claims, "{key:?} was written for i0");
        }
        fleet.check_history();
    }
}

/// Guards against a claim that was in flight when another process took the lease over: the process
/// must neither act for the group nor name itself as its owner.
#[test]
fn claim_confirmed_after_the_lease_was_taken_over_gives_no_authority() {
    let (mut now, rng) = (Instant::now(), &mut ChaCha8Rng::seed_from_u64(8));
    let mut machine = Ownership::new(Settings::new("a", 1, "127.0.0.1:1", "dc"), now, rng);
    machine.set_members(now, ["a".into()].into());
    machine.set_groups(now, ["g".into()].into());
    let mut claim = None;
    let mut late = Vec::new();
    let mut renewals = 0;
    for _ in 0..200 {
        let mut actions = machine.on_timer(now, rng);
        while let Some(action) = actions.pop() {
            let Action::Call { call, request, .. } = action else { continue };
            let answer = match request {
                ObjectCall::Write { key, .. } if key.kind == "group" => {
                    claim = Some(call);
                    continue;
                }
                ObjectCall::Write { .. } => {
                    renewals += 1;
                    match claim {
                        None => ObjectAnswer::Written { version: renewals },
                        Some(_) => ObjectAnswer::Conflict,
                    }
                }
                ObjectCall::Read { key } if key.kind == "lease" && claim.is_some() => {
                    ObjectAnswer::Found { version: 99, value: encode(&other_run()) }
                }
                ObjectCall::Read { .. } | ObjectCall::ReadIfChanged { .. } => ObjectAnswer::Missing,
            };
            actions.extend(machine.on_answer(now, call, answer, rng));
        }
        if claim.is_some() && machine.lease_until(now).is_none() {
            break;
        }
        now = machine.next_timer().map_or(now + secs(0.1), |at| at.max(now));
    }
    assert!(machine.lease_until(now).is_none(), "the lease was not taken over");
    let claim = claim.expect("a claim in flight");
    late.extend(machine.on_answer(now, claim, ObjectAnswer::Written { version: 1 }, rng));
    assert!(!late.iter().any(|a| matches!(a, Action::Gained { .. })), "{late:?}");
    assert_eq!(machine.authority(now, "g"), None);
    assert_eq!(machine.owner_hint("g"), None, "names itself as the owner");
    // The loss of authority is permanent.
    for _ in 0..200 {
        now += secs(0.5);
        assert_eq!(machine.on_timer(now, rng), []);
        assert_eq!(machine.next_timer(), None);
    }
}

/// The lease object that the second process wrote.
fn other_run() -> LeaseObject {
    LeaseObject {
        instance: "a".into(),
        incarnation: 2,
        address: "127.0.0.1:2".into(),
        data_centre: "dc".into(),
        counter: 1,
        leaving: false,
        nonce: 7,
    }
}
