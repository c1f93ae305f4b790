//! Calls that wait beside a crowd.

use std::time::Duration;

use serde_json::Value;

use crate::crowd::{Crowd, Shape};
use crate::harness::Harness;

/// Guards against a crowd of silent connections at the peers' port that takes the place of a call
/// which waits for the store: the leader's calls go through other instances while the store turns it
/// away.
#[tokio::test]
async fn call_that_waits_for_the_store_keeps_its_place() {
    let harness = Harness::start(130).await;
    let path = format!("http://{}/api/objects/config", harness.instance.addresses.peers);
    let list = reqwest::get(&path).await.unwrap().json::<Value>().await.unwrap();
    let watch = format!("{path}?watch_stream={}&wait_time_ms=4000", list["at"]);
    let waiting = tokio::spawn(reqwest::get(watch));
    // The call has reached the store by then.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let _crowd = Crowd::start(harness.instance.addresses.peers, "", &[Shape::Silent]);
    let response = waiting.await.unwrap();
    assert!(response.is_ok_and(|response| response.status().is_success()));
}
