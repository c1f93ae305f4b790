//! HTTP requests of the engine stand-in.

use std::sync::Arc;

use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Duration, Instant, sleep};
use types::prelude::*;

use super::attempt::{Attempt, Reader, Status};
use super::state::{Inner, State, take};
use super::{answers, control, generate, orders, report, text};
use crate::http_server::{self, Answer, Body, Closed, Refused, json};

/// Longest request body in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The parts of a completions request that the stand-in uses; all others are ignored.
#[derive(Debug, Deserialize)]
struct Completion {
    model: Box<str>,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    stream: bool,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
}

/// Answers one request.
pub(super) async fn handle(inner: Arc<Inner>, req: Request<Incoming>) -> Answer {
    if req.uri().path().starts_with("/stand-in/") {
        return Ok(control::handle(&inner, req).await);
    }
    let delay = {
        let faults = &inner.state().faults;
        if faults.unreachable {
            return Err(Closed);
        }
        Duration::from_millis(faults.delay_ms)
    };
    let answer = route(&inner, req).await;
    if !delay.is_zero() {
        sleep(delay).await;
    }
    answer
}

async fn route(inner: &Arc<Inner>, req: Request<Incoming>) -> Answer {
    let path = req.uri().path().to_owned();
    match (req.method(), &*path) {
        (&Method::GET, "/v1/state") => {
            let mut state = inner.state();
            state.reported();
            Ok(report::answer(req.headers(), &report::report(inner, &state)))
        }
        (&Method::GET, "/v1/cache-events") => Ok(cache_events(inner, &req)),
        (&Method::POST, "/v1/orders") => order(inner, req).await,
        (&Method::POST, "/v1/chat/completions") => complete(inner, req, true).await,
        (&Method::POST, "/v1/completions") => complete(inner, req, false).await,
        (method, path) => match path.strip_prefix("/v1/requests/") {
            Some(rest) => Ok(request(inner, method, rest, &req)),
            None => Ok(Refused::new(StatusCode::NOT_FOUND, "no such path").into()),
        },
    }
}

fn cache_events(inner: &Inner, req: &Request<Incoming>) -> Response<Body> {
    let since = number(req, "since");
    let (lag, gap) = (inner.cfg.cache_event_lag, inner.cfg.cache_event_drop_interval);
    json(StatusCode::OK, &inner.state().prefixes.events(since, lag, gap, Instant::now()))
}

fn number(req: &Request<Incoming>, name: &str) -> u64 {
    http_server::query(req, name).and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Takes an order. The answer to `seal` is the report.
async fn order(inner: &Arc<Inner>, req: Request<Incoming>) -> Answer {
    let order: Order = match http_server::read_json(req.into_body(), MAX_BODY_BYTES).await {
        Ok(order) => order,
        Err(refused) => return Ok(refused.into()),
    };
    let is_seal = matches!(order.kind, OrderKind::Seal);
    let taken = orders::handle_order(inner, order);
    let mut state = inner.state();
    if take(&mut state.faults.lose_order_answers) {
        return Err(Closed);
    }
    Ok(match taken {
        Ok(()) if is_seal => json(StatusCode::ACCEPTED, &report::report(inner, &state)),
        Ok(()) => json(StatusCode::ACCEPTED, &json!({})),
        Err(refused) => refused.into(),
    })
}

/// Cancels an attempt or resumes its stream.
fn request(inner: &Inner, method: &Method, rest: &str, req: &Request<Incoming>) -> Response<Body> {
    let (id, is_stream) = match rest.strip_suffix("/stream") {
        Some(id) => (id, true),
        None => (rest, false),
    };
    let Some(attempt) = inner.state().attempts.get(id).cloned() else {
        return Refused::new(StatusCode::NOT_FOUND, "no such attempt").into();
    };
    match (method, is_stream) {
        (&Method::GET, true) => answers::streamed(inner, attempt, number(req, "from")),
        (&Method::DELETE, false) => {
            let was_running = attempt.end(Status::Cancelled);
            inner.state().counters.requests_cancelled += u64::from(was_running);
            json(StatusCode::OK, &json!({ "was_running": was_running }))
        }
        _ => Refused::method(method).into(),
    }
}

async fn complete(inner: &Arc<Inner>, req: Request<Incoming>, is_chat: bool) -> Answer {
    if take(&mut inner.state().faults.close_before_run) {
        return Err(Closed);
    }
    let header = |name| http_server::header_text(&req, name).map(str::to_owned);
    let id = header("x-attempt-id");
    let replica = header("x-replica").and_then(|text| text.parse().ok());
    let priority = header("x-priority").and_then(|text| text.parse().ok()).unwrap_or_default();
    let body = http_server::read_json::<Completion>(req.into_body(), MAX_BODY_BYTES).await;
    let started = body.and_then(|body| {
        let is_stream = body.stream;
        let attempt = start(inner, body, is_chat, id.as_deref(), replica, priority)?;
        Ok((attempt, is_stream))
    });
    match started {
        Ok((attempt, true)) => Ok(answers::streamed(inner, attempt, 0)),
        Ok((attempt, false)) => {
            // Held over the whole wait so that the attempt counts as read from the start.
            let _reader = Reader::new(attempt.clone());
            answers::whole(inner, attempt).await
        }
        Err(refused) => {
            inner.state().counters.requests_refused += 1;
            Ok(not_run_answer(refused, id.as_deref()))
        }
    }
}

/// A refusal that states that the request did not start.
fn not_run_answer(refused: Refused, id: Option<&str>) -> Response<Body> {
    let mut answer: Response<Body> = refused.into();
    let headers = answer.headers_mut();
    headers.insert("x-verdict", HeaderValue::from_static("not_run"));
    if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert("x-attempt-id", id);
    }
    answer
}

fn start(
    inner: &Arc<Inner>,
    body: Completion,
    is_chat: bool,
    id: Option<&str>,
    replica: Option<ReplicaId>,
    priority: u8,
) -> Result<Arc<Attempt>, Refused> {
    let prompt = match is_chat {
        true => text::chat_prompt(&body.messages),
        false => body.prompt.as_str().unwrap_or_default().to_owned(),
    };
    let mut state = inner.state();
    if take(&mut state.faults.refuse_requests) {
        return Err(Refused::new(StatusCode::SERVICE_UNAVAILABLE, "engine takes no requests"));
    }
    let replica = find_replica(&state, &Target::parse(&body.model), replica)?;
    let id = match id {
        Some(id) => id.into(),
        None => format!("attempt-{}", state.next_arrival()).into(),
    };
    if state.attempts.contains_key(&id) {
        state.counters.repeated_attempts += 1;
        return Err(Refused::new(StatusCode::UNPROCESSABLE_ENTITY, "attempt id seen before"));
    }
    drop(state);
    let Some(place) = generate::take_place(inner, replica, priority) else {
        return Err(Refused::new(StatusCode::SERVICE_UNAVAILABLE, "queue is full"));
    };
    let hash = text::prompt_hash(&body.model, &prompt);
    let blocks = text::prefix_hashes(&body.model, &prompt);
    let size = (hash, text::prompt_tokens(&prompt));
    let tokens = body.max_tokens.unwrap_or(inner.cfg.default_tokens).max(1);
    let attempt = Arc::new(Attempt::new(id, replica, body.model, is_chat, size, tokens));
    let mut state = inner.state();
    count_start(&mut state);
    state.keep_attempt(attempt.clone());
    state.spawn(generate::run(inner.clone(), attempt.clone(), place, blocks));
    Ok(attempt)
}

fn find_replica(
    state: &State,
    target: &Target,
    wanted: Option<ReplicaId>,
) -> Result<ReplicaId, Refused> {
    let serves = |replica: &super::state::Replica| {
        replica.model == target.model
            && replica.phase == ReplicaPhase::Ready
            && target.adapter.as_ref().is_none_or(|adapter| replica.adapters.contains(adapter))
    };
    let found = match wanted {
        Some(id) => state.replicas.get_key_value(&id).filter(|(_, replica)| serves(replica)),
        None => state.replicas.iter().find(|(_, replica)| serves(replica)),
    };
    match found {
        Some((id, _)) => Ok(*id),
        None => Err(Refused::new(StatusCode::NOT_FOUND, "no ready replica of this model here")),
    }
}

fn count_start(state: &mut State) {
    let counters = &mut state.counters;
    counters.requests_started += 1;
    if let Some(since) = state.leaving_since {
        counters.requests_after_leaving += 1;
        let after = since.elapsed().as_millis() as u64;
        counters.latest_after_leaving_ms = counters.latest_after_leaving_ms.max(after);
    }
}
