//! Property test with generated sessions: requests and faults in random order, checked against the
//! results that callers see and the stand-ins' own counters.
//!
//! The test checks invariants only, never which answer a request gets, so that its result does not
//! depend on the load of the machine.

#[path = "../deployment/callers.rs"]
#[allow(dead_code, reason = "the deployment tests use the rest")]
mod callers;
mod checks;
#[path = "../deployment/deployment.rs"]
#[allow(dead_code, reason = "the deployment tests use the rest")]
mod deployment;
mod plan;
mod run;

use futures_util::future::join_all;
use proptest::prelude::*;

use deployment::Deployment;
use plan::Session;

/// Cases of one test run.
const CASE_COUNT: u32 = 2;
/// Sessions of one case. They run concurrently, each against its own deployment, because a session
/// takes 6 to 13 s and spends most of that time waiting.
const SESSIONS_PER_CASE: usize = 4;
/// Accelerator memory of an engine. It holds two models of 20 GiB, or one of 20 and one of 30 GiB.
/// The sample's models do not all fit, so that loads compete for memory.
const ENGINE_MEMORY_BYTES: u64 = 50 << 30;
/// Attempts to shrink a failing case.
const MAX_SHRINK_ITERATIONS: u32 = 12;

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: CASE_COUNT,
        max_shrink_iters: MAX_SHRINK_ITERATIONS,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    // Guards against failures that appear only when crates work together or when two faults
    // coincide: a request that never ends, a wrong verdict, a withdrawal booked twice, the answer
    // of another request, too many replicas, or a deployment that does not recover.
    #[test]
    fn generated_sessions_keep_the_invariants(
        sessions in prop::collection::vec(plan::session(), SESSIONS_PER_CASE),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let checks =
            sessions.iter().zip(1..).map(|(session, number)| check_session(number, session));
        runtime.expect("a runtime").block_on(join_all(checks));
    }
}

async fn check_session(number: usize, session: &Session) {
    let deployment =
        Deployment::start_with_memory(&format!("generated-{number}"), ENGINE_MEMORY_BYTES).await;
    let results = run::run(&deployment, session).await;
    run::clear_faults(&deployment, session).await;
    run::wait_until_warm_model_is_served(&deployment).await;
    let violations = checks::violations(&deployment, &results);
    let (violations, log_tails) = (violations.join("\n"), deployment.log_tails());
    assert!(violations.is_empty(), "{violations}\nin {session:?}\n{log_tails}");
    deployment.assert_invariants();
}
