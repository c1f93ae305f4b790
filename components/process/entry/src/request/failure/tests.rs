//! Tests of the status of failed requests.

use rstest::rstest;

use super::*;

/// Guards against a 503, which promises that the request was not run, for a request that a server
/// may have run.
#[rstest]
#[case(Failure::NoServer)]
#[case(Failure::ModelNotInTime)]
#[case(Failure::Rejected)]
#[case(Failure::Full)]
#[case(Failure::AnswerLost)]
#[case(Failure::TimeOver)]
#[case(Failure::NotServing)]
fn a_request_that_may_have_run_never_gets_503(#[case] failure: Failure) {
    let mut sends = Sends::default();
    sends.record_not_run();
    assert_eq!(sends.status(failure), StatusCode::SERVICE_UNAVAILABLE);
    sends.record_may_have_run();
    assert!(matches!(sends.status(failure), StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT));
    let response = sends.failure_response(failure, Duration::ZERO);
    assert!(!response.headers().contains_key(header::RETRY_AFTER));
}

/// Guards against a 401, after which the caller takes the request for not run, for a request that a
/// server may have run before its key was taken away.
#[test]
fn a_request_that_may_have_run_never_gets_401() {
    let mut sends = Sends::default();
    sends.record_not_run();
    let response = sends.failure_response(Failure::UnknownKey, Duration::ZERO);
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    assert!(!response.headers().contains_key(header::RETRY_AFTER));
    assert_eq!(sends.status(Failure::KeyMoved), StatusCode::SERVICE_UNAVAILABLE);
    sends.record_may_have_run();
    assert_eq!(sends.status(Failure::UnknownKey), StatusCode::BAD_GATEWAY);
}
