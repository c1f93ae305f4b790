//! Tests of the identification of callers and of keys that change.

use std::time::Duration;

use http::HeaderValue;
use routes::{Accounts, CallKind, ClientLimits, Target};
use rstest::rstest;

use super::*;

fn route(is_public: bool) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_secs(1),
        event_gap: Duration::ZERO,
        priority: 3,
        targets: [Target { service: "s".into(), weight: 1 }].into(),
        max_attempts: 1,
        is_public,
    }
}

/// A configuration with accounts, given by name and key.
fn deployment(accounts: &[(&str, &str)]) -> Deployment {
    let limits = ClientLimits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let accounts = accounts.iter().map(|(name, key)| {
        let account = ClientAccount { name: (*name).into(), rank: None, quota: None };
        (account, vec![KeyHash::of(key)])
    });
    Deployment::new(1, [], [], limits, Accounts::new(accounts))
}

fn headers(keys: &[&'static str]) -> HeaderMap {
    let keys =
        keys.iter().map(|key| (http::HeaderName::from_static(platform_adapter::KEY_HEADER), *key));
    let mut headers = HeaderMap::new();
    for (name, key) in keys {
        headers.append(name, HeaderValue::from_static(key));
    }
    headers
}

/// Guards against serving a request without a valid key, and against asking for one where none is
/// needed.
#[rstest]
#[case(&["k1"], Ok(Some("a")))]
#[case(&["k2"], Ok(Some("b")))]
#[case(&["k3"], Err(UnknownKey))]
#[case(&["Bearer k1"], Err(UnknownKey))]
#[case(&["k1", "k2"], Err(UnknownKey))]
#[case(&["k1", "k1"], Err(UnknownKey))]
#[case(&[""], Err(UnknownKey))]
#[case(&[], Err(UnknownKey))]
fn a_caller_is_identified_by_its_key(
    #[case] keys: &[&'static str],
    #[case] expected: Result<Option<&str>, UnknownKey>,
) {
    let accounts = deployment(&[("a", "k1"), ("b", "k2"), ("empty", "")]);
    let identify = |deployment: &Deployment, is_public| {
        Caller::identify(deployment, &route(is_public), &headers(keys))
    };
    let found = identify(&accounts, false);
    assert_eq!(found.as_ref().map(Caller::name).map_err(|error| *error), expected);
    for (deployment, is_public) in [(&accounts, true), (&deployment(&[]), false)] {
        assert_eq!(identify(deployment, is_public).unwrap().name(), None);
    }
}

/// Guards against sending a request whose key was taken away or given to another account while it
/// waited, and against refusing one whose key is still valid.
#[rstest]
#[case(&[("a", "k1")], None)]
#[case(&[("a", "k1"), ("b", "k2")], None)]
#[case(&[("a", "k2")], Some(Failure::UnknownKey))]
#[case(&[("b", "k1")], Some(Failure::KeyMoved))]
#[case(&[], None)]
fn the_key_is_checked_against_the_newest_configuration(
    #[case] newest: &[(&str, &str)],
    #[case] expected: Option<Failure>,
) {
    let admitted = deployment(&[("a", "k1")]);
    let caller = Caller::identify(&admitted, &route(false), &headers(&["k1"])).unwrap();
    assert_eq!(caller.key_failure(&deployment(newest)), expected);
    let without_account = Caller::default();
    assert_eq!(without_account.key_failure(&deployment(newest)), None);
}
