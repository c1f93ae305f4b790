//! Connections of callers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::process::{Entry, Phase};
use crate::request;

/// Idle timeout while there is no configuration yet.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest request head while there is no configuration yet, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;
/// Added to the idle timeout, so that the instance never closes the connection of a caller that
/// keeps to the limit.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Pause after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time in which a connection that was accepted during the shutdown must bring its request.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts connections of callers until the process is about to end. Later ones are refused, so that
/// their callers try another instance.
pub(crate) async fn accept_callers(cx: Rc<Entry>, listener: TcpListener) {
    let mut phase = cx.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase >= Phase::Ending) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                cx.metrics.caller_connections.inc();
                spawn_local(serve(cx.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "callers: connection not accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(cx: Rc<Entry>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "callers: TCP_NODELAY not set, connection already closed");
    }
    let limits = cx.deployment.borrow().as_ref().map(|d| d.limits);
    let idle_timeout =
        limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout) + IDLE_MARGIN;
    let max_head_bytes = limits.map_or(DEFAULT_MAX_HEAD_BYTES, |limits| limits.max_header_bytes);
    let service_cx = cx.clone();
    let has_request = Rc::new(watch::Sender::new(false));
    let first_request = has_request.clone();
    let service = service_fn(move |req| {
        first_request.send_replace(true);
        let cx = service_cx.clone();
        async move { Ok::<_, Infallible>(request::serve(cx, req, Instant::now()).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper runs this timer on idle connections as well, so it must allow the idle timeout.
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut phase = cx.phase.subscribe();
    let closing = async {
        if phase.wait_for(|phase| *phase >= Phase::Closing).await.is_err() {
            std::future::pending::<()>().await;
        }
        // A connection without a request so far is closed at once by a graceful shutdown, although
        // its first request may be on its way.
        let mut has_request = has_request.subscribe();
        let first = has_request.wait_for(|has_request| *has_request);
        if tokio::time::timeout(LAST_REQUEST_TIMEOUT, first).await.is_err() {
            tracing::debug!("callers: connection without a request closed at the shutdown");
        }
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "callers: connection ended");
    }
    cx.metrics.caller_connections.dec();
}
