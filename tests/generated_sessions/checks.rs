//! Whether every call got what its verdict says, judged by the stand-ins' own counters.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stand_ins::engine::prompt_hash;

use super::run::{Call, Ended};
use crate::callers::Outcome;
use crate::world::World;

/// Time after its deadline within which a caller must have its end. It covers the way there and
/// back on a busy machine, on which the test's process shares its cores with other tests.
const ALLOWANCE: Duration = Duration::from_secs(3);

/// All violations, in words.
pub(super) fn violations(world: &World, ended: &[Ended]) -> Vec<String> {
    let started: BTreeSet<u64> =
        world.engines.iter().flat_map(|engine| engine.accepted_prompt_hashes()).collect();
    let mut found: Vec<String> = ended
        .iter()
        .flat_map(|ended| {
            [end(ended), time(ended), unstarted(ended, &started)].into_iter().flatten()
        })
        .collect();
    found.extend(bookings(ended, &world.ledger.counters().withdrawals));
    found
}

/// A call ends with its own whole answer or with a refusal that has a verdict.
fn end(ended: &Ended) -> Option<String> {
    let fault = match &ended.outcome {
        Outcome::Whole => None,
        Outcome::Refused { verdict, .. } if verdict == "not_run" || verdict == "may_have_run" => {
            None
        }
        Outcome::Refused { verdict, .. } => Some(format!("unknown verdict {verdict}")),
        Outcome::Broken(what) => Some(what.clone()),
    };
    fault.map(|fault| format!("{:?}: {fault}", ended.call))
}

fn time(ended: &Ended) -> Option<String> {
    let limit = ended.call.deadline() + ALLOWANCE;
    (ended.took > limit).then(|| format!("{:?} ended after {:?}", ended.call, ended.took))
}

/// A completion that was refused as not run is not among those that an engine accepted.
fn unstarted(ended: &Ended, started: &BTreeSet<u64>) -> Option<String> {
    let Call::Chat { chat, .. } = &ended.call else { return None };
    let hash = prompt_hash(chat.target, &chat.prompt());
    let has_run = is_not_run(&ended.outcome) && started.contains(&hash);
    has_run.then(|| format!("{:?} ran, but its caller was told not_run", ended.call))
}

/// A withdrawal is booked at most once over all calls with its id, once if any of them was
/// answered, and not at all if all were refused as not run.
fn bookings(ended: &[Ended], booked: &BTreeMap<Box<str>, u32>) -> Vec<String> {
    let mut by_id: BTreeMap<&str, Vec<&Outcome>> = BTreeMap::new();
    for ended in ended {
        if let Call::Withdrawal(withdrawal) = &ended.call {
            by_id.entry(&withdrawal.id).or_default().push(&ended.outcome);
        }
    }
    let mut found: Vec<String> = booked
        .keys()
        .filter(|id| !by_id.contains_key(&***id))
        .map(|id| format!("{id} was booked, but nobody asked for it"))
        .collect();
    for (id, outcomes) in by_id {
        let count = booked.get(id).copied().unwrap_or_default();
        let is_answered = outcomes.contains(&&Outcome::Whole);
        let is_refused = outcomes.iter().all(|outcome| is_not_run(outcome));
        if count > 1 || (is_answered && count == 0) || (is_refused && count > 0) {
            found.push(format!("{id} was booked {count} times: {outcomes:?}"));
        }
    }
    found
}

fn is_not_run(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused { verdict, .. } if verdict == "not_run")
}
