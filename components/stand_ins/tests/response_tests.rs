//! Tests of the engine stand-in's responses, and of the ledger.

use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use stand_ins::engine::{CacheEvents, Engine, EngineConfig, expected_text, prompt_hash};
use stand_ins::service::Service;
use stand_ins::weight_store::{WeightStore, WeightStoreConfig};
use types::prelude::*;

struct Fixture {
    engine: Engine,
    base: String,
    client: Client,
}

impl Fixture {
    /// Starts an engine and loads model `m` as replica 1.
    async fn start(cfg: EngineConfig) -> Self {
        let instant = Duration::from_millis(1);
        let load_time = LoadTime { memory: instant, disk: instant, remote: instant };
        let report_lag = Duration::ZERO;
        let cfg = EngineConfig { load_time, report_lag, ..cfg };
        let store = WeightStore::new(WeightStoreConfig::default());
        let engine = Engine::start(cfg, store).await.expect("loopback is available");
        let kind = OrderKind::Load {
            replica: 1,
            model: "m".into(),
            version: "1".into(),
            memory_bytes: 1,
            adapter_slots: 0,
            source: LoadSource::Remote,
        };
        engine.handle_order(Order { order: 1, group: "g".into(), fencing: 1, kind });
        while engine.report().replicas[0].phase != ReplicaPhase::Ready {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let base = format!("http://{}", engine.address());
        Self { engine, base, client: Client::new() }
    }

    fn completion_request(
        &self,
        attempt: &str,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> RequestBuilder {
        let body = json!({"model": "m", "stream": stream, "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}]});
        self.client
            .post(format!("{}/v1/chat/completions", self.base))
            .header("x-attempt-id", attempt)
            .header("x-replica", "1")
            .body(body.to_string())
    }

    async fn resume(&self, attempt: &str, from: u64) -> String {
        let url = format!("{}/v1/requests/{attempt}/stream?from={from}", self.base);
        self.client
            .get(url)
            .send()
            .await
            .expect("response")
            .text()
            .await
            .expect("a complete stream")
    }
}

/// Reads the events up to the end or a break, as id and content, and whether the end marker came.
async fn read_events(mut response: Response) -> (Vec<(u64, String)>, bool) {
    let mut text = String::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        text.push_str(std::str::from_utf8(&chunk).expect("text"));
    }
    parse_events(&text)
}

fn parse_events(text: &str) -> (Vec<(u64, String)>, bool) {
    let mut events = Vec::new();
    for block in text.split_terminator("\n\n") {
        let Some((id, data)) = block.split_once('\n') else { continue };
        let id = id.strip_prefix("id: ").expect("an id").parse().expect("a number");
        let data: Value = serde_json::from_str(&data["data: ".len()..]).expect("JSON");
        let content = &data["choices"][0]["delta"]["content"];
        events.push((id, content.as_str().unwrap_or_default().to_owned()));
    }
    (events, text.ends_with("data: [DONE]\n\n"))
}

fn expected_content(prompt: &str, tokens: u64) -> String {
    expected_text("m", &format!("user: {prompt}\n"), tokens)
}

/// Guards against responses that tests cannot tell apart.
#[tokio::test]
async fn responses_depend_on_the_request_and_echo_the_attempt_id() {
    let fixture = Fixture::start(EngineConfig::default()).await;
    let response =
        fixture.completion_request("a1", "hello", 3, false).send().await.expect("response");
    assert_eq!(response.headers()["x-attempt-id"], "a1");
    let body: Value = response.json().await.expect("JSON");
    let content = body["choices"][0]["message"]["content"].as_str().expect("content");
    assert_eq!(content, expected_content("hello", 3));
    assert_ne!(content, expected_content("hullo", 3));
    assert_eq!(body["usage"]["completion_tokens"], 3);
    let again = fixture.completion_request("a1", "hello", 3, false).send().await.expect("response");
    assert_eq!(again.status(), 422);
    assert_eq!(again.headers()["x-verdict"], "not_run");
    assert_eq!(fixture.engine.counters().repeated_attempts, 1);
    fixture.engine.change_faults(|faults| faults.wrong_attempt_ids = 1);
    let wrong = fixture.completion_request("a2", "hello", 3, false).send().await.expect("response");
    assert_ne!(wrong.headers()["x-attempt-id"], "a2");
}

/// Guards against streams that lose or repeat tokens when a client resumes them.
#[tokio::test]
async fn a_broken_stream_resumes_from_the_next_token() {
    let fixture = Fixture::start(EngineConfig::default()).await;
    fixture.engine.change_faults(|faults| {
        faults.break_streams = 1;
        faults.break_streams_after = 4;
    });
    let response =
        fixture.completion_request("s1", "tally", 9, true).send().await.expect("response");
    let (mut all, has_end_marker) = read_events(response).await;
    assert!(!has_end_marker && all.len() == 4, "broke after {} events", all.len());
    let (rest, has_end_marker) = parse_events(&fixture.resume("s1", 4).await);
    assert!(has_end_marker);
    all.extend(rest);
    let ids: Vec<u64> = all.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, (0..=9).collect::<Vec<_>>());
    let text: String = all.into_iter().map(|(_, content)| content).collect();
    assert_eq!(text, expected_content("tally", 9));
    fixture.engine.change_faults(|faults| faults.omit_end_markers = 1);
    let response =
        fixture.completion_request("s2", "tally", 2, true).send().await.expect("response");
    assert!(!read_events(response).await.1);
}

/// Guards against engines that serve low priorities first or keep generating after a cancel.
#[tokio::test]
async fn priorities_decide_the_queue_and_cancel_frees_the_slot() {
    let fixture = Fixture::start(EngineConfig { max_batch: 1, ..EngineConfig::default() }).await;
    let first = tokio::spawn(fixture.completion_request("p0", "x", 10_000, false).send());
    while fixture.engine.report().replicas[0].running == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let low = tokio::spawn(
        fixture.completion_request("p1", "x", 40, false).header("x-priority", "1").send(),
    );
    while fixture.engine.report().replicas[0].queued == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let high = tokio::spawn(
        fixture.completion_request("p9", "x", 1, false).header("x-priority", "9").send(),
    );
    while fixture.engine.report().replicas[0].queued == 1 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let url = format!("{}/v1/requests/p0", fixture.base);
    assert_eq!(fixture.client.delete(url).send().await.expect("response").status(), 200);
    assert_eq!(first.await.expect("task").expect("response").status(), 409);
    assert_eq!(high.await.expect("task").expect("response").status(), 200);
    assert!(!low.is_finished());
    assert_eq!(low.await.expect("task").expect("response").status(), 200);
    assert_eq!(fixture.engine.counters().requests_cancelled, 1);
}

/// Guards against cache events that are complete and on time, because then tests would not notice
/// callers that rely on that.
#[tokio::test]
async fn cache_events_are_late_and_have_gaps() {
    let lag = Duration::from_millis(150);
    let cfg = EngineConfig {
        cache_event_lag: lag,
        cache_event_drop_interval: 2,
        ..EngineConfig::default()
    };
    let fixture = Fixture::start(cfg).await;
    fixture.completion_request("c1", &"x".repeat(1_100), 1, false).send().await.expect("response");
    let fetch = async || {
        let url = format!("{}/v1/cache-events?since=0", fixture.base);
        let response = fixture.client.get(url).send().await.expect("response");
        response.json::<CacheEvents>().await.expect("events")
    };
    assert_eq!(fetch().await.events, []);
    tokio::time::sleep(lag * 2).await;
    let seen = fetch().await;
    let sequences: Vec<u64> = seen.events.iter().map(|event| event.sequence).collect();
    assert_eq!((sequences, seen.next), (vec![0, 2], 4));
}

/// Guards against new requests at a leaving engine that the counters do not show.
#[tokio::test]
async fn requests_after_the_leaving_flag_are_counted() {
    let fixture = Fixture::start(EngineConfig::default()).await;
    fixture.completion_request("l1", "x", 1, false).send().await.expect("response");
    fixture.engine.set_leaving(true);
    assert!(fixture.engine.report().leaving);
    tokio::time::sleep(Duration::from_millis(30)).await;
    fixture.completion_request("l2", "x", 1, false).send().await.expect("response");
    let counters = fixture.engine.counters();
    assert_eq!((counters.requests_started, counters.requests_after_leaving), (2, 1));
    assert!(counters.latest_after_leaving_ms >= 30);
}

/// Guards against a request that ran before a crash and that tests then count as never run.
#[tokio::test]
async fn accepted_prompts_are_known_after_a_kill() {
    let fixture = Fixture::start(EngineConfig::default()).await;
    fixture.engine.change_faults(|faults| faults.refuse_requests = 1);
    for (attempt, prompt) in [("a-1", "refused"), ("a-2", "accepted")] {
        fixture.completion_request(attempt, prompt, 1, false).send().await.expect("response");
    }
    fixture.engine.kill();
    assert_eq!(fixture.engine.accepted_prompt_hashes(), [prompt_hash("m", "user: accepted\n")]);
}

/// Guards against duplicate or lost withdrawals that the counters do not show.
#[tokio::test]
async fn the_ledger_counts_each_booking() {
    let ledger = Service::start(None).await.expect("loopback is available");
    ledger.set_level("north", 100);
    let client = Client::new();
    let withdraw = async |id: &str| {
        let body = json!({"id": id, "barn": "north", "amount": 10}).to_string();
        let url = format!("http://{}/withdrawals", ledger.address());
        client.post(url).body(body).send().await.map(|response| response.status().as_u16()).ok()
    };
    assert_eq!(withdraw("w1").await, Some(201));
    ledger.change_faults(|faults| faults.close_before_run = 1);
    assert_eq!(withdraw("w2").await, None);
    ledger.change_faults(|faults| faults.close_after_run = 1);
    assert_eq!(withdraw("w3").await, None);
    assert_eq!(withdraw("w3").await, Some(201));
    let url = format!("http://{}/levels/north", ledger.address());
    let level: Value = client.get(url).send().await.expect("response").json().await.expect("JSON");
    assert_eq!(level["level"], 70);
    let booked = ledger.counters().withdrawals;
    assert_eq!(booked, BTreeMap::from([("w1".into(), 1), ("w3".into(), 2)]));
}
