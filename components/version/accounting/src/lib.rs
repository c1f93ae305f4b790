//! Records usage and splits accelerator time between client accounts.
//!
//! A [`Ledger`] merges records: intervals of replicas, counted work, versions of the configuration
//! and contracts. Neither their order nor repetitions change the result. [`Ledger::report`] splits
//! the accelerator time minute by minute. All amounts are whole accelerator-milliseconds and every
//! split is exact.
//!
//! Rules of the split:
//!
//! - The accelerator time of a model in a minute is the sum over its replicas of the time for which
//!   the replica held accelerators in that minute, multiplied by their number.
//! - If instances counted work for the model in the minute, the minute is busy. Its time is split
//!   over client accounts and contract versions in proportion to counted tokens, by the method of
//!   largest remainders.
//! - Otherwise the minute is idle. Its time is split over the client accounts whose contracts
//!   permit the model, by their cost shares in the configuration in effect at the start of the
//!   minute.
//! - Time that no rule assigns to a client account is reported as unattributed and never spread
//!   over the client accounts.
//! - An amended contract counts from the first minute that begins after its version took effect.
//!   Versions take effect in the order of their numbers, so a clock that is fast or slow doesn't
//!   change earlier minutes. The very first version counts from the minute of its adoption.
//! - If an instance dies, the work that it counted after its last flush is lost. Minutes in which
//!   work may be missing are split by the recorded work and flagged.

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
