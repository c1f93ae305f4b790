//! The order of client accounts at servers that are full.

use std::time::{Duration, Instant};

use platform_stand_in::{Account, Call, Outcome, ServerConfig, configuration, with_accounts};

use crate::cluster::{MODELS, ROUTES, TestCluster, WAIT, engine, wait_for};

const HOT: Account<'static> = Account { name: "hot", keys: &["k-hot"], rank: None, quota: None };
const SMALL: Account<'static> =
    Account { name: "small", keys: &["k-small"], rank: None, quota: None };
/// Time for which the callers send requests.
const TIME: Duration = Duration::from_secs(4);

/// Sends requests one after the other, with a pause, and returns their outcomes.
async fn send(
    cluster: &TestCluster,
    key: &str,
    caller: usize,
    (delay, pause): (Duration, Duration),
) -> Vec<Outcome> {
    tokio::time::sleep(delay).await;
    let until = Instant::now() + TIME;
    let mut outcomes = Vec::new();
    while Instant::now() < until {
        let id = format!("{key}-{caller}-{}", outcomes.len());
        let to = cluster.instances[(caller + outcomes.len()) % 2].addresses.callers;
        let call = Call {
            key: Some(key),
            model: Some("m1"),
            body: Some("{}"),
            ..Call::new(&id, "/chat/x")
        };
        outcomes.push(cluster.caller.call(to, &call).await);
        tokio::time::sleep(pause).await;
    }
    outcomes
}

/// Guards against an account that takes the places of the others at servers which are full (load: 150
/// callers of one account beside a single one of another). The refused requests are the hot
/// account's.
#[tokio::test]
async fn small_account_is_served_beside_a_hot_one() {
    let engines = [("e1", 60), ("e2", 80), ("e3", 100)].map(|(id, ms)| ServerConfig {
        event_interval: Duration::from_millis(ms),
        ..engine(id, &["m1"])
    });
    let mut cluster = TestCluster::new(engines.into()).await;
    let cfg = with_accounts(configuration(4, ROUTES, MODELS), &[HOT, SMALL], &[]);
    cluster.store.put("config", "main", cfg);
    for _ in 0..2 {
        cluster.start_instance().await;
    }
    let has_leader = || {
        let mut instances = cluster.instances.iter();
        instances.any(|i| !i.log_lines(&["orders: this instance gives the orders"]).is_empty())
    };
    assert!(wait_for(WAIT, has_leader).await, "no instance leads");
    let hot = (0..150).map(|caller| {
        // The runs do not all end at the same time.
        let delay = Duration::from_millis(caller as u64 * 5);
        send(&cluster, "k-hot", caller, (delay, Duration::from_millis(20)))
    });
    let delay = Duration::from_secs(1);
    let small = send(&cluster, "k-small", 0, (delay, Duration::from_millis(50)));
    let (hot, small) = futures_util::future::join(futures_util::future::join_all(hot), small).await;
    let served = |outcomes: &[Outcome]| {
        let served = outcomes.iter().filter(|outcome| outcome.status == Some(200)).count();
        (served, outcomes.len())
    };
    let (hot, small) = (served(&hot.concat()), served(&small));
    let figures = format!("hot {hot:?}, small {small:?}");
    assert!(hot.1 - hot.0 > hot.1 / 4, "no server was full: {figures}");
    assert!(small.0 * 10 >= small.1 * 9, "{figures}");
}
