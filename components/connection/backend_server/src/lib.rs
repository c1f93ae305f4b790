//! HTTP client for engines and plain services.
//!
//! Every outcome says whether the request may have reached the backend server.

mod client;
mod connection;
mod engine;
mod error;
mod known_reports;
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
/// Header with the priority of a request; a higher one is served first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with the number of the replica that is to run the request.
pub const REPLICA_HEADER: &str = "x-replica";
/// Header by which a backend server states that it did not start a request: `not_run`.
pub const VERDICT_HEADER: &str = "x-verdict";
