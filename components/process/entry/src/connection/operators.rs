//! Listeners for the readiness check and the metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;

use super::ACCEPT_RETRY_DELAY;
use super::doors::Door;
use super::tracking::{AnswerBody, Tracked, TrackedStream, spawn_tracked};
use crate::process::Entry;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";
/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8_192;
/// Connections that are accepted in a row before other tasks run.
const ACCEPTED_IN_A_ROW: usize = 8;

type TextResponse = Response<Full<Bytes>>;

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> TextResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

fn readiness(cx: &Entry, path: &str) -> TextResponse {
    match path {
        platform_adapter::READINESS_PATH if cx.is_ready() => {
            text_response(StatusCode::OK, "ready\n")
        }
        platform_adapter::READINESS_PATH => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
        _ => text_response(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn metrics(cx: &Entry, path: &str) -> TextResponse {
    match path {
        METRICS_PATH => text_response(StatusCode::OK, cx.metrics.encode()),
        _ => text_response(StatusCode::NOT_FOUND, "not found\n"),
    }
}

/// Accepts connections of the readiness check.
pub(crate) async fn accept_readiness(cx: Rc<Entry>, listener: TcpListener) {
    accept(cx, listener, |cx| &cx.doors.readiness, readiness).await;
}

/// Accepts connections that read the metrics.
pub(crate) async fn accept_metrics(cx: Rc<Entry>, listener: TcpListener) {
    accept(cx, listener, |cx| &cx.doors.metrics, metrics).await;
}

async fn accept(
    cx: Rc<Entry>,
    listener: TcpListener,
    door: fn(&Entry) -> &Door,
    respond: fn(&Entry, &str) -> TextResponse,
) {
    let mut in_a_row = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        spawn_tracked(&door(&cx).connections, |tracked| {
            serve(cx.clone(), stream, tracked, respond)
        });
        in_a_row += 1;
        if in_a_row == ACCEPTED_IN_A_ROW {
            in_a_row = 0;
            yield_now().await;
        }
    }
}

async fn serve(
    cx: Rc<Entry>,
    stream: TcpStream,
    tracked: Tracked,
    respond: fn(&Entry, &str) -> TextResponse,
) {
    if stream.readable().await.is_err() {
        return;
    }
    let service_tracked = tracked.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        // These listeners limit the number of connections only.
        let _ = service_tracked.begin_request(0, false, Instant::now());
        let mut response = respond(&cx, req.uri().path()).map(|text| AnswerBody {
            body: text.map_err(|never| match never {}).boxed_unsync(),
            tracked: service_tracked.clone(),
        });
        if service_tracked.has_sent_ahead() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        async move { Ok::<_, Infallible>(response) }
    });
    let result = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(TrackedStream { stream, tracked, relayed: None }), service);
    if let Err(error) = result.await {
        tracing::debug!(%error, "operators: connection ended");
    }
}
