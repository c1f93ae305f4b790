//! Whether each request got its whole answer or a true refusal, judged by the stand-ins' counters.

use std::collections::BTreeMap;

use super::caller::Outcome;
use super::load::{Expected, Planned};
use super::world::World;

/// How a request that got what it should was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Judged {
    /// It got its whole answer.
    Whole,
    /// It got a true refusal.
    Refused,
}

/// Judgement of all requests.
#[derive(Debug, Default)]
pub(super) struct Tally {
    judged: Vec<Judged>,
    /// What went wrong.
    pub(super) faults: Vec<String>,
}

impl Tally {
    /// Requests that were served in this way.
    pub(super) fn count(&self, judged: Judged) -> usize {
        self.judged.iter().filter(|j| **j == judged).count()
    }
}

/// Judges all requests and the stand-ins' own counters.
pub(super) fn judge(world: &World, results: &[(Planned, Outcome)]) -> Tally {
    let withdrawals = world.ledger.counters().withdrawals;
    let mut tally = Tally::default();
    for (planned, outcome) in results {
        match judge_one(&planned.expected, outcome) {
            Ok(judged) => tally.judged.push(judged),
            Err(fault) => tally.faults.push(format!("{planned}: {fault}")),
        }
    }
    judge_withdrawals(results, &withdrawals, &mut tally);
    for engine in &world.engines {
        let counters = engine.counters();
        let name = engine.name();
        let mut check = |count: u64, what: &str| {
            if count > 0 {
                tally.faults.push(format!("{name}: {what}: {count}"));
            }
        };
        check(counters.overcommit_violations, "orders that would overcommit the memory");
        check(counters.repeated_orders, "repeated orders");
        check(counters.overlapping_orders, "overlapping orders");
        check(counters.repeated_attempts, "repeated attempts");
    }
    tally
}

fn judge_one(expected: &Expected, outcome: &Outcome) -> Result<Judged, String> {
    match (expected, outcome) {
        (_, Outcome::Broken(what)) => Err(what.clone()),
        (Expected::Text(expected), Outcome::Whole { text }) if expected != text => {
            Err(format!("answer is partial or another request's: {text}"))
        }
        (Expected::NotRun, Outcome::Whole { .. }) => Err("answered after its deadline".into()),
        (Expected::NotRun, Outcome::Refused { verdict, .. }) if verdict != "not_run" => {
            Err(format!("refused with the verdict {verdict}"))
        }
        (_, Outcome::Whole { .. }) => Ok(Judged::Whole),
        (_, Outcome::Refused { .. }) => Ok(Judged::Refused),
    }
}

/// A withdrawal that any caller got an answer for ran once; one that all callers were told had not
/// run did not run.
fn judge_withdrawals(
    results: &[(Planned, Outcome)],
    ran: &BTreeMap<Box<str>, u32>,
    tally: &mut Tally,
) {
    let mut by_id: BTreeMap<&str, Vec<&Outcome>> = BTreeMap::new();
    for (planned, outcome) in results {
        if let Expected::Withdrawal(id) = &planned.expected {
            by_id.entry(id).or_default().push(outcome);
        }
    }
    for (id, outcomes) in by_id {
        let count = ran.get(id).copied().unwrap_or_default();
        let answered = outcomes.iter().any(|o| matches!(o, Outcome::Whole { .. }));
        let not_run =
            |o: &&Outcome| matches!(o, Outcome::Refused { verdict, .. } if verdict == "not_run");
        if count > 1 || (answered && count != 1) {
            tally.faults.push(format!("{id} ran {count} times"));
        }
        if count > 0 && outcomes.iter().all(not_run) {
            tally.faults.push(format!("{id} ran although all callers were told not_run"));
        }
    }
}
