//! Responses to callers.

use std::time::Duration;

use platform_stand_in::{Call, Fault, RepeatingServer, Server};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::cluster::{TestCluster, engine, ledger, wait_for};

fn events(ids: std::ops::RangeInclusive<u32>) -> String {
    ids.map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect()
}

/// Guards against altering the server's response, for each kind of route.
#[tokio::test]
async fn each_route_kind_delivers_the_response_of_the_server() {
    let cluster = TestCluster::with_instance(vec![ledger("l1"), engine("e1", &["m1", "m2"])]).await;
    for path in ["/read/level", "/book/salt"] {
        let call = Call { body: Some("{}"), ..Call::new("a1", path) };
        let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
        assert_eq!((outcome.status, outcome.is_complete), (Some(200), true), "{path}: {outcome:?}");
        assert_eq!(outcome.signature.as_deref(), Some("signed-a1-l1"));
        assert_eq!(outcome.body, "a1 by l1");
    }
    for path in ["/note/x", "/chat/x"] {
        let call = Call { model: Some("m1"), body: Some("{}"), ..Call::new("a2", path) };
        let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
        assert_eq!((outcome.status, outcome.is_complete), (Some(200), true), "{path}: {outcome:?}");
        assert_eq!(outcome.body, events(1..=5));
    }
    let outcome = cluster.caller.call(cluster.entry_address(), &Call::new("a3", "/nowhere/")).await;
    assert_eq!(outcome.status, Some(404));
}

/// Guards against a resumable stream that ends or loses events when its server disconnects within
/// an event.
#[tokio::test]
async fn resumable_stream_is_resumed_at_another_server() {
    let cluster =
        TestCluster::with_instance(vec![engine("e1", &["m1"]), engine("e2", &["m1"])]).await;
    for server in &cluster.servers {
        server.set_fault(Fault::BreakInside(3));
    }
    let call = Call { model: Some("m1"), body: Some("{}"), ..Call::new("a1", "/chat/x") };
    let caller = cluster.caller.clone();
    let address = cluster.entry_address();
    let outcome = tokio::spawn(async move { caller.call(address, &call).await });
    let has_started = || cluster.servers.iter().any(|server| server.runs("a1") > 0);
    assert!(wait_for(Duration::from_secs(10), has_started).await);
    for server in cluster.servers.iter().filter(|server| server.runs("a1") == 0) {
        server.set_fault(Fault::None);
    }
    let outcome = outcome.await.unwrap();
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.body, events(1..=5));
    assert_eq!(cluster.servers.iter().map(|server| server.runs("a1")).sum::<u32>(), 2);
}

/// Guards against cancelling a stream whose server pauses while no other server has room (LOST,
/// found by scores of kh-dielna-grown, day scale-2: preempted requests were cut off after 1 s of
/// silence).
#[tokio::test]
async fn paused_stream_continues_if_no_other_server_has_room() {
    let cluster = TestCluster::with_instance(vec![engine("e1", &["m1"])]).await;
    cluster.servers[0].set_fault(Fault::PauseBefore(3));
    let call = Call { model: Some("m1"), body: Some("{}"), ..Call::new("a1", "/chat/x") };
    let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.body, events(1..=5));
    assert_eq!(cluster.servers[0].runs("a1"), 1);
}

/// Guards against ending an interrupted stream as if it were complete, and against running its
/// request again although it may run only once.
#[tokio::test]
async fn interrupted_non_resumable_stream_ends_as_incomplete() {
    let cluster =
        TestCluster::with_instance(vec![engine("e1", &["m1"]), engine("e2", &["m1"])]).await;
    for server in &cluster.servers {
        server.set_fault(Fault::BreakInside(3));
    }
    let call = Call { model: Some("m1"), body: Some("{}"), ..Call::new("a1", "/note/x") };
    let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
    assert!(!outcome.is_complete, "{outcome:?}");
    assert!(outcome.body.starts_with(&events(1..=2)), "{outcome:?}");
    assert_eq!(cluster.servers.iter().map(|server| server.runs("a1")).sum::<u32>(), 1);
}

/// Guards against executing a non-idempotent request twice, and against telling its caller that it
/// was not executed, when the response was lost.
#[tokio::test]
async fn lost_response_to_a_non_idempotent_request_is_reported_as_unknown() {
    let cluster = TestCluster::with_instance(vec![ledger("l1"), ledger("l2")]).await;
    for server in &cluster.servers {
        server.set_fault(Fault::LostAnswer);
    }
    let call = Call { body: Some("{}"), ..Call::new("a1", "/book/salt") };
    let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
    assert_eq!(outcome.status, Some(502), "{outcome:?}");
    assert_eq!(cluster.servers.iter().map(|server| server.runs("a1")).sum::<u32>(), 1);
}

/// Guards against failing an idempotent request that another server can execute.
#[tokio::test]
async fn idempotent_request_is_retried_at_another_server() {
    let cluster = TestCluster::with_instance(vec![ledger("l1"), ledger("l2")]).await;
    cluster.servers[0].set_fault(Fault::LostAnswer);
    for n in 0..6 {
        let id = format!("a{n}");
        let outcome =
            cluster.caller.call(cluster.entry_address(), &Call::new(&id, "/read/level")).await;
        assert_eq!(outcome.body, format!("{id} by l2"), "{outcome:?}");
    }
}

/// Guards against rejecting a request that was executed, and against a 503 without `Retry-After`.
#[tokio::test]
async fn request_shed_by_all_servers_gets_503_with_retry_after() {
    let cluster = TestCluster::with_instance(vec![ledger("l1"), ledger("l2")]).await;
    for server in &cluster.servers {
        server.set_fault(Fault::Shed);
    }
    let timeout = Duration::from_secs(1);
    let call = Call { body: Some("{}"), timeout, ..Call::new("a1", "/book/salt") };
    let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
    assert_eq!(outcome.status, Some(503), "{outcome:?}");
    assert!(outcome.retry_after.is_some_and(|seconds| seconds < 5.0), "{outcome:?}");
    assert_eq!(cluster.servers.iter().map(|server| server.runs("a1")).sum::<u32>(), 0);
}

/// Guards against delivering a response that belongs to another request.
#[tokio::test]
async fn response_with_another_attempt_id_is_not_delivered() {
    let cluster = TestCluster::with_instance(vec![ledger("l1")]).await;
    cluster.servers[0].set_fault(Fault::ForeignId);
    let call = Call { body: Some("{}"), ..Call::new("a1", "/book/salt") };
    let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
    assert_eq!((outcome.status, outcome.signature), (Some(502), None));
}

/// Guards against servers that continue to execute a request after its caller disconnected.
#[tokio::test]
async fn request_is_cancelled_when_its_caller_disconnects() {
    let cluster = TestCluster::with_instance(vec![ledger("l1")]).await;
    cluster.servers[0].set_fault(Fault::Mute);
    let timeout = Duration::from_millis(300);
    let call = Call { body: Some("{}"), timeout, ..Call::new("a1", "/book/salt") };
    let caller = cluster.caller.clone();
    let address = cluster.entry_address();
    let outcome = tokio::spawn(async move { caller.call(address, &call).await });
    assert!(wait_for(Duration::from_secs(10), || cluster.servers[0].in_flight() == 1).await);
    outcome.await.unwrap();
    assert!(wait_for(Duration::from_secs(10), || cluster.servers[0].in_flight() == 0).await);
}

/// Guards against delivering the second copy of a response, which arrives on a connection that is in
/// use again, to the next caller, and against running a request that may run only once again
/// because of it.
#[tokio::test]
async fn second_copy_of_a_response_is_not_delivered_to_the_next_caller() {
    let server = RepeatingServer::start("l1", false).await;
    let mut cluster = TestCluster::new(Vec::new()).await;
    cluster.store.put("servers", server.id, server.entry("ledger"));
    cluster.start_instance().await;
    for n in 0..20 {
        let id = format!("a{n}");
        let path = if n % 2 == 0 { "/book/salt" } else { "/read/level" };
        let call = Call { body: Some("{}"), ..Call::new(&id, path) };
        let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
        match outcome.status {
            Some(200) => assert_eq!(outcome.body, format!("answer to {id}")),
            // The server may have run it; only a call that may run again is sent again.
            status => assert_eq!((status, outcome.signature), (Some(502), None), "{id}"),
        }
    }
}

/// Guards against telling a caller that its request was not run, or running it at a second server,
/// because of a copy of an earlier refusal on a kept connection.
#[tokio::test]
async fn copy_of_an_earlier_refusal_is_not_taken_for_the_response() {
    let server = RepeatingServer::start("l1", true).await;
    let mut cluster = TestCluster::new(Vec::new()).await;
    cluster.store.put("servers", server.id, server.entry("ledger"));
    cluster.start_instance().await;
    for n in 0..10 {
        let id = format!("a{n}");
        let before = server.runs();
        let call = Call { body: Some("{}"), ..Call::new(&id, "/book/salt") };
        let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
        let was_run = server.runs() - before;
        assert_eq!(was_run, 1, "{outcome:?}");
        assert_ne!(outcome.status, Some(503), "{outcome:?}");
    }
}

/// Guards against the text of an error in the middle of a stream, or a stream that ends as if it
/// were complete, when the server that should continue it answers with an error.
#[tokio::test]
async fn error_of_the_next_server_is_no_part_of_a_stream() {
    let cluster =
        TestCluster::with_instance(vec![engine("e1", &["m1"]), engine("e2", &["m1"])]).await;
    for server in &cluster.servers {
        server.set_fault(Fault::BreakInside(4));
    }
    let call = Call { model: Some("m1"), body: Some("{}"), ..Call::new("a1", "/chat/x") };
    let caller = cluster.caller.clone();
    let address = cluster.entry_address();
    let outcome = tokio::spawn(async move { caller.call(address, &call).await });
    let has_started = || cluster.servers.iter().any(|server| server.runs("a1") > 0);
    assert!(wait_for(Duration::from_secs(10), has_started).await);
    for server in cluster.servers.iter().filter(|server| server.runs("a1") == 0) {
        server.set_fault(Fault::Errors);
    }
    let outcome = outcome.await.unwrap();
    assert!(!outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.body, events(1..=3));
}

/// Guards against a stream that looks complete although its server ended it inside an event: it is
/// continued at another server, or ends as incomplete.
#[tokio::test]
async fn stream_that_ends_inside_an_event_has_broken_off() {
    let cluster =
        TestCluster::with_instance(vec![engine("e1", &["m1"]), engine("e2", &["m1"])]).await;
    for server in &cluster.servers {
        server.set_fault(Fault::EndInside(3));
    }
    for (path, id) in [("/chat/x", "a1"), ("/note/x", "a2")] {
        let call = Call { model: Some("m1"), body: Some("{}"), ..Call::new(id, path) };
        let outcome = cluster.caller.call(cluster.entry_address(), &call).await;
        assert!(!outcome.is_complete, "{path}: {outcome:?}");
        assert!(outcome.body.starts_with(&events(1..=2)), "{path}: {outcome:?}");
    }
    let runs = |id| cluster.servers.iter().map(|server| server.runs(id)).sum::<u32>();
    assert_eq!((runs("a1"), runs("a2")), (2, 1));
}

/// Guards against an abandoned request that reaches its server later, when the network delivers bytes
/// that it held up: without a reset, they are delivered although the connection is closed (DRAIN and
/// GONE, review/4).
#[tokio::test]
async fn abandoned_request_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut cluster = TestCluster::new(Vec::new()).await;
    let mut entry = Server::start(ledger("mute")).await.entry(false);
    entry["address"] = listener.local_addr().unwrap().to_string().into();
    cluster.store.put("servers", "mute", entry);
    cluster.start_instance().await;
    let (caller, address) = (cluster.caller.clone(), cluster.entry_address());
    let call = tokio::spawn(async move {
        let call = Call { timeout: Duration::from_secs(1), ..Call::new("a1", "/book/x") };
        caller.call(address, &Call { body: Some("{}"), ..call }).await
    });
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut received = Vec::new();
    let end = loop {
        match stream.read_buf(&mut received).await {
            Ok(0) => break None,
            Ok(_) => {}
            Err(error) => break Some(error.kind()),
        }
    };
    assert_eq!(end, Some(std::io::ErrorKind::ConnectionReset));
    assert_ne!(call.await.unwrap().status, Some(200));
}
