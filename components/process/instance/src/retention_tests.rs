//! Tests of the deletion of old records, against the platform stand-in.

use std::time::UNIX_EPOCH;

use accounting::{Sweep, SweepCall, Writer, work_name};
use body_memory::BodyMemory;
use platform::{Call, Client, ClientConfig, Rates};
use serde_json::{Value, json};
use stand_ins::platform::{Platform, PlatformConfig};
use types::object::{Condition, ObjectKey};
use types::prelude::*;

use crate::retention::{Retention, SweepAnswer, SweepStep, is_clock_confirmed, perform};

const HOUR: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(24 * 3600);

fn now() -> SystemTime {
    UNIX_EPOCH + 499_123 * HOUR + Duration::from_secs(60)
}

fn within_a_second() -> Call {
    Call::with_deadline(Instant::now() + Duration::from_secs(1))
}

async fn start() -> (Platform, Client) {
    let platform = Platform::start(PlatformConfig::default()).await.expect("loopback is available");
    let client = Client::new(&ClientConfig {
        addresses: [platform.address()].into(),
        instance: "a".into(),
        rates: Rates::share(2_000, 400, 1),
        seed: 1,
        memory: BodyMemory::default(),
    });
    (platform, client)
}

async fn write(client: &Client, name: &str, condition: Condition) {
    let key = ObjectKey::new("work", name);
    let value = json!({"runs": {"7": {}}, "name": name});
    let outcome = client.write(&key, condition, &value, within_a_second()).await;
    assert!(matches!(outcome, platform::WriteOutcome::Written { .. }));
}

async fn names(client: &Client) -> Vec<Box<str>> {
    let listing = client.list::<Value>("work", "", within_a_second()).await.expect("listed");
    listing.objects.into_iter().map(|object| object.name).collect()
}

/// Guards against a sweep that leaves old objects or deletes newer ones.
#[tokio::test]
async fn a_sweep_deletes_old_objects_and_no_others() {
    let (_platform, client) = start().await;
    let hours = [0, 24, 71, 72, 73, 400].map(|hours| now() - hours * HOUR);
    for at in hours {
        write(&client, &work_name("a", at), Condition::Absent).await;
        write(&client, &work_name("a-49", at), Condition::Absent).await;
    }
    let writer = Writer { kind: "work", name: "a".into(), leased_run: None };
    let mut sweep = Sweep::new(now(), 2 * DAY, vec![writer]);
    while let Some(call) = sweep.next_call() {
        if let SweepAnswer::Listed(objects) = perform(&client, call).await {
            sweep.on_listed(objects);
        }
    }
    // The sweep retains two days and a margin of one more day. The writer `a-49`, whose name begins
    // like that of `a`, is not part of the sweep.
    let kept = hours[..4].iter().map(|at| work_name("a", *at));
    let mut expected: Vec<_> = kept.chain(hours.map(|at| work_name("a-49", at))).collect();
    expected.sort();
    assert_eq!(names(&client).await, expected);
}

/// Guards against the deletion of an object that was written after it was listed.
#[tokio::test]
async fn an_object_that_has_changed_is_not_deleted() {
    let (_platform, client) = start().await;
    write(&client, "a-1", Condition::Absent).await;
    let list = SweepCall::List { kind: "work", prefix: "a-".into() };
    let SweepAnswer::Listed(objects) = perform(&client, list).await else { panic!("no list") };
    let version = objects[0].version;
    write(&client, "a-1", Condition::Version(version)).await;
    let delete = SweepCall::Delete { kind: "work", name: "a-1".into(), version };
    assert_eq!(perform(&client, delete).await, SweepAnswer::Deleted(false));
    assert_eq!(names(&client).await, ["a-1".into()]);
}

/// Guards against a clock that is ahead and deletes records of the retained period.
#[tokio::test]
async fn the_clock_must_be_confirmed_by_another_instance() {
    let (_platform, client) = start().await;
    write(&client, &work_name("b", now()), Condition::Absent).await;
    for (ahead, expected) in
        [(Duration::ZERO, true), (HOUR, true), (2 * HOUR, false), (500 * DAY, false)]
    {
        assert_eq!(is_clock_confirmed(&client, "b", now() + ahead).await, expected, "{ahead:?}");
    }
}

/// Guards against calls at a high rate, several calls at a time, and sweeps of an instance that is
/// no longer the holder.
#[test]
fn only_the_holder_makes_calls_and_at_a_low_rate() {
    let start = Instant::now();
    let mut retention = Retention::new(400 * DAY, start);
    let second = |n: u64| start + Duration::from_secs(n);
    assert!(retention.next_step(true, false, second(299)).is_none());
    assert!(matches!(retention.next_step(true, false, second(300)), Some(SweepStep::Begin)));
    assert!(retention.next_step(true, false, second(400)).is_none(), "a call is in flight");
    let writer = Writer { kind: "work", name: "a".into(), leased_run: None };
    retention.on_sweep_started(Some((now(), vec![writer])));
    let mut calls = 0;
    for n in 500..1_100 {
        if let Some(SweepStep::Call(_)) = retention.next_step(true, false, second(n)) {
            calls += 1;
            retention.on_sweep_call_ended(SweepAnswer::Listed(Vec::new()));
        }
    }
    assert_eq!(calls, 300);
    assert!(
        retention.next_step(true, true, second(1_200)).is_none(),
        "the platform is unreachable"
    );
    assert!(retention.next_step(false, false, second(1_300)).is_none());
    assert!(matches!(retention.next_step(true, false, second(1_400)), Some(SweepStep::Begin)));
    // Without writers, for example without a confirmed time, it waits for an hour.
    retention.on_sweep_started(None);
    assert!(retention.next_step(true, false, second(5_000)).is_none());
    assert!(matches!(retention.next_step(true, false, second(5_002)), Some(SweepStep::Begin)));
}
