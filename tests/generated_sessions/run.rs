//! Runs a session against a deployment.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use stand_ins::engine::EngineFaults;
use stand_ins::service::ServiceFaults;
use tokio::task::JoinSet;

use super::plan::{Action, Completion, Fault, Session};
use crate::callers::{Chat, Outcome, Withdrawal, retry_until_served, send_chat_with_deadline};
use crate::deployment::Deployment;

/// Feasible deadline: a cold start takes 1.2 s, and the contract allows 3 s for it.
const FEASIBLE_DEADLINE_MS: u64 = 5_000;
/// Deadline that no answer can meet.
const INFEASIBLE_DEADLINE_MS: u64 = 1;
/// Tokens of most answers. At 5 ms each, the faults of later steps happen during the stream.
const ANSWER_TOKENS: u64 = 60;
/// Tokens of an answer that takes longer than the infeasible deadline plus `DEADLINE_TOLERANCE`.
const INFEASIBLE_ANSWER_TOKENS: u64 = 1_000;
/// Tokens that an engine sends before it breaks a stream off.
const TOKENS_BEFORE_BREAK: u64 = 10;
/// Slowdown factor of a slow weight store: its loads take longer than the feasible deadline.
const SLOWDOWN: f64 = 10.0;
/// First number of the requests that are not part of a session.
const FIRST_PROBE_NUMBER: u64 = 1_000;

/// A request of a session.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Chat { chat: Chat, deadline_ms: u64 },
    Withdrawal(Withdrawal),
}

/// A request and its result.
#[derive(Debug)]
pub(super) struct CallResult {
    pub(super) call: Call,
    pub(super) outcome: Outcome,
    pub(super) elapsed: Duration,
}

impl Call {
    pub(super) fn deadline(&self) -> Duration {
        Duration::from_millis(match self {
            Self::Chat { deadline_ms, .. } => *deadline_ms,
            Self::Withdrawal(withdrawal) => withdrawal.deadline_ms.unwrap_or(FEASIBLE_DEADLINE_MS),
        })
    }

    async fn send(self, address: SocketAddr) -> CallResult {
        let started_at = Instant::now();
        let outcome = match &self {
            Self::Chat { chat, deadline_ms } => {
                send_chat_with_deadline(address, *chat, *deadline_ms).await
            }
            Self::Withdrawal(withdrawal) => withdrawal.send(address).await,
        };
        CallResult { call: self, outcome, elapsed: started_at.elapsed() }
    }
}

/// Runs all steps and waits for the results of all calls. Faults that the session does not end stay
/// active.
pub(super) async fn run(deployment: &Deployment, session: &Session) -> Vec<CallResult> {
    retry_until_served(deployment, 0, Chat::new("summary", FIRST_PROBE_NUMBER)).await;
    let mut calls = JoinSet::new();
    let mut with_key: Vec<Withdrawal> = Vec::new();
    for (step, number) in session.steps.iter().zip(0..) {
        tokio::time::sleep(Duration::from_millis(step.pause_ms)).await;
        let (instance, call) = match &step.action {
            Action::SendCompletion(completion) => (completion.instance, chat(completion, number)),
            Action::SendWithdrawal { instance, has_key } => {
                let withdrawal = withdrawal(number, *has_key);
                if *has_key {
                    with_key.push(withdrawal.clone());
                }
                (*instance, Call::Withdrawal(withdrawal))
            }
            Action::RetryWithdrawal { instance, earlier } if !with_key.is_empty() => {
                (*instance, Call::Withdrawal(earlier.get(&with_key).clone()))
            }
            Action::RetryWithdrawal { .. } => continue,
            Action::Fault(fault) => {
                apply_fault(deployment, fault).await;
                continue;
            }
        };
        calls.spawn(call.send(deployment.instances[instance].callers));
    }
    calls.join_all().await
}

fn chat(completion: &Completion, number: u64) -> Call {
    let Completion { target, stream, is_text, is_deadline_infeasible, .. } = *completion;
    let (tokens, deadline_ms) = if is_deadline_infeasible {
        (INFEASIBLE_ANSWER_TOKENS, INFEASIBLE_DEADLINE_MS)
    } else {
        (ANSWER_TOKENS, FEASIBLE_DEADLINE_MS)
    };
    let chat = Chat { tokens, stream, is_text, ..Chat::new(target, number) };
    let chat = if target == "quotes" { chat.with_counter_key() } else { chat };
    Call::Chat { chat, deadline_ms }
}

fn withdrawal(number: u64, has_key: bool) -> Withdrawal {
    let amount = 1 + i64::try_from(number).unwrap_or_default();
    Withdrawal {
        id: format!("step-{number}"),
        has_key,
        amount,
        deadline_ms: Some(FEASIBLE_DEADLINE_MS),
    }
}

async fn apply_fault(deployment: &Deployment, fault: &Fault) {
    match *fault {
        Fault::Outage(begins) => deployment.platform.change_faults(|faults| faults.outage = begins),
        Fault::KillEngine(engine) => deployment.engines[engine].kill(),
        Fault::RestartEngine(engine) => {
            deployment.engines[engine].restart().await.expect("the engine restarts");
        }
        Fault::SlowStore(begins) => {
            deployment.store.set_slowdown(if begins { SLOWDOWN } else { 1.0 })
        }
        Fault::LoseWriteAnswers(count) => {
            deployment.platform.change_faults(|faults| faults.lose_write_answers = count);
        }
        Fault::CloseLedger { after_run: true } => {
            deployment.ledger.change_faults(|faults| faults.close_after_run = 1);
        }
        Fault::CloseLedger { after_run: false } => {
            deployment.ledger.change_faults(|faults| faults.close_before_run = 1);
        }
        Fault::BreakStreams => {
            for engine in &deployment.engines {
                engine.change_faults(|faults| {
                    faults.break_streams = 1;
                    faults.break_streams_after = TOKENS_BEFORE_BREAK;
                });
            }
        }
    }
}

/// Ends all faults. Only engines that are down are restarted with a new incarnation, so that faulty
/// state which the session left in the others shows.
pub(super) async fn clear_faults(deployment: &Deployment, session: &Session) {
    deployment.platform.change_faults(|faults| {
        faults.outage = false;
        faults.lose_write_answers = 0;
    });
    deployment.store.set_slowdown(1.0);
    deployment.ledger.change_faults(|faults| *faults = ServiceFaults::default());
    for (number, engine) in deployment.engines.iter().enumerate() {
        engine.change_faults(|faults| *faults = EngineFaults::default());
        if is_down(session, number) {
            engine.restart().await.expect("the engine restarts");
        }
    }
}

/// Whether the session kills an engine and does not restart it afterwards.
fn is_down(session: &Session, engine: usize) -> bool {
    let mut kills_and_restarts = session.steps.iter().filter_map(|step| match step.action {
        Action::Fault(Fault::KillEngine(killed)) if killed == engine => Some(true),
        Action::Fault(Fault::RestartEngine(restarted)) if restarted == engine => Some(false),
        _ => None,
    });
    kills_and_restarts.next_back().unwrap_or(false)
}

/// Waits until every instance serves the model that was loaded before the session.
pub(super) async fn wait_until_warm_model_is_served(deployment: &Deployment) {
    for (instance, number) in (0..deployment.instances.len()).zip(FIRST_PROBE_NUMBER + 1..) {
        retry_until_served(deployment, instance, Chat::new("summary", number)).await;
    }
}
