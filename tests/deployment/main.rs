//! Tests of several real `serve` processes on loopback against the stand-ins.
//!
//! Each test causes one fault; `tests/generated_sessions` combines several. The tests check the
//! invariants with the stand-ins' own counters.

mod callers;
mod deployment;
mod fault_tests;
mod serving_tests;
mod session_tests;
