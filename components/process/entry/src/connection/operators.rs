//! The readiness check and the metrics.

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

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

type Answer = Response<Full<Bytes>>;

fn answer(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer
}

fn readiness(cx: &Entry, path: &str) -> Answer {
    match path {
        platform_adapter::READINESS_PATH if cx.is_ready() => answer(StatusCode::OK, "ready\n"),
        platform_adapter::READINESS_PATH => answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => answer(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn metrics(cx: &Entry, path: &str) -> Answer {
    match path {
        METRICS_PATH => answer(StatusCode::OK, cx.metrics.encode()),
        _ => answer(StatusCode::NOT_FOUND, "not found\n"),
    }
}

/// Answers readiness checks.
pub(crate) async fn accept_readiness(cx: Rc<Entry>, listener: TcpListener) {
    accept(cx, listener, readiness).await;
}

/// Answers requests for metrics.
pub(crate) async fn accept_metrics(cx: Rc<Entry>, listener: TcpListener) {
    accept(cx, listener, metrics).await;
}

async fn accept(cx: Rc<Entry>, listener: TcpListener, respond: fn(&Entry, &str) -> Answer) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let cx = cx.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let answer = respond(&cx, req.uri().path());
            async move { Ok::<_, Infallible>(answer) }
        });
        spawn_local(async move {
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                tracing::debug!(%error, "operators: connection ended");
            }
        });
    }
}
