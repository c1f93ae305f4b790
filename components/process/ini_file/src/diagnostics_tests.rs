//! Tests of diagnostics and suggestions.

use crate::diagnostics::{Diagnostics, nearest};

/// Guards against suggestions that have nothing to do with the misspelt word.
#[test]
fn only_near_names_are_suggested() {
    let names = ["capacity_share", "cost_share", "models"];
    assert_eq!(nearest("capacity_shares", names), Some("capacity_share"));
    assert_eq!(nearest("model", names), Some("models"));
    assert_eq!(nearest("zzz", names), None);
}

/// Guards against a value that is used although mistakes were found.
#[test]
fn a_value_with_mistakes_is_withheld() {
    let mut diagnostics = Diagnostics::new();
    assert_eq!(diagnostics.clone().into_result(Some(1)), Ok(1));
    diagnostics.push_file_error("f.ini", "cannot be read");
    assert_eq!(diagnostics.len(), 1);
    assert_eq!(diagnostics.into_result(Some(1)).unwrap_err().to_string(), "f.ini: cannot be read");
}
