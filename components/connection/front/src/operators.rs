//! The operators' HTTP server.

use std::future::Future;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use types::prelude::*;

use crate::body::{ResponseBody, full_body};
use crate::listener::{ConnectionLimits, serve};
use crate::{OperatorQuery, OperatorReply, OperatorRequest};

/// Limits for operators and their monitoring tools.
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
    let handler = move |req| handle_request(tx.clone(), req);
    serve(listener, LIMITS, handler, stop).await;
}

async fn handle_request(
    tx: mpsc::Sender<OperatorQuery>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let request = match (req.method(), req.uri().path()) {
        (&Method::GET, "/healthz") => return text_response(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => OperatorRequest::Ready,
        (&Method::GET, "/metrics") => OperatorRequest::Metrics,
        (&Method::GET, "/status") => OperatorRequest::Status,
        (&Method::GET, "/burn") => OperatorRequest::Burn,
        _ => return text_response(StatusCode::NOT_FOUND, "not found\n"),
    };
    let (reply, reply_rx) = oneshot::channel();
    if tx.send(OperatorQuery { request, reply }).await.is_err() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "instance has stopped\n");
    }
    match reply_rx.await {
        Ok(OperatorReply { status, content_type, body }) => response(status, content_type, body),
        Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "instance has stopped\n"),
    }
}

fn text_response(status: StatusCode, body: &'static str) -> Response<ResponseBody> {
    response(status, "text/plain; charset=utf-8", Bytes::from_static(body.as_bytes()))
}

fn response(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<ResponseBody> {
    let mut res = Response::new(full_body(body));
    *res.status_mut() = status;
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}
