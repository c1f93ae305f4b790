//! The process of an entry instance on the users' platform.
//!
//! The modules stand by what they live for: a request, a connection, a configuration version, or
//! the process. Everything runs on one thread; the modules share an [`process::Entry`].

mod connection;
mod metrics;
mod process;
mod request;
mod settings;
mod version;

pub use process::{Error, run};
pub use settings::EntrySettings;
