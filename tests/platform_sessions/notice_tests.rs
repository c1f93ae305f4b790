//! Servers that say in their responses that they leave or want a pause.

use std::time::{Duration, Instant};

use platform_stand_in::{Call, Outcome, StoreFault};
use rstest::rstest;

use crate::cluster::{TestCluster, WAIT, engine, ledger, wait_for};

async fn read(cluster: &TestCluster, instance: usize, id: &str) -> Outcome {
    let to = cluster.instances[instance].addresses.callers;
    cluster.caller.call(to, &Call::new(id, "/read/x")).await
}

/// Sends reads until the first server has got one more.
async fn reach_first_server(cluster: &TestCluster, instance: usize) {
    let before = cluster.servers[0].arrivals();
    for n in 0..100 {
        if cluster.servers[0].arrivals() > before {
            return;
        }
        read(cluster, instance, &format!("r{n}")).await;
    }
    panic!("no request reached the first server");
}

/// Sends more reads at the same time than one server gets while another one is idle.
async fn read_concurrently(cluster: &TestCluster) {
    let ids: Vec<String> = (0..12).map(|n| format!("c{n}")).collect();
    let reads = ids.iter().map(|id| read(cluster, 0, id));
    for outcome in futures_util::future::join_all(reads).await {
        assert_eq!(outcome.status, Some(200), "{outcome:?}");
    }
}

/// Guards against requests to a server that said it is leaving, while the store is away and
/// although its entry reads as before (DRAIN).
#[tokio::test]
async fn server_that_says_it_leaves_gets_no_new_requests() {
    let cluster = TestCluster::with_instance(vec![ledger("l1"), ledger("l2")]).await;
    cluster.store.set_fault(StoreFault::Silent);
    cluster.servers[0].set_leaving(true);
    reach_first_server(&cluster, 0).await;
    let arrivals = cluster.servers[0].arrivals();
    for n in 0..30 {
        let outcome = read(&cluster, 0, &format!("a{n}")).await;
        assert_eq!(outcome.body, format!("a{n} by l2"));
    }
    cluster.store.set_fault(StoreFault::None);
    // The registry lags: the entry is written once more.
    cluster.store.put("servers", "l1", cluster.servers[0].entry(false));
    tokio::time::sleep(Duration::from_secs(2)).await;
    for n in 30..60 {
        assert_eq!(read(&cluster, 0, &format!("a{n}")).await.status, Some(200));
    }
    assert_eq!(cluster.servers[0].arrivals(), arrivals);
}

/// Guards against a sign that helps only the instance that saw it.
#[tokio::test]
async fn other_instances_learn_that_a_server_leaves() {
    let mut cluster = TestCluster::new(vec![ledger("l1"), ledger("l2")]).await;
    for _ in 0..3 {
        cluster.start_instance().await;
    }
    cluster.servers[0].set_leaving(true);
    reach_first_server(&cluster, 1).await;
    let line = ["says that it is leaving", "\"server\":\"l1\""];
    let all_know =
        || cluster.instances.iter().all(|instance| !instance.log_lines(&line).is_empty());
    assert!(wait_for(WAIT, all_know).await);
    let arrivals = cluster.servers[0].arrivals();
    for n in 0..30 {
        assert_eq!(read(&cluster, n % 3, &format!("a{n}")).await.status, Some(200));
    }
    assert_eq!(cluster.servers[0].arrivals(), arrivals);
}

/// Guards against a load on a server that said it is leaving in its response to a stream.
#[tokio::test]
async fn models_are_not_loaded_on_a_server_that_says_it_leaves() {
    let cluster =
        TestCluster::with_instance(vec![engine("e1", &["m1"]), engine("e2", &["m2"])]).await;
    cluster.servers[0].set_leaving(true);
    let call = Call { model: Some("m1"), body: Some("{}"), ..Call::new("a1", "/chat/x") };
    let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
    assert!(outcome.is_complete, "{outcome:?}");
    // The model is loaded at the other server for the next request.
    let call = Call { timeout: Duration::from_secs(15), ..Call { id: "a2", ..call } };
    let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!((cluster.servers[0].runs("a2"), cluster.servers[1].runs("a2")), (0, 1));
}

/// Guards against requests to a server that asked for a pause, from the second one on (BUDGET).
#[tokio::test]
async fn server_that_asks_for_a_pause_gets_no_requests() {
    let cluster = TestCluster::with_instance(vec![ledger("l1"), ledger("l2")]).await;
    cluster.servers[0].set_pause(Some("3"));
    reach_first_server(&cluster, 0).await;
    let arrivals = cluster.servers[0].arrivals();
    let asked_at = Instant::now();
    cluster.servers[0].set_pause(None);
    while asked_at.elapsed() < Duration::from_secs(2) {
        read_concurrently(&cluster).await;
    }
    assert_eq!(cluster.servers[0].arrivals(), arrivals);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    // After the pause the server gets its part of several requests again.
    read_concurrently(&cluster).await;
    assert!(cluster.servers[0].arrivals() > arrivals);
}

/// Guards against requests that wait although every server asked for a longer pause than they have
/// time.
#[tokio::test]
async fn request_is_refused_at_once_if_every_server_pauses() {
    let cluster = TestCluster::with_instance(vec![ledger("l1"), ledger("l2")]).await;
    for server in &cluster.servers {
        server.set_pause(Some("30"));
    }
    read(&cluster, 0, "a1").await;
    let arrivals: Vec<u32> = cluster.servers.iter().map(|server| server.arrivals()).collect();
    let sent_at = Instant::now();
    let outcome = read(&cluster, 0, "a2").await;
    assert_eq!(outcome.status, Some(503), "{outcome:?}");
    assert!(outcome.retry_after.is_some_and(|s| (20.0..31.0).contains(&s)), "{outcome:?}");
    assert!(sent_at.elapsed() < Duration::from_secs(2), "{:?}", sent_at.elapsed());
    let now: Vec<u32> = cluster.servers.iter().map(|server| server.arrivals()).collect();
    assert_eq!(now, arrivals);
}

/// Guards against a pause of unreadable or no length that keeps a server from all requests.
#[rstest]
#[case("0")]
#[case("-5")]
#[case("soon")]
#[tokio::test]
async fn pause_of_unreadable_length_does_no_harm(#[case] retry_after: &'static str) {
    let cluster = TestCluster::with_instance(vec![ledger("l1")]).await;
    cluster.servers[0].set_pause(Some(retry_after));
    read(&cluster, 0, "a1").await;
    cluster.servers[0].set_pause(None);
    assert_eq!(read(&cluster, 0, "a2").await.status, Some(200));
}
