//! Requests that end the servers that run them.

use std::time::Duration;

use platform_stand_in::{Call, Deadly, Outcome, Server};

use crate::cluster::{TestCluster, engine, ledger};

/// The part that ends servers, and the prompts with and without it.
const DEADLY_PART: &str = "dead0001";
const DEADLY_PROMPT: &str = "5c1e07a2:20,91bd3f06:10,dead0001:10,e4402b7d:10";
const SOUND_PROMPT: &str = "5c1e07a2:20,91bd3f06:10,e4402b7d:10";

/// Time in which the instances learn of a deadly part after its fifth crash.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Requests with the part that may reach servers after that.
const MAX_LATE_ARRIVALS: u32 = 3;

async fn call(cluster: &TestCluster, n: usize, path: &str, parts: &str) -> Outcome {
    let id = format!("a{n}");
    let instance = &cluster.instances[n % cluster.instances.len()];
    let call = Call { model: Some("m1"), body: Some("{}"), parts, ..Call::new(&id, path) };
    cluster.caller.call(instance.addresses.callers, &call).await
}

fn total(servers: &[Server], count: impl Fn(&Server) -> u32) -> u32 {
    servers.iter().map(count).sum()
}

async fn cluster_with_deadly_part(instances: usize) -> TestCluster {
    let servers = (1..=6).map(|n| engine(&format!("e{n}"), &["m1"])).collect();
    let mut cluster = TestCluster::new(servers).await;
    for _ in 0..instances {
        cluster.start_instance().await;
    }
    for server in &cluster.servers {
        server.set_deadly(Some(Deadly::Part(DEADLY_PART)));
    }
    cluster
}

/// Guards against sending requests with a part that ends servers to one server after another, at
/// each instance anew (BUDGET, LOST).
#[tokio::test]
async fn requests_with_a_part_that_ends_servers_are_kept_from_servers() {
    let cluster = cluster_with_deadly_part(3).await;
    for n in 0..6 {
        call(&cluster, n, "/chat/x", SOUND_PROMPT).await;
    }
    for n in 10..22 {
        let outcome = call(&cluster, n, "/chat/x", DEADLY_PROMPT).await;
        assert_ne!(outcome.status, Some(200), "{outcome:?}");
    }
    tokio::time::sleep(LEARNING_TIME).await;
    let before = total(&cluster.servers, Server::deadly_arrivals);
    for n in 30..42 {
        let outcome = call(&cluster, n, "/chat/x", DEADLY_PROMPT).await;
        assert_ne!(outcome.status, Some(200), "{outcome:?}");
    }
    let late = total(&cluster.servers, Server::deadly_arrivals) - before;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} requests reached servers");
    for n in 50..70 {
        let outcome = call(&cluster, n, "/chat/x", SOUND_PROMPT).await;
        assert!(outcome.status == Some(200) && outcome.is_complete, "{n}: {outcome:?}");
    }
}

/// Guards against ordering a load that ends servers at one server after another.
#[tokio::test]
async fn load_that_ends_servers_is_not_ordered_again() {
    let servers = (1..=5).map(|n| engine(&format!("e{n}"), &["m1"])).collect();
    let mut cluster = TestCluster::new(servers).await;
    cluster.start_instance().await;
    for server in &cluster.servers {
        server.set_deadly(Some(Deadly::Load("m4")));
    }
    for n in 0..6 {
        let id = format!("a{n}");
        let call = Call { model: Some("m4"), body: Some("{}"), ..Call::new(&id, "/chat/x") };
        let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
        assert_ne!(outcome.status, Some(200), "{outcome:?}");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let ends = total(&cluster.servers, Server::ends);
    assert!((1..=2).contains(&ends), "{ends} servers ended");
    let outcome = call(&cluster, 50, "/chat/x", SOUND_PROMPT).await;
    assert_eq!(outcome.status, Some(200), "{outcome:?}");
}

/// Guards against repeating a call that ends the servers of a plain service.
#[tokio::test]
async fn call_that_ends_servers_is_not_repeated() {
    let servers = (1..=4).map(|n| ledger(&format!("l{n}"))).collect();
    let mut cluster = TestCluster::new(servers).await;
    cluster.start_instance().await;
    for server in &cluster.servers {
        server.set_deadly(Some(Deadly::Path("/read/deadly")));
    }
    for n in 0..8 {
        let id = format!("a{n}");
        cluster.caller.call(cluster.entry_address(), &Call::new(&id, "/read/deadly")).await;
    }
    let arrivals = total(&cluster.servers, Server::deadly_arrivals);
    assert!(arrivals <= 2, "{arrivals} calls reached servers");
    let outcome = cluster.caller.call(cluster.entry_address(), &Call::new("b", "/read/x")).await;
    assert_eq!(outcome.status, Some(200), "{outcome:?}");
}

/// Guards against banning a whole model because of a part that ends servers only with this model, and
/// that is answered with others (BUDGET, day `deadly` of kh-dielna).
#[tokio::test]
async fn part_that_ends_servers_with_one_model_is_banned_with_this_model_only() {
    let servers = (1..=8).map(|n| engine(&format!("e{n}"), &["m1", "m2"])).collect();
    let mut cluster = TestCluster::new(servers).await;
    for _ in 0..2 {
        cluster.start_instance().await;
    }
    for server in &cluster.servers {
        server.set_deadly(Some(Deadly::PartOf("m1", DEADLY_PART)));
    }
    let send = async |n: usize, model, parts| {
        let id = format!("a{n}");
        let instance = &cluster.instances[n % cluster.instances.len()];
        let call =
            Call { model: Some(model), body: Some("{}"), parts, ..Call::new(&id, "/chat/x") };
        cluster.caller.call(instance.addresses.callers, &call).await
    };
    let is_served = |outcome: &Outcome| outcome.status == Some(200) && outcome.is_complete;
    for n in 0..16 {
        send(3 * n, "m1", DEADLY_PROMPT).await;
        send(3 * n + 1, "m2", DEADLY_PROMPT).await;
        send(3 * n + 2, "m1", SOUND_PROMPT).await;
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    let arrivals = total(&cluster.servers, Server::deadly_arrivals);
    assert!(arrivals <= 5 + MAX_LATE_ARRIVALS, "{arrivals} requests reached servers");
    for n in 50..70 {
        let outcome = send(n, "m1", DEADLY_PROMPT).await;
        assert_ne!(outcome.status, Some(200), "{outcome:?}");
        for (model, parts) in [("m1", SOUND_PROMPT), ("m2", DEADLY_PROMPT)] {
            let outcome = send(n + 100, model, parts).await;
            assert!(is_served(&outcome), "{model} {parts}: {outcome:?}");
        }
    }
}

/// Guards against banning a session, or its model, for one request that its caller sends again and
/// again, and against not banning it because others with the same parts are answered (BUDGET).
#[tokio::test]
async fn prompt_that_ends_servers_is_banned_without_its_session() {
    let servers = (1..=8).map(|n| engine(&format!("e{n}"), &["m1"])).collect();
    let mut cluster = TestCluster::new(servers).await;
    for _ in 0..2 {
        cluster.start_instance().await;
    }
    for server in &cluster.servers {
        server.set_deadly(Some(Deadly::Prompt("5c1e07a2:20,91bd3f06:10,0badf00d:36")));
    }
    let sound = ["5c1e07a2:20,91bd3f06:10,e4402b7d:10", "5c1e07a2:20,91bd3f06:10,77aa01cc:52"];
    let is_served = |outcome: &Outcome| outcome.status == Some(200) && outcome.is_complete;
    for n in 0..4 {
        call(&cluster, n, "/chat/x", sound[n % 2]).await;
    }
    for n in 10..22 {
        call(&cluster, 3 * n, "/chat/x", "5c1e07a2:20,91bd3f06:10,0badf00d:36").await;
        call(&cluster, 3 * n + 1, "/chat/x", sound[n % 2]).await;
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    let arrivals = total(&cluster.servers, Server::deadly_arrivals);
    assert!(arrivals <= MAX_LATE_ARRIVALS, "{arrivals} requests reached servers");
    for n in 100..120 {
        let outcome = call(&cluster, n, "/chat/x", sound[n % 2]).await;
        assert!(is_served(&outcome), "{outcome:?}");
    }
}
