//! Tests of route matching, target weights and event timeouts.

use super::*;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        event_gap: Duration::from_millis(250),
        priority: 1,
        targets: [("a", 90), ("b", 10)]
            .map(|(service, weight)| Target { service: service.into(), weight })
            .into(),
        max_attempts: 1,
        is_public: false,
    }
}

fn deployment() -> Deployment {
    let limits = ClientLimits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let routes =
        [route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "g", "/a/b/c/")];
    Deployment::new(1, routes, [], limits, Accounts::default())
}

/// Guards against matching a route with a shorter prefix or of another host.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let d = deployment();
    let name = |host: &str, path: &str| d.route(host, path).map(|r| r.name.to_string());
    assert_eq!(name("h", "/a/b/c/x").as_deref(), Some("long"));
    assert_eq!(name("H:8080", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("g", "/a/b/c/x").as_deref(), Some("other"));
    assert_eq!(name("h", "/ab"), None);
    assert_eq!(name("x", "/a/b/"), None);
}

/// Guards against sending all requests to one target.
#[test]
fn targets_follow_their_weights() {
    let r = route("r", "h", "/");
    assert_eq!(&*r.choose_target(0.0).service, "a");
    assert_eq!(&*r.choose_target(0.89).service, "a");
    assert_eq!(&*r.choose_target(0.91).service, "b");
    assert_eq!(&*r.choose_target(0.999_999).service, "b");
}

/// Guards against holding a request whose caller has disconnected: callers of streams disconnect
/// after a time without an event that may be much shorter than their deadline.
#[test]
fn the_event_timeout_of_a_stream_is_the_longest_of_three() {
    let timeout = |target, gap, kind| {
        let route = Route {
            kind,
            latency_target: Duration::from_millis(target),
            event_gap: Duration::from_millis(gap),
            ..route("r", "h", "/")
        };
        route.event_timeout().map(|timeout| timeout.as_millis())
    };
    assert_eq!(timeout(100, 100, CallKind::Stream), Some(2_000));
    assert_eq!(timeout(4_000, 250, CallKind::Stream), Some(16_000));
    assert_eq!(timeout(500, 300, CallKind::ResumableStream), Some(2_400));
    assert_eq!(timeout(500, 300, CallKind::Idempotent), None);
}

/// Guards against a key that is found under an account which does not hold it any more.
#[test]
fn of_two_accounts_with_a_key_the_later_one_holds_it() {
    let account = |name: &str| ClientAccount { name: name.into(), rank: None, quota: None };
    let keys = |keys: &[&str]| keys.iter().map(KeyHash::of).collect::<Vec<_>>();
    let accounts =
        Accounts::new([(account("a"), keys(&["k1", "k2"])), (account("b"), keys(&["k2"]))]);
    let holder = |key: &str| accounts.by_key(&KeyHash::of(key)).map(|account| &*account.name);
    assert_eq!([holder("k1"), holder("k2"), holder("k3")], [Some("a"), Some("b"), None]);
    assert!(!accounts.is_empty() && Accounts::default().is_empty());
    assert_eq!(accounts.iter().count(), 2);
}

/// Guards against a tightest target of calls that read no prompt, and of another service.
#[test]
fn the_tightest_stream_target_is_that_of_the_streams_of_a_service() {
    let stream = |name: &str, target, service: &str| Route {
        kind: CallKind::Stream,
        latency_target: Duration::from_millis(target),
        targets: [Target { service: service.into(), weight: 1 }].into(),
        ..route(name, "h", "/")
    };
    let limits = deployment().limits;
    let routes = [stream("x", 600, "a"), stream("y", 300, "a"), route("call", "h", "/c/")];
    let d = Deployment::new(1, routes, [], limits, Accounts::default());
    assert_eq!(d.tightest_stream_target("a"), Some(Duration::from_millis(300)));
    assert_eq!(d.tightest_stream_target("b"), None);
}

/// Guards against giving up on waiting requests too early: an account with a rank of its own may use
/// the route with the longest timeout, and calls of plain services say nothing about engines.
#[test]
fn engine_waits_are_the_longest_timeouts_of_each_rank() {
    let timed = |priority, seconds, service: &str| Route {
        priority,
        timeout: Duration::from_secs(seconds),
        targets: [Target { service: service.into(), weight: 1 }].into(),
        ..route("r", "h", "/")
    };
    let routes =
        || [timed(0, 3, "llm"), timed(2, 12, "llm"), timed(2, 5, "llm"), timed(1, 9, "plain")];
    let waits = |rank: Option<u8>| {
        let engine = Some(Engine::default());
        let services = [Service { name: "llm".into(), engine, ..Service::default() }];
        let account = ClientAccount { name: "a".into(), rank, quota: None };
        let accounts = Accounts::new([(account, Vec::new())]);
        let d = Deployment::new(1, routes(), services, deployment().limits, accounts);
        d.engine_waits().iter().map(|(rank, wait)| (*rank, wait.as_secs())).collect::<Vec<_>>()
    };
    assert_eq!(waits(None), [(0, 3), (2, 12)]);
    assert_eq!(waits(Some(0)), [(0, 12), (2, 12)]);
}
