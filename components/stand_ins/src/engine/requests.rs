//! HTTP handlers of the engine stand-in.

use std::sync::Arc;

use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Duration, Instant, sleep};
use types::prelude::*;

use super::attempt::{Attempt, Reader, Status};
use super::state::{Inner, State, consume_fault};
use super::{control, generate, orders, report, responses, text};
use crate::http_server::{self, Body, CloseConnection, ErrorResponse, HandlerResult, json};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Fields of a completions request that the stand-in uses; it ignores all others.
#[derive(Debug, Deserialize)]
struct CompletionRequest {
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

/// Handles one request.
pub(super) async fn handle(inner: Arc<Inner>, req: Request<Incoming>) -> HandlerResult {
    if req.uri().path().starts_with("/stand-in/") {
        return Ok(control::handle(&inner, req).await);
    }
    let delay = {
        let faults = &inner.state().faults;
        if faults.unreachable {
            return Err(CloseConnection);
        }
        Duration::from_millis(faults.delay_ms)
    };
    let response = route(&inner, req).await;
    if !delay.is_zero() {
        sleep(delay).await;
    }
    response
}

async fn route(inner: &Arc<Inner>, req: Request<Incoming>) -> HandlerResult {
    let path = req.uri().path().to_owned();
    match (req.method(), &*path) {
        (&Method::GET, "/v1/state") => {
            let mut state = inner.state();
            state.mark_loads_reported();
            Ok(report::response(req.headers(), &report::report(inner, &state)))
        }
        (&Method::GET, "/v1/cache-events") => Ok(cache_events(inner, &req)),
        (&Method::POST, "/v1/orders") => handle_order(inner, req).await,
        (&Method::POST, "/v1/chat/completions") => handle_completion(inner, req, true).await,
        (&Method::POST, "/v1/completions") => handle_completion(inner, req, false).await,
        (method, path) => match path.strip_prefix("/v1/requests/") {
            Some(id_and_suffix) => Ok(handle_attempt(inner, method, id_and_suffix, &req)),
            None => Ok(ErrorResponse::new(StatusCode::NOT_FOUND, "no such path").into()),
        },
    }
}

fn cache_events(inner: &Inner, req: &Request<Incoming>) -> Response<Body> {
    let since = query_number(req, "since");
    let (lag, drop_interval) = (inner.cfg.cache_event_lag, inner.cfg.cache_event_drop_interval);
    json(StatusCode::OK, &inner.state().prefixes.events(since, lag, drop_interval, Instant::now()))
}

fn query_number(req: &Request<Incoming>, name: &str) -> u64 {
    http_server::query_param(req, name).and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Handles an order. The response to `seal` is the report.
async fn handle_order(inner: &Arc<Inner>, req: Request<Incoming>) -> HandlerResult {
    let order: Order = match http_server::read_json(req.into_body(), MAX_BODY_BYTES).await {
        Ok(order) => order,
        Err(error) => return Ok(error.into()),
    };
    let is_seal = matches!(order.kind, OrderKind::Seal);
    let result = orders::handle_order(inner, order);
    let mut state = inner.state();
    if consume_fault(&mut state.faults.lose_order_answers) {
        return Err(CloseConnection);
    }
    Ok(match result {
        Ok(()) if is_seal => json(StatusCode::ACCEPTED, &report::report(inner, &state)),
        Ok(()) => json(StatusCode::ACCEPTED, &json!({})),
        Err(error) => error.into(),
    })
}

/// Cancels an attempt or resumes its stream.
fn handle_attempt(
    inner: &Inner,
    method: &Method,
    id_and_suffix: &str,
    req: &Request<Incoming>,
) -> Response<Body> {
    let (id, is_stream) = match id_and_suffix.strip_suffix("/stream") {
        Some(id) => (id, true),
        None => (id_and_suffix, false),
    };
    let Some(attempt) = inner.state().attempts.get(id).cloned() else {
        return ErrorResponse::new(StatusCode::NOT_FOUND, "no such attempt").into();
    };
    match (method, is_stream) {
        (&Method::GET, true) => {
            responses::stream_response(inner, attempt, query_number(req, "from"))
        }
        (&Method::DELETE, false) => {
            let was_running = attempt.end(Status::Cancelled);
            inner.state().counters.requests_cancelled += u64::from(was_running);
            json(StatusCode::OK, &json!({ "was_running": was_running }))
        }
        _ => ErrorResponse::method_not_allowed(method).into(),
    }
}

async fn handle_completion(
    inner: &Arc<Inner>,
    req: Request<Incoming>,
    is_chat: bool,
) -> HandlerResult {
    if consume_fault(&mut inner.state().faults.close_before_run) {
        return Err(CloseConnection);
    }
    let header = |name| http_server::header_str(&req, name).map(str::to_owned);
    let id = header("x-attempt-id");
    let replica = header("x-replica").and_then(|text| text.parse().ok());
    let priority = header("x-priority").and_then(|text| text.parse().ok()).unwrap_or_default();
    let body = http_server::read_json::<CompletionRequest>(req.into_body(), MAX_BODY_BYTES).await;
    let started = body.and_then(|body| {
        let is_stream = body.stream;
        let attempt = start_attempt(inner, body, is_chat, id.as_deref(), replica, priority)?;
        Ok((attempt, is_stream))
    });
    match started {
        Ok((attempt, true)) => Ok(responses::stream_response(inner, attempt, 0)),
        Ok((attempt, false)) => {
            // Held during the whole wait, so that the attempt has a reader from the start.
            let _reader = Reader::new(attempt.clone());
            responses::complete_response(inner, attempt).await
        }
        Err(error) => {
            inner.state().counters.requests_refused += 1;
            Ok(not_run_response(error, id.as_deref()))
        }
    }
}

/// Builds an error response that states that the request did not start.
fn not_run_response(error: ErrorResponse, id: Option<&str>) -> Response<Body> {
    let mut response: Response<Body> = error.into();
    let headers = response.headers_mut();
    headers.insert("x-verdict", HeaderValue::from_static("not_run"));
    if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert("x-attempt-id", id);
    }
    response
}

fn start_attempt(
    inner: &Arc<Inner>,
    body: CompletionRequest,
    is_chat: bool,
    id: Option<&str>,
    replica: Option<ReplicaId>,
    priority: u8,
) -> Result<Arc<Attempt>, ErrorResponse> {
    let prompt = match is_chat {
        true => text::chat_prompt(&body.messages),
        false => body.prompt.as_str().unwrap_or_default().to_owned(),
    };
    let mut state = inner.state();
    if consume_fault(&mut state.faults.refuse_requests) {
        return Err(ErrorResponse::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "engine takes no requests",
        ));
    }
    let replica = find_replica(&state, &Target::parse(&body.model), replica)?;
    let id = match id {
        Some(id) => id.into(),
        None => format!("attempt-{}", state.next_arrival()).into(),
    };
    if state.attempts.contains_key(&id) {
        state.counters.repeated_attempts += 1;
        return Err(ErrorResponse::new(StatusCode::UNPROCESSABLE_ENTITY, "attempt id seen before"));
    }
    drop(state);
    let Some(admission) = generate::admit(inner, replica, priority) else {
        return Err(ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "queue is full"));
    };
    let hash = text::prompt_hash(&body.model, &prompt);
    let blocks = text::prefix_hashes(&body.model, &prompt);
    let hash_and_tokens = (hash, text::prompt_tokens(&prompt));
    let tokens = body.max_tokens.unwrap_or(inner.cfg.default_tokens).max(1);
    let attempt = Arc::new(Attempt::new(id, replica, body.model, is_chat, hash_and_tokens, tokens));
    let mut state = inner.state();
    count_start(&mut state);
    state.record_attempt(attempt.clone());
    state.spawn(generate::run(inner.clone(), attempt.clone(), admission, blocks));
    Ok(attempt)
}

fn find_replica(
    state: &State,
    target: &Target,
    requested: Option<ReplicaId>,
) -> Result<ReplicaId, ErrorResponse> {
    let serves = |replica: &super::state::Replica| {
        replica.model == target.model
            && replica.phase == ReplicaPhase::Ready
            && target.adapter.as_ref().is_none_or(|adapter| replica.adapters.contains(adapter))
    };
    let found = match requested {
        Some(id) => state.replicas.get_key_value(&id).filter(|(_, replica)| serves(replica)),
        None => state.replicas.iter().find(|(_, replica)| serves(replica)),
    };
    match found {
        Some((id, _)) => Ok(*id),
        None => {
            Err(ErrorResponse::new(StatusCode::NOT_FOUND, "no ready replica of this model here"))
        }
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
