//! Connections of callers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::process::{Entry, Phase};
use crate::request;

/// Idle timeout before a configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// Largest head before a configuration is known, in bytes.
const DEFAULT_HEAD: usize = 16 << 10;
/// Slack over the idle timeout, so that a client that keeps to the limit never meets a close.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// Smallest buffer that the HTTP library accepts, in bytes.
const LEAST_BUFFER: usize = 8_192;
/// Pause after a failed accept, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections of callers for as long as the process lives.
pub(crate) async fn accept_callers(cx: Rc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                cx.metrics.caller_connections.inc();
                spawn_local(serve(cx.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "callers: connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(cx: Rc<Entry>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "callers: connection already gone");
    }
    let limits = cx.deployment.borrow().as_ref().map(|d| d.limits);
    let idle = limits.map_or(DEFAULT_IDLE, |limits| limits.idle_timeout) + IDLE_SLACK;
    let head = limits.map_or(DEFAULT_HEAD, |limits| limits.max_header_bytes);
    let context = cx.clone();
    let service = service_fn(move |req| {
        let cx = context.clone();
        async move { Ok::<_, Infallible>(request::serve(cx, req, Instant::now()).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The timer also runs while a connection is idle, so that it must allow the idle time.
        .header_read_timeout(idle)
        .max_buf_size(head.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut phase = cx.phase.subscribe();
    let closing = async {
        if phase.wait_for(|phase| *phase >= Phase::Closing).await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "callers: connection ended");
    }
    cx.metrics.caller_connections.dec();
}
