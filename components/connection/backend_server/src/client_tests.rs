//! Tests of `BackendClient` and `Connection` against loopback servers with scripted responses.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use types::prelude::*;

use crate::{BackendClient, Connection, SendError, TokenEvent, TokenStream};

fn test_deadline() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

fn request(address: &str) -> Request<Full<Bytes>> {
    Request::post(format!("http://{address}/x")).body(Full::new(Bytes::new())).unwrap()
}

/// Starts a server that reads one request, sends `response` and closes the connection.
async fn serve_once(response: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        let _ = socket.read(&mut buf).await.unwrap();
        socket.write_all(response.as_bytes()).await.unwrap();
    });
    address
}

// Guards against reporting a failed connection as a request that may have run.
#[rstest]
#[tokio::test]
async fn a_refused_connection_is_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let pooled = BackendClient::default().send(request(&address), test_deadline()).await;
    assert_eq!(pooled.unwrap_err().verdict(), Verdict::NotRun);
    let unpooled = Connection::open(&address, test_deadline()).await;
    assert_eq!(unpooled.err().unwrap().verdict(), Verdict::NotRun);
}

// Guards against reporting a request as not run although the server has read it.
#[rstest]
#[tokio::test]
async fn a_connection_closed_after_sending_may_have_run() {
    let address = serve_once("").await;
    let connection = Connection::open(&address, test_deadline()).await.unwrap();
    let outcome = connection.send(request(&address), test_deadline()).await;
    assert_eq!(outcome.unwrap_err().verdict(), Verdict::MayHaveRun);
}

// Guards against accepting a truncated body as a complete response.
#[rstest]
#[tokio::test]
async fn a_truncated_body_is_reported_as_interrupted() {
    let address = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf").await;
    let outcome =
        BackendClient::default().send_and_collect(request(&address), test_deadline()).await;
    assert!(matches!(outcome, Err(SendError::Interrupted(_))));
}

// Guards against accepting a stream that ends early as a complete response.
#[rstest]
#[tokio::test]
async fn a_stream_without_end_marker_is_reported_as_interrupted() {
    let address =
        serve_once("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nid: 0\ndata: {}\n\n").await;
    let res = BackendClient::default().send(request(&address), test_deadline()).await.unwrap();
    let mut stream = TokenStream::new(res.into_body());
    let first = stream.next(test_deadline()).await.unwrap();
    assert_eq!(first, TokenEvent::Chunk { sequence: 0, data: "{}".into() });
    assert!(matches!(stream.next(test_deadline()).await, Err(SendError::Interrupted(_))));
}

fn report() -> ServerReport {
    let replica = |replica| ReplicaReport {
        replica,
        model: "m".into(),
        version: "v1".into(),
        phase: ReplicaPhase::Ready,
        memory_bytes: 10,
        adapters: vec!["a".into()],
        running: 1,
        queued: 0,
    };
    ServerReport {
        server: "s".into(),
        incarnation: 1,
        checks_fencing: true,
        highest_fencing: 0,
        memory_total: 100,
        memory_used: 20,
        role: ServerRole::Mixed,
        leaving: false,
        replicas: vec![replica(1), replica(2)],
        outcomes: Vec::new(),
        cached_in_memory: Vec::new(),
        cached_on_disk: Vec::new(),
        load_age_ms: 200,
    }
}

/// Starts a server that sends a full report, or `loads` with `revision` as its `ETag` to a client
/// that already has the report.
async fn serve_reports(loads: &'static str, revision: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let full_report = serde_json::to_string(&report()).unwrap();
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let n = socket.read(&mut buf).await.unwrap();
            let req = String::from_utf8_lossy(&buf[..n]).to_lowercase();
            let has_report = req.contains("if-none-match: \"r1\"") && req.contains("a-im: loads");
            let (status, revision, body) = match has_report {
                true => ("226 IM Used", revision, loads),
                false => ("200 OK", "\"r1\"", &*full_report),
            };
            let length = body.len();
            let response = format!(
                "HTTP/1.1 {status}\r\netag: {revision}\r\nconnection: close\r\n\
                 content-length: {length}\r\n\r\n{body}"
            );
            socket.write_all(response.as_bytes()).await.unwrap();
        }
    });
    address
}

// Guards against dropping load figures, assigning them to the wrong replica or applying them to a
// report of another revision.
#[rstest]
#[case::same_replicas(r#"{"load_age_ms":9,"loads":[[1,5,0],[2,6,7]]}"#, "\"r1\"", true)]
#[case::other_replicas(r#"{"load_age_ms":9,"loads":[[1,5,0],[3,6,7]]}"#, "\"r1\"", false)]
#[case::missing_replica(r#"{"load_age_ms":9,"loads":[[1,5,0]]}"#, "\"r1\"", false)]
#[case::other_revision(r#"{"load_age_ms":9,"loads":[[1,5,0],[2,6,7]]}"#, "\"r2\"", false)]
#[tokio::test]
async fn load_figures_update_only_the_report_they_belong_to(
    #[case] loads: &'static str,
    #[case] revision: &'static str,
    #[case] is_applicable: bool,
) {
    let address = serve_reports(loads, revision).await;
    let client = BackendClient::default();
    assert_eq!(client.state(&address, test_deadline()).await.unwrap(), report());
    let second = client.state(&address, test_deadline()).await;
    if is_applicable {
        let mut expected = report();
        expected.load_age_ms = 9;
        (expected.replicas[0].running, expected.replicas[1].running) = (5, 6);
        expected.replicas[1].queued = 7;
        assert_eq!(second.unwrap(), expected);
    } else {
        assert!(second.is_err());
        // The failed update removes the cached report, so the next call fetches a full one.
        assert_eq!(client.state(&address, test_deadline()).await.unwrap(), report());
    }
}
