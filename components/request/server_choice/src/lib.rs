//! Chooses a backend server for a request and limits retries. Does no I/O.

mod admission;
mod choice;
mod health;
mod prefill;
mod reach;
mod retry_budget;
mod speed;

#[cfg(test)]
mod admission_tests;
#[cfg(test)]
mod prefill_tests;
#[cfg(test)]
mod reach_tests;
#[cfg(test)]
mod speed_tests;
#[cfg(test)]
mod tests;

pub use admission::{RunTime, in_flight_limit, queue_timeout, turn_probability};
pub use choice::{Affinity, Candidate, Choice, affinity_key, choose_server};
pub use health::{Health, MAX_PAUSE};
pub use prefill::PromptMix;
pub use reach::{DataCentre, Reach};
pub use retry_budget::{RetryBudget, RetryLimits};
pub use speed::{PaceBoard, PaceMeter, PaceSum};
