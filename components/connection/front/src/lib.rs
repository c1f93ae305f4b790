//! HTTP servers for callers and operators.
//!
//! The servers check and bound what arrives, turn it into typed events for the instance's loop and
//! write the loop's answers. They take no decisions about serving.

mod arrival;
mod body;
mod callers;
mod listener;
mod operators;
mod parse;
mod problem;

#[cfg(test)]
mod callers_tests;
#[cfg(test)]
mod parse_tests;

pub use arrival::{
    Call, IncomingRequest, KeyTable, OperatorQuery, OperatorReply, OperatorRequest, Reply, Secret,
    StreamItem, hash_key,
};
pub use callers::{CallerLimits, serve_callers};
pub use operators::serve_operators;
pub use parse::{CLASS_HEADER, DEADLINE_HEADER, FORWARDED_HEADER};
pub use problem::{Problem, REQUEST_ID_HEADER, VERDICT_HEADER};
