//! Checks the result and verdict of every call against the stand-ins' own counters.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stand_ins::engine::prompt_hash;

use super::run::{Call, CallResult};
use crate::callers::Outcome;
use crate::deployment::Deployment;

/// Time after the deadline of a call within which its caller must have the result. It covers the
/// network round trip on a busy machine, on which other tests share the cores.
const DEADLINE_TOLERANCE: Duration = Duration::from_secs(3);

/// Describes all violations.
pub(super) fn violations(deployment: &Deployment, results: &[CallResult]) -> Vec<String> {
    let started: BTreeSet<u64> =
        deployment.engines.iter().flat_map(|engine| engine.accepted_prompt_hashes()).collect();
    let mut violations: Vec<String> = results
        .iter()
        .flat_map(|result| {
            [check_outcome(result), check_deadline(result), check_not_run_verdict(result, &started)]
                .into_iter()
                .flatten()
        })
        .collect();
    violations.extend(check_bookings(results, &deployment.ledger.counters().withdrawals));
    violations
}

/// Checks that a call ends with its own complete answer or with a refusal that has a verdict.
fn check_outcome(result: &CallResult) -> Option<String> {
    let fault = match &result.outcome {
        Outcome::Complete => None,
        Outcome::Refused { verdict, .. } if verdict == "not_run" || verdict == "may_have_run" => {
            None
        }
        Outcome::Refused { verdict, .. } => Some(format!("unknown verdict {verdict}")),
        Outcome::Invalid(what) => Some(what.clone()),
    };
    fault.map(|fault| format!("{:?}: {fault}", result.call))
}

/// Checks that a call ends within its deadline and the tolerance.
fn check_deadline(result: &CallResult) -> Option<String> {
    let limit = result.call.deadline() + DEADLINE_TOLERANCE;
    (result.elapsed > limit).then(|| format!("{:?} ended after {:?}", result.call, result.elapsed))
}

/// Checks that no engine accepted a completion that was refused as not run.
fn check_not_run_verdict(result: &CallResult, started: &BTreeSet<u64>) -> Option<String> {
    let Call::Chat { chat, .. } = &result.call else { return None };
    let hash = prompt_hash(chat.target, &chat.prompt());
    let has_run = is_not_run(&result.outcome) && started.contains(&hash);
    has_run.then(|| format!("{:?} ran, but its caller was told not_run", result.call))
}

/// Checks that a withdrawal is booked at most once for all calls with its id, exactly once if any
/// of them was answered, and not at all if all were refused as not run.
fn check_bookings(results: &[CallResult], booked: &BTreeMap<Box<str>, u32>) -> Vec<String> {
    let mut by_id: BTreeMap<&str, Vec<&Outcome>> = BTreeMap::new();
    for result in results {
        if let Call::Withdrawal(withdrawal) = &result.call {
            by_id.entry(&withdrawal.id).or_default().push(&result.outcome);
        }
    }
    let mut violations: Vec<String> = booked
        .keys()
        .filter(|id| !by_id.contains_key(&***id))
        .map(|id| format!("{id} was booked, but no call requested it"))
        .collect();
    for (id, outcomes) in by_id {
        let count = booked.get(id).copied().unwrap_or_default();
        let is_answered = outcomes.contains(&&Outcome::Complete);
        let is_refused = outcomes.iter().all(|outcome| is_not_run(outcome));
        if count > 1 || (is_answered && count == 0) || (is_refused && count > 0) {
            violations.push(format!("{id} was booked {count} times: {outcomes:?}"));
        }
    }
    violations
}

fn is_not_run(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused { verdict, .. } if verdict == "not_run")
}
