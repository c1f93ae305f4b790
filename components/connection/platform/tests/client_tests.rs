//! Tests of the client against the stand-in of the platform.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use body_memory::BodyMemory;
use platform::{Call, Client, ClientConfig, Error, Object, Rate, Rates, WriteOutcome};
use serde::{Deserialize, Serialize};
use stand_ins::platform::{Platform, PlatformConfig};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use types::object::{CallPriority, Condition, ObjectAnswer, ObjectCall, ObjectKey};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    owner: Box<str>,
    nonce: u64,
}

fn record(owner: &str, nonce: u64) -> Record {
    Record { owner: owner.into(), nonce }
}

fn key() -> ObjectKey {
    ObjectKey::new("group", "keys/7 ä?")
}

fn within(millis: u64) -> Call {
    Call::with_deadline(Instant::now() + Duration::from_millis(millis))
}

async fn start() -> Platform {
    Platform::start(PlatformConfig::default()).await.expect("loopback is available")
}

fn client(platform: &Platform, instance: &str, seed: u64) -> Client {
    client_of([platform.address()].into(), instance, seed)
}

fn client_of(addresses: Box<[SocketAddr]>, instance: &str, seed: u64) -> Client {
    let rates = Rates::share(2_000, 400, 4);
    let memory = BodyMemory::default();
    Client::new(&ClientConfig { addresses, instance: instance.into(), rates, seed, memory })
}

fn closed_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback is available");
    listener.local_addr().expect("a bound address")
}

/// Returns an address at which each call gets the head and half of the body of a response before
/// the connection is closed.
async fn truncating_address() -> SocketAddr {
    const TRUNCATED_RESPONSE: &[u8] =
        b"HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 4\r\n\r\n{}";
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback is available");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut buf = [0; 4_096];
            let _ = connection.read(&mut buf).await;
            let _ = connection.write_all(TRUNCATED_RESPONSE).await;
        }
    });
    address
}

async fn outage_address() -> SocketAddr {
    let platform = start().await;
    platform.change_faults(|faults| faults.outage = true);
    platform.address()
}

/// Guards against an instance that cannot reach the platform although another of its addresses
/// responds.
#[rstest::rstest]
#[case::connection_is_refused(std::future::ready(closed_address()))]
#[case::connections_are_closed(outage_address())]
#[case::response_is_truncated(truncating_address())]
#[tokio::test]
async fn the_client_switches_from_a_failing_address_to_the_next(
    #[case] failing: impl Future<Output = SocketAddr>,
) {
    let (address, platform) = (failing.await, start().await);
    let client = client_of([address, platform.address()].into(), "a", 1);
    let value = record("a", 1);
    let outcome = client.write(&key(), Condition::Absent, &value, within(2_000)).await;
    let WriteOutcome::Written { version } = outcome else { panic!("{outcome:?}") };
    let object = Object { name: key().name, version, value };
    assert_eq!(client.get(&key(), within(2_000)).await, Ok(Some(object)));
}

/// Guards against object names that reads, writes and lists encode differently.
#[tokio::test]
async fn objects_are_written_read_listed_and_deleted() {
    let platform = start().await;
    let client = client(&platform, "a", 1);
    assert_eq!(client.get::<Record>(&key(), within(1_000)).await, Ok(None));
    let value = record("a", 1);
    let outcome = client.write(&key(), Condition::Absent, &value, within(1_000)).await;
    let WriteOutcome::Written { version } = outcome else { panic!("{outcome:?}") };
    let object = Object { name: key().name, version, value };
    assert_eq!(client.get(&key(), within(1_000)).await, Ok(Some(object.clone())));
    let listing = client.list::<Record>("group", "keys/7 ä", within(1_000)).await.expect("listed");
    assert_eq!((listing.version, listing.objects), (version, vec![object.clone()]));
    let stale = record("b", 2);
    let outcome = client.write(&key(), Condition::Absent, &stale, within(1_000)).await;
    let conflict = WriteOutcome::Conflict { current: Some(object), may_have_been_written: false };
    assert_eq!(outcome, conflict);
    let outcome = client.delete::<Record>(&key(), version, within(1_000)).await;
    assert!(matches!(outcome, WriteOutcome::Written { .. }));
    assert!(platform.object_names("group").is_empty());
    assert_eq!(client.instances(within(1_000)).await, Ok(Vec::new()));
}

/// Guards against a write whose response was lost and that is reported as a conflict or retried.
#[tokio::test]
async fn a_lost_response_is_resolved_by_the_nonce() {
    let platform = start().await;
    let client = client(&platform, "a", 2);
    platform.change_faults(|faults| faults.lose_write_answers = 1);
    let outcome = client.write(&key(), Condition::Absent, &record("a", 1), within(2_000)).await;
    let WriteOutcome::Written { version } = outcome else { panic!("{outcome:?}") };
    assert_eq!(platform.counters().calls["put"], 1);
    // Another writer overwrites the object before the client reads it back.
    platform.change_faults(|faults| faults.lose_write_answers = 1);
    let (key, value) = (key(), record("a", 2));
    let update = client.write(&key, Condition::Version(version), &value, within(2_000));
    let overwrite = async {
        while platform.counters().lost_answers < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        platform.put_object("group", &key.name, &serde_json::json!({"owner": "b", "nonce": 9}));
    };
    let (outcome, ()) = tokio::join!(update, overwrite);
    let WriteOutcome::Conflict { current, may_have_been_written } = outcome else {
        panic!("{outcome:?}")
    };
    assert!(may_have_been_written);
    assert_eq!(current.expect("an object").value, record("b", 9));
}

/// Guards against outcomes that are reported as certain although the platform is unreachable.
#[tokio::test]
async fn an_outage_leaves_unsent_writes_unwritten_and_lost_ones_unknown() {
    let platform = start().await;
    let client = client(&platform, "a", 3);
    platform.change_faults(|faults| faults.lose_write_answers = 1);
    let (key, value) = (key(), record("a", 1));
    let write = client.write(&key, Condition::Absent, &value, within(600));
    let outage = async {
        while platform.counters().lost_answers == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        platform.change_faults(|faults| faults.outage = true);
    };
    let (outcome, ()) = tokio::join!(write, outage);
    assert_eq!(outcome, WriteOutcome::Unknown);
    let started_at = Instant::now();
    let read = client.get::<Record>(&key, within(400)).await;
    assert_eq!(read, Err(Error::Unavailable));
    assert!(started_at.elapsed() < Duration::from_millis(600));
    assert!(client.is_failing());
    platform.change_faults(|faults| faults.outage = false);
    let read = client.get::<Record>(&key, within(5_000)).await;
    assert_eq!(read.map(|object| object.map(|object| object.value)), Ok(Some(record("a", 1))));
    platform.stop();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let other = ObjectKey::new("group", "other");
    // The connection is refused, so the write cannot have taken effect.
    let unsent = client.write(&other, Condition::Absent, &record("a", 2), within(300)).await;
    assert_eq!(unsent, WriteOutcome::NotWritten);
}

/// Guards against single calls that hide a lost response from components that resolve it.
#[tokio::test]
async fn single_calls_report_each_outcome_without_retries() {
    let platform = start().await;
    let client = client(&platform, "a", 4);
    let key = ObjectKey::new("lease", "a");
    let lease = || Call { priority: CallPriority::Lease, ..within(1_000) };
    let write = |condition| {
        let (key, value) = (key.clone(), b"{\"counter\":1}".to_vec());
        ObjectCall::Write { key, condition, value }
    };
    let read = ObjectCall::Read { key: key.clone() };
    assert_eq!(client.call(&read, lease()).await, ObjectAnswer::Missing);
    let answer = client.call(&write(Condition::Absent), lease()).await;
    assert_eq!(answer, ObjectAnswer::Written { version: 1 });
    assert_eq!(client.call(&write(Condition::Absent), lease()).await, ObjectAnswer::Conflict);
    let value = b"{\"counter\":1}".to_vec();
    assert_eq!(client.call(&read, lease()).await, ObjectAnswer::Found { version: 1, value });
    let read_if_changed = |known| ObjectCall::ReadIfChanged { key: key.clone(), known };
    assert_eq!(client.call(&read_if_changed(1), lease()).await, ObjectAnswer::Unchanged);
    let changed = client.call(&read_if_changed(7), lease()).await;
    assert!(matches!(changed, ObjectAnswer::Found { version: 1, .. }));
    platform.change_faults(|faults| faults.lose_write_answers = 1);
    let answer = client.call(&write(Condition::Version(1)), lease()).await;
    assert_eq!(answer, ObjectAnswer::Lost);
    assert_eq!(platform.counters().calls["put"], 3);
}

/// Guards against changes that a watcher misses or receives twice when the connection breaks.
#[tokio::test]
async fn a_watch_resumes_after_a_disconnection() {
    let platform = start().await;
    let client = client(&platform, "a", 5);
    let put = |name: &str, nonce| {
        let value = serde_json::to_value(record("x", nonce)).expect("JSON");
        platform.put_object("configuration", name, &value);
    };
    put("head", 1);
    let mut watch =
        client.watch::<Record>("configuration", "head", 0, within(5_000)).await.expect("a watch");
    put("head", 2);
    put("other", 9);
    let mut last_version = 0;
    for nonce in [1, 2] {
        let change = watch.next().await.expect("open").expect("a change");
        assert_eq!(change.value, Some(record("x", nonce)));
        last_version = change.version;
    }
    platform.change_faults(|faults| faults.cut.extend(["a".into()]));
    assert_eq!(watch.next().await, Err(Error::Unavailable));
    put("head", 3);
    platform.change_faults(|faults| faults.cut.clear());
    let mut watch = client
        .watch::<Record>("configuration", "head", last_version, within(300))
        .await
        .expect("a watch");
    let change = watch.next().await.expect("open").expect("a change");
    assert_eq!(change.value, Some(record("x", 3)));
    assert_eq!(watch.next().await, Ok(None), "the watch ends at its deadline");
}

/// Guards against calls that bypass the budget, and against refusals that count as responses about
/// the object.
#[tokio::test]
async fn the_budget_limits_calls_and_refusals_are_retried() {
    let platform =
        Platform::start(PlatformConfig { reads_per_second: 3, ..PlatformConfig::default() }).await;
    let platform = platform.expect("loopback is available");
    platform.change_faults(|faults| faults.refuse_above_rate = true);
    let rate = Rate { per_second: 20.0, burst: 4.0 };
    let client = client(&platform, "a", 6);
    client.set_rates(Rates { reads: rate, writes: rate });
    for _ in 0..5 {
        assert_eq!(client.get::<Record>(&key(), within(5_000)).await, Ok(None));
    }
    let counters = platform.counters();
    assert!(counters.refused_above_rate >= 1);
    assert_eq!((counters.calls["get"], counters.max_reads_per_second), (5, 3));
}
