//! Accepts and serves HTTP/1 connections within limits.

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

use crate::body::ResponseBody;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of open connections; further ones wait in the kernel's accept queue.
    pub(crate) max_connections: usize,
    /// Maximum number of headers of a request.
    pub(crate) max_headers: usize,
    /// Maximum size of a request's headers in bytes.
    pub(crate) max_header_bytes: usize,
    /// Timeout for reading a request's headers; also closes connections that send no request.
    pub(crate) header_timeout: Duration,
    /// Timeout of a single write.
    pub(crate) write_timeout: Duration,
}

/// Serves connections until `stop` completes, then waits for the requests in flight.
pub(crate) async fn serve<F, R>(
    listener: TcpListener,
    limits: ConnectionLimits,
    handler: F,
    stop: impl Future<Output = ()>,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let mut stop = std::pin::pin!(stop);
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            () = &mut stop => break,
        };
        let Some((socket, permit)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = handler.clone();
        let service = service_fn(move |req| {
            let res = handler(req);
            async move { Ok::<_, Infallible>(res.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_headers(limits.max_headers)
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(
                TokioIo::new(Box::pin(with_write_timeout(socket, limits.write_timeout))),
                service,
            );
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!("front: connection closed with an error: {e}");
            }
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Sets a write timeout, so that a peer that does not read its response cannot hold memory forever.
fn with_write_timeout(socket: TcpStream, write_timeout: Duration) -> TimeoutStream<TcpStream> {
    let mut socket = TimeoutStream::new(socket);
    socket.set_write_timeout(Some(write_timeout));
    socket
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((socket, _)) => {
            // With Nagle's algorithm, small stream events would wait for the peer's
            // acknowledgement.
            let _ = socket.set_nodelay(true);
            Some((socket, permit))
        }
        Err(e) => {
            tracing::warn!("front: failed to accept a connection: {e}");
            None
        }
    }
}
