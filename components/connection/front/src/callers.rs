//! The callers' HTTP server.

use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CACHE_CONTROL, CONTENT_TYPE, WWW_AUTHENTICATE};
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use types::prelude::*;

use crate::body::{AnswerBody, events, whole};
use crate::listener::{ConnectionLimits, serve};
use crate::parse::{self, Route};
use crate::{
    Call, FORWARDED_HEADER, IncomingRequest, KeyTable, Problem, REQUEST_ID_HEADER, Reply, Secret,
    hash_key,
};

/// Header with the identifier of an attempt, echoed for instances that forward requests.
const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Connections at one time.
    pub max_connections: usize,
    /// Headers of one request.
    pub max_headers: usize,
    /// Bytes of one request's head.
    pub max_header_bytes: usize,
    /// Bytes of one request's body.
    pub max_body_bytes: usize,
    /// Time to read a request's head.
    pub header_timeout: Duration,
    /// Time to read a request's body.
    pub body_timeout: Duration,
    /// Time that one write to the caller may wait.
    pub write_timeout: Duration,
}

/// What the handler of each request needs.
#[derive(Clone)]
struct Handler {
    instance: InstanceId,
    limits: CallerLimits,
    keys: watch::Receiver<Arc<KeyTable>>,
    tx: mpsc::Sender<IncomingRequest>,
}

/// Serves callers on `listener` until `stop` completes, then lets running requests finish.
pub async fn serve_callers(
    listener: TcpListener,
    instance: InstanceId,
    limits: CallerLimits,
    keys: watch::Receiver<Arc<KeyTable>>,
    tx: mpsc::Sender<IncomingRequest>,
    stop: impl Future<Output = ()>,
) {
    let handler = Handler { instance, limits, keys, tx };
    let connections = ConnectionLimits {
        max_connections: limits.max_connections,
        max_headers: limits.max_headers,
        max_header_bytes: limits.max_header_bytes,
        header_timeout: limits.header_timeout,
        write_timeout: limits.write_timeout,
    };
    let handle = move |req| handler.clone().answer(req);
    serve(listener, connections, handle, stop).await;
}

impl Handler {
    async fn answer(self, req: Request<Incoming>) -> Response<AnswerBody> {
        let request = self.next_request_id();
        let attempt = req.headers().get(ATTEMPT_HEADER).cloned();
        let mut res = match self.exchange(&request, req).await {
            Ok(reply) => write_reply(&request, reply),
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

    async fn exchange(
        &self,
        request: &RequestId,
        req: Request<Incoming>,
    ) -> Result<Reply, Problem> {
        let (reply, answer) = oneshot::channel();
        let arrival = self.read(request.clone(), req, reply).await?;
        let overloaded = || {
            Problem::new(
                Refusal::not_run(Reason::QueueFull)
                    .with_retry_at(Instant::now() + Duration::from_secs(1)),
                "the instance has too many requests; repeat after the given time",
            )
        };
        self.tx.try_send(arrival).map_err(|_| overloaded())?;
        answer.await.map_err(|_| {
            Problem::new(
                Refusal::may_have_run(Reason::BackendFailed),
                "the request was lost inside the instance",
            )
        })
    }

    /// Reads and checks a request. The key is checked before the body is read, so that an unknown
    /// caller costs little.
    async fn read(
        &self,
        request: RequestId,
        req: Request<Incoming>,
        reply: oneshot::Sender<Reply>,
    ) -> Result<IncomingRequest, Problem> {
        let arrived_at = Instant::now();
        let (head, body) = req.into_parts();
        let client_account = self.authenticate(&head.headers)?;
        let route = parse::route(&head.method, &head.uri)?;
        let deadline = parse::deadline(&head.headers, arrived_at)?;
        let class = parse::class(&head.headers)?;
        let idempotency_key = parse::idempotency_key(&head.headers)?;
        let call = match route {
            Route::Models => Call::Models,
            Route::Completion(path) => parse::completion(path, self.read_body(body).await?)?,
            Route::Service { service, path } => Call::Service {
                service,
                method: head.method,
                path,
                content_type: head
                    .headers
                    .get(CONTENT_TYPE)
                    .and_then(|v| v.to_str().ok())
                    .map(Into::into),
                body: self.read_body(body).await?,
            },
        };
        let authorization = head.headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
        Ok(IncomingRequest {
            request,
            client_account,
            authorization: Secret::new(authorization.unwrap_or_default()),
            is_forwarded: head.headers.contains_key(FORWARDED_HEADER),
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
        let collect = Limited::new(body, self.limits.max_body_bytes).collect();
        match tokio::time::timeout(self.limits.body_timeout, collect).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large()),
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

    /// An identifier that names the instance, so that an operator finds the right log.
    fn next_request_id(&self) -> RequestId {
        format!("{}-{:016x}", self.instance, rand::random::<u64>()).into()
    }
}

fn write_reply(request: &RequestId, reply: Reply) -> Response<AnswerBody> {
    match reply {
        Reply::Refused(problem) => problem.into_response(request, Instant::now()),
        Reply::Complete { status, headers, body } => {
            let mut res = Response::new(whole(body));
            *res.status_mut() = status;
            *res.headers_mut() = headers;
            res
        }
        Reply::Stream(rx) => {
            let mut res = Response::new(events(request.clone(), rx));
            let headers = res.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
            res
        }
    }
}
