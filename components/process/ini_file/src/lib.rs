//! INI parser that reports errors with file and line.
//!
//! [`Ini::parse`] splits a text into sections and keys, [`SectionReader`] reads one section with
//! the typed parsers of [`value`], and [`Diagnostics`] collects every error, so that one run shows
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
