//! Long prompts beside short ones at several instances.

use std::time::{Duration, Instant};

use platform_stand_in::{Call, Fault, Server, ServerConfig};

use crate::cluster::{TestCluster, WAIT, engine, wait_for};

fn call(id: &str) -> Call<'_> {
    Call { model: Some("m1"), body: Some("{}"), ..Call::new(id, "/note/x") }
}

/// Guards against short prompts that wait behind a long one of another instance: the server that
/// keeps their shared part has not read it, and the other server of their model is idle. The load
/// figures show one request in flight, which the shared part outweighs.
#[tokio::test]
async fn short_prompts_pass_by_a_long_one_of_another_instance() {
    let mut cluster = TestCluster::new(vec![engine("e1", &["m1"]), engine("e2", &["m1"])]).await;
    cluster.start_instance().await;
    cluster.start_instance().await;
    let [first, second] = [0, 1].map(|n: usize| cluster.instances[n].addresses.callers);
    // Both instances learn how long a usual prompt is.
    for (id, address) in [("a1", first), ("a2", second)] {
        assert_eq!(cluster.caller.call(address, &call(id)).await.status, Some(200));
    }
    let ran = |id: &str| cluster.servers.iter().position(|server: &Server| server.runs(id) > 0);
    let keeps_part = ran("a2");
    assert_eq!(ran("a1"), keeps_part);
    // The news may be late on a busy machine, so that the short prompt comes too early.
    let deadline = Instant::now() + WAIT;
    let mut turn = 0;
    let has_passed = loop {
        turn += 1;
        let (long_id, short_id) = (format!("long-{turn}"), format!("short-{turn}"));
        cluster.servers.iter().for_each(|server| server.set_fault(Fault::Mute));
        let caller = cluster.caller.clone();
        let id = long_id.clone();
        let long = tokio::spawn(async move {
            let parts = "5c1e07a2:20,91bd3f06:10,e4402b7d:20000";
            let long = Call { parts, timeout: Duration::from_millis(1_500), ..call(&id) };
            caller.call(first, &long).await
        });
        assert!(wait_for(WAIT, || ran(&long_id).is_some()).await);
        cluster.servers.iter().for_each(|server| server.set_fault(Fault::None));
        tokio::time::sleep(Duration::from_millis(300)).await;
        let outcome = cluster.caller.call(second, &call(&short_id)).await;
        assert_eq!(outcome.status, Some(200));
        assert!(long.await.is_ok());
        let has_passed = ran(&long_id) == keeps_part && ran(&short_id) != keeps_part;
        if has_passed || Instant::now() >= deadline {
            break has_passed;
        }
    };
    assert!(has_passed);
    // Once the long prompt is gone, the shared part decides again.
    let deadline = Instant::now() + WAIT;
    let mut last = String::new();
    while last.is_empty() || ran(&last) != keeps_part {
        assert!(Instant::now() < deadline);
        turn += 1;
        last = format!("short-{turn}");
        assert_eq!(cluster.caller.call(second, &call(&last)).await.status, Some(200));
    }
}

/// Guards against a pause in a stream that its line does not show. Pattern: a long prompt that a
/// server reads between the events of a stream.
#[tokio::test]
async fn the_line_of_a_stream_has_its_longest_gap() {
    let interval = Duration::from_millis(150);
    let server = ServerConfig { event_interval: interval, events: 3, ..engine("e1", &["m1"]) };
    let mut cluster = TestCluster::new(vec![server]).await;
    cluster.start_instance().await;
    let address = cluster.instances[0].addresses.callers;
    assert_eq!(cluster.caller.call(address, &call("a1")).await.status, Some(200));
    let lines = || cluster.instances[0].log_lines(&["request: ended", "\"id\":\"a1\""]);
    assert!(wait_for(WAIT, || !lines().is_empty()).await);
    let line: serde_json::Value = serde_json::from_str(&lines()[0]).unwrap();
    let text = line.to_string();
    let (_, gap) = text.split_once("\"longest_gap_ms\":").expect("the gap");
    let gap: u64 = gap.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse().unwrap();
    assert!(gap >= 100, "{text}");
}
