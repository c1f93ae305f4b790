//! Connections of callers.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderValue, header};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::yield_now;

use super::ACCEPT_RETRY_DELAY;
use super::tracking::{AnswerBody, CallerBody, Tracked, TrackedStream, spawn_tracked};
use crate::process::{Entry, Phase};
use crate::request;

/// Largest request head while there is no configuration yet, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;
/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Connections that are accepted in a row before other tasks run.
const ACCEPTED_IN_A_ROW: usize = 16;
/// Connections that are accepted at the end of the process, as many as fit into a usual backlog.
const MAX_LAST_ACCEPTED: usize = 128;

/// Time in which a connection that was accepted during the shutdown must bring its request.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts connections of callers until the process is about to end. Later ones are refused, so that
/// their callers try another instance; those that the system has accepted by then are served.
pub(crate) async fn accept_callers(cx: Rc<Entry>, listener: TcpListener) {
    let mut phase = cx.phase.subscribe();
    let mut in_a_row = 0;
    loop {
        let accepted = tokio::select! {
            biased;
            _ = phase.wait_for(|phase| *phase >= Phase::Ending) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                spawn_serve(&cx, stream);
                in_a_row += 1;
                if in_a_row == ACCEPTED_IN_A_ROW {
                    in_a_row = 0;
                    yield_now().await;
                }
            }
            Err(error) => {
                tracing::warn!(%error, "callers: connection not accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    let Ok(listener) = listener.into_std() else { return };
    // Bounded, so that a crowd that goes on connecting does not hold up the other tasks.
    for _ in 0..MAX_LAST_ACCEPTED {
        let Ok((stream, _)) = listener.accept() else { return };
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => spawn_serve(&cx, stream),
            Err(error) => tracing::warn!(%error, "callers: connection not accepted"),
        }
    }
}

/// Serves a connection in a task of its own. Without room, it is closed before anything is read from
/// it.
fn spawn_serve(cx: &Rc<Entry>, stream: TcpStream) {
    spawn_tracked(&cx.doors.callers.connections, |tracked| {
        serve(OpenConnection::new(cx), stream, tracked)
    });
}

/// Counts a connection for as long as its task exists.
struct OpenConnection(Rc<Entry>);

impl OpenConnection {
    fn new(cx: &Rc<Entry>) -> Self {
        cx.metrics.caller_connections.inc();
        Self(cx.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.metrics.caller_connections.dec();
    }
}

async fn serve(open: OpenConnection, stream: TcpStream, tracked: Tracked) {
    let cx = open.0.clone();
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "callers: TCP_NODELAY not set, connection already closed");
    }
    // The buffers are allocated when the first byte has arrived.
    let has_first_byte = tokio::select! {
        biased;
        readable = stream.readable() => readable.is_ok(),
        () = last_request(&cx, std::future::pending()) => false,
    };
    if !has_first_byte {
        return;
    }
    let has_request = Rc::new(watch::Sender::new(false));
    let limits = cx.deployment.borrow().as_ref().map(|d| d.limits);
    let idle_timeout = cx.doors.caller_paces(&cx).idle;
    let max_head_bytes = limits.map_or(DEFAULT_MAX_HEAD_BYTES, |limits| limits.max_header_bytes);
    let service_cx = cx.clone();
    let first_request = has_request.clone();
    let service_tracked = tracked.clone();
    let service = service_fn(move |req| {
        first_request.send_replace(true);
        // The library reserves room for this future for the whole life of a connection.
        Box::pin(respond(service_cx.clone(), service_tracked.clone(), req))
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper runs this timer on idle connections as well, so it must allow the idle timeout.
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(TrackedStream { stream, tracked, relayed: None }), service);
    tokio::pin!(connection);
    let mut has_request = has_request.subscribe();
    let first = async {
        if has_request.wait_for(|has_request| *has_request).await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = last_request(&cx, first) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "callers: connection ended");
    }
}

/// Waits for the shutdown, and then for the first request of a connection or the time in which it
/// must come: a connection without a request so far is closed at once by a graceful shutdown, although
/// its first request may be on its way.
async fn last_request(cx: &Entry, first: impl Future<Output = ()>) {
    let mut phase = cx.phase.subscribe();
    if phase.wait_for(|phase| *phase >= Phase::Closing).await.is_err() {
        std::future::pending::<()>().await;
    }
    if tokio::time::timeout(LAST_REQUEST_TIMEOUT, first).await.is_err() {
        tracing::debug!("callers: connection without a request closed at the shutdown");
    }
}

async fn respond(
    cx: Rc<Entry>,
    tracked: Tracked,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let arrived_at = Instant::now();
    let has_body = !req.body().is_end_stream();
    let mut response = match tracked.begin_request(req.headers().len(), has_body, arrived_at) {
        Ok(()) => {
            let req = req.map(|body| CallerBody::new(body, tracked.clone()));
            request::serve(cx.clone(), req, arrived_at).await
        }
        Err(_) => request::refuse_without_room(&cx),
    };
    if tracked.has_sent_ahead() && cx.doors.callers.connections.is_crowded() {
        // What the caller sent ahead is not read; its place goes to another.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| AnswerBody { body, tracked }))
}
