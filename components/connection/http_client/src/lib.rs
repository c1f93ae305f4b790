//! Pooled HTTP/1 connections to backend servers and the platform.

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use types::prelude::*;

/// Timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle time before the first TCP keepalive probe, and time between two probes. A peer that
/// disappears without a reset is detected after three of these intervals.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// HTTP client with its own connection pool; clones share the pool.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client with an empty connection pool.
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .build(connector)
}
