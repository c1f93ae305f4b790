//! Start, idling and stop of the process.

use std::time::Duration;

use platform_stand_in::{Call, Fault, StoreFault};
use rustix::process::Signal;

use crate::world::{WAIT, World, engine, eventually, ledger};

/// Guards against a busy loop, in every state of the store. An instance that does nothing wakes
/// for its messages to others, its lease and its watches: far below 200 times a second.
#[tokio::test]
async fn an_idle_instance_wakes_a_bounded_number_of_times() {
    const WAKES_A_SECOND: u64 = 200;
    let world = World::serving(vec![ledger("l1"), engine("e1", &["m1", "m2"])]).await;
    let faults = [StoreFault::None, StoreFault::Busy, StoreFault::Reset, StoreFault::Silent];
    for fault in faults {
        world.store.set_fault(fault);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let (_, before) = world.instances[0].usage().expect("a running process");
        let calls = world.store.calls();
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (_, after) = world.instances[0].usage().expect("a running process");
        assert!(after - before < 2 * WAKES_A_SECOND, "{fault:?}: {} wakes in 2 s", after - before);
        let calls = world.store.calls() - calls;
        assert!(calls < 40, "{fault:?}: {calls} calls to the store in 2 s");
    }
}

/// Guards against cutting a request that still waits for its model when the process stops (LOST,
/// found by a hunt on kh-dielna, mix seed 773308099737).
#[tokio::test]
async fn a_waiting_request_is_refused_before_the_process_ends() {
    let mut world = World::serving(vec![engine("e1", &["m1", "m2"])]).await;
    // Nothing is ordered without the store, so that the model does not come.
    world.store.set_fault(StoreFault::Busy);
    let has_stopped = || !world.instances[0].log_lines(&["lease no longer held"]).is_empty();
    assert!(eventually(WAIT, has_stopped).await);
    let caller = world.caller.clone();
    let entry = world.entry();
    let told = tokio::spawn(async move {
        let patience = Duration::from_secs(15);
        let call = Call { model: Some("m3"), body: Some("{}"), ..Call::new("a1", "/note/x") };
        caller.call(entry, &Call { patience, ..call }).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    world.instances[0].signal(Signal::TERM);
    let told = told.await.unwrap();
    assert_eq!((told.status, told.is_complete), (Some(503), true), "{told:?}");
    assert!(world.instances[0].ended(WAIT).await);
}

/// Guards against cutting a request that a server still works on when the process stops, and
/// against a claim that it has not run.
#[tokio::test]
async fn a_request_without_an_answer_is_failed_before_the_process_ends() {
    let mut world = World::serving(vec![ledger("l1")]).await;
    world.servers[0].set_fault(Fault::Mute);
    let caller = world.caller.clone();
    let entry = world.entry();
    let told = tokio::spawn(async move {
        let patience = Duration::from_secs(15);
        let call = Call { body: Some("{}"), patience, ..Call::new("a1", "/book/x") };
        caller.call(entry, &call).await
    });
    assert!(eventually(WAIT, || world.servers[0].working() == 1).await);
    world.instances[0].signal(Signal::TERM);
    let told = told.await.unwrap();
    assert_eq!((told.status, told.is_complete), (Some(502), true), "{told:?}");
    assert!(world.instances[0].ended(WAIT).await);
}

/// Guards against an instance that stays in rotation or drops requests while it stops.
#[tokio::test]
async fn a_stopping_instance_is_not_ready_and_still_serves() {
    let mut world = World::serving(vec![ledger("l1")]).await;
    world.instances[0].signal(Signal::TERM);
    let has_begun = || !world.instances[0].log_lines(&["process: stopping"]).is_empty();
    assert!(eventually(WAIT, has_begun).await);
    assert!(!world.instances[0].is_ready().await);
    let told = world.caller.call(world.entry(), &Call::new("a1", "/read/x")).await;
    assert_eq!(told.status, Some(200), "{told:?}");
    assert!(world.instances[0].ended(WAIT).await);
}

/// Guards against a failed request that cannot be followed by its id.
#[tokio::test]
async fn each_request_leaves_one_line_with_its_id() {
    let world = World::serving(vec![ledger("l1")]).await;
    world.servers[0].set_fault(Fault::LostAnswer);
    let call = Call { body: Some("{}"), ..Call::new("id-of-this-test", "/book/salt") };
    world.caller.call(world.entry(), &call).await;
    let lines = || world.instances[0].log_lines(&["request: ", "id-of-this-test"]);
    assert!(eventually(WAIT, || !lines().is_empty()).await);
    let lines = lines();
    assert_eq!(lines.len(), 1, "{lines:?}");
    let line: serde_json::Value = serde_json::from_str(&lines[0]).expect("a JSON line");
    assert_eq!(line["outcome"], "answer_lost");
    assert_eq!(line["version"], 3);
    assert!(line["steps"].as_str().is_some_and(|steps| steps.contains("l1")), "{line}");
}
