//! The operators' HTTP server.

use std::future::Future;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use types::prelude::*;

use crate::body::{AnswerBody, whole};
use crate::listener::{ConnectionLimits, serve};
use crate::{OperatorQuery, OperatorReply, OperatorRequest};

/// Limits for operators and their monitoring.
const LIMITS: ConnectionLimits = ConnectionLimits {
    max_connections: 64,
    max_headers: 64,
    max_header_bytes: 16 * 1024,
    header_timeout: Duration::from_secs(10),
    write_timeout: Duration::from_secs(10),
};

/// Serves operators on `listener` until `stop` completes.
pub async fn serve_operators(
    listener: TcpListener,
    tx: mpsc::Sender<OperatorQuery>,
    stop: impl Future<Output = ()>,
) {
    let handle = move |req| answer(tx.clone(), req);
    serve(listener, LIMITS, handle, stop).await;
}

async fn answer(tx: mpsc::Sender<OperatorQuery>, req: Request<Incoming>) -> Response<AnswerBody> {
    let request = match (req.method(), req.uri().path()) {
        (&Method::GET, "/healthz") => return text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => OperatorRequest::Ready,
        (&Method::GET, "/metrics") => OperatorRequest::Metrics,
        (&Method::GET, "/status") => OperatorRequest::Status,
        (&Method::GET, "/burn") => OperatorRequest::Burn,
        _ => return text(StatusCode::NOT_FOUND, "not found\n"),
    };
    let (reply, answer) = oneshot::channel();
    if tx.send(OperatorQuery { request, reply }).await.is_err() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "instance has stopped\n");
    }
    match answer.await {
        Ok(OperatorReply { status, content_type, body }) => respond(status, content_type, body),
        Err(_) => text(StatusCode::SERVICE_UNAVAILABLE, "instance has stopped\n"),
    }
}

fn text(status: StatusCode, body: &'static str) -> Response<AnswerBody> {
    respond(status, "text/plain; charset=utf-8", Bytes::from_static(body.as_bytes()))
}

fn respond(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<AnswerBody> {
    let mut res = Response::new(whole(body));
    *res.status_mut() = status;
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}
