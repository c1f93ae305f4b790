//! The mixed load of the demo, generated from a seed.

use std::fmt;
use std::time::Duration;

use http::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use stand_ins::engine::{chat_prompt, expected_text};
use tokio::task::JoinSet;

use super::caller::{Caller, CallerRequest, Outcome};
use super::deployment::Deployment;

/// Tokens of each completion.
const RESPONSE_TOKENS: u64 = 12;
/// Period over which the requests are spread, in milliseconds.
const LOAD_DURATION_MS: u64 = 3_000;
/// Concurrent requests at the start of the load, over all instances, for a model not yet loaded.
const BURST_REQUESTS: usize = 6;

/// One request of the load.
#[derive(Clone, Debug)]
pub(super) struct PlannedRequest {
    name: String,
    /// Number of the instance that receives it, modulo the number of instances.
    instance: usize,
    /// Time from the start of the load until it is sent.
    delay: Duration,
    pub(super) request: CallerRequest,
    pub(super) expected: Expected,
}

/// The outcome that a request should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Expected {
    /// A completion with this text, or a refusal.
    Text(String),
    /// A refusal with the verdict that the request did not run.
    NotRun,
    /// The withdrawal with this id runs once, or not at all if it was refused as not run.
    Withdrawal(String),
    /// Any complete response, or a refusal.
    Any,
}

impl fmt::Display for PlannedRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.name)
    }
}

/// Generates the requests for a seed: a burst for a model that is not loaded, each kind of request
/// once, and a random mixture.
pub(super) fn plan(seed: u64, requests: usize) -> Vec<PlannedRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut plan: Vec<PlannedRequest> = (0..BURST_REQUESTS.min(requests))
        .map(|n| chat_request(n, "summary", n % 2 == 0, 0))
        .collect();
    let kinds = 6;
    for n in plan.len()..requests {
        let delay = rng.random_range(0..LOAD_DURATION_MS);
        let kind = if n < BURST_REQUESTS + kinds {
            n - BURST_REQUESTS
        } else {
            rng.random_range(0..kinds)
        };
        plan.push(match kind {
            0 => chat_request(n, choose(&mut rng, &["summary", "tally"]), rng.random(), delay),
            1 => chat_request(n, "summary:early-shift", rng.random(), delay),
            2 => quote_request(n, rng.random(), delay),
            3 => unreachable_deadline_request(n, delay),
            4 => stock_level_request(n, delay),
            _ => withdrawal_request(n, seed, delay),
        });
        // Some callers retry a withdrawal, and the load balancer sends it to another instance.
        if kind == 5 && rng.random_bool(0.5) {
            let mut retry = plan[plan.len() - 1].clone();
            retry.name = format!("retry of {}", retry.name);
            retry.instance += 1;
            retry.delay += Duration::from_millis(rng.random_range(0..300));
            plan.push(retry);
        }
    }
    plan.truncate(requests);
    plan
}

/// Sends the requests at their times and returns the outcomes in the order of the plan.
pub(super) async fn run(
    deployment: &Deployment,
    plan: Vec<PlannedRequest>,
) -> Vec<(PlannedRequest, Outcome)> {
    let caller = Caller::new();
    let mut calls = JoinSet::new();
    for (n, planned) in plan.into_iter().enumerate() {
        let (caller, address) = (caller.clone(), deployment.callers_address(planned.instance));
        calls.spawn(async move {
            tokio::time::sleep(planned.delay).await;
            let outcome = caller.call(address, &planned.request).await;
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

fn completion_request(
    n: usize,
    key: &'static str,
    target: &str,
    stream: bool,
    delay: u64,
) -> PlannedRequest {
    let messages = json!([{ "role": "user", "content": format!("request {n} for {target}") }]);
    let expected = expected_text(target, &chat_prompt(&messages), RESPONSE_TOKENS);
    let mode = if stream { "streamed" } else { "whole" };
    PlannedRequest {
        name: format!("{n:3} {target}, {mode}"),
        instance: n,
        delay: Duration::from_millis(delay),
        request: CallerRequest {
            method: Method::POST,
            path: "/v1/chat/completions".into(),
            key,
            headers: Vec::new(),
            body: json!({ "model": target, "messages": messages, "stream": stream,
                "max_tokens": RESPONSE_TOKENS }),
        },
        expected: Expected::Text(expected),
    }
}

fn chat_request(n: usize, target: &str, stream: bool, delay: u64) -> PlannedRequest {
    completion_request(n, "demo-foremen", target, stream, delay)
}

fn quote_request(n: usize, stream: bool, delay: u64) -> PlannedRequest {
    completion_request(n, "demo-counter", "quotes", stream, delay)
}

fn unreachable_deadline_request(n: usize, delay: u64) -> PlannedRequest {
    let mut planned = chat_request(n, "tally:bagged", false, delay);
    planned.name = format!("{n:3} tally:bagged, deadline of 1 ms");
    planned.request.headers.push(("x-deadline-ms", "1".into()));
    planned.expected = Expected::NotRun;
    planned
}

fn stock_level_request(n: usize, delay: u64) -> PlannedRequest {
    PlannedRequest {
        name: format!("{n:3} ledger, stock level"),
        instance: n,
        delay: Duration::from_millis(delay),
        request: CallerRequest {
            method: Method::GET,
            path: "/services/ledger/levels/kalloni".into(),
            key: "demo-foremen",
            headers: Vec::new(),
            body: Value::Null,
        },
        expected: Expected::Any,
    }
}

fn withdrawal_request(n: usize, seed: u64, delay: u64) -> PlannedRequest {
    let id = format!("withdrawal-{seed}-{n}");
    PlannedRequest {
        name: format!("{n:3} ledger, withdrawal"),
        instance: n,
        delay: Duration::from_millis(delay),
        request: CallerRequest {
            method: Method::POST,
            path: "/services/ledger/withdrawals".into(),
            key: "demo-foremen",
            headers: vec![("idempotency-key", id.clone())],
            body: json!({ "id": id, "barn": "kalloni", "amount": 3 }),
        },
        expected: Expected::Withdrawal(id),
    }
}
