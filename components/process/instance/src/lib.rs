//! One entry instance: the event loop that drives all components in `serve`.
//!
//! The loop runs on one thread. State machines without I/O take the decisions. This crate passes
//! events to them and carries out their actions as tasks, whose results come back as events.
//! State in [`pending`] and [`attempt`] lives as long as a request, connections in [`context`] and
//! everything else as long as the process.

mod allowances;
mod attempt;
mod attempt_ends;
mod attempt_request;
mod attempt_stream;
mod cache_stream;
mod context;
mod contract_history;
mod control;
mod demand;
mod details;
mod directory;
mod dispatch_queue;
mod event;
mod expected;
mod finished;
mod group_view;
mod groups;
mod held_reply;
mod in_flight_loads;
mod instance;
pub mod intervals;
mod key_owners;
mod keys;
pub mod message;
mod models;
mod operators;
mod owned_group;
mod owned_store;
mod peers;
mod pending;
mod periodic;
mod request_accounting;
mod request_actions;
mod requests;
mod retention;
mod share_objects;
mod share_rebalancing;
mod shares;
mod start;
mod status;
mod store_uses;
mod usage;

#[cfg(test)]
mod contract_history_tests;
#[cfg(test)]
mod demand_tests;
#[cfg(test)]
mod held_reply_tests;
#[cfg(test)]
mod in_flight_loads_tests;
#[cfg(test)]
mod operators_tests;
#[cfg(test)]
mod retention_tests;
#[cfg(test)]
mod store_uses_tests;
#[cfg(test)]
mod usage_tests;

pub use start::{Error, Listeners, run, run_blocking};
