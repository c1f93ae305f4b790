//! The callers' HTTP server.

use std::future::Future;
use std::sync::Arc;

use body_memory::{BodyMemory, CollectError, collect};
use bytes::Bytes;
use http::header::{AUTHORIZATION, CACHE_CONTROL, CONTENT_TYPE, WWW_AUTHENTICATE};
use http::{HeaderValue, Request, Response};
use hyper::body::{Body, Incoming};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use types::prelude::*;

use crate::body::{ResponseBody, event_body, full_body};
use crate::listener::{ConnectionLimits, serve};
use crate::parse::{self, Route};
use crate::{
    Call, FORWARDED_HEADER, IncomingRequest, KeyTable, Problem, REQUEST_ID_HEADER, Reply, Secret,
    hash_key,
};

/// Header with the identifier of an attempt, echoed to instances that forward requests.
const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Maximum size of a request's headers in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Timeout for reading a request's headers.
    pub header_timeout: Duration,
    /// Timeout for reading a request's body.
    pub body_timeout: Duration,
    /// Timeout of a single write to the caller.
    pub write_timeout: Duration,
}

/// Handler of callers' requests; cloned for each request.
#[derive(Clone)]
struct Handler {
    instance: InstanceId,
    limits: CallerLimits,
    memory: BodyMemory,
    keys: watch::Receiver<Arc<KeyTable>>,
    tx: mpsc::Sender<IncomingRequest>,
}

/// Serves callers on `listener` until `stop` completes, then waits for the requests in flight.
/// The bodies of requests are collected in `memory`.
pub async fn serve_callers(
    listener: TcpListener,
    instance: InstanceId,
    limits: CallerLimits,
    memory: BodyMemory,
    keys: watch::Receiver<Arc<KeyTable>>,
    tx: mpsc::Sender<IncomingRequest>,
    stop: impl Future<Output = ()>,
) {
    let handler = Handler { instance, limits, memory, keys, tx };
    let connections = ConnectionLimits {
        max_connections: limits.max_connections,
        max_headers: limits.max_headers,
        max_header_bytes: limits.max_header_bytes,
        header_timeout: limits.header_timeout,
        write_timeout: limits.write_timeout,
    };
    let handle = move |req| handler.clone().respond(req);
    serve(listener, connections, handle, stop).await;
}

impl Handler {
    async fn respond(self, req: Request<Incoming>) -> Response<ResponseBody> {
        let request = self.next_request_id();
        let attempt = req.headers().get(ATTEMPT_HEADER).cloned();
        let mut res = match self.process(&request, req).await {
            Ok(reply) => reply_to_response(&request, reply),
            Err(problem) => problem.into_response(&request, Instant::now()),
        };
        if res.status() == http::StatusCode::UNAUTHORIZED {
            res.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Ok(value) = HeaderValue::from_str(&request) {
            res.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        if let Some(attempt) = attempt {
            res.headers_mut().insert(ATTEMPT_HEADER, attempt);
        }
        res
    }

    async fn process(&self, request: &RequestId, req: Request<Incoming>) -> Result<Reply, Problem> {
        let (reply, reply_rx) = oneshot::channel();
        let incoming = self.read_request(request.clone(), req, reply).await?;
        let overloaded = || {
            Problem::new(
                Refusal::not_run(Reason::QueueFull)
                    .with_retry_at(Instant::now() + Duration::from_secs(1)),
                "the instance has too many requests; repeat after the given time",
            )
        };
        self.tx.try_send(incoming).map_err(|_| overloaded())?;
        reply_rx.await.map_err(|_| {
            Problem::new(
                Refusal::may_have_run(Reason::BackendFailed),
                "the request was lost inside the instance",
            )
        })
    }

    /// Reads and validates a request. The bearer key is checked before the body is read, so that
    /// requests with an unknown key cost little.
    async fn read_request(
        &self,
        request: RequestId,
        req: Request<Incoming>,
        reply: oneshot::Sender<Reply>,
    ) -> Result<IncomingRequest, Problem> {
        let arrived_at = Instant::now();
        let (parts, body) = req.into_parts();
        let client_account = self.authenticate(&parts.headers)?;
        let route = parse::route(&parts.method, &parts.uri)?;
        let deadline = parse::deadline(&parts.headers, arrived_at)?;
        let class = parse::class(&parts.headers)?;
        let idempotency_key = parse::idempotency_key(&parts.headers)?;
        let call = match route {
            Route::Models => Call::Models,
            Route::Completion(path) => parse::completion(path, self.read_body(body).await?)?,
            Route::Service { service, path } => Call::Service {
                service,
                method: parts.method,
                path,
                content_type: parts
                    .headers
                    .get(CONTENT_TYPE)
                    .and_then(|v| v.to_str().ok())
                    .map(Into::into),
                body: self.read_body(body).await?,
            },
        };
        let authorization = parts.headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
        Ok(IncomingRequest {
            request,
            client_account,
            authorization: Secret::new(authorization.unwrap_or_default()),
            is_forwarded: parts.headers.contains_key(FORWARDED_HEADER),
            arrived_at,
            deadline,
            class,
            idempotency_key,
            call,
            reply,
        })
    }

    fn authenticate(&self, headers: &http::HeaderMap) -> Result<ClientAccountId, Problem> {
        let unknown = |detail: &str| Problem::new(Refusal::not_run(Reason::UnknownKey), detail);
        let key = parse::bearer_key(headers).ok_or_else(|| {
            unknown("send the client account's key as `Authorization: Bearer KEY`")
        })?;
        self.keys
            .borrow()
            .get(&hash_key(key))
            .cloned()
            .ok_or_else(|| unknown("the bearer key belongs to no client account"))
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, Problem> {
        let too_large = || {
            Problem::new(
                Refusal::not_run(Reason::BodyTooLarge),
                format!("the body may have at most {} bytes", self.limits.max_body_bytes),
            )
        };
        if body.size_hint().lower() > self.limits.max_body_bytes as u64 {
            return Err(too_large());
        }
        let collected = collect(body, self.limits.max_body_bytes, &self.memory);
        match tokio::time::timeout(self.limits.body_timeout, collected).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(CollectError::TooLong)) => Err(too_large()),
            Ok(Err(CollectError::OutOfMemory)) => {
                tracing::warn!(used = self.memory.used(), "callers: no memory for a body");
                Err(Problem::new(
                    Refusal::not_run(Reason::NoCapacity),
                    "other requests leave no memory for the body",
                ))
            }
            Ok(Err(_)) => Err(Problem::new(
                Refusal::not_run(Reason::BadRequest),
                "the body ended before its declared length",
            )),
            Err(_) => Err(Problem::new(
                Refusal::not_run(Reason::BadRequest),
                "the body was not received in time",
            )),
        }
    }

    /// Generates a request identifier. It starts with the name of the instance, so that operators
    /// know whose log to search.
    fn next_request_id(&self) -> RequestId {
        format!("{}-{:016x}", self.instance, rand::random::<u64>()).into()
    }
}

fn reply_to_response(request: &RequestId, reply: Reply) -> Response<ResponseBody> {
    match reply {
        Reply::Refused(problem) => problem.into_response(request, Instant::now()),
        Reply::Complete { status, headers, body } => {
            let mut res = Response::new(full_body(body));
            *res.status_mut() = status;
            *res.headers_mut() = headers;
            res
        }
        Reply::Stream(rx) => {
            let mut res = Response::new(event_body(request.clone(), rx));
            let headers = res.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
            res
        }
    }
}
