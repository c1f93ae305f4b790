//! Admits requests of callers, sends them to servers and returns the responses.

mod account;
mod attempt;
mod backlog;
mod events;
mod failure;
mod memory_wait;
mod quota;
mod select;
mod stream;
mod trace;
mod wait;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use body_memory::{CollectError, collect};
use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use platform_adapter::{
    ClientHeaders, Prompt, remove_client_headers, remove_client_key, remove_hop_by_hop_headers,
};
use quarantine::{Property, PropertyKey, property_keys};
use rand::Rng;
use routes::{Route, ServiceName};
use server_directory::ServerId;

use crate::connection::{Body, CallerBody};
use crate::process::{BanTest, Entry, ModelKey, Phase, WaitingPlace};
use account::Caller;
use attempt::{AttemptOutcome, attempt};
pub(crate) use backlog::BacklogMemory;
use failure::{Failure, Sends, UNKNOWN_KEY, text_response};
use quota::{QUOTA_REACHED, QuotaHold, admit_quota};
use trace::{ANSWERED, Trace};
use wait::select_server;

/// `Retry-After` of refused requests if no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Part of the latency target of the route for which a request waits for the tokens of its quota.
const QUOTA_WAIT_FRACTION: u32 = 3;
/// A request fails after this many attempts of which no byte was sent.
const MAX_UNSENT_ATTEMPTS: u32 = 8;

/// A request that was admitted.
pub(crate) struct Job {
    pub(crate) facts: ClientHeaders,
    /// Route of the configuration version under which the request was admitted.
    pub(crate) route: Rc<Route>,
    pub(crate) caller: Caller,
    pub(crate) service: ServiceName,
    /// Whether the service's servers are engines.
    pub(crate) has_engine: bool,
    /// Tightest latency target of the service's streams.
    pub(crate) stream_target: Option<Duration>,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    /// End-to-end headers as the caller sent them.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The response must be complete by then.
    pub(crate) deadline: Instant,
    /// A server must be selected by then. The caller of a stream leaves before the deadline if no
    /// event arrives.
    pub(crate) select_by: Instant,
    pub(crate) sends: Sends,
    /// Until when the request has lost its turn among those that wait for room at the same servers.
    pub(crate) lost_turn_until: Cell<Option<Instant>>,
    /// The wait for a place at the servers of its model, in the order of the accounts.
    pub(crate) place: RefCell<Option<WaitingPlace>>,
    /// Servers that were already tried and are skipped for now.
    pub(crate) tried: Vec<ServerId>,
    pub(crate) trace: Trace,
    /// Sorted properties that may be the cause of a server's end.
    pub(crate) properties: Rc<[PropertyKey]>,
    /// Set if the request is let through to test a ban.
    pub(crate) ban_test: Option<BanTest>,
    /// What it takes of the quota of its account.
    pub(crate) quota: QuotaHold,
}

/// Properties of a request that other requests may share.
fn properties(
    service: &str,
    prompt: Option<&Prompt>,
    path: Option<&PathAndQuery>,
) -> Rc<[PropertyKey]> {
    let Some(prompt) = prompt else {
        return property_keys(service, path.map(|path| Property::Call(path.as_str())).into_iter())
            .into();
    };
    let adapter = prompt.adapter.as_deref().map(|name| Property::Adapter(&prompt.model, name));
    let model_name = &*prompt.model;
    let parts = prompt.shared_parts.iter();
    let parts = parts.flat_map(|part| [Property::Part(part), Property::PartOf(model_name, part)]);
    let whole = Property::Prompt(model_name, &prompt.shared_parts, prompt.prompt_tokens);
    let own = [whole, Property::Model(model_name)].into_iter();
    property_keys(service, own.chain(adapter).chain(parts)).into()
}

impl Job {
    /// The prompt, if the service's servers are engines.
    pub(crate) fn prompt(&self) -> Option<&Prompt> {
        self.facts.prompt.as_ref().filter(|_| self.has_engine)
    }

    /// Priority rank: that of the account, or else that of the route.
    pub(crate) fn rank(&self) -> u8 {
        let of_account = self.caller.account().and_then(|account| account.rank);
        of_account.unwrap_or(self.route.priority)
    }

    /// Why the request may not be sent because of its key, by the newest configuration.
    pub(crate) fn key_failure(&self, cx: &Entry) -> Option<Failure> {
        self.caller.key_failure(cx.deployment.borrow().as_deref()?)
    }

    /// Frees what only a further send needs. The caller may take the rest of its stream much later.
    pub(crate) fn end_sends(&mut self) {
        self.body = Bytes::new();
        self.quota = QuotaHold::default();
    }

    /// Whether the request may be sent again although a server may have run it.
    pub(crate) fn may_retry(&self) -> bool {
        self.route.kind.may_run_again() && self.sends.possible_runs() < self.route.max_attempts
    }
}

/// Serves one request.
pub(crate) async fn serve(
    cx: Rc<Entry>,
    req: Request<CallerBody>,
    arrived_at: Instant,
) -> Response<Body> {
    let admitted = admit(&cx, req, arrived_at).await;
    // The body may arrive long after the head, when no new requests are taken any more.
    let phase = *cx.phase.borrow();
    let mut response = match admitted {
        Ok(job) if phase >= Phase::Closing => fail(job, Failure::NotServing, Duration::ZERO),
        Ok(job) => dispatch(&cx, job).await,
        Err(refusal) => refusal,
    };
    if phase != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Records that a request was not admitted; its `account` is known once its key was checked.
fn record_refusal(
    cx: &Entry,
    status: StatusCode,
    text: &'static str,
    id: Option<&str>,
    account: Option<&str>,
) {
    if cx.refusal_lines.allows_line(Instant::now()) {
        tracing::info!(
            id = id.unwrap_or("-"),
            account = account.unwrap_or(""),
            status = status.as_u16(),
            reason = text,
            "request: refused at arrival"
        );
    }
    cx.metrics
        .requests
        .get_or_create(&crate::metrics::OutcomeLabels { kind: "refused", outcome: text })
        .inc();
    if let Some(account) = account {
        cx.metrics.accounts.record_refused(account, text);
    }
}

fn refuse(
    cx: &Entry,
    status: StatusCode,
    text: &'static str,
    id: Option<&str>,
    account: Option<&str>,
) -> Response<Body> {
    record_refusal(cx, status, text, id, account);
    let mut response = text_response(status, text);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response = Sends::default().failure_response(Failure::NotServing, DEFAULT_RETRY_AFTER);
    }
    response
}

/// Refuses a request that finds no room beside the others, before its body is read.
pub(crate) fn refuse_without_room(cx: &Entry) -> Response<Body> {
    let labels = crate::metrics::OutcomeLabels { kind: "refused", outcome: "no_room" };
    cx.metrics.requests.get_or_create(&labels).inc();
    let mut response = Sends::default().failure_response(Failure::NotServing, DEFAULT_RETRY_AFTER);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn host(req: &Request<CallerBody>) -> Option<Box<str>> {
    let from_uri = req.uri().authority().map(|authority| authority.as_str().into());
    let header = || req.headers().get(header::HOST)?.to_str().ok().map(Into::into);
    from_uri.or_else(header)
}

/// Reads a request and matches it to a route and a service, or refuses it.
async fn admit(
    cx: &Rc<Entry>,
    req: Request<CallerBody>,
    arrived_at: Instant,
) -> Result<Job, Response<Body>> {
    let id = platform_adapter::attempt_id(req.headers()).map(Box::<str>::from);
    let refuse_unknown = |status, text| refuse(cx, status, text, id.as_deref(), None);
    let Some(deployment) = cx.deployment.borrow().clone() else {
        return Err(refuse_unknown(StatusCode::SERVICE_UNAVAILABLE, "no_configuration"));
    };
    let route = host(&req).and_then(|host| deployment.route(&host, req.uri().path()).cloned());
    let Some(route) = route else {
        return Err(refuse_unknown(StatusCode::NOT_FOUND, "no_route"));
    };
    let Ok(caller) = Caller::identify(&deployment, &route, req.headers()) else {
        return Err(refuse_unknown(StatusCode::UNAUTHORIZED, UNKNOWN_KEY));
    };
    let refuse = |status, text| refuse(cx, status, text, id.as_deref(), caller.name());
    let facts = match ClientHeaders::decode(req.headers()) {
        Ok(facts) => facts,
        Err(_) => return Err(refuse(StatusCode::BAD_REQUEST, "header_missing_or_malformed")),
    };
    let quota = match caller.account() {
        Some(account) => {
            let give_up_at = Instant::now() + route.latency_target / QUOTA_WAIT_FRACTION;
            let admitted = admit_quota(cx, account, facts.stated_tokens, give_up_at).await;
            admitted.map_err(|refusal| {
                let status = StatusCode::TOO_MANY_REQUESTS;
                record_refusal(cx, status, QUOTA_REACHED, id.as_deref(), caller.name());
                refusal.response()
            })?
        }
        None => QuotaHold::default(),
    };
    let (mut parts, body) = req.into_parts();
    remove_client_headers(&mut parts.headers);
    if !deployment.accounts.is_empty() {
        remove_client_key(&mut parts.headers);
    }
    let timeout = facts.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let collected = collect(body, deployment.limits.max_body_bytes, &cx.body_memory);
    // Bodies that come slower than the least pace are cut off before.
    let body = match tokio::time::timeout_at((arrived_at + timeout).into(), collected).await {
        Ok(Ok(body)) => body,
        Ok(Err(CollectError::TooLong)) => {
            return Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
        }
        Ok(Err(CollectError::OutOfMemory)) => {
            cx.record_no_memory(id.as_deref().unwrap_or("-"), "");
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "no_memory"));
        }
        Ok(Err(CollectError::Broken(_))) => {
            return Err(refuse(StatusCode::BAD_REQUEST, "body_broke_off"));
        }
        Err(_) => return Err(refuse(StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
    };
    let service = route.choose_target(rand::rng().random()).service.clone();
    let has_engine = deployment.services.get(&service).is_some_and(|s| s.engine.is_some());
    let now = Instant::now();
    let mut budgets = cx.retry_budgets.borrow_mut();
    budgets.entry(service.clone()).or_default().record_request(now, &cx.settings.retry_limits);
    drop(budgets);
    if let Some(prompt) = facts.prompt.as_ref().filter(|_| has_engine) {
        let key = ModelKey { model: prompt.model.clone(), adapter: prompt.adapter.clone() };
        *cx.request_counts.borrow_mut().arrivals.entry(key).or_default() += 1;
        let mut mixes = cx.prompt_mixes.borrow_mut();
        mixes.entry(service.clone()).or_default().record_prompt(prompt.prompt_tokens);
    }
    let stream_target = deployment.tightest_stream_target(&service);
    let deadline = arrived_at + timeout;
    let select_by =
        route.event_timeout().map_or(deadline, |max_wait| deadline.min(arrived_at + max_wait));
    let path = parts.uri.path_and_query().cloned();
    if let Some(name) = caller.name() {
        cx.metrics.accounts.record_admitted(name);
    }
    let version = deployment.version;
    let trace = Trace::new(cx, &facts, &route, &caller, &service, version, arrived_at);
    let prompt = facts.prompt.as_ref().filter(|_| has_engine);
    Ok(Job {
        properties: properties(&service, prompt, path.as_ref()),
        ban_test: None,
        quota,
        path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
        facts,
        route,
        caller,
        service,
        has_engine,
        stream_target,
        method: parts.method,
        headers: parts.headers,
        body,
        deadline,
        select_by,
        sends: Sends::default(),
        lost_turn_until: Cell::new(None),
        place: RefCell::new(None),
        tried: Vec::new(),
        trace,
    })
}

fn fail(mut job: Job, failure: Failure, retry_after: Duration) -> Response<Body> {
    let response = job.sends.failure_response(failure, retry_after);
    job.trace.end(failure.as_str(), response.status());
    response
}

/// Sends the request to one server after another until one responds, no server can be selected, or
/// the request may not be retried.
async fn dispatch(cx: &Rc<Entry>, mut job: Job) -> Response<Body> {
    let mut unsent = 0;
    // A server's 5xx response, returned to the caller if no retry gets a better one.
    let mut last_response = None;
    loop {
        if job.sends.has_reached_server()
            && Instant::now() < job.deadline
            && !cx.consume_retry(&job.service)
        {
            job.trace.record("no retry left");
            break;
        }
        let selection = match select_server(cx, &mut job).await {
            Ok(selection) => selection,
            Err(_) if last_response.is_some() => break,
            Err(error) => return fail(job, error.failure, error.retry_after),
        };
        if job.sends.has_reached_server() {
            cx.metrics.retries.inc();
        }
        let may_switch = job.route.kind.may_run_again()
            && job.sends.possible_runs() + 1 < job.route.max_attempts;
        job.trace.begin_send(&selection);
        job.quota.set_may_have_run(true);
        let outcome = attempt(cx, &job, &selection, None, may_switch).await;
        job.trace.record_send(&selection, &outcome);
        match outcome {
            AttemptOutcome::NotSent => {
                job.quota.set_may_have_run(job.sends.possible_runs() > 0);
                job.tried.push(selection.id);
                unsent += 1;
                if unsent >= MAX_UNSENT_ATTEMPTS {
                    return fail(job, Failure::NoServer, DEFAULT_RETRY_AFTER);
                }
            }
            AttemptOutcome::NotRun(status) => {
                job.sends.record_not_run();
                job.quota.set_may_have_run(job.sends.possible_runs() > 0);
                if let Some(prompt) = &job.facts.prompt
                    && status == StatusCode::MISDIRECTED_REQUEST
                {
                    cx.mark_holdings_stale(&selection.id, &prompt.model);
                }
                job.tried.push(selection.id);
            }
            AttemptOutcome::Lost(_) => {
                job.sends.record_may_have_run();
                job.tried.push(selection.id);
                if Instant::now() >= job.deadline {
                    return fail(job, Failure::TimeOver, DEFAULT_RETRY_AFTER);
                }
                if !job.may_retry() {
                    break;
                }
            }
            AttemptOutcome::Complete(parts, body) => {
                job.sends.record_may_have_run();
                if parts.status.is_server_error() && job.may_retry() {
                    job.tried.push(selection.id);
                    last_response = Some((parts, body));
                } else {
                    return return_response(cx, job, parts, body);
                }
            }
            AttemptOutcome::Stream(started) => {
                job.sends.record_may_have_run();
                job.tried.push(selection.id);
                return stream::start(cx, job, *started);
            }
        }
    }
    match last_response {
        Some((parts, body)) => return_response(cx, job, parts, body),
        None if job.sends.possible_runs() > 0 => {
            fail(job, Failure::AnswerLost, DEFAULT_RETRY_AFTER)
        }
        None => fail(job, Failure::Rejected, DEFAULT_RETRY_AFTER),
    }
}

/// Returns a server's complete response to the caller, without its connection headers.
fn return_response(
    cx: &Entry,
    mut job: Job,
    mut parts: http::response::Parts,
    body: Bytes,
) -> Response<Body> {
    job.trace.record_first_byte(cx);
    job.trace.end(ANSWERED, parts.status);
    remove_hop_by_hop_headers(&mut parts.headers);
    if job.method != Method::HEAD {
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    parts.version = http::Version::HTTP_11;
    parts.extensions.clear();
    let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
    Response::from_parts(parts, body)
}
