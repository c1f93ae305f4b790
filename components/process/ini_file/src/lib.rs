//! INI files with positions: sections, keys and diagnostics with file and line.
//!
//! [`Ini::parse`] splits a text into sections and keys, [`SectionReader`] reads one section through typed
//! parsers from [`value`], and every mistake is collected in [`Diagnostics`], so that one run shows
//! all of them.

pub mod diagnostics;
pub mod ini;
pub mod reader;
pub mod value;

#[cfg(test)]
mod diagnostics_tests;
#[cfg(test)]
mod ini_tests;
#[cfg(test)]
mod reader_tests;
#[cfg(test)]
mod value_tests;

pub use diagnostics::{Diagnostic, Diagnostics};
pub use ini::{Entry, Ini, Section};
pub use reader::SectionReader;
pub use value::ValueError;
