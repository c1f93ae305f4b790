//! Tests of the truth of refusals.

use rstest::rstest;

use super::*;

/// Guards against a status that promises "not run" for a request that may have run.
#[rstest]
#[case(Failure::NoServer)]
#[case(Failure::ModelNotInTime)]
#[case(Failure::Rejected)]
#[case(Failure::Full)]
#[case(Failure::AnswerLost)]
#[case(Failure::TimeOver)]
#[case(Failure::NotServing)]
fn a_request_that_may_have_run_is_never_refused(#[case] failure: Failure) {
    let mut runs = Runs::default();
    runs.rejected();
    assert_eq!(runs.status(failure), StatusCode::SERVICE_UNAVAILABLE);
    runs.may_have_run();
    assert!(matches!(runs.status(failure), StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT));
    let answer = runs.failure(failure, Duration::ZERO);
    assert!(!answer.headers().contains_key(header::RETRY_AFTER));
}
