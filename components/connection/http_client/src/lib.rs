//! Pooled HTTP/1 connections to backend servers and the platform.

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use types::prelude::*;

/// How long a connection attempt may take before it counts as failed.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept for reuse.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle time after which the other end is asked for a sign of life, and the time between two
/// such probes. A connection that went silent without a reset is found after three of them.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

/// A client with connections of its own; clones share them.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A client without connections.
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
