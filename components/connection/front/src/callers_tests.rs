//! Tests of the callers' server with an HTTP client and with raw sockets.

use std::sync::Arc;

use body_memory::BodyMemory;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use reqwest::{Client, RequestBuilder, Response};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use types::prelude::*;

use crate::{
    CallerLimits, IncomingRequest, KeyTable, Problem, REQUEST_ID_HEADER, Reply, StreamItem,
    hash_key, serve_callers,
};

const KEY: &str = "a-key-for-tests";

const LIMITS: CallerLimits = CallerLimits {
    max_connections: 8,
    max_headers: 32,
    max_header_bytes: 8192,
    max_body_bytes: 1024,
    header_timeout: Duration::from_millis(200),
    body_timeout: Duration::from_millis(200),
    write_timeout: Duration::from_millis(200),
};

/// Starts a server whose requests get their replies from `respond`.
async fn start_server(respond: impl Fn(&IncomingRequest) -> Reply + Send + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (tx, mut rx) = mpsc::channel::<IncomingRequest>(8);
    let keys = KeyTable::from([(hash_key(KEY), "alykes".into())]);
    let (_keys_tx, keys) = watch::channel(Arc::new(keys));
    let stop = std::future::pending();
    tokio::spawn(serve_callers(
        listener,
        "entry-1".into(),
        LIMITS,
        BodyMemory::default(),
        keys,
        tx,
        stop,
    ));
    tokio::spawn(async move {
        while let Some(incoming) = rx.recv().await {
            let reply = respond(&incoming);
            let _ = incoming.reply.send(reply);
        }
    });
    address
}

fn complete_reply(_: &IncomingRequest) -> Reply {
    let body = Bytes::from_static(b"{\"ok\":true}");
    Reply::Complete { status: StatusCode::OK, headers: HeaderMap::new(), body }
}

fn post(address: &str, key: &str, body: impl Into<reqwest::Body>) -> RequestBuilder {
    Client::new().post(format!("http://{address}/v1/chat/completions")).bearer_auth(key).body(body)
}

fn chat(stream: bool) -> String {
    json!({"model": "m", "stream": stream, "messages": [{"role": "user", "content": "hello"}]})
        .to_string()
}

async fn problem(res: Response) -> Value {
    assert_eq!(res.headers()["content-type"], "application/problem+json");
    serde_json::from_slice(&res.bytes().await.unwrap()).unwrap()
}

// Guards against refusals with a wrong status, verdict or reason.
#[rstest]
#[case("another-key", chat(false), 401, "unknown_key")]
#[case(KEY, "{not json".to_string(), 400, "bad_request")]
#[case(KEY, json!({"model": "m"}).to_string(), 400, "bad_request")]
#[case(KEY, "x".repeat(2000), 413, "body_too_large")]
#[tokio::test]
async fn bad_requests_get_a_problem_document(
    #[case] key: &str,
    #[case] body: String,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let address = start_server(complete_reply).await;
    let res = post(&address, key, body).send().await.unwrap();
    assert_eq!(res.status(), status);
    let id = res.headers()[REQUEST_ID_HEADER].to_str().unwrap().to_string();
    let document = problem(res).await;
    assert_eq!(document["verdict"], "not_run");
    assert_eq!(document["reason"], reason);
    assert_eq!(document["request_id"], id);
}

// Guards against a complete stream that a caller cannot distinguish from a broken connection.
#[rstest]
#[tokio::test]
async fn a_complete_stream_ends_with_the_end_marker() {
    let address = start_server(|_| {
        let (tx, rx) = mpsc::channel(4);
        tx.try_send(StreamItem::Chunk("{\"n\":1}".into())).unwrap();
        tx.try_send(StreamItem::End).unwrap();
        Reply::Stream(rx)
    })
    .await;
    let res = post(&address, KEY, chat(true)).send().await.unwrap();
    assert_eq!(res.headers()["content-type"], "text/event-stream");
    assert_eq!(res.text().await.unwrap(), "id: 0\ndata: {\"n\":1}\n\ndata: [DONE]\n\n");
}

// Guards against a dropped stream that looks complete to the caller.
#[rstest]
#[tokio::test]
async fn a_dropped_stream_breaks_the_connection() {
    let address = start_server(|_| {
        let (tx, rx) = mpsc::channel(4);
        tx.try_send(StreamItem::Chunk("{}".into())).unwrap();
        Reply::Stream(rx)
    })
    .await;
    let outcome = post(&address, KEY, chat(true)).send().await;
    let text = match outcome {
        Ok(res) => res.text().await,
        Err(e) => Err(e),
    };
    assert!(text.is_err());
}

// Guards against a stream that fails without telling the caller the verdict.
#[rstest]
#[tokio::test]
async fn a_failed_stream_ends_with_the_verdict() {
    let address = start_server(|_| {
        let (tx, rx) = mpsc::channel(4);
        let refusal = Refusal::may_have_run(Reason::BackendFailed);
        tx.try_send(StreamItem::Failed(Problem::new(refusal, "engine stopped"))).unwrap();
        Reply::Stream(rx)
    })
    .await;
    let text = post(&address, KEY, chat(true)).send().await.unwrap().text().await.unwrap();
    let data = text.strip_prefix("event: error\ndata: ").unwrap();
    let document: Value = serde_json::from_str(data).unwrap();
    assert_eq!(document["verdict"], "may_have_run");
}

// Guards against a `Retry-After` header that is missing or too early.
#[rstest]
#[tokio::test]
async fn retry_after_is_rounded_up_to_seconds() {
    let address = start_server(|_| {
        let at = Instant::now() + Duration::from_millis(1500);
        let refusal = Refusal::not_run(Reason::LimitReached).with_retry_at(at);
        Reply::Refused(Problem::new(refusal, "limit"))
    })
    .await;
    let res = post(&address, KEY, chat(false)).send().await.unwrap();
    assert_eq!(res.status(), 429);
    assert_eq!(res.headers()["retry-after"], "2");
}

// Guards against clients that keep a connection open by sending slowly.
#[rstest]
#[case("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n")]
#[case(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer a-key-for-tests\r\ncontent-length: 100\r\n\r\n{"
)]
#[tokio::test]
async fn slow_clients_are_timed_out(#[case] sent: &str) {
    let address = start_server(complete_reply).await;
    let mut socket = TcpStream::connect(&address).await.unwrap();
    socket.write_all(sent.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let closed =
        tokio::time::timeout(Duration::from_secs(2), socket.read_to_end(&mut response)).await;
    assert!(closed.is_ok(), "the connection is still open");
}

// Guards against accepting more headers than the limit, which would cost memory per connection.
#[rstest]
#[tokio::test]
async fn too_many_headers_are_refused() {
    let address = start_server(complete_reply).await;
    let mut req = post(&address, KEY, chat(false));
    for i in 0..40 {
        req = req.header(format!("x-extra-{i}"), "1");
    }
    assert_eq!(req.send().await.unwrap().status(), 431);
}
