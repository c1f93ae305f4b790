//! What lives as long as a request.

mod attempt;
mod events;
mod select;
mod stream;
mod trace;
mod verdict;
mod wait;

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use platform_adapter::{ClientHeaders, Prompt, remove_client_headers, remove_hop_by_hop_headers};
use rand::Rng;
use routes::{Route, ServiceName};
use server_directory::ServerId;

use crate::connection::Body;
use crate::process::{Entry, ModelKey, Phase};
use attempt::{Attempted, attempt};
use trace::Trace;
use verdict::{Failure, Runs, plain};
use wait::pick;

/// Longest time that a caller may take to send a body.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Time after which a refused caller should come back if nothing better is known.
const RETURN_IN: Duration = Duration::from_millis(300);
/// Sends that failed before a byte left, after which the request fails.
const MAX_NOT_SENT: u32 = 8;

/// A request that was admitted.
pub(crate) struct Job {
    pub(crate) facts: ClientHeaders,
    /// Route of the configuration version under which the request was admitted.
    pub(crate) route: Rc<Route>,
    pub(crate) service: ServiceName,
    /// The service's servers are model engines.
    pub(crate) has_engine: bool,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    /// End-to-end headers as the caller sent them.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The answer must be there by then.
    pub(crate) deadline: Instant,
    /// A server must have been found by then: the caller of a stream leaves earlier than at the
    /// deadline if no event comes.
    pub(crate) offer_by: Instant,
    pub(crate) runs: Runs,
    /// Servers that are not tried again for now.
    pub(crate) tried: Vec<ServerId>,
    pub(crate) trace: Trace,
}

impl Job {
    /// What the request asks of a model; `None` at a plain service.
    pub(crate) fn prompt(&self) -> Option<&Prompt> {
        self.facts.prompt.as_ref().filter(|_| self.has_engine)
    }

    /// Whether the request may be sent once more after a send that may have been run.
    pub(crate) fn may_run_again(&self) -> bool {
        self.route.kind.may_run_again() && self.runs.count() < self.route.max_attempts
    }
}

/// Serves one request.
pub(crate) async fn serve(
    cx: Rc<Entry>,
    req: Request<Incoming>,
    arrived: Instant,
) -> Response<Body> {
    let phase = *cx.phase.borrow();
    let mut answer = match admit(&cx, req, arrived).await {
        Ok(job) if phase >= Phase::Closing => finish(job, Failure::NotServing, Duration::ZERO),
        Ok(job) => dispatch(&cx, job).await,
        Err(refusal) => refusal,
    };
    if phase != Phase::Serving {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

fn refuse(cx: &Entry, status: StatusCode, text: &'static str, id: Option<&str>) -> Response<Body> {
    tracing::info!(
        id = id.unwrap_or("-"),
        status = status.as_u16(),
        reason = text,
        "request: refused at arrival"
    );
    cx.metrics
        .requests
        .get_or_create(&crate::metrics::OutcomeLabels { kind: "refused", outcome: text })
        .inc();
    let mut answer = plain(status, text);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        answer = Runs::default().failure(Failure::NotServing, RETURN_IN);
    }
    answer
}

fn host(req: &Request<Incoming>) -> Option<Box<str>> {
    let from_uri = req.uri().authority().map(|authority| authority.as_str().into());
    let header = || req.headers().get(header::HOST)?.to_str().ok().map(Into::into);
    from_uri.or_else(header)
}

/// Reads the request and decides what it is.
async fn admit(
    cx: &Rc<Entry>,
    req: Request<Incoming>,
    arrived: Instant,
) -> Result<Job, Response<Body>> {
    let id = platform_adapter::attempt_id(req.headers()).map(Box::<str>::from);
    let refuse = |status, text| refuse(cx, status, text, id.as_deref());
    let Some(deployment) = cx.deployment.borrow().clone() else {
        return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "no_configuration"));
    };
    let route = host(&req).and_then(|host| deployment.route(&host, req.uri().path()).cloned());
    let Some(route) = route else {
        return Err(refuse(StatusCode::NOT_FOUND, "no_route"));
    };
    let facts = match ClientHeaders::decode(req.headers()) {
        Ok(facts) => facts,
        Err(_) => return Err(refuse(StatusCode::BAD_REQUEST, "header_missing_or_malformed")),
    };
    let (mut parts, body) = req.into_parts();
    remove_client_headers(&mut parts.headers);
    let limited = Limited::new(body, deployment.limits.max_body_bytes).collect();
    let body = match tokio::time::timeout(BODY_TIME, limited).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
        }
        Ok(Err(_)) => return Err(refuse(StatusCode::BAD_REQUEST, "body_broke_off")),
        Err(_) => return Err(refuse(StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
    };
    let patience = facts.timeout.map_or(route.timeout, |patience| patience.min(route.timeout));
    let service = route.target(rand::rng().random()).service.clone();
    let has_engine = deployment.services.get(&service).is_some_and(|s| s.engine.is_some());
    let now = Instant::now();
    let mut repeats = cx.repeats.borrow_mut();
    repeats.entry(service.clone()).or_default().request(now, &cx.settings.repeats);
    drop(repeats);
    if let Some(prompt) = facts.prompt.as_ref().filter(|_| has_engine) {
        let key = ModelKey { model: prompt.model.clone(), adapter: prompt.adapter.clone() };
        *cx.loads.borrow_mut().arrivals.entry(key).or_default() += 1;
    }
    let deadline = arrived + patience;
    let offer_by = route.event_patience().map_or(deadline, |first| deadline.min(arrived + first));
    let path = parts.uri.path_and_query().cloned();
    let trace = Trace::new(cx, &facts, &route, &service, deployment.version, arrived);
    Ok(Job {
        path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
        facts,
        route,
        service,
        has_engine,
        method: parts.method,
        headers: parts.headers,
        body,
        deadline,
        offer_by,
        runs: Runs::default(),
        tried: Vec::new(),
        trace,
    })
}

fn finish(mut job: Job, failure: Failure, return_in: Duration) -> Response<Body> {
    let answer = job.runs.failure(failure, return_in);
    job.trace.end(failure.as_str(), answer.status());
    answer
}

/// Sends the request to servers until one answers or nothing more can be done.
async fn dispatch(cx: &Rc<Entry>, mut job: Job) -> Response<Body> {
    let mut not_sent = 0;
    // The server's own failure, delivered if no other server does better.
    let mut last_answer = None;
    loop {
        if job.runs.has_arrived() && Instant::now() < job.deadline && !cx.take_repeat(&job.service)
        {
            job.trace.note("no repeat left");
            break;
        }
        let picked = match pick(cx, &mut job).await {
            Ok(picked) => picked,
            Err(_) if last_answer.is_some() => break,
            Err(not) => return finish(job, not.failure, not.return_in),
        };
        if job.runs.has_arrived() {
            cx.metrics.repeats.inc();
        }
        let may_move_on =
            job.route.kind.may_run_again() && job.runs.count() + 1 < job.route.max_attempts;
        let attempted = attempt(cx, &job, &picked, None, may_move_on).await;
        job.trace.sent(&picked, &attempted);
        match attempted {
            Attempted::NotSent => {
                job.tried.push(picked.id);
                not_sent += 1;
                if not_sent >= MAX_NOT_SENT {
                    return finish(job, Failure::NoServer, RETURN_IN);
                }
            }
            Attempted::NotRun(status) => {
                job.runs.rejected();
                if let Some(prompt) = &job.facts.prompt
                    && status == StatusCode::MISDIRECTED_REQUEST
                {
                    cx.doubt(&picked.id, &prompt.model);
                }
                job.tried.push(picked.id);
            }
            Attempted::Lost(_) => {
                job.runs.may_have_run();
                job.tried.push(picked.id);
                if Instant::now() >= job.deadline {
                    return finish(job, Failure::TimeOver, RETURN_IN);
                }
                if !job.may_run_again() {
                    break;
                }
            }
            Attempted::Whole(parts, body) => {
                job.runs.may_have_run();
                if parts.status.is_server_error() && job.may_run_again() {
                    job.tried.push(picked.id);
                    last_answer = Some((parts, body));
                } else {
                    return whole(cx, job, parts, body);
                }
            }
            Attempted::Stream(started) => {
                job.runs.may_have_run();
                job.tried.push(picked.id);
                return stream::begin(cx, job, *started);
            }
        }
    }
    match last_answer {
        Some((parts, body)) => whole(cx, job, parts, body),
        None if job.runs.count() > 0 => finish(job, Failure::AnswerLost, RETURN_IN),
        None => finish(job, Failure::Rejected, RETURN_IN),
    }
}

/// Passes on a whole answer as the server gave it.
fn whole(
    cx: &Entry,
    mut job: Job,
    mut parts: http::response::Parts,
    body: Bytes,
) -> Response<Body> {
    job.trace.first_byte(cx);
    job.trace.end("answered", parts.status);
    remove_hop_by_hop_headers(&mut parts.headers);
    if job.method != Method::HEAD {
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    parts.version = http::Version::HTTP_11;
    parts.extensions.clear();
    let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
    Response::from_parts(parts, body)
}
