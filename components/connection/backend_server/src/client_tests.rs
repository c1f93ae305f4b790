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
    assert!(matches!(outcome, Err(SendError::Interrupted(_))));
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
    assert!(matches!(stream.next(soon()).await, Err(SendError::Interrupted(_))));
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

/// Serves a whole report first and then the given load figures under the given revision.
async fn serve_reports(loads: &'static str, revision: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let whole = serde_json::to_string(&report()).unwrap();
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let n = socket.read(&mut buf).await.unwrap();
            let asked = String::from_utf8_lossy(&buf[..n]).to_lowercase();
            let knows = asked.contains("if-none-match: \"r1\"") && asked.contains("a-im: loads");
            let (status, revision, body) = match knows {
                true => ("226 IM Used", revision, loads),
                false => ("200 OK", "\"r1\"", &*whole),
            };
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 {status}\r\netag: {revision}\r\nconnection: close\r\n\
                 content-length: {length}\r\n\r\n{body}"
            );
            socket.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    address
}

// Guards against load figures that are lost or attached to the wrong replica, and against figures
// that are applied to a report to which they do not belong.
#[rstest]
#[case::same_replicas(r#"{"load_age_ms":9,"loads":[[1,5,0],[2,6,7]]}"#, "\"r1\"", true)]
#[case::other_replicas(r#"{"load_age_ms":9,"loads":[[1,5,0],[3,6,7]]}"#, "\"r1\"", false)]
#[case::a_replica_less(r#"{"load_age_ms":9,"loads":[[1,5,0]]}"#, "\"r1\"", false)]
#[case::other_revision(r#"{"load_age_ms":9,"loads":[[1,5,0],[2,6,7]]}"#, "\"r2\"", false)]
#[tokio::test]
async fn load_figures_complete_the_report_they_belong_to(
    #[case] loads: &'static str,
    #[case] revision: &'static str,
    #[case] fits: bool,
) {
    let address = serve_reports(loads, revision).await;
    let client = BackendClient::new();
    assert_eq!(client.state(&address, soon()).await.unwrap(), report());
    let second = client.state(&address, soon()).await;
    if fits {
        let mut expected = report();
        expected.load_age_ms = 9;
        (expected.replicas[0].running, expected.replicas[1].running) = (5, 6);
        expected.replicas[1].queued = 7;
        assert_eq!(second.unwrap(), expected);
    } else {
        assert!(second.is_err());
        // The next read asks for the whole report.
        assert_eq!(client.state(&address, soon()).await.unwrap(), report());
    }
}
