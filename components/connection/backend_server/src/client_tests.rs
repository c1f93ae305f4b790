//! Outcomes of calls against small servers on loopback.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use types::prelude::*;

use crate::{BackendClient, Connection, SendError, TokenEvent, TokenStream};

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

fn request(address: &str) -> Request<Full<Bytes>> {
    Request::post(format!("http://{address}/x")).body(Full::new(Bytes::new())).unwrap()
}

/// Answers the first connection with `answer` after reading the request, then closes it.
async fn serve_once(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        let _ = socket.read(&mut buf).await.unwrap();
        socket.write_all(answer.as_bytes()).await.unwrap();
    });
    address
}

// Guards against a failed connection that is reported as a request that may have run.
#[rstest]
#[tokio::test]
async fn a_refused_connection_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let pooled = BackendClient::new().send(request(&address), soon()).await;
    assert_eq!(pooled.unwrap_err().verdict(), Verdict::NotRun);
    let fresh = Connection::open(&address, soon()).await;
    assert_eq!(fresh.err().unwrap().verdict(), Verdict::NotRun);
}

// Guards against a request that is called "not run" although the server has read it.
#[rstest]
#[tokio::test]
async fn a_connection_closed_after_sending_may_have_run() {
    let address = serve_once("").await;
    let connection = Connection::open(&address, soon()).await.unwrap();
    let outcome = connection.send(request(&address), soon()).await;
    assert_eq!(outcome.unwrap_err().verdict(), Verdict::MayHaveRun);
}

// Guards against a short body that is taken for a whole answer.
#[rstest]
#[tokio::test]
async fn a_truncated_body_is_broken() {
    let address = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf").await;
    let outcome = BackendClient::new().send_and_collect(request(&address), soon()).await;
    assert!(matches!(outcome, Err(SendError::Broken(_))));
}

// Guards against a stream that ends early and is taken for a whole answer.
#[rstest]
#[tokio::test]
async fn a_stream_without_end_marker_is_broken() {
    let address =
        serve_once("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nid: 0\ndata: {}\n\n").await;
    let answer = BackendClient::new().send(request(&address), soon()).await.unwrap();
    let mut stream = TokenStream::new(answer.into_body());
    let first = stream.next(soon()).await.unwrap();
    assert_eq!(first, TokenEvent::Chunk { sequence: 0, data: "{}".into() });
    assert!(matches!(stream.next(soon()).await, Err(SendError::Broken(_))));
}
