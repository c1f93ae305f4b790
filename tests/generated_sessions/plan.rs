//! Proptest strategies that generate sessions.

use proptest::prelude::*;
use proptest::sample::Index;

/// Number of steps of a session.
const STEP_COUNT: std::ops::RangeInclusive<usize> = 12..=18;
/// Pause before a step, in milliseconds. A load takes 1,200 ms, so that most steps happen during
/// one.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 0..=150;
/// Number of instances, and of engines, of the deployment.
const NODE_COUNT: usize = 3;

/// A sequence of steps against a deployment in which one model is already loaded.
#[derive(Clone, Debug)]
pub(super) struct Session {
    pub(super) steps: Vec<Step>,
}

/// A step, which starts without waiting for the results of the earlier ones.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub(super) pause_ms: u64,
    pub(super) action: Action,
}

/// Action of a step.
#[derive(Clone, Debug)]
pub(super) enum Action {
    SendCompletion(Completion),
    SendWithdrawal {
        instance: usize,
        has_key: bool,
    },
    /// Sends an earlier withdrawal with an idempotency key again; does nothing if there is none.
    RetryWithdrawal {
        instance: usize,
        earlier: Index,
    },
    Fault(Fault),
}

/// A completion request.
#[derive(Clone, Debug)]
pub(super) struct Completion {
    pub(super) instance: usize,
    pub(super) target: &'static str,
    pub(super) stream: bool,
    pub(super) is_text: bool,
    pub(super) is_deadline_infeasible: bool,
}

/// Begin or end of a fault; a `bool` is true for its begin.
#[derive(Clone, Debug)]
pub(super) enum Fault {
    Outage(bool),
    KillEngine(usize),
    RestartEngine(usize),
    SlowStore(bool),
    LoseWriteAnswers(u32),
    /// The ledger closes the connection of its next withdrawal, after or before booking it.
    CloseLedger {
        after_run: bool,
    },
    /// Each engine breaks its next stream off.
    BreakStreams,
}

/// Generates sessions.
pub(super) fn session() -> impl Strategy<Value = Session> {
    prop::collection::vec(step(), STEP_COUNT).prop_map(|steps| Session { steps })
}

fn step() -> impl Strategy<Value = Step> {
    let action = prop_oneof![
        6 => completion().prop_map(Action::SendCompletion),
        3 => (0..NODE_COUNT, prop::bool::weighted(0.7))
            .prop_map(|(instance, has_key)| Action::SendWithdrawal { instance, has_key }),
        3 => (0..NODE_COUNT, any::<Index>())
            .prop_map(|(instance, earlier)| Action::RetryWithdrawal { instance, earlier }),
        5 => fault().prop_map(Action::Fault),
    ];
    (PAUSE_MS, action).prop_map(|(pause_ms, action)| Step { pause_ms, action })
}

fn completion() -> impl Strategy<Value = Completion> {
    // The catalogue allows one replica of `quotes`, and both data centres request it.
    let target = prop_oneof![
        3 => Just("summary"),
        1 => Just("summary:early-shift"),
        1 => Just("tally"),
        1 => Just("tally:bagged"),
        3 => Just("quotes"),
    ];
    (0..NODE_COUNT, target, any::<bool>(), any::<bool>(), prop::bool::weighted(0.15)).prop_map(
        |(instance, target, stream, is_text, is_deadline_infeasible)| Completion {
            instance,
            target,
            stream,
            is_text,
            is_deadline_infeasible,
        },
    )
}

fn fault() -> impl Strategy<Value = Fault> {
    // More faults begin than end; `clear_faults` ends the others after the session.
    let begins = || prop::bool::weighted(0.6);
    prop_oneof![
        3 => begins().prop_map(Fault::Outage),
        2 => (0..NODE_COUNT).prop_map(Fault::KillEngine),
        1 => (0..NODE_COUNT).prop_map(Fault::RestartEngine),
        1 => begins().prop_map(Fault::SlowStore),
        2 => (1..=6u32).prop_map(Fault::LoseWriteAnswers),
        2 => any::<bool>().prop_map(|after_run| Fault::CloseLedger { after_run }),
        2 => Just(Fault::BreakStreams),
    ]
}
