//! Callers that misbehave: an instance stays within the memory and descriptors that its settings
//! state, lives, and still serves an ordinary request.
//!
//! The tests run one at a time. They check nothing that depends on the machine's speed.

mod bounds_tests;
mod crowd;
mod full_size;
mod harness;
mod waiting_tests;
