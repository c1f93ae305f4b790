//! What lives as long as a connection.

mod callers;
mod operators;
mod server;

pub(crate) use callers::accept_callers;
pub(crate) use operators::{accept_metrics, accept_readiness};
pub(crate) use server::{KEPT_PER_SERVER, Link, Pools, SendError, control_call};

use http_body_util::combinators::UnsyncBoxBody;
use quick_error::quick_error;

/// Body of an answer to a caller.
pub(crate) type Body = UnsyncBoxBody<bytes::Bytes, BrokenOff>;

quick_error! {
    /// A body that ends before its end; the connection is closed without one.
    #[derive(Debug)]
    pub enum BrokenOff {
        /// The server broke off, or the time was over.
        Incomplete {
            display("the answer broke off")
        }
    }
}
