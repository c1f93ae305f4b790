//! Chooses a backend server for a request and limits repeats, without I/O.

mod admission;
mod choice;
mod health;
mod repeats;

#[cfg(test)]
mod tests;

pub use admission::{queue_limit, queue_patience};
pub use choice::{Candidate, affinity, choose};
pub use health::Health;
pub use repeats::{RepeatBudget, RepeatLimits};
