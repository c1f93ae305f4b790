//! Accepting connections within limits.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_io_timeout::TimeoutStream;
use types::prelude::*;

use crate::body::AnswerBody;

/// Pause after a failed accept, for example when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Smallest read buffer that the HTTP library takes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Connections at one time; further ones wait in the kernel's queue.
    pub(crate) max_connections: usize,
    /// Headers of one request.
    pub(crate) max_headers: usize,
    /// Bytes of one request's head.
    pub(crate) max_header_bytes: usize,
    /// Time to read a request's head; also ends connections without a request.
    pub(crate) header_timeout: Duration,
    /// Time that one write may wait for the peer.
    pub(crate) write_timeout: Duration,
}

/// Serves connections until `stop` completes, then lets running requests finish.
pub(crate) async fn serve<F, R>(
    listener: TcpListener,
    limits: ConnectionLimits,
    handle: F,
    stop: impl Future<Output = ()>,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let mut stop = std::pin::pin!(stop);
    let slots = Arc::new(Semaphore::new(limits.max_connections));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &slots) => accepted,
            () = &mut stop => break,
        };
        let Some((socket, slot)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handle = handle.clone();
        let service = service_fn(move |req| {
            let answer = handle(req);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_headers(limits.max_headers)
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(Box::pin(timed(socket, limits.write_timeout))), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!("front: connection closed: {e}");
            }
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// A peer that does not read its answer must not hold memory for ever.
fn timed(socket: TcpStream, write_timeout: Duration) -> TimeoutStream<TcpStream> {
    let mut socket = TimeoutStream::new(socket);
    socket.set_write_timeout(Some(write_timeout));
    socket
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((socket, _)) => {
            // Without this, small stream events wait for the peer's acknowledgement.
            let _ = socket.set_nodelay(true);
            Some((socket, slot))
        }
        Err(e) => {
            tracing::warn!("front: accepting a connection failed: {e}");
            None
        }
    }
}
