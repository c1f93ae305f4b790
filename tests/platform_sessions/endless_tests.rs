//! Servers that send bytes without end, which are no response.

use std::time::{Duration, Instant};

use platform_stand_in::{Call, EndlessResponse, EndlessServer};
use rstest::rstest;

use crate::cluster::{TestCluster, WAIT, ledger, wait_for};

/// Time limit of the requests to the endless server.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Memory of an instance that a server must not be able to exceed: the smallest machines of the
/// users' deployments have 160 MB.
const MAX_MEMORY_BYTES: u64 = 128 << 20;

const fn endless(start: &'static str, repeated: &'static str) -> EndlessResponse {
    EndlessResponse { start, repeated, pause: Duration::ZERO }
}

const fn trickle(start: &'static str, repeated: &'static str) -> EndlessResponse {
    EndlessResponse { start, repeated, pause: Duration::from_millis(100) }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: s\r\n\r\n";
const EVENT: &str =
    "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: s\r\n\r\nid: 1\r\ndata: ";
const CHUNK: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: s\r\n\
                     transfer-encoding: chunked\r\n\r\n5;";
const TRAILERS: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: s\r\n\
                        transfer-encoding: chunked\r\n\r\n5\r\nid: 1\r\n0\r\n";

/// Guards against a server that sends bytes without end, fast or a byte now and then: its caller must get a failure in time that
/// does not claim that the request was not run, the connection must be closed, memory must stay
/// bounded, and the other callers must be served meanwhile.
#[rstest]
#[case::field(endless("HTTP/1.1 200 OK\r\nx-long: ", "x"))]
#[case::fields(endless("HTTP/1.1 200 OK\r\n", "x-field: value\r\n"))]
#[case::interim_responses(endless("", "HTTP/1.1 102 Processing\r\n\r\n"))]
#[case::no_http(endless("", "\u{7}noise"))]
#[case::event(endless(EVENT, "x"))]
#[case::chunk_extension(endless(CHUNK, "x"))]
#[case::trailers(endless(TRAILERS, "x-field: value\r\n"))]
#[case::slow_head(trickle("HTTP/1.1 200 OK\r\nx-long: ", "x"))]
#[case::slow_event(trickle(EVENT, "x"))]
#[case::slow_blank_lines(trickle(HEAD, "\n"))]
#[tokio::test]
async fn endless_responses_are_cut_off(#[case] response: EndlessResponse) {
    let engine = EndlessServer::start("endless", response).await;
    let cluster = TestCluster::new(vec![ledger("l1")]).await;
    cluster.store.put("servers", engine.id, engine.entry("engines", &["m1"]));
    let mut cluster = cluster;
    cluster.start_instance().await;
    let address = cluster.entry_address();
    let begins = Instant::now();
    let mut calls = Vec::new();
    for (n, path) in ["/chat/x", "/note/x"].into_iter().cycle().take(4).enumerate() {
        let caller = cluster.caller.clone();
        calls.push(tokio::spawn(async move {
            let id = format!("e{n}");
            let call = Call { model: Some("m1"), body: Some("{}"), ..Call::new(&id, path) };
            caller.call(address, &Call { timeout: TIMEOUT * 2, ..call }).await
        }));
    }
    while begins.elapsed() < TIMEOUT {
        let call = Call { body: Some("{}"), ..Call::new("good", "/read/level") };
        let outcome = cluster.caller.call(address, &call).await;
        assert_eq!(outcome.status, Some(200), "{outcome:?}");
        let memory = cluster.instances[0].memory().expect("process is not running");
        assert!(memory < MAX_MEMORY_BYTES, "{memory} bytes");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for call in calls {
        let outcome = call.await.unwrap();
        assert!(!outcome.is_complete || outcome.status != Some(200), "{outcome:?}");
        assert_ne!(outcome.status, Some(503), "{outcome:?}");
    }
    assert!(wait_for(WAIT, || engine.sending() == 0).await, "connections stay open");
}
