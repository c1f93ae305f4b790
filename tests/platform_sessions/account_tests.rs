//! Client accounts: keys, names and ranks.

use std::time::{Duration, Instant};

use platform_stand_in::{
    Account, Call, Fault, Gate, Outcome, ServerConfig, configuration, with_accounts,
};
use rstest::rstest;
use tokio::sync::oneshot;

use crate::cluster::{MODELS, ROUTES, TestCluster, WAIT, engine, ledger, wait_for};

const KEY: &str = "k7d3f01c9-mill";
const OTHER_KEY: &str = "k20b8e6aa-bakery";
const MILL: Account<'static> = Account { name: "mill", keys: &[KEY], rank: Some(7), quota: None };
const BAKERY: Account<'static> =
    Account { name: "bakery", keys: &[OTHER_KEY], rank: None, quota: None };

/// Time in which an instance that the store turns away, but that hears the others, must have a new
/// configuration: the users' bound of 2 s and an extension of 5 s.
const EXTENDED_CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(7);

fn put_accounts(cluster: &TestCluster, version: u64, accounts: &[Account<'_>]) {
    let configuration = configuration(version, ROUTES, MODELS);
    cluster.store.put("config", "main", with_accounts(configuration, accounts, &["/book/"]));
}

/// Starts a cluster with two accounts and one instance; requests to `/book/` need no key.
async fn cluster_with_accounts(servers: Vec<ServerConfig>) -> TestCluster {
    let mut cluster = TestCluster::new(servers).await;
    put_accounts(&cluster, 4, &[MILL, BAKERY]);
    cluster.start_instance().await;
    cluster
}

/// Takes the key of the mill away and waits until this is in force at the first instance.
async fn revoke_key(cluster: &TestCluster) {
    put_accounts(cluster, 5, &[Account { keys: &["k5"], ..MILL }, BAKERY]);
    let in_force = ["configuration: in force", "\"version\":5"];
    let is_in_force = || !cluster.instances[0].log_lines(&in_force).is_empty();
    assert!(wait_for(WAIT, is_in_force).await, "configuration not in force");
}

fn read<'a>(id: &'a str, key: Option<&'a str>) -> Call<'a> {
    Call { key, ..Call::new(id, "/read/x") }
}

/// Runs a call in a task. The outcome comes when the call ends.
fn spawn_call(cluster: &TestCluster, call: Call<'static>) -> tokio::task::JoinHandle<Outcome> {
    let (caller, address) = (cluster.caller.clone(), cluster.entry_address());
    tokio::spawn(async move { caller.call(address, &call).await })
}

fn total_runs(cluster: &TestCluster, id: &str) -> u32 {
    cluster.servers.iter().map(|server| server.runs(id)).sum()
}

/// Guards against serving a request without a valid key, and against asking for one on a public
/// route.
#[rstest]
#[case("/read/x", Some(KEY), 200)]
#[case("/read/x", Some("k-unknown"), 401)]
#[case("/read/x", None, 401)]
#[case("/book/x", None, 200)]
#[case("/book/x", Some("k-unknown"), 200)]
#[case("/nowhere/x", None, 404)]
#[tokio::test]
async fn requests_need_a_key_unless_their_route_is_public(
    #[case] path: &'static str,
    #[case] key: Option<&'static str>,
    #[case] status: u16,
) {
    let cluster = cluster_with_accounts(vec![ledger("l1")]).await;
    let call = Call { key, body: Some("{}"), ..Call::new("a1", path) };
    let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
    assert_eq!(outcome.status, Some(status), "{outcome:?}");
    assert_eq!(cluster.servers[0].runs("a1"), u32::from(status == 200));
}

/// Guards against passing a key to a server, or an account's name as the caller sent it, and
/// against keys in logs and metrics.
#[tokio::test]
async fn servers_get_the_name_of_the_account_and_no_key() {
    let cluster = cluster_with_accounts(vec![ledger("l1")]).await;
    let claims = |call| Call { claimed_account: Some("bakery"), body: Some("{}"), ..call };
    let calls = [
        (claims(read("a1", Some(KEY))), Some("mill")),
        (claims(read("a2", Some(OTHER_KEY))), Some("bakery")),
        (claims(Call { key: Some(KEY), ..Call::new("a3", "/book/x") }), None),
        (claims(Call::new("a4", "/book/x")), None),
    ];
    for (call, account) in calls {
        let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
        assert_eq!(outcome.status, Some(200), "{outcome:?}");
        assert_eq!(cluster.servers[0].account(call.id).as_deref(), account);
        assert!(!cluster.servers[0].has_received_key(call.id));
    }
    let refused = read("a5", Some("k-unknown"));
    cluster.caller.call(cluster.entry_address(), &refused).await;
    let instance = &cluster.instances[0];
    let metrics = format!("http://{}/metrics", instance.addresses.metrics);
    let metrics = reqwest::get(metrics).await.unwrap().text().await.unwrap();
    assert!(metrics.contains("account_admitted_total{account=\"mill\"} 1"), "{metrics}");
    let has_ended = || !instance.log_lines(&["request: ended", "\"account\":\"mill\""]).is_empty();
    assert!(wait_for(WAIT, has_ended).await);
    for key in [KEY, OTHER_KEY, "k-unknown"] {
        assert_eq!(instance.log_lines(&[key]), [""; 0]);
        assert!(!metrics.contains(key));
    }
}

/// Guards against other headers to servers, or a check of keys, where the configuration has no
/// accounts.
#[tokio::test]
async fn without_accounts_requests_are_passed_on_as_they_are() {
    let cluster = TestCluster::with_instance(vec![ledger("l1")]).await;
    let call = Call { claimed_account: Some("mill"), ..read("a1", Some(KEY)) };
    let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
    assert_eq!(outcome.status, Some(200), "{outcome:?}");
    let expected =
        ["accept", "api-key", "host", "x-attempt-id", "x-deadline-ms", "x-expected-instance"];
    assert_eq!(cluster.servers[0].header_names("a1"), expected);
}

/// Guards against engines that queue a request by the rank of its route although its account has
/// another.
#[tokio::test]
async fn rank_of_the_account_replaces_that_of_the_route() {
    let cluster = cluster_with_accounts(vec![engine("e1", &["m1"])]).await;
    for (id, key, rank) in [("a1", KEY, "7"), ("a2", OTHER_KEY, "1")] {
        let call = Call { model: Some("m1"), key: Some(key), ..Call::new(id, "/chat/x") };
        let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
        assert_eq!(outcome.status, Some(200), "{outcome:?}");
        assert_eq!(cluster.servers[0].priority(id).as_deref(), Some(rank));
    }
}

/// Guards against a key that works on after it was taken away, on a connection that was open
/// before, and against one that does not work after it was added.
#[tokio::test]
async fn a_changed_key_takes_effect_on_open_connections() {
    let cluster = cluster_with_accounts(vec![ledger("l1")]).await;
    let statuses = async || {
        let mut statuses = Vec::new();
        for key in [KEY, "k5"] {
            let call = read("a1", Some(key));
            statuses.push(cluster.caller.call(cluster.entry_address(), &call).await.status);
        }
        statuses
    };
    assert_eq!(statuses().await, [Some(200), Some(401)]);
    revoke_key(&cluster).await;
    assert_eq!(statuses().await, [Some(401), Some(200)]);
}

/// Guards against sending a request that has waited for its model while its key was taken away.
#[tokio::test]
async fn request_that_waits_is_refused_when_its_key_is_taken_away() {
    let cluster = cluster_with_accounts(vec![engine("e1", &["m1"])]).await;
    let call = Call { model: Some("m9"), key: Some(KEY), ..Call::new("a1", "/note/x") };
    let waiting = spawn_call(&cluster, Call { timeout: WAIT, ..call });
    // The request needs no time to arrive, and does not find its model.
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!waiting.is_finished());
    revoke_key(&cluster).await;
    let outcome = waiting.await.unwrap();
    assert_eq!(outcome.status, Some(401), "{outcome:?}");
    let steps = ["request: ended", "unknown_key", "\"account\":\"mill\""];
    assert_eq!(cluster.instances[0].log_lines(&steps).len(), 1);
}

/// Guards against running a request whose key was taken away while its body arrived.
#[tokio::test]
async fn request_with_a_late_body_is_refused_if_its_key_was_taken_away() {
    let cluster = cluster_with_accounts(vec![ledger("l1")]).await;
    let (tx, rx) = oneshot::channel::<()>();
    let (caller, address) = (cluster.caller.clone(), cluster.entry_address());
    let call = Call { body: Some("{}"), ..read("a1", Some(KEY)) };
    let is_due = async move { rx.await.unwrap_or_default() };
    let late =
        tokio::spawn(async move { caller.call_with_late_body(address, &call, is_due).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    revoke_key(&cluster).await;
    tx.send(()).unwrap();
    let outcome = late.await.unwrap();
    assert_eq!(outcome.status, Some(401), "{outcome:?}");
    assert_eq!(cluster.servers[0].runs("a1"), 0);
}

/// Guards against sending a request again after its key was taken away, and against telling its
/// caller that it has not run.
#[tokio::test]
async fn request_is_not_retried_after_its_key_was_taken_away() {
    let cluster = cluster_with_accounts(vec![ledger("l1"), ledger("l2")]).await;
    cluster.servers.iter().for_each(|server| server.set_fault(Fault::Mute));
    let outcome = spawn_call(&cluster, read("a1", Some(KEY)));
    assert!(wait_for(WAIT, || total_runs(&cluster, "a1") == 1).await);
    // The instance tries the other server after 0.7 s without an answer.
    revoke_key(&cluster).await;
    let outcome = outcome.await.unwrap();
    assert_eq!(outcome.status, Some(502), "{outcome:?}");
    assert_eq!(total_runs(&cluster, "a1"), 1);
}

/// Guards against resuming a stream at another server after its key was taken away.
#[tokio::test]
async fn stream_is_not_resumed_after_its_key_was_taken_away() {
    let slow =
        |id| ServerConfig { event_interval: Duration::from_millis(400), ..engine(id, &["m1"]) };
    let cluster = cluster_with_accounts(vec![slow("e1"), slow("e2")]).await;
    cluster.servers.iter().for_each(|server| server.set_fault(Fault::BreakInside(3)));
    let call = Call { model: Some("m1"), key: Some(KEY), ..Call::new("a1", "/chat/x") };
    let outcome = spawn_call(&cluster, call);
    assert!(wait_for(WAIT, || total_runs(&cluster, "a1") == 1).await);
    revoke_key(&cluster).await;
    let outcome = outcome.await.unwrap();
    assert_eq!((outcome.status, outcome.is_complete), (Some(200), false), "{outcome:?}");
    assert_eq!(total_runs(&cluster, "a1"), 1);
}

/// Guards against a key that works on at an instance that the store turns away while it serves
/// others: the instance hears from the leader that there is a newer configuration. The leader may be
/// turned away, too.
#[rstest]
#[case::only_a_follower(false)]
#[case::the_leader_too(true)]
#[tokio::test]
async fn an_instance_that_the_store_turns_away_learns_of_a_revoked_key(#[case] with_leader: bool) {
    let mut cluster = TestCluster::new(vec![ledger("l1")]).await;
    put_accounts(&cluster, 4, &[MILL, BAKERY]);
    let gate = Gate::start(cluster.store.address).await;
    let store = cluster.store.address;
    cluster.spawn_instance_with_store(if with_leader { gate.address } else { store });
    let is_leader =
        || !cluster.instances[0].log_lines(&["this instance gives the orders"]).is_empty();
    assert!(wait_for(WAIT, is_leader).await);
    cluster.spawn_instance_with_store(gate.address);
    cluster.spawn_instance_with_store(store);
    for instance in &cluster.instances {
        assert!(instance.wait_until_ready(WAIT).await, "{} not ready", instance.name);
    }
    // The instances list each other, and the leader hears all of them.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let address = cluster.instances[1].addresses.callers;
    let call = read("a1", Some(KEY));
    assert_eq!(cluster.caller.call(address, &call).await.status, Some(200));
    gate.set_open(false);
    put_accounts(&cluster, 5, &[BAKERY]);
    let revoked_at = Instant::now();
    while cluster.caller.call(address, &call).await.status != Some(401) {
        assert!(revoked_at.elapsed() < EXTENDED_CONFIGURATION_TIMEOUT, "the key still works");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let other = read("a2", Some(OTHER_KEY));
    assert_eq!(cluster.caller.call(address, &other).await.status, Some(200));
}
