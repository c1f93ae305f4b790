//! Client of the platform's object API.
//!
//! Each instance uses one [`Client`], whose clones share connections and call budget. Every call
//! has a deadline. [`Budget`] decides about rates and backoff, and [`Resolution`] about the outcome
//! of writes; neither does any I/O.
//!
//! Components that resolve lost responses themselves use [`Client::call`]. All others use
//! [`Client::write`] and [`Client::delete`], which read the object back after a lost response.

mod attempts;
mod budget;
mod client;
mod error;
mod object;
mod resolution;
mod transport;
mod watch;

#[cfg(test)]
mod budget_tests;
#[cfg(test)]
mod resolution_tests;

pub use attempts::{Call, ClientConfig};
pub use budget::{Admission, Budget, Rate, Rates};
pub use client::Client;
pub use error::Error;
pub use object::{Listing, Object, WriteOutcome};
pub use resolution::{CurrentObject, Outcome, Resolution, Step};
pub use transport::{BufferedResponse, Exchange};
pub use watch::{Change, Watch};
