//! Usage and the split of accelerator time between client accounts.
//!
//! A [`Ledger`] takes records in any order and any number of times: intervals of replicas, counted
//! work, versions of the configuration and contracts. [`Ledger::report`] splits the accelerator time
//! minute by minute. All amounts are whole accelerator-milliseconds and every split is exact.
//!
//! The rules:
//!
//! - The time of a model in a minute is the sum over its replicas of the overlap with the minute
//!   times the replica's accelerators.
//! - If any work was counted for the model in the minute, the time is split by counted tokens over
//!   client accounts and contract versions. Remainders go to the largest fractions first.
//! - Otherwise the minute is idle. Its time is split over the client accounts whose contracts permit the
//!   model, by their cost shares in the configuration in effect at the start of the minute.
//! - Time that no rule gives to a client account is shown as unattributed and never spread over others.
//! - An amended contract counts from the first minute that begins after its version took effect.
//!   Versions take effect in their order, so a late or early clock moves no earlier minute. The
//!   very first version counts from the minute in which it was adopted.
//! - If an instance dies, work that it counted after its last flush is lost. Minutes in which work
//!   may be missing are split by the remaining work and flagged.

pub mod ledger;
pub mod lists;
pub mod output;
pub mod records;
pub mod report;
pub mod retention;
pub mod split;
pub mod version_log;

#[cfg(test)]
mod ledger_tests;
#[cfg(test)]
mod lists_tests;
#[cfg(test)]
mod output_tests;
#[cfg(test)]
mod property_tests;
#[cfg(test)]
mod retention_tests;
#[cfg(test)]
mod split_tests;
#[cfg(test)]
mod test_data;
#[cfg(test)]
mod version_log_tests;

pub use ledger::{Error, Ledger};
pub use lists::{ListError, VersionList, WorkList};
pub use records::{
    Death, FLUSH_INTERVAL, Interval, Run, UsageObject, VersionRecord, Work, WorkObject, usage_name,
    work_name,
};
pub use report::{CostLine, CostReport, Gap};
pub use retention::{ListedObject, Sweep, SweepCall, Writer};
pub use version_log::VersionLog;
