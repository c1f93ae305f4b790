//! Identifiers, request verdicts, domain types and the prelude.

pub mod backend;
pub mod contract;
pub mod group_state;
pub mod hash;
pub mod ids;
pub mod load_report;
pub mod object;
pub mod prelude;
pub mod status;
pub mod store_use;
pub mod verdict;
