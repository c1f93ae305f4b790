//! Several real `serve` processes on loopback against the stand-ins.
//!
//! Each test causes one fault; generated sessions combine several. The invariants are checked by the stand-ins' own counters.

mod callers;
mod fault_tests;
mod generated;
mod serving_tests;
mod session_tests;
mod world;
