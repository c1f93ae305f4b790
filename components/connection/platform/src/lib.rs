//! Client of the platform's object API.
//!
//! An instance uses one [`Client`]; clones share its connections and its call budget. Every call
//! has a deadline. The decisions about the budget, the backoff and the outcome of writes are pure
//! ([`Budget`], [`Resolution`]).
//!
//! Components that resolve lost answers themselves use [`Client::call`]; all others use
//! [`Client::write`] and [`Client::delete`], which resolve them by reading the object back.

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
pub use resolution::{End, Present, Resolution, Step};
pub use transport::{Answer, Exchange};
pub use watch::{Change, Watch};
