//! Runs a scripted session and compares its transcript of answers, orders and bookings with a
//! golden file.
//!
//! Set `SEQUOIAWELL_REGENERATE=1` to rewrite the transcript.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use rstest::rstest;

use crate::callers::{Chat, Outcome, send_chat_with_deadline, withdraw_amount};
use crate::deployment::Deployment;

/// Counters of the stand-ins: load orders by model and bookings by withdrawal.
#[derive(Clone, Default, PartialEq, Eq)]
struct StandInCounters {
    loads: BTreeMap<String, u64>,
    bookings: BTreeMap<String, u32>,
}

impl StandInCounters {
    fn read(deployment: &Deployment) -> Self {
        let mut counters = Self::default();
        for engine in &deployment.engines {
            for (model, loads) in engine.counters().loads_started {
                *counters.loads.entry(model.into()).or_default() += loads;
            }
        }
        let bookings = deployment.ledger.counters().withdrawals;
        counters.bookings = bookings.into_iter().map(|(id, count)| (id.into(), count)).collect();
        counters
    }

    /// Describes the increase since `before`, one line for each counter.
    fn describe_increase(&self, before: &Self) -> String {
        let loads = self.loads.iter().map(|(model, count)| {
            let added = count - before.loads.get(model).copied().unwrap_or_default();
            (added > 0).then(|| format!("  {added} load order of {model}\n"))
        });
        let bookings = self.bookings.iter().map(|(id, count)| {
            let added = count - before.bookings.get(id).copied().unwrap_or_default();
            (added > 0).then(|| format!("  {id} booked {added} time\n"))
        });
        loads.chain(bookings).flatten().collect()
    }
}

async fn run_step(deployment: &Deployment, step: &str, number: u64) -> Option<Outcome> {
    let words: Vec<&str> = step.split(' ').collect();
    let instance = |name: &str| {
        let found = deployment.instances.iter().find(|i| i.name == name);
        found.unwrap_or_else(|| panic!("no instance {name}")).callers
    };
    let target = |name: &str| -> &'static str { name.to_owned().leak() };
    Some(match words[..] {
        ["chat", instance_name, model] => {
            Chat::new(target(model), number).send(instance(instance_name)).await
        }
        ["stream", instance_name, model] => {
            Chat::streamed(target(model), number, 20).send(instance(instance_name)).await
        }
        ["chat-unknown-key", instance_name, model] => {
            let chat = Chat { key: "no-such-key", ..Chat::new(target(model), number) };
            chat.send(instance(instance_name)).await
        }
        ["chat-within-40ms", instance_name, model] => {
            send_chat_with_deadline(instance(instance_name), Chat::new(target(model), number), 40)
                .await
        }
        ["withdraw", instance_name, id, amount] => {
            withdraw_amount(instance(instance_name), id, amount.parse().expect("an amount")).await
        }
        ["fault", stand_in, what] => {
            set_fault(deployment, stand_in, what);
            return None;
        }
        _ => panic!("unknown step: {step}"),
    })
}

fn set_fault(deployment: &Deployment, stand_in: &str, what: &str) {
    match (stand_in, what) {
        ("engines", "break_streams") => deployment.engines.iter().for_each(|engine| {
            engine.change_faults(|faults| {
                faults.break_streams = 1;
                faults.break_streams_after = 5;
            });
        }),
        ("ledger", "close_after_run") => deployment.ledger.change_faults(|f| f.close_after_run = 1),
        ("ledger", "close_before_run") => {
            deployment.ledger.change_faults(|f| f.close_before_run = 1)
        }
        ("platform", "outage") => deployment.platform.change_faults(|f| f.outage = true),
        ("platform", "end") => deployment.platform.change_faults(|f| f.outage = false),
        _ => panic!("unknown fault: {stand_in} {what}"),
    }
}

fn describe_outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Complete => "  whole answer\n".to_owned(),
        Outcome::Refused { verdict, reason } => format!("  refused: {reason}, {verdict}\n"),
        Outcome::Invalid(what) => format!("  broken: {what}\n"),
    }
}

// Guards against any change of the answers to callers, the load orders to engines and the bookings
// in the ledger within one session.
#[rstest]
#[case("day")]
#[tokio::test]
async fn a_session_matches_its_golden_file(#[case] name: &str) {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/sessions");
    let script = fs::read_to_string(dir.join(format!("{name}.session"))).expect("a script");
    let deployment = Deployment::start(name).await;
    let mut transcript = String::new();
    let steps = script.lines().filter(|line| !line.is_empty() && !line.starts_with('#'));
    for (number, step) in steps.enumerate() {
        let before = StandInCounters::read(&deployment);
        let outcome = run_step(&deployment, step, number as u64).await;
        transcript += &format!("{step}\n");
        transcript += &outcome.as_ref().map(describe_outcome).unwrap_or_default();
        transcript += &StandInCounters::read(&deployment).describe_increase(&before);
    }
    deployment.assert_invariants();
    let golden = dir.join(format!("{name}.transcript"));
    if std::env::var_os("SEQUOIAWELL_REGENERATE").is_some() {
        fs::write(&golden, &transcript).expect("a golden file");
    }
    let expected = fs::read_to_string(&golden).unwrap_or_default();
    assert_eq!(transcript, expected, "{}", deployment.log_tails());
}
