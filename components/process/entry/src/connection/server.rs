//! Connections to backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use server_directory::ServerId;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout_at;

/// Longest time for a new connection. The way within a region takes a few milliseconds; one lost
/// opening packet is sent again after a second, for which another server need not wait.
const CONNECT_TIME: Duration = Duration::from_millis(200);
/// Unacknowledged data or probes for this long mean that the server cannot be reached.
const DEAD_AFTER: Duration = Duration::from_millis(1_800);
/// Idle time after which a connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time by which a connection is given up before the server's own idle timeout.
const IDLE_SLACK: Duration = Duration::from_millis(500);
/// Idle time of connections whose server names no timeout, which is then below a second.
const UNNAMED_IDLE: Duration = Duration::from_millis(150);
/// Longest idle time, whatever the server allows.
const LONGEST_IDLE: Duration = Duration::from_secs(10);
/// Most idle connections kept for one server, whatever it accepts.
pub(crate) const KEPT_PER_SERVER: usize = 12;
/// Largest body of an answer to an order or a report, in bytes.
const CONTROL_BODY: usize = 1 << 20;

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No byte of the request left.
    NotSent,
    /// The request may have been run.
    MayHaveRun,
}

/// An open connection to a server. Dropping it closes the connection, which makes the server stop
/// its work on the request in flight.
pub(crate) struct Link {
    server: ServerId,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// When the connection was last known to be in order.
    used_at: Instant,
    /// Not used for another request after this deadline.
    reuse_until: Instant,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    pub(crate) async fn connect(
        server: &str,
        address: SocketAddr,
        by: Instant,
    ) -> Result<Self, SendError> {
        let by = by.min(Instant::now() + CONNECT_TIME);
        let stream = match timeout_at(by.into(), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                tracing::debug!(server, %address, %error, "server: connection refused");
                return Err(SendError::NotSent);
            }
            Err(_) => return Err(SendError::NotSent),
        };
        watch_liveness(&stream);
        let shake = http1::handshake(TokioIo::new(stream));
        let Ok(Ok((sender, connection))) = timeout_at(by.into(), shake).await else {
            return Err(SendError::NotSent);
        };
        let task = spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "server: connection ended");
            }
        });
        let now = Instant::now();
        Ok(Self { server: server.into(), sender, task, used_at: now, reuse_until: now })
    }

    /// Server at the other end.
    pub(crate) fn server(&self) -> &str {
        &self.server
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(req).await {
            Ok(answer) => {
                self.note_idle_timeout(answer.headers());
                Ok(answer)
            }
            // The message comes back if no byte of it left.
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::MayHaveRun,
            }),
        }
    }

    fn note_idle_timeout(&mut self, headers: &HeaderMap) {
        let now = Instant::now();
        let closes = headers
            .get(header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        let timeout = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.split(',').find_map(|p| p.trim().strip_prefix("timeout=")))
            .and_then(|seconds| seconds.parse().ok())
            .map(Duration::from_secs);
        let idle = match timeout {
            _ if closes => Duration::ZERO,
            Some(timeout) => timeout.saturating_sub(IDLE_SLACK).min(LONGEST_IDLE),
            None => UNNAMED_IDLE,
        };
        (self.used_at, self.reuse_until) = (now, now + idle);
    }
}

/// Makes the kernel notice a server that went silent without a reset.
fn watch_liveness(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER).with_retries(2);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&probes))
        .and_then(|()| socket.set_tcp_user_timeout(Some(DEAD_AFTER)));
    if let Err(error) = set {
        tracing::debug!(%error, "server: socket options not set");
    }
}

/// Idle connections by server.
#[derive(Default)]
pub(crate) struct Pools {
    idle: RefCell<HashMap<ServerId, Vec<Link>>>,
}

impl Pools {
    /// An idle connection that was in order at most `idle_at_most` ago.
    pub(crate) fn take(&self, server: &str, idle_at_most: Duration) -> Option<Link> {
        let mut pools = self.idle.borrow_mut();
        let links = pools.get_mut(server)?;
        let now = Instant::now();
        links.retain(|link| link.reuse_until > now && !link.sender.is_closed());
        let at = links.iter().rposition(|link| {
            link.sender.is_ready() && now.saturating_duration_since(link.used_at) <= idle_at_most
        })?;
        Some(links.remove(at))
    }

    /// Keeps a connection whose answer was read to its end, if fewer than `most` are kept.
    pub(crate) fn put(&self, mut link: Link, most: usize) {
        let now = Instant::now();
        if link.sender.is_closed() || link.reuse_until <= now {
            return;
        }
        link.used_at = now;
        let mut pools = self.idle.borrow_mut();
        let links = pools.entry(link.server.clone()).or_default();
        if links.len() < most {
            links.push(link);
        }
    }

    /// Closes the idle connections to a server.
    pub(crate) fn forget(&self, server: &str) {
        self.idle.borrow_mut().remove(server);
    }
}

/// Makes the body of a call when it is about to leave; `None` if it must not leave any more.
pub(crate) type BodySource<'a> = &'a dyn Fn() -> Option<Vec<u8>>;

/// Calls an engine's own interface on a fresh connection. Fails with whether the call may have
/// arrived.
pub(crate) async fn control_call(
    address: SocketAddr,
    server: &str,
    path: &str,
    body: Option<BodySource<'_>>,
    by: Instant,
) -> Result<(StatusCode, Bytes), bool> {
    let mut link = Link::connect(server, address, by).await.map_err(|_| false)?;
    let mut req = Request::builder()
        .method(if body.is_some() { Method::POST } else { Method::GET })
        .uri(path)
        .header(header::HOST, address.to_string());
    if body.is_some() {
        req = req.header(header::CONTENT_TYPE, "application/json");
    }
    if let Some(headers) = req.headers_mut() {
        platform_adapter::set_expected_server(headers, server);
    }
    let body = match body {
        Some(source) => source().ok_or(false)?,
        None => Vec::new(),
    };
    let req = req.body(Full::new(Bytes::from(body))).map_err(|_| false)?;
    let answer = match timeout_at(by.into(), link.send(req)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return Err(error == SendError::MayHaveRun),
        Err(_) => return Err(true),
    };
    let status = answer.status();
    let body = Limited::new(answer.into_body(), CONTROL_BODY).collect();
    match timeout_at(by.into(), body).await {
        Ok(Ok(body)) => Ok((status, body.to_bytes())),
        _ => Err(true),
    }
}
