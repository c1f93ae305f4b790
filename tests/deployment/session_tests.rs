//! A whole session against its golden file: requests in, orders and answers out.
//!
//! With `SEQUOIAWELL_REGENERATE=1` the transcript is written anew.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use rstest::rstest;

use crate::callers::{Chat, Outcome, chat_within_ms, withdraw_amount};
use crate::world::World;

/// What the stand-ins counted: loads by model and bookings by withdrawal.
#[derive(Clone, Default, PartialEq, Eq)]
struct Counted {
    loads: BTreeMap<String, u64>,
    bookings: BTreeMap<String, u32>,
}

impl Counted {
    fn of(world: &World) -> Self {
        let mut counted = Self::default();
        for engine in &world.engines {
            for (model, loads) in engine.counters().loads_started {
                *counted.loads.entry(model.into()).or_default() += loads;
            }
        }
        let bookings = world.ledger.counters().withdrawals;
        counted.bookings = bookings.into_iter().map(|(id, count)| (id.into(), count)).collect();
        counted
    }

    /// What was added since `before`.
    fn since(&self, before: &Self) -> String {
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

async fn run_step(world: &World, step: &str, number: u64) -> Option<Outcome> {
    let words: Vec<&str> = step.split(' ').collect();
    let instance = |name: &str| {
        let found = world.instances.iter().find(|i| i.name == name);
        found.unwrap_or_else(|| panic!("no instance {name}")).callers
    };
    let target = |name: &str| -> &'static str { name.to_owned().leak() };
    Some(match words[..] {
        ["chat", at, model] => Chat::new(target(model), number).send(instance(at)).await,
        ["stream", at, model] => Chat::streamed(target(model), number, 20).send(instance(at)).await,
        ["chat-unknown-key", at, model] => {
            let chat = Chat { key: "no-such-key", ..Chat::new(target(model), number) };
            chat.send(instance(at)).await
        }
        ["chat-within-40ms", at, model] => {
            chat_within_ms(instance(at), Chat::new(target(model), number), 40).await
        }
        ["withdraw", at, id, amount] => {
            withdraw_amount(instance(at), id, amount.parse().expect("an amount")).await
        }
        ["fault", whose, what] => {
            switch_fault(world, whose, what);
            return None;
        }
        _ => panic!("unknown step: {step}"),
    })
}

fn switch_fault(world: &World, whose: &str, what: &str) {
    match (whose, what) {
        ("engines", "break_streams") => world.engines.iter().for_each(|engine| {
            engine.change_faults(|faults| {
                faults.break_streams = 1;
                faults.break_streams_after = 5;
            });
        }),
        ("ledger", "close_after_run") => world.ledger.change_faults(|f| f.close_after_run = 1),
        ("ledger", "close_before_run") => world.ledger.change_faults(|f| f.close_before_run = 1),
        ("platform", "outage") => world.platform.change_faults(|f| f.outage = true),
        ("platform", "end") => world.platform.change_faults(|f| f.outage = false),
        _ => panic!("unknown fault: {whose} {what}"),
    }
}

fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Whole => "  whole answer\n".to_owned(),
        Outcome::Refused { verdict, reason } => format!("  refused: {reason}, {verdict}\n"),
        Outcome::Broken(what) => format!("  broken: {what}\n"),
    }
}

// Guards against any change of what callers, engines and the ledger see of one session.
#[rstest]
#[case("day")]
#[tokio::test]
async fn a_session_matches_its_golden_file(#[case] name: &str) {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/sessions");
    let script = fs::read_to_string(dir.join(format!("{name}.session"))).expect("a script");
    let world = World::start(name).await;
    let mut transcript = String::new();
    let steps = script.lines().filter(|line| !line.is_empty() && !line.starts_with('#'));
    for (number, step) in steps.enumerate() {
        let before = Counted::of(&world);
        let outcome = run_step(&world, step, number as u64).await;
        transcript += &format!("{step}\n");
        transcript += &outcome.as_ref().map(describe).unwrap_or_default();
        transcript += &Counted::of(&world).since(&before);
    }
    world.assert_invariants();
    let golden = dir.join(format!("{name}.transcript"));
    if std::env::var_os("SEQUOIAWELL_REGENERATE").is_some() {
        fs::write(&golden, &transcript).expect("a golden file");
    }
    let expected = fs::read_to_string(&golden).unwrap_or_default();
    assert_eq!(transcript, expected, "{}", world.logs());
}
