//! An entry instance on the users' platform: routes requests of callers to backend servers, and
//! orders engines to load and unload models.
//!
//! The modules are grouped by the lifetime of their state: a request, a connection, a
//! configuration version, or the process. Everything runs on one thread, and the modules share
//! one [`process::Entry`].

mod connection;
mod metrics;
mod process;
mod request;
mod settings;
mod version;

pub use process::{Error, run};
pub use settings::EntrySettings;
