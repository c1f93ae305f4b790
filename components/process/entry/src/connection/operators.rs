//! Listeners for the readiness check and the metrics.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::process::Entry;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

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
    accept(cx, listener, readiness).await;
}

/// Accepts connections that read the metrics.
pub(crate) async fn accept_metrics(cx: Rc<Entry>, listener: TcpListener) {
    accept(cx, listener, metrics).await;
}

async fn accept(cx: Rc<Entry>, listener: TcpListener, respond: fn(&Entry, &str) -> TextResponse) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let cx = cx.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let response = respond(&cx, req.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        spawn_local(async move {
            let result = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = result.await {
                tracing::debug!(%error, "operators: connection ended");
            }
        });
    }
}
