//! Stand-ins for the platform, an engine and a plain service, for tests and trials.
//!
//! Each stand-in is a handle: cloning it is cheap, and dropping the last clone does not stop the
//! server, which runs as a task on the current `tokio` runtime until `stop` or the end of the
//! runtime. All servers listen on loopback only.

pub mod engine;
mod http_server;
pub mod platform;
pub mod service;
pub mod weight_store;
