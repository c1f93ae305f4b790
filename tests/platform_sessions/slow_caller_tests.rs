//! Callers that take their answers late.

use std::time::Duration;

use platform_stand_in::{EndlessResponse, EndlessServer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cluster::{TestCluster, WAIT, ledger};

/// Length of the stream: more than the kernel's buffers on the way hold.
const EVENTS: usize = 6_000;
const EVENT_BYTES: usize = 1_000;

const REQUEST: &str = "POST /note/x HTTP/1.1\r\nhost: stand-in.example\r\nx-attempt-id: slow\r\n\
    x-deadline-ms: 20000\r\nx-model: m1\r\nx-token-usage: 40,20\r\n\
    x-prompt-prefix: 5c1e07a2:20,91bd3f06:10,e4402b7d:7\r\ncontent-length: 2\r\n\
    connection: close\r\n\r\n{}";

/// Guards against a caller that takes its answer late and holds the server back: servers cut off an
/// answer that stays unread for some seconds, and the caller never gets the rest.
#[tokio::test]
async fn answer_is_read_from_its_server_before_its_caller_takes_it() {
    let event = format!("id: 1\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
    let start = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {{id}}\r\nx-response-signature: s\r\n\
         content-length: {}\r\n\r\n{}",
        event.len() * EVENTS,
        event.repeat(EVENTS)
    );
    let response = EndlessResponse { start: start.leak(), repeated: "", pause: Duration::ZERO };
    let mut cluster = TestCluster::new(vec![ledger("l1")]).await;
    let engine = EndlessServer::start("whole", response).await;
    cluster.store.put("servers", engine.id, engine.entry("engines", &["m1"]));
    cluster.endless.push(engine);
    cluster.start_instance().await;

    let mut caller = TcpStream::connect(cluster.entry_address()).await.unwrap();
    caller.write_all(REQUEST.as_bytes()).await.unwrap();
    // The server gives the answer up after two seconds in which it is not taken.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut answer = Vec::new();
    let read = tokio::time::timeout(WAIT, caller.read_to_end(&mut answer)).await;
    assert!(matches!(read, Ok(Ok(_))), "{read:?}");
    assert!(answer.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&answer[..100]));
    assert!(answer.ends_with(b"0\r\n\r\n"), "the answer broke off after {} bytes", answer.len());
    assert!(answer.len() > event.len() * EVENTS);
}
