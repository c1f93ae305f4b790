//! HTTP servers for callers and operators.
//!
//! The servers validate requests and enforce size limits and timeouts, pass each request as a typed
//! message to the instance's event loop, and write its replies. They make no admission or routing
//! decisions.

mod body;
mod callers;
mod listener;
mod messages;
mod operators;
mod parse;
mod problem;

#[cfg(test)]
mod callers_tests;
#[cfg(test)]
mod parse_tests;

pub use callers::{CallerLimits, serve_callers};
pub use messages::{
    Call, IncomingRequest, KeyTable, OperatorQuery, OperatorReply, OperatorRequest, Reply, Secret,
    StreamItem, hash_key,
};
pub use operators::serve_operators;
pub use parse::{CLASS_HEADER, DEADLINE_HEADER, FORWARDED_HEADER};
pub use problem::{Problem, REQUEST_ID_HEADER, VERDICT_HEADER};
