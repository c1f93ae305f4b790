//! Tests of the platform stand-in over HTTP.

use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use stand_ins::platform::{Platform, PlatformConfig};
use types::prelude::*;

struct Fixture {
    platform: Platform,
    base: String,
    client: Client,
}

impl Fixture {
    async fn start(cfg: PlatformConfig) -> Self {
        let platform = Platform::start(cfg).await.expect("loopback is available");
        let base = format!("http://{}", platform.address());
        Self { platform, base, client: Client::new() }
    }

    async fn put(&self, path: &str, condition: (&str, &str), value: &Value) -> Option<u16> {
        let request = self
            .client
            .put(format!("{}{path}", self.base))
            .header(condition.0, condition.1)
            .header("x-instance", "a")
            .body(value.to_string());
        request.send().await.ok().map(|response| response.status().as_u16())
    }

    async fn get(&self, path: &str) -> (StatusCode, Option<String>, Value) {
        let response =
            self.client.get(format!("{}{path}", self.base)).send().await.expect("response");
        let tag = response.headers().get("etag").map(|tag| tag.to_str().expect("text").to_owned());
        (response.status(), tag, response.json().await.expect("JSON"))
    }
}

/// Guards against two conditional writes that both succeed from the same version.
#[tokio::test]
async fn a_conditional_update_succeeds_once_per_version() {
    let fixture = Fixture::start(PlatformConfig::default()).await;
    let path = "/objects/group/keys/7";
    assert_eq!(fixture.put(path, ("if-none-match", "*"), &json!(1)).await, Some(201));
    assert_eq!(fixture.put(path, ("if-none-match", "*"), &json!(2)).await, Some(412));
    let (_, tag, value) = fixture.get(path).await;
    let tag = tag.expect("a version");
    assert_eq!(value, json!(1));
    assert_eq!(fixture.put(path, ("if-match", &tag), &json!(3)).await, Some(200));
    assert_eq!(fixture.put(path, ("if-match", &tag), &json!(4)).await, Some(412));
    let (_, newer, value) = fixture.get(path).await;
    assert_eq!(value, json!(3));
    let newer = newer.expect("a version");
    let delete = |tag: String| {
        fixture.client.delete(format!("{}{path}", fixture.base)).header("if-match", tag).send()
    };
    assert_eq!(delete(tag).await.expect("response").status(), 412);
    assert_eq!(delete(newer.clone()).await.expect("response").status(), 200);
    // No version is used twice, not even after a delete.
    assert_eq!(fixture.put(path, ("if-none-match", "*"), &json!(5)).await, Some(201));
    assert_ne!(fixture.get(path).await.1, Some(newer));
    assert_eq!(fixture.platform.counters().conflicts, 3);
}

/// Guards against a lost response that also loses the write: tests would not notice callers that
/// wrongly assume that the write had no effect.
#[tokio::test]
async fn a_write_whose_response_is_lost_takes_effect() {
    let fixture = Fixture::start(PlatformConfig::default()).await;
    fixture.platform.change_faults(|faults| faults.lose_write_answers = 1);
    assert_eq!(fixture.put("/objects/k/n", ("if-none-match", "*"), &json!({"x": 1})).await, None);
    assert_eq!(fixture.platform.object("k", "n").expect("written").value, json!({"x": 1}));
    assert_eq!(fixture.put("/objects/k/m", ("if-none-match", "*"), &json!(1)).await, Some(201));
}

/// Guards against watches that miss changes between the list and the watch, or that survive a
/// cut-off of their caller.
#[tokio::test]
async fn a_watch_starts_at_a_version_and_breaks_when_its_caller_is_cut() {
    let fixture = Fixture::start(PlatformConfig::default()).await;
    fixture.platform.put_object("k", "p1", &json!(1));
    let (_, _, listed) = fixture.get("/objects/k?prefix=p").await;
    assert_eq!(listed["objects"][0]["value"], json!(1));
    let version = listed["version"].as_u64().expect("a version");
    fixture.platform.put_object("k", "p2", &json!({"a": "b\nc"}));
    let url = format!("{}/objects/k?prefix=p&watch={version}", fixture.base);
    let request = fixture.client.get(url).header("x-instance", "a");
    let mut response = request.send().await.expect("a watch");
    let line = response.chunk().await.expect("open").expect("a line");
    let event: Value = serde_json::from_slice(&line).expect("one JSON event");
    assert_eq!((&event["name"], &event["value"]["a"]), (&json!("p2"), &json!("b\nc")));
    fixture.platform.put_object("k", "p3", &json!(3));
    let line = response.chunk().await.expect("open").expect("a line");
    assert!(line.ends_with(b"\n") && line.starts_with(b"{"));
    fixture.platform.change_faults(|faults| faults.cut.extend(["a".into()]));
    assert!(response.chunk().await.is_err());
    assert_eq!(fixture.put("/objects/k/q", ("if-none-match", "*"), &json!(1)).await, None);
    assert_eq!(fixture.get("/objects/k").await.0, 200, "other callers are not cut");
    assert_eq!(fixture.platform.counters().calls["watch"], 1);
}

/// Guards against wrong call counts and rate limits, on which tests and trials rely.
#[tokio::test]
async fn calls_are_counted_and_refused_above_the_rates() {
    let cfg = PlatformConfig { writes_per_second: 3, ..PlatformConfig::default() };
    let fixture = Fixture::start(cfg).await;
    fixture.platform.change_faults(|faults| faults.refuse_above_rate = true);
    let mut statuses = Vec::new();
    for n in 0..5 {
        let path = format!("/objects/k/{n}");
        statuses
            .push(fixture.put(&path, ("if-none-match", "*"), &json!(n)).await.expect("response"));
    }
    assert_eq!(statuses, [201, 201, 201, 429, 429]);
    let (_, _, counters) = fixture.get("/stand-in/counters").await;
    assert_eq!(counters["max_writes_per_second"], 3);
    assert_eq!(counters["refused_above_rate"], 2);
    assert_eq!(counters["calls"]["put"], 3);
}

/// Guards against an instance list without lag: tests would not notice instances that rely on a
/// current list.
#[tokio::test]
async fn the_instance_list_lags_and_faults_switch_over_http() {
    let instances_lag = Duration::from_millis(300);
    let fixture =
        Fixture::start(PlatformConfig { instances_lag, ..PlatformConfig::default() }).await;
    fixture.platform.upsert_instance(ListedInstance {
        name: "e1".into(),
        role: ListedRole::Service("ledger".into()),
        data_centre: "a".into(),
        group: "g".into(),
        address: "127.0.0.1:1".into(),
        state: ListedState::Live,
        checks_fencing: true,
    });
    assert_eq!(fixture.get("/instances").await.2, json!([]));
    tokio::time::sleep(instances_lag).await;
    assert_eq!(fixture.get("/instances").await.2[0]["role"]["service"], "ledger");
    let faults = fixture.client.post(format!("{}/stand-in/faults", fixture.base));
    let response = faults.body(json!({"outage": true}).to_string()).send().await.expect("response");
    assert_eq!(response.status(), 200);
    assert!(fixture.client.get(format!("{}/instances", fixture.base)).send().await.is_err());
}
