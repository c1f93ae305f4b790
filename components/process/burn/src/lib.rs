//! Service-level windows, error budgets, burn rates and alerts.
//!
//! A [`BurnTracker`] counts good and bad requests per client account and class in bounded memory.
//! Its [`BurnState`] can be merged with those of other instances. A [`BurnReport`] shows burn rates
//! and alerts as text, JSON or HTML.
//!
//! A request is good if it met the targets of its class. The burn rate is the fraction of bad
//! requests divided by the fraction that the objective allows: at a burn rate of 1 the error budget
//! is used up exactly by the end of the window. An alert also requires a minimum number of
//! requests, so that one or two bad requests of a quiet client account raise none.

pub mod alert;
pub mod html;
pub mod report;
pub mod state;
pub mod tracker;
pub mod window;

#[cfg(test)]
mod alert_tests;
#[cfg(test)]
mod report_tests;
#[cfg(test)]
mod state_tests;
#[cfg(test)]
mod tracker_tests;
#[cfg(test)]
mod window_tests;

pub use alert::{Alert, HeldBack};
pub use report::{BurnReport, BurnRow, WindowRow};
pub use state::{BurnState, SeriesState};
pub use tracker::{BurnTracker, Objective};
pub use window::{Counts, WINDOWS, WindowShape};
