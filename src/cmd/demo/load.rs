//! The mixed load of the demo.

use std::fmt;
use std::time::Duration;

use http::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use stand_ins::engine::{chat_prompt, expected_text};
use tokio::task::JoinSet;

use super::caller::{Caller, Outcome, Sent};
use super::world::World;

/// Tokens of each answer.
const ANSWER_TOKENS: u64 = 12;
/// Time over which the load is spread.
const LOAD_MS: u64 = 3_000;
/// Requests at one time that open the load, at all instances, for one cold model.
const BURST: usize = 6;

/// One request of the load.
#[derive(Clone, Debug)]
pub(super) struct Planned {
    name: String,
    /// Instance that gets it.
    instance: usize,
    /// When it is sent, from the begin of the load.
    after: Duration,
    pub(super) sent: Sent,
    pub(super) expected: Expected,
}

/// What a request should get.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Expected {
    /// This text, or a refusal.
    Text(String),
    /// A refusal that says that the request did not run.
    NotRun,
    /// The withdrawal with this id is booked once, or not at all if it was refused as not run.
    Withdrawal(String),
    /// Any whole answer.
    Any,
}

impl fmt::Display for Planned {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.name)
    }
}

/// The requests for a seed: a burst for a cold model, every kind of request once, and a mixture.
pub(super) fn plan(seed: u64, requests: usize) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut plan: Vec<Planned> =
        (0..BURST.min(requests)).map(|n| chat(n, "summary", n % 2 == 0, 0)).collect();
    let kinds = 6;
    for n in plan.len()..requests {
        let after = rng.random_range(0..LOAD_MS);
        let kind = if n < BURST + kinds { n - BURST } else { rng.random_range(0..kinds) };
        plan.push(match kind {
            0 => chat(n, choose(&mut rng, &["summary", "tally"]), rng.random(), after),
            1 => chat(n, "summary:early-shift", rng.random(), after),
            2 => quote(n, rng.random(), after),
            3 => unreachable_deadline(n, after),
            4 => levels(n, after),
            _ => withdrawal(n, seed, after),
        });
        // Some callers repeat a withdrawal, and the balancer sends the repeat elsewhere.
        if kind == 5 && rng.random_bool(0.5) {
            let mut repeat = plan[plan.len() - 1].clone();
            repeat.name = format!("repeat of {}", repeat.name);
            repeat.instance += 1;
            repeat.after += Duration::from_millis(rng.random_range(0..300));
            plan.push(repeat);
        }
    }
    plan.truncate(requests);
    plan
}

/// Sends the load and gathers what the callers got, in the order of the plan.
pub(super) async fn run(world: &World, plan: Vec<Planned>) -> Vec<(Planned, Outcome)> {
    let caller = Caller::new();
    let mut calls = JoinSet::new();
    for (n, planned) in plan.into_iter().enumerate() {
        let (caller, address) = (caller.clone(), world.callers(planned.instance));
        calls.spawn(async move {
            tokio::time::sleep(planned.after).await;
            let outcome = caller.call(address, &planned.sent).await;
            (n, planned, outcome)
        });
    }
    let mut results = calls.join_all().await;
    results.sort_by_key(|(n, ..)| *n);
    results.into_iter().map(|(_, planned, outcome)| (planned, outcome)).collect()
}

fn choose<'a>(rng: &mut impl Rng, names: &[&'a str]) -> &'a str {
    names.choose(rng).copied().unwrap_or_default()
}

fn completion(n: usize, key: &'static str, target: &str, stream: bool, after: u64) -> Planned {
    let messages = json!([{ "role": "user", "content": format!("request {n} for {target}") }]);
    let expected = expected_text(target, &chat_prompt(&messages), ANSWER_TOKENS);
    let how = if stream { "streamed" } else { "whole" };
    Planned {
        name: format!("{n:3} {target}, {how}"),
        instance: n,
        after: Duration::from_millis(after),
        sent: Sent {
            method: Method::POST,
            path: "/v1/chat/completions".into(),
            key,
            headers: Vec::new(),
            body: json!({ "model": target, "messages": messages, "stream": stream,
                "max_tokens": ANSWER_TOKENS }),
        },
        expected: Expected::Text(expected),
    }
}

fn chat(n: usize, target: &str, stream: bool, after: u64) -> Planned {
    completion(n, "demo-foremen", target, stream, after)
}

fn quote(n: usize, stream: bool, after: u64) -> Planned {
    completion(n, "demo-counter", "quotes", stream, after)
}

fn unreachable_deadline(n: usize, after: u64) -> Planned {
    let mut planned = chat(n, "tally:bagged", false, after);
    planned.name = format!("{n:3} tally:bagged, deadline of 1 ms");
    planned.sent.headers.push(("x-deadline-ms", "1".into()));
    planned.expected = Expected::NotRun;
    planned
}

fn levels(n: usize, after: u64) -> Planned {
    Planned {
        name: format!("{n:3} ledger, stock level"),
        instance: n,
        after: Duration::from_millis(after),
        sent: Sent {
            method: Method::GET,
            path: "/services/ledger/levels/kalloni".into(),
            key: "demo-foremen",
            headers: Vec::new(),
            body: Value::Null,
        },
        expected: Expected::Any,
    }
}

fn withdrawal(n: usize, seed: u64, after: u64) -> Planned {
    let id = format!("withdrawal-{seed}-{n}");
    Planned {
        name: format!("{n:3} ledger, withdrawal"),
        instance: n,
        after: Duration::from_millis(after),
        sent: Sent {
            method: Method::POST,
            path: "/services/ledger/withdrawals".into(),
            key: "demo-foremen",
            headers: vec![("idempotency-key", id.clone())],
            body: json!({ "id": id, "barn": "kalloni", "amount": 3 }),
        },
        expected: Expected::Withdrawal(id),
    }
}
