//! Tests of diagnostics and suggestions.

use crate::diagnostics::{Diagnostics, nearest};

/// Guards against suggestions that are unrelated to the misspelt word.
#[test]
fn only_near_names_are_suggested() {
    let names = ["capacity_share", "cost_share", "models"];
    assert_eq!(nearest("capacity_shares", names), Some("capacity_share"));
    assert_eq!(nearest("model", names), Some("models"));
    assert_eq!(nearest("zzz", names), None);
}

/// Guards against a value that is returned although errors were found.
#[test]
fn a_value_with_errors_is_not_returned() {
    let mut diagnostics = Diagnostics::new();
    assert_eq!(diagnostics.clone().into_result(Some(1)), Ok(1));
    diagnostics.push_file_error("f.ini", "cannot be read");
    assert_eq!(diagnostics.len(), 1);
    assert_eq!(diagnostics.into_result(Some(1)).unwrap_err().to_string(), "f.ini: cannot be read");
}
