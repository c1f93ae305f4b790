//! Tests of serving without faults, of planned stops and of configuration changes.

use std::time::{Duration, Instant};

use admission::shares::{DataCentreShare, IntervalSet, SPAN_LENGTH};
use rstest::rstest;
use tokio::task::JoinSet;

use crate::callers::{Chat, Outcome, withdraw};
use crate::deployment::Deployment;

// Guards against more than one load when first requests for a model arrive at several instances.
#[rstest]
#[tokio::test]
async fn a_burst_for_a_cold_model_causes_one_load() {
    let deployment = Deployment::start("burst").await;
    let mut calls = JoinSet::new();
    for number in 0..12 {
        let address = deployment.instances[number % 2].callers;
        calls.spawn(Chat::new("quotes", number as u64).with_counter_key().send(address));
    }
    for outcome in calls.join_all().await {
        assert_eq!(outcome, Outcome::Complete, "{}", deployment.log_tails());
    }
    let loads: u64 = deployment.engines.iter().map(|e| load_count(e, "quotes")).sum();
    assert_eq!(loads, 1);
    deployment.assert_invariants();
}

// Guards against adapters and streams that only one instance can serve.
#[rstest]
#[tokio::test]
async fn adapters_and_streams_are_served_at_every_instance() {
    let deployment = Deployment::start("adapters").await;
    for (number, instance) in deployment.instances.iter().enumerate() {
        let number = number as u64;
        let chat = Chat::streamed("summary:early-shift", number, 20).with_batch_class();
        assert_eq!(
            chat.send(instance.callers).await,
            Outcome::Complete,
            "{}",
            deployment.log_tails()
        );
        let chat = Chat::new("tally:bagged", number).with_batch_class();
        assert_eq!(
            chat.send(instance.callers).await,
            Outcome::Complete,
            "{}",
            deployment.log_tails()
        );
    }
    deployment.assert_invariants();
}

// Guards against a withdrawal that runs again when the load balancer sends its retry to another
// instance.
#[rstest]
#[tokio::test]
async fn retried_withdrawals_run_once_across_all_instances() {
    let deployment = Deployment::start("withdrawals").await;
    let mut calls = JoinSet::new();
    for number in 0..20 {
        let address = deployment.instances[number % 3].callers;
        calls.spawn(async move { withdraw(address, &format!("w-{}", number / 4)).await });
    }
    let outcomes = calls.join_all().await;
    assert!(outcomes.contains(&Outcome::Complete), "{outcomes:?}\n{}", deployment.log_tails());
    for outcome in &outcomes {
        let pending = Outcome::Refused {
            verdict: "may_have_run".into(),
            reason: "idempotency_pending".into(),
        };
        assert!(*outcome == Outcome::Complete || *outcome == pending, "{outcome:?}");
    }
    deployment.assert_invariants();
    assert_eq!(deployment.ledger.counters().withdrawals.len(), 5);
    // A later retry gets the recorded answer.
    assert_eq!(withdraw(deployment.instances[2].callers, "w-0").await, Outcome::Complete);
    deployment.assert_invariants();
}

// Guards against a planned stop that cuts requests off, keeps its groups or delays their handover.
#[rstest]
#[tokio::test]
async fn a_planned_stop_finishes_requests_and_hands_over() {
    let mut deployment = Deployment::start("stop").await;
    let owner = deployment.owner("north-1").expect("an owner");
    let address = deployment.instances[owner].callers;
    assert_eq!(Chat::new("summary", 0).with_batch_class().send(address).await, Outcome::Complete);
    let streams: Vec<_> = (1..5)
        .map(|n| tokio::spawn(Chat::streamed("summary", n, 300).with_batch_class().send(address)))
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let fencing_number = deployment.fencing_number("north-1");
    deployment.instances[owner].terminate();
    let other = if owner == 0 { 1 } else { 0 };
    let chat = Chat::new("summary", 9).send(deployment.instances[other].callers).await;
    assert_eq!(chat, Outcome::Complete, "{}", deployment.log_tails());
    deployment
        .wait_for("the other instance owns the group", async |deployment| {
            deployment.owner("north-1") == Some(other)
                && deployment.fencing_number("north-1") > fencing_number
        })
        .await;
    for stream in streams {
        assert_eq!(stream.await.expect("stream"), Outcome::Complete, "{}", deployment.log_tails());
    }
    assert!(
        deployment.instances[owner].wait_for_exit().await.success(),
        "{}",
        deployment.log_tails()
    );
    deployment.assert_invariants();
}

// Guards against a change that takes effect late, or not at every instance. The bound is the stated
// one.
#[rstest]
#[tokio::test]
async fn an_accepted_change_is_in_effect_everywhere_within_4_seconds() {
    let deployment = Deployment::start("change").await;
    let before = deployment.status(0).await.expect("status")["configuration_version"].as_u64();
    deployment.apply("samples/demo-amended").await;
    let accepted_at = Instant::now();
    deployment
        .wait_for("the new version on every instance", async |deployment| {
            for instance in 0..deployment.instances.len() {
                let status = deployment.status(instance).await.expect("status");
                if status["configuration_version"].as_u64() <= before {
                    return false;
                }
            }
            true
        })
        .await;
    let took = accepted_at.elapsed();
    assert!(took <= Duration::from_secs(4), "took {took:?}\n{}", deployment.log_tails());
}

fn load_count(engine: &stand_ins::engine::Engine, model: &str) -> u64 {
    engine.counters().loads_started.get(model).copied().unwrap_or_default()
}

// Guards against a client account that gets only its data centre's part of a limit although the
// other data centre does not use its part.
#[rstest]
#[tokio::test]
async fn unused_limits_move_to_the_data_centre_that_needs_them() {
    let deployment = Deployment::start("shares").await;
    let share_length = |deployment: &Deployment, data_centre: &str| {
        let Some(object) = deployment.platform.object("share", data_centre) else { return 0 };
        let share: DataCentreShare = serde_json::from_value(object.value).expect("a share");
        share.holding.parts("foremen").length()
    };
    assert_eq!(
        (share_length(&deployment, "north"), share_length(&deployment, "south")),
        (SPAN_LENGTH / 2, SPAN_LENGTH / 2)
    );
    // Half of the limit is 100 running requests. An engine runs 16 requests of a replica at a time,
    // so more than 100 requests are in flight until the callers are stopped.
    let mut calls = JoinSet::new();
    for caller in 0..150 {
        let address = deployment.instances[caller % 2].callers;
        calls.spawn(async move {
            for number in 0.. {
                let chat = Chat { tokens: 400, ..Chat::new("summary", caller as u64) };
                let outcome = chat.with_batch_class().send(address).await;
                assert!(!matches!(outcome, Outcome::Invalid(_)), "call {number}: {outcome:?}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
    }
    deployment
        .wait_for("parts have moved and the transfer is closed", async |deployment| {
            let shares = ["north", "south"].map(|data_centre| {
                let object = deployment.platform.object("share", data_centre).expect("a share");
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
    deployment.assert_invariants();
}
