//! HTTP client for engines and plain services.
//!
//! Every error states whether the request may have run on the backend server.

mod client;
mod connection;
mod engine;
mod error;
mod report_cache;
mod stream;

#[cfg(test)]
mod client_tests;

pub use client::{BackendClient, collect_body};
pub use connection::Connection;
pub use engine::{CacheEvent, CacheEventKind, CacheEvents, OrderReply};
pub use error::SendError;
pub use stream::{TokenEvent, TokenStream};

/// Header with the identifier of an attempt; engines echo it.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header with the priority of a request; higher values are served first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with the number of the replica that should run the request.
pub const REPLICA_HEADER: &str = "x-replica";
/// Header with which a backend server states that it did not start a request (value `not_run`).
pub const VERDICT_HEADER: &str = "x-verdict";
