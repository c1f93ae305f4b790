//! Tests of the parsing of callers' requests, also with arbitrary input.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use proptest::prelude::*;
use rstest::rstest;
use types::prelude::*;

use crate::Call;
use crate::parse::{self, Route};

// Guards against a service path that loses its query or its leading slash.
#[rstest]
#[case("/services/ledger/levels/kalloni?unit=t", "/levels/kalloni?unit=t")]
#[case("/services/ledger", "/")]
#[case("/services/ledger/", "/")]
fn service_routes_keep_path_and_query(#[case] uri: &str, #[case] path: &str) {
    let route = parse::route(&Method::GET, &uri.parse().unwrap()).unwrap();
    assert_eq!(route, Route::Service { service: "ledger".into(), path: path.into() });
}

// Guards against refusing bodies that common client libraries send.
#[rstest]
#[case(r#"{"model":"m:a","messages":[{"role":"user","content":"hi"}],"stream":true}"#, true)]
#[case(r#"{"model":"m:a","messages":[{"role":"user","content":[{"type":"text"}]}]}"#, false)]
#[case(r#"{"model":"m:a","prompt":["one","two"],"temperature":0.2}"#, false)]
fn bodies_of_common_clients_are_accepted(#[case] body: &'static str, #[case] streamed: bool) {
    let call = parse::completion("/v1/completions", Bytes::from_static(body.as_bytes())).unwrap();
    let Call::Completion { target, stream, .. } = call else { panic!("not a completion") };
    assert_eq!(target, Target { model: "m".into(), adapter: Some("a".into()) });
    assert_eq!(stream, streamed);
}

// Guards against silently ignoring a malformed deadline.
#[rstest]
#[case("soon")]
#[case("-1")]
#[case("1.5")]
fn a_malformed_deadline_is_refused(#[case] value: &'static str) {
    let mut headers = HeaderMap::new();
    headers.insert(parse::DEADLINE_HEADER, HeaderValue::from_static(value));
    assert!(parse::deadline(&headers, Instant::now()).is_err());
}

proptest! {
    // Guards against a panic and against a refusal with the verdict that the request may have run.
    #[test]
    fn any_body_is_parsed_or_refused_as_not_run(body: Vec<u8>) {
        if let Err(problem) = parse::completion("/v1/completions", body.into()) {
            prop_assert_eq!(problem.refusal.verdict, Verdict::NotRun);
        }
    }

    // Guards against an overflow when the deadline is computed.
    #[test]
    fn any_deadline_is_bounded(ms: u64) {
        let mut headers = HeaderMap::new();
        headers.insert(parse::DEADLINE_HEADER, HeaderValue::from(ms));
        let now = Instant::now();
        let deadline = parse::deadline(&headers, now).unwrap().unwrap();
        prop_assert!(deadline <= now + Duration::from_secs(24 * 3600));
    }
}
