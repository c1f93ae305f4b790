//! Stand-ins (test doubles) for the platform, an engine and a plain service, for tests and trials.
//!
//! Each stand-in is a handle that is cheap to clone. Its server runs as a task on the current
//! `tokio` runtime until `stop` is called or the runtime ends; dropping the last handle does not
//! stop it. All servers listen on loopback only.

pub mod engine;
mod http_server;
pub mod platform;
pub mod service;
pub mod weight_store;
