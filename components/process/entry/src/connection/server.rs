//! Connections to backend servers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use body_memory::{BodyMemory, collect};
use bytes::Bytes;
use caller_limits::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use platform_adapter::{ServerNotice, decode_server_notice};
use server_directory::ServerId;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout_at;

use super::head_limit::{BudgetedStream, ReadBudget};

/// Timeout for a new connection. A round trip within a region takes a few milliseconds. TCP sends
/// a lost SYN again only after a second; trying another server is faster than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The kernel closes a connection whose data or probes stay unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Idle time before the first keep-alive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// A connection is no longer reused this long before the server's own idle timeout.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Idle timeout for servers that send no `Keep-Alive` timeout; theirs is then below a second.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest idle timeout, even if the server allows more.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Most idle connections that the pool retains per server, even if the server accepts more.
pub(crate) const MAX_IDLE_PER_SERVER: usize = 12;
/// Most bytes that a server may send until the head of its response is complete, interim responses
/// and bytes of the body that come with it included.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// Size of the read buffer of a connection, in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Largest response body of an order or a report, in bytes.
const MAX_CONTROL_BODY_BYTES: usize = 1 << 20;

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    NotSent,
    /// The server may have run the request.
    MayHaveRun,
    /// The server may have run the request, and its response has a head of more than
    /// [`MAX_HEAD_BYTES`].
    HeadTooLong,
}

/// Why no connection was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// The server's host answered that nothing accepts connections there.
    Refused,
    /// Nothing answered in time.
    Unreachable,
}

/// An open connection to a server. Dropping it closes the connection, so that the server stops
/// working on the request in flight.
pub(crate) struct Connection {
    server: ServerId,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// Limits the head of a response.
    budget: ReadBudget,
    /// When the connection was last known to work.
    last_used_at: Instant,
    /// The connection is not reused for another request after this time.
    reuse_until: Instant,
    /// Whether an earlier request used the connection.
    is_reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    pub(crate) async fn connect(
        server: &str,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Self, ConnectError> {
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let stream = match timeout_at(deadline.into(), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                tracing::debug!(server, %address, %error, "server: connection refused");
                return Err(ConnectError::Refused);
            }
            Err(_) => return Err(ConnectError::Unreachable),
        };
        set_socket_options(&stream);
        let budget = ReadBudget::unlimited();
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(BudgetedStream::new(stream, budget.clone())));
        let Ok(Ok((sender, hyper_connection))) = timeout_at(deadline.into(), handshake).await
        else {
            return Err(ConnectError::Unreachable);
        };
        let task = spawn_local(async move {
            if let Err(error) = hyper_connection.await {
                tracing::debug!(%error, "server: connection ended");
            }
        });
        let now = Instant::now();
        Ok(Self {
            server: server.into(),
            sender,
            task,
            budget,
            last_used_at: now,
            reuse_until: now,
            is_reused: false,
        })
    }

    fn is_reusable(&self, now: Instant) -> bool {
        self.reuse_until > now && !self.sender.is_closed()
    }

    /// Id of the server at the other end.
    pub(crate) fn server(&self) -> &str {
        &self.server
    }

    /// Whether an earlier request used the connection.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.budget.limit(MAX_HEAD_BYTES);
        match self.sender.try_send_request(req).await {
            Ok(response) => {
                self.budget.lift();
                self.record_idle_timeout(response.headers());
                Ok(response)
            }
            // hyper returns the message if it sent no byte of it.
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::NotSent,
                None if error.error().is_parse_too_large() || self.budget.is_exceeded() => {
                    SendError::HeadTooLong
                }
                None => SendError::MayHaveRun,
            }),
        }
    }

    fn record_idle_timeout(&mut self, headers: &HeaderMap) {
        let now = Instant::now();
        let will_close = headers
            .get(header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        let timeout = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| {
                value.split(',').find_map(|param| param.trim().strip_prefix("timeout="))
            })
            .and_then(|seconds| seconds.parse().ok())
            .map(Duration::from_secs);
        let reusable_for = match timeout {
            _ if will_close => Duration::ZERO,
            Some(timeout) => timeout.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIMEOUT),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        (self.last_used_at, self.reuse_until) = (now, now + reusable_for);
    }
}

/// Disables Nagle's algorithm, makes the kernel detect a server that stops responding without a reset,
/// and makes it reset a connection that is closed: a request that is abandoned while the network
/// holds its bytes up must not reach the server later.
fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_linger(Some(Duration::ZERO)))
        .and_then(|()| socket.set_tcp_keepalive(&probes))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = result {
        tracing::debug!(%error, "server: socket options not set");
    }
}

/// Pools of idle connections, one per server.
pub(crate) struct ConnectionPools {
    /// Most connections to servers, and most idle ones among them.
    max_count: usize,
    max_idle_count: usize,
    /// Number of connections in `idle`.
    idle_count: Cell<usize>,
    idle: RefCell<HashMap<ServerId, Vec<Connection>>>,
}

impl ConnectionPools {
    /// Empty pools with the limits of an instance.
    pub(crate) fn new(parts: &Parts) -> Self {
        Self {
            max_count: parts.server_connections,
            max_idle_count: parts.idle_server_connections,
            idle_count: Cell::new(0),
            idle: RefCell::default(),
        }
    }

    /// Whether `in_use` connections leave room for one more idle one. Removes expired ones if not.
    fn has_room(&self, in_use: usize) -> bool {
        let max_idle = self.max_idle_count.min(self.max_count.saturating_sub(in_use));
        if self.idle_count.get() < max_idle {
            return true;
        }
        let now = Instant::now();
        let mut pools = self.idle.borrow_mut();
        pools.retain(|_, connections| {
            connections.retain(|connection| connection.is_reusable(now));
            !connections.is_empty()
        });
        self.idle_count.set(pools.values().map(Vec::len).sum());
        self.idle_count.get() < max_idle
    }

    /// Takes an idle connection that was last known to work at most `max_idle` ago.
    pub(crate) fn take_idle(&self, server: &str, max_idle: Duration) -> Option<Connection> {
        let mut pools = self.idle.borrow_mut();
        let connections = pools.get_mut(server)?;
        let now = Instant::now();
        let before = connections.len();
        connections.retain(|connection| connection.is_reusable(now));
        let index = connections.iter().rposition(|connection| {
            connection.sender.is_ready()
                && now.saturating_duration_since(connection.last_used_at) <= max_idle
        });
        let connection = index.map(|index| connections.remove(index));
        self.idle_count.set(self.idle_count.get() + connections.len() - before);
        connection
    }

    /// Returns a connection to its pool, unless the pool already has `max_idle_count`. The response
    /// must have been read to its end. At most `in_use` connections to servers serve requests now.
    pub(crate) fn return_idle(
        &self,
        mut connection: Connection,
        max_idle_count: usize,
        in_use: usize,
    ) {
        let now = Instant::now();
        if connection.sender.is_closed() || connection.reuse_until <= now || !self.has_room(in_use)
        {
            return;
        }
        connection.last_used_at = now;
        connection.is_reused = true;
        let mut pools = self.idle.borrow_mut();
        let connections = pools.entry(connection.server.clone()).or_default();
        if connections.len() < max_idle_count {
            connections.push(connection);
            self.idle_count.set(self.idle_count.get() + 1);
        }
    }

    /// Closes the idle connections to a server.
    pub(crate) fn close_idle(&self, server: &str) {
        let closed = self.idle.borrow_mut().remove(server).map_or(0, |closed| closed.len());
        self.idle_count.set(self.idle_count.get() - closed);
    }
}

/// Response to a call of an engine's control interface.
pub(crate) struct ControlReply {
    pub(crate) status: StatusCode,
    pub(crate) notice: ServerNotice,
    pub(crate) body: Bytes,
}

/// Builds the body of a call right before it is sent; `None` if it must no longer be sent.
pub(crate) type BodySource<'a> = &'a dyn Fn() -> Option<Vec<u8>>;

/// Calls the control interface of an engine on a new connection. The error tells whether the call
/// may have reached the engine.
pub(crate) async fn control_call(
    memory: &BodyMemory,
    address: SocketAddr,
    server: &str,
    path: &str,
    body: Option<BodySource<'_>>,
    deadline: Instant,
) -> Result<ControlReply, bool> {
    let mut connection = Connection::connect(server, address, deadline).await.map_err(|_| false)?;
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
    let response = match timeout_at(deadline.into(), connection.send(req)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(error != SendError::NotSent),
        Err(_) => return Err(true),
    };
    let status = response.status();
    let notice = decode_server_notice(status, response.headers());
    let body = collect(response.into_body(), MAX_CONTROL_BODY_BYTES, memory);
    match timeout_at(deadline.into(), body).await {
        Ok(Ok(body)) => Ok(ControlReply { status, notice, body }),
        _ => Err(true),
    }
}
