//! Contract and catalogue files: parsing, validation and differences.
//!
//! A directory holds one `CLIENT_ACCOUNT.ini` per client account and `catalogue.ini`.
//! [`read_directory`] parses and validates all of them and reports every mistake at once. The
//! result is a [`Configuration`](types::contract::Configuration) with version zero, since it is not
//! accepted yet.

pub mod canonical;
pub mod catalogue_file;
pub mod contract_file;
pub mod diff;
pub mod directory;
pub mod validate;

#[cfg(test)]
mod canonical_tests;
#[cfg(test)]
mod diff_tests;
#[cfg(test)]
mod directory_tests;
#[cfg(test)]
mod samples_tests;
#[cfg(test)]
mod test_data;
#[cfg(test)]
mod validate_tests;

pub use canonical::{canonical_json, content_hash};
pub use diff::{Change, Diff, diff};
pub use directory::{CATALOGUE_FILE, read_catalogue, read_contract, read_directory};
pub use validate::{Problem, validate};
