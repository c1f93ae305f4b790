//! Stand-in for a plain service: a stock ledger. It books a withdrawal each time it
//! receives it, even if it has seen the id before.
//!
//! It serves `GET /levels/BARN` and `POST /withdrawals` with `id`, `barn` and `amount`. Tests
//! control it by `GET` and `POST /stand-in/faults`, `GET /stand-in/counters` and
//! `POST /stand-in/levels`.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::http_server::{self, Body, CloseConnection, ErrorResponse, HandlerResult, json};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1 << 16;

/// Initial level of a barn that was not set.
const DEFAULT_LEVEL: i64 = 1_000_000;

/// Injected faults. Each counted fault hits that many withdrawals and counts down.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay of every response in milliseconds. Withdrawals are booked before the delay.
    pub delay_ms: u64,
    /// Withdrawals whose connection the ledger closes before it books them.
    pub close_before_run: u32,
    /// Withdrawals whose connection the ledger closes after it has booked them.
    pub close_after_run: u32,
    /// Withdrawals that the ledger refuses with 503 before it books them.
    pub refuse: u32,
}

/// Counters of a ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCounters {
    /// Number of bookings per withdrawal id. More than one is a fault of the caller.
    pub withdrawals: BTreeMap<Box<str>, u32>,
    /// Level queries answered.
    pub queries: u64,
}

/// Body of `POST /withdrawals`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// Id chosen by the caller. The ledger books a repeated id again.
    pub id: Box<str>,
    /// Barn to withdraw from.
    pub barn: Box<str>,
    /// Amount to withdraw.
    pub amount: i64,
}

/// A running ledger on loopback.
#[derive(Clone, Debug)]
pub struct Service {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    server: AbortHandle,
}

#[derive(Debug, Default)]
struct State {
    levels: BTreeMap<Box<str>, i64>,
    faults: ServiceFaults,
    counters: ServiceCounters,
}

impl State {
    fn level(&mut self, barn: &str) -> &mut i64 {
        self.levels.entry(barn.into()).or_insert(DEFAULT_LEVEL)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Service {
    /// Starts a ledger on the current runtime, on a free port if there is no `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: Option<SocketAddr>) -> io::Result<Self> {
        let listener = http_server::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let served = state.clone();
        let server = http_server::spawn(listener, move |req| handle(served.clone(), req));
        Ok(Self { address, state, server })
    }

    /// Address that the ledger listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.server.abort();
    }

    /// Changes the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Counters so far.
    pub fn counters(&self) -> ServiceCounters {
        lock(&self.state).counters.clone()
    }

    /// Sets the level of a barn.
    pub fn set_level(&self, barn: &str, level: i64) {
        *lock(&self.state).level(barn) = level;
    }

    /// The level of a barn, without counting a query.
    pub fn level(&self, barn: &str) -> i64 {
        *lock(&self.state).level(barn)
    }
}

async fn handle(state: Arc<Mutex<State>>, req: Request<Incoming>) -> HandlerResult {
    let path = req.uri().path().to_owned();
    if path.starts_with("/stand-in/") {
        return Ok(control(&state, &path, req).await);
    }
    let delay = Duration::from_millis(lock(&state).faults.delay_ms);
    let response = route(&state, &path, req).await;
    if !delay.is_zero() {
        sleep(delay).await;
    }
    response
}

async fn route(state: &Mutex<State>, path: &str, req: Request<Incoming>) -> HandlerResult {
    match (req.method(), path.strip_prefix("/levels/")) {
        (&Method::GET, Some(barn)) => {
            let mut state = lock(state);
            state.counters.queries += 1;
            let level = *state.level(barn);
            Ok(json(StatusCode::OK, &json!({ "barn": barn, "level": level })))
        }
        (&Method::POST, _) if path == "/withdrawals" => {
            match http_server::read_json(req.into_body(), MAX_BODY_BYTES).await {
                Ok(withdrawal) => withdraw(&mut lock(state), withdrawal),
                Err(error) => Ok(error.into()),
            }
        }
        _ => Ok(ErrorResponse::new(StatusCode::NOT_FOUND, "no such path").into()),
    }
}

/// Uses up one of the `remaining` faults; returns false if there is none.
fn consume_fault(remaining: &mut u32) -> bool {
    let is_hit = *remaining > 0;
    *remaining -= u32::from(is_hit);
    is_hit
}

fn withdraw(state: &mut State, withdrawal: Withdrawal) -> HandlerResult {
    if consume_fault(&mut state.faults.close_before_run) {
        return Err(CloseConnection);
    }
    if consume_fault(&mut state.faults.refuse) {
        return Ok(ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "ledger is busy").into());
    }
    let level = state.level(&withdrawal.barn);
    if withdrawal.amount <= 0 || withdrawal.amount > *level {
        return Ok(ErrorResponse::new(StatusCode::CONFLICT, "amount is not available").into());
    }
    *level -= withdrawal.amount;
    let level = *level;
    *state.counters.withdrawals.entry(withdrawal.id.clone()).or_default() += 1;
    if consume_fault(&mut state.faults.close_after_run) {
        return Err(CloseConnection);
    }
    let Withdrawal { id, barn, amount } = withdrawal;
    let body = json!({ "id": id, "barn": barn, "amount": amount, "level": level });
    Ok(json(StatusCode::CREATED, &body))
}

async fn control(state: &Mutex<State>, path: &str, req: Request<Incoming>) -> Response<Body> {
    match (req.method(), path) {
        (&Method::GET, "/stand-in/counters") => json(StatusCode::OK, &lock(state).counters),
        (&Method::GET, "/stand-in/faults") => json(StatusCode::OK, &lock(state).faults),
        (&Method::POST, "/stand-in/faults") => {
            match http_server::read_json(req.into_body(), MAX_BODY_BYTES).await {
                Ok(faults) => {
                    lock(state).faults = faults;
                    json(StatusCode::OK, &json!({}))
                }
                Err(error) => error.into(),
            }
        }
        (&Method::POST, "/stand-in/levels") => {
            match http_server::read_json(req.into_body(), MAX_BODY_BYTES).await {
                Ok(levels) => {
                    lock(state).levels = levels;
                    json(StatusCode::OK, &json!({}))
                }
                Err(error) => error.into(),
            }
        }
        _ => ErrorResponse::new(StatusCode::NOT_FOUND, "no such path").into(),
    }
}
