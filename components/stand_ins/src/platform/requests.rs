//! HTTP handlers of the platform stand-in.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use hyper::body::{Frame, Incoming};
use percent_encoding::percent_decode_str;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{Duration, Instant, sleep};
use types::object::Condition;
use types::prelude::ObjectVersion;

use super::objects::raw_json;
use super::{Inner, MAX_VALUE_BYTES};
use crate::http_server::{self, Body, CloseConnection, ErrorResponse, HandlerResult};

/// A call of the object API.
enum Call {
    Get { kind: Box<str>, name: Box<str>, known: Option<ObjectVersion> },
    List { kind: Box<str>, prefix: Box<str> },
    Watch { kind: Box<str>, prefix: Box<str>, after: ObjectVersion },
    Instances,
    Put { kind: Box<str>, name: Box<str>, condition: Condition },
    Delete { kind: Box<str>, name: Box<str>, condition: Condition },
}

impl Call {
    fn kind_and_is_write(&self) -> (&'static str, bool) {
        match self {
            Self::Get { .. } => ("get", false),
            Self::List { .. } => ("list", false),
            Self::Watch { .. } => ("watch", false),
            Self::Instances => ("instances", false),
            Self::Put { .. } => ("put", true),
            Self::Delete { .. } => ("delete", true),
        }
    }
}

/// Handles one request.
pub(super) async fn handle(inner: Arc<Inner>, req: Request<Incoming>) -> HandlerResult {
    if req.uri().path().starts_with("/stand-in/") {
        return Ok(control(&inner, req).await);
    }
    let caller: Box<str> = http_server::header_str(&req, "x-instance").unwrap_or_default().into();
    let call = parse(&req);
    let delay = match &call {
        Ok(call) => match admit(&inner, &caller, call)? {
            Ok(delay) => delay,
            Err(error) => return Ok(error),
        },
        Err(_) => Duration::ZERO,
    };
    let call = match call {
        Ok(call) => call,
        Err(error) => return Ok(error.into()),
    };
    let body = http_server::read_body(req.into_body(), MAX_VALUE_BYTES).await;
    let response = execute(&inner, caller, call, body);
    if !delay.is_zero() {
        sleep(delay).await;
    }
    response
}

/// Applies the faults and counts the call. Returns the delay of the response, or an error response
/// for a call above the rate limit.
fn admit(
    inner: &Inner,
    caller: &str,
    call: &Call,
) -> Result<Result<Duration, Response<Body>>, CloseConnection> {
    let mut state = inner.state();
    let state = &mut *state;
    if state.faults.outage || state.faults.cut.contains(caller) {
        state.rates.counters.closed += 1;
        return Err(CloseConnection);
    }
    let (kind, is_write) = call.kind_and_is_write();
    let limit = if is_write { inner.cfg.writes_per_second } else { inner.cfg.reads_per_second };
    let is_enforced = state.faults.refuse_above_rate;
    if !state.rates.admit(Instant::now(), kind, is_write, limit, is_enforced) {
        let mut response = error(StatusCode::TOO_MANY_REQUESTS, "rate exceeded");
        response.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
        return Ok(Err(response));
    }
    Ok(Ok(Duration::from_millis(state.faults.delay_ms)))
}

fn parse(req: &Request<Incoming>) -> Result<Call, ErrorResponse> {
    let path = req.uri().path();
    if path == "/instances" {
        return match *req.method() {
            Method::GET => Ok(Call::Instances),
            ref other => Err(ErrorResponse::method_not_allowed(other)),
        };
    }
    let rest = path.strip_prefix("/objects/").filter(|rest| !rest.is_empty());
    let Some(rest) = rest else {
        return Err(ErrorResponse::new(StatusCode::NOT_FOUND, "no such path"));
    };
    let (kind, name) = match rest.split_once('/') {
        Some((kind, name)) if !name.is_empty() => {
            (percent_decoded(kind), Some(percent_decoded(name)))
        }
        _ => (percent_decoded(rest.trim_end_matches('/')), None),
    };
    match (req.method(), name) {
        (&Method::GET, Some(name)) => {
            Ok(Call::Get { kind, name, known: known_version(req.headers()) })
        }
        (&Method::GET, None) => parse_list(req, kind),
        (&Method::PUT, Some(name)) => {
            Ok(Call::Put { kind, name, condition: parse_condition(req.headers())? })
        }
        (&Method::DELETE, Some(name)) => match parse_condition(req.headers())? {
            Condition::Absent => {
                Err(ErrorResponse::new(StatusCode::BAD_REQUEST, "delete needs If-Match"))
            }
            condition => Ok(Call::Delete { kind, name, condition }),
        },
        (other, _) => Err(ErrorResponse::method_not_allowed(other)),
    }
}

fn parse_list(req: &Request<Incoming>, kind: Box<str>) -> Result<Call, ErrorResponse> {
    let prefix = http_server::query_param(req, "prefix").unwrap_or_default().into();
    let Some(watch) = http_server::query_param(req, "watch") else {
        return Ok(Call::List { kind, prefix });
    };
    match watch.parse() {
        Ok(after) => Ok(Call::Watch { kind, prefix, after }),
        Err(_) => Err(ErrorResponse::new(StatusCode::BAD_REQUEST, "watch is not a version")),
    }
}

fn error(status: StatusCode, message: &str) -> Response<Body> {
    ErrorResponse::new(status, message).into()
}

fn percent_decoded(text: &str) -> Box<str> {
    percent_decode_str(text).decode_utf8_lossy().into()
}

fn parse_condition(headers: &HeaderMap) -> Result<Condition, ErrorResponse> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    if text(header::IF_NONE_MATCH) == Some("*") {
        return Ok(Condition::Absent);
    }
    let Some(tag) = text(header::IF_MATCH) else {
        return Err(ErrorResponse::new(
            StatusCode::PRECONDITION_REQUIRED,
            "write needs a condition",
        ));
    };
    match tag.trim_matches('"').parse() {
        Ok(version) => Ok(Condition::Version(version)),
        Err(_) => Err(ErrorResponse::new(StatusCode::BAD_REQUEST, "If-Match is not a version")),
    }
}

/// Version from the `If-None-Match` header of a read: the caller knows the object in this version
/// and wants it only if it has changed.
fn known_version(headers: &HeaderMap) -> Option<ObjectVersion> {
    headers.get(header::IF_NONE_MATCH)?.to_str().ok()?.trim_matches('"').parse().ok()
}

fn execute(inner: &Arc<Inner>, caller: Box<str>, call: Call, body: Option<Bytes>) -> HandlerResult {
    match call {
        Call::Get { kind, name, known } => Ok(get(inner, &kind, &name, known)),
        Call::List { kind, prefix } => Ok(list(inner, &kind, &prefix)),
        Call::Watch { kind, prefix, after } => Ok(watch(inner, caller, kind, prefix, after)),
        Call::Instances => {
            let lag = inner.cfg.instances_lag;
            Ok(http_server::json(StatusCode::OK, &inner.state().listed_instances(lag)))
        }
        Call::Put { kind, name, condition } => {
            let Some(body) = body else {
                return Ok(error(StatusCode::PAYLOAD_TOO_LARGE, "value too large"));
            };
            // Reserialises the value without line feeds, because a watch sends one event per line.
            let Ok(value) = serde_json::from_slice::<serde_json::Value>(&body) else {
                return Ok(error(StatusCode::BAD_REQUEST, "value is not JSON"));
            };
            write(inner, &kind, &name, condition, Some(value.to_string().into()))
        }
        Call::Delete { kind, name, condition } => write(inner, &kind, &name, condition, None),
    }
}

fn with_version(mut response: Response<Body>, version: ObjectVersion) -> Response<Body> {
    let tag = header::HeaderValue::from_str(&format!("\"{version}\"")).expect("digits are ASCII");
    response.headers_mut().insert(header::ETAG, tag);
    response
}

fn get(inner: &Inner, kind: &str, name: &str, known: Option<ObjectVersion>) -> Response<Body> {
    match inner.state().objects.get(kind, name) {
        Some(object) if known == Some(object.version) => with_version(
            http_server::json_bytes(StatusCode::NOT_MODIFIED, Bytes::new()),
            object.version,
        ),
        Some(object) => with_version(
            http_server::json_bytes(StatusCode::OK, object.value.clone()),
            object.version,
        ),
        None => error(StatusCode::NOT_FOUND, "no such object"),
    }
}

fn list(inner: &Inner, kind: &str, prefix: &str) -> Response<Body> {
    let state = inner.state();
    let objects: Vec<_> = state
        .objects
        .list(kind, prefix)
        .map(|(name, object)| {
            json!({ "name": name, "version": object.version, "value": raw_json(&object.value) })
        })
        .collect();
    let body = json!({ "version": state.objects.version(), "objects": objects });
    http_server::json(StatusCode::OK, &body)
}

fn write(
    inner: &Inner,
    kind: &str,
    name: &str,
    condition: Condition,
    value: Option<Bytes>,
) -> HandlerResult {
    let mut state = inner.state();
    let is_delete = value.is_none();
    if !state.objects.write(kind, name, Some(condition), value) {
        state.rates.counters.conflicts += 1;
        return Ok(error(StatusCode::PRECONDITION_FAILED, "the object has another version"));
    }
    let version = state.objects.version();
    inner.changed.send_replace(());
    if state.faults.lose_write_answers > 0 {
        state.faults.lose_write_answers -= 1;
        state.rates.counters.lost_answers += 1;
        return Err(CloseConnection);
    }
    let status = match (is_delete, condition) {
        (false, Condition::Absent) => StatusCode::CREATED,
        _ => StatusCode::OK,
    };
    Ok(with_version(http_server::json(status, &json!({ "version": version })), version))
}

/// State of one watch.
struct Watcher {
    inner: Arc<Inner>,
    caller: Box<str>,
    kind: Box<str>,
    prefix: Box<str>,
    after: ObjectVersion,
    changed: watch::Receiver<()>,
}

impl Watcher {
    /// Waits for further events. Fails during an outage and once the caller is cut off.
    async fn next(&mut self) -> Result<Frame<Bytes>, CloseConnection> {
        loop {
            self.changed.borrow_and_update();
            {
                let state = self.inner.state();
                if state.faults.outage || state.faults.cut.contains(&self.caller) {
                    return Err(CloseConnection);
                }
                let lines = state.objects.watch_lines_after(self.after, &self.kind, &self.prefix);
                self.after = self.after.max(state.objects.version());
                if !lines.is_empty() {
                    return Ok(Frame::data(lines.into()));
                }
            }
            if self.changed.changed().await.is_err() {
                return Err(CloseConnection);
            }
        }
    }
}

fn watch(
    inner: &Arc<Inner>,
    caller: Box<str>,
    kind: Box<str>,
    prefix: Box<str>,
    after: ObjectVersion,
) -> Response<Body> {
    if !inner.state().objects.retains_changes_after(after) {
        return error(StatusCode::GONE, "changes since this version are no longer kept");
    }
    let changed = inner.changed.subscribe();
    let watcher = Watcher { inner: inner.clone(), caller, kind, prefix, after, changed };
    let lines = stream::unfold(Some(watcher), async |watcher| {
        let mut watcher = watcher?;
        match watcher.next().await {
            Ok(frame) => Some((Ok(frame), Some(watcher))),
            Err(closed) => Some((Err(closed), None)),
        }
    });
    http_server::stream_response("application/x-ndjson", lines)
}

/// Handles the calls by which tests inject faults and read the counters.
async fn control(inner: &Inner, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    match (req.method(), &*path) {
        (&Method::GET, "/stand-in/counters") => {
            http_server::json(StatusCode::OK, &inner.state().rates.counters)
        }
        (&Method::GET, "/stand-in/faults") => {
            http_server::json(StatusCode::OK, &inner.state().faults)
        }
        (&Method::POST, "/stand-in/faults") => {
            match http_server::read_json(req.into_body(), MAX_VALUE_BYTES).await {
                Ok(faults) => {
                    inner.state().faults = faults;
                    inner.changed.send_replace(());
                    http_server::json(StatusCode::OK, &json!({}))
                }
                Err(error) => error.into(),
            }
        }
        (&Method::POST, "/stand-in/instances") => {
            match http_server::read_json(req.into_body(), MAX_VALUE_BYTES).await {
                Ok(instances) => {
                    inner.state().instances.push_back((Instant::now(), instances));
                    http_server::json(StatusCode::OK, &json!({}))
                }
                Err(error) => error.into(),
            }
        }
        _ => error(StatusCode::NOT_FOUND, "no such path"),
    }
}
