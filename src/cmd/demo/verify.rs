//! Verifies that each request received its complete response or a correct refusal, which the
//! counters of the stand-ins must confirm.

use std::collections::BTreeMap;

use super::caller::Outcome;
use super::deployment::Deployment;
use super::load::{Expected, PlannedRequest};

/// How a request ended whose outcome is as expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ValidOutcome {
    /// The request received its complete response.
    Complete,
    /// The request received a correct refusal.
    Refused,
}

/// The result of the verification.
#[derive(Debug, Default)]
pub(super) struct Summary {
    valid_outcomes: Vec<ValidOutcome>,
    /// One message for each expectation that was not met.
    pub(super) violations: Vec<String>,
}

impl Summary {
    /// Returns the number of requests with this outcome.
    pub(super) fn count(&self, outcome: ValidOutcome) -> usize {
        self.valid_outcomes.iter().filter(|o| **o == outcome).count()
    }
}

/// Verifies the outcomes of all requests and the counters of the stand-ins.
pub(super) fn verify(deployment: &Deployment, results: &[(PlannedRequest, Outcome)]) -> Summary {
    let withdrawals = deployment.ledger.counters().withdrawals;
    let mut summary = Summary::default();
    for (planned, outcome) in results {
        match verify_outcome(&planned.expected, outcome) {
            Ok(valid) => summary.valid_outcomes.push(valid),
            Err(violation) => summary.violations.push(format!("{planned}: {violation}")),
        }
    }
    verify_withdrawals(results, &withdrawals, &mut summary);
    for engine in &deployment.engines {
        let counters = engine.counters();
        let name = engine.name();
        let mut expect_zero = |count: u64, counter: &str| {
            if count > 0 {
                summary.violations.push(format!("{name}: {counter}: {count}"));
            }
        };
        expect_zero(counters.overcommit_violations, "orders that would overcommit the memory");
        expect_zero(counters.repeated_orders, "repeated orders");
        expect_zero(counters.overlapping_orders, "overlapping orders");
        expect_zero(counters.repeated_attempts, "repeated attempts");
    }
    summary
}

fn verify_outcome(expected: &Expected, outcome: &Outcome) -> Result<ValidOutcome, String> {
    match (expected, outcome) {
        (_, Outcome::Failed(reason)) => Err(reason.clone()),
        (Expected::Text(expected), Outcome::Complete { text }) if expected != text => {
            Err(format!("the response is incomplete or belongs to another request: {text}"))
        }
        (Expected::NotRun, Outcome::Complete { .. }) => Err("answered after its deadline".into()),
        (Expected::NotRun, Outcome::Refused { verdict, .. }) if verdict != "not_run" => {
            Err(format!("refused with the verdict {verdict}"))
        }
        (_, Outcome::Complete { .. }) => Ok(ValidOutcome::Complete),
        (_, Outcome::Refused { .. }) => Ok(ValidOutcome::Refused),
    }
}

/// Verifies that a withdrawal ran once if any of its requests received a complete response, and did
/// not run if all of them were refused as not run.
fn verify_withdrawals(
    results: &[(PlannedRequest, Outcome)],
    run_counts: &BTreeMap<Box<str>, u32>,
    summary: &mut Summary,
) {
    let mut by_id: BTreeMap<&str, Vec<&Outcome>> = BTreeMap::new();
    for (planned, outcome) in results {
        if let Expected::Withdrawal(id) = &planned.expected {
            by_id.entry(id).or_default().push(outcome);
        }
    }
    for (id, outcomes) in by_id {
        let count = run_counts.get(id).copied().unwrap_or_default();
        let answered = outcomes.iter().any(|o| matches!(o, Outcome::Complete { .. }));
        let not_run =
            |o: &&Outcome| matches!(o, Outcome::Refused { verdict, .. } if verdict == "not_run");
        if count > 1 || (answered && count != 1) {
            summary.violations.push(format!("{id} ran {count} times"));
        }
        if count > 0 && outcomes.iter().all(not_run) {
            summary.violations.push(format!("{id} ran although all callers were told not_run"));
        }
    }
}
