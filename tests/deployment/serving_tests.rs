//! Serving without faults, planned stops and changes of the configuration.

use std::time::{Duration, Instant};

use admission::shares::{DataCentreShare, IntervalSet, SPAN_LENGTH};
use rstest::rstest;
use tokio::task::JoinSet;

use crate::callers::{Chat, Outcome, withdraw};
use crate::world::World;

// Guards against a burst of first requests at many instances that causes more than one load.
#[rstest]
#[tokio::test]
async fn a_burst_for_a_cold_model_causes_one_load() {
    let world = World::start("burst").await;
    let mut calls = JoinSet::new();
    for number in 0..12 {
        let address = world.instances[number % 2].callers;
        calls.spawn(Chat::new("quotes", number as u64).counter().send(address));
    }
    for outcome in calls.join_all().await {
        assert_eq!(outcome, Outcome::Whole, "{}", world.logs());
    }
    let loads: u64 = world.engines.iter().map(|e| loads_of(e, "quotes")).sum();
    assert_eq!(loads, 1);
    world.assert_invariants();
}

// Guards against adapters and streams that work at one instance only.
#[rstest]
#[tokio::test]
async fn adapters_and_streams_are_served_at_every_instance() {
    let world = World::start("adapters").await;
    for (number, instance) in world.instances.iter().enumerate() {
        let number = number as u64;
        let chat = Chat::streamed("summary:early-shift", number, 20).batch();
        assert_eq!(chat.send(instance.callers).await, Outcome::Whole, "{}", world.logs());
        let chat = Chat::new("tally:bagged", number).batch();
        assert_eq!(chat.send(instance.callers).await, Outcome::Whole, "{}", world.logs());
    }
    world.assert_invariants();
}

// Guards against a withdrawal that runs again when the balancer sends its repeat elsewhere.
#[rstest]
#[tokio::test]
async fn repeated_withdrawals_run_once_over_all_instances() {
    let world = World::start("withdrawals").await;
    let mut calls = JoinSet::new();
    for number in 0..20 {
        let address = world.instances[number % 3].callers;
        calls.spawn(async move { withdraw(address, &format!("w-{}", number / 4)).await });
    }
    let outcomes = calls.join_all().await;
    assert!(outcomes.contains(&Outcome::Whole), "{outcomes:?}\n{}", world.logs());
    for outcome in &outcomes {
        let pending = Outcome::Refused {
            verdict: "may_have_run".into(),
            reason: "idempotency_pending".into(),
        };
        assert!(*outcome == Outcome::Whole || *outcome == pending, "{outcome:?}");
    }
    world.assert_invariants();
    assert_eq!(world.ledger.counters().withdrawals.len(), 5);
    // A later repeat gets the recorded answer.
    assert_eq!(withdraw(world.instances[2].callers, "w-0").await, Outcome::Whole);
    world.assert_invariants();
}

// Guards against a planned stop that cuts requests, keeps its groups or takes long to hand over.
#[rstest]
#[tokio::test]
async fn a_planned_stop_finishes_requests_and_hands_over() {
    let mut world = World::start("stop").await;
    let owner = world.owner("north-1").expect("an owner");
    let address = world.instances[owner].callers;
    assert_eq!(Chat::new("summary", 0).batch().send(address).await, Outcome::Whole);
    let streams: Vec<_> = (1..5)
        .map(|n| tokio::spawn(Chat::streamed("summary", n, 300).batch().send(address)))
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let fencing = world.fencing("north-1");
    world.instances[owner].terminate();
    let other = if owner == 0 { 1 } else { 0 };
    let chat = Chat::new("summary", 9).send(world.instances[other].callers).await;
    assert_eq!(chat, Outcome::Whole, "{}", world.logs());
    world
        .wait_for("the other instance owns the group", async |world| {
            world.owner("north-1") == Some(other) && world.fencing("north-1") > fencing
        })
        .await;
    for stream in streams {
        assert_eq!(stream.await.expect("stream"), Outcome::Whole, "{}", world.logs());
    }
    assert!(world.instances[owner].wait().await.success(), "{}", world.logs());
    world.assert_invariants();
}

// Guards against a change that is in effect late, or not everywhere. The bound is the stated one.
#[rstest]
#[tokio::test]
async fn an_accepted_change_is_in_effect_everywhere_within_4_seconds() {
    let world = World::start("change").await;
    let before = world.status(0).await.expect("status")["configuration_version"].as_u64();
    world.apply("samples/demo-amended").await;
    let accepted_at = Instant::now();
    world
        .wait_for("the new version on every instance", async |world| {
            for instance in 0..world.instances.len() {
                let status = world.status(instance).await.expect("status");
                if status["configuration_version"].as_u64() <= before {
                    return false;
                }
            }
            true
        })
        .await;
    let took = accepted_at.elapsed();
    assert!(took <= Duration::from_secs(4), "took {took:?}\n{}", world.logs());
}

fn loads_of(engine: &stand_ins::engine::Engine, model: &str) -> u64 {
    engine.counters().loads_started.get(model).copied().unwrap_or_default()
}

// Guards against a client account that gets only its data centre's part of a limit although the other
// data centre does not use its own.
#[rstest]
#[tokio::test]
async fn unused_limits_of_another_data_centre_move_to_where_they_are_wanted() {
    let world = World::start("shares").await;
    let length = |world: &World, data_centre: &str| {
        let Some(object) = world.platform.object("share", data_centre) else { return 0 };
        let share: DataCentreShare = serde_json::from_value(object.value).expect("a share");
        share.holding.parts("foremen").length()
    };
    assert_eq!(
        (length(&world, "north"), length(&world, "south")),
        (SPAN_LENGTH / 2, SPAN_LENGTH / 2)
    );
    // Half of the limit is 100 running requests. The engines run 16 at a time of a replica, so
    // more than that wait all the time, until the callers are stopped.
    let mut calls = JoinSet::new();
    for caller in 0..150 {
        let address = world.instances[caller % 2].callers;
        calls.spawn(async move {
            for number in 0.. {
                let chat = Chat { tokens: 400, ..Chat::new("summary", caller as u64) };
                let outcome = chat.batch().send(address).await;
                assert!(!matches!(outcome, Outcome::Broken(_)), "call {number}: {outcome:?}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
    }
    world
        .wait_for("parts have moved and the transfer is closed", async |world| {
            let shares = ["north", "south"].map(|data_centre| {
                let object = world.platform.object("share", data_centre).expect("a share");
                serde_json::from_value::<DataCentreShare>(object.value).expect("a share")
            });
            let is_closed = shares.iter().all(|s| s.given.is_empty() && s.received.is_empty());
            let [north, south] = shares.map(|share| share.holding.parts("foremen").clone());
            if is_closed {
                assert_eq!(north.length() + south.length(), SPAN_LENGTH);
                assert_eq!(north.union(&south), IntervalSet::full());
            }
            is_closed && north.length() > SPAN_LENGTH / 2
        })
        .await;
    calls.shutdown().await;
    world.assert_invariants();
}
