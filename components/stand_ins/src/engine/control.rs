//! Calls by which tests inject faults into an engine and read its counters.

use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use super::state::Inner;
use crate::http_server::{self, Body, ErrorResponse, json};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1 << 16;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LeavingRequest {
    leaving: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreRequest {
    slowdown: f64,
}

/// Handles a call to a path under `/stand-in/`.
pub(super) async fn handle(inner: &Arc<Inner>, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    match (req.method(), &*path) {
        (&Method::GET, "/stand-in/counters") => json(StatusCode::OK, &inner.counters()),
        (&Method::GET, "/stand-in/faults") => json(StatusCode::OK, &inner.state().faults),
        (&Method::POST, _) => match apply(inner, &path, req.into_body()).await {
            Ok(()) => json(StatusCode::OK, &json!({})),
            Err(error) => error.into(),
        },
        _ => ErrorResponse::new(StatusCode::NOT_FOUND, "no such path").into(),
    }
}

async fn apply(inner: &Arc<Inner>, path: &str, body: Incoming) -> Result<(), ErrorResponse> {
    match path {
        "/stand-in/faults" => {
            let faults = http_server::read_json(body, MAX_BODY_BYTES).await?;
            inner.state().faults = faults;
        }
        "/stand-in/leaving" => {
            let leaving: LeavingRequest = http_server::read_json(body, MAX_BODY_BYTES).await?;
            set_leaving(inner, leaving.leaving);
        }
        "/stand-in/store" => {
            let store: StoreRequest = http_server::read_json(body, MAX_BODY_BYTES).await?;
            inner.store.set_slowdown(store.slowdown);
        }
        "/stand-in/restart" => inner.restart_requested.notify_one(),
        _ => return Err(ErrorResponse::new(StatusCode::NOT_FOUND, "no such path")),
    }
    Ok(())
}

/// Sets or clears the leaving flag.
pub(super) fn set_leaving(inner: &Inner, leaving: bool) {
    let mut state = inner.state();
    state.leaving_since = match (leaving, state.leaving_since) {
        (true, None) => Some(Instant::now()),
        (true, since) => since,
        (false, _) => None,
    };
}
