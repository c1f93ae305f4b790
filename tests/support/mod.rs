//! Runs the `sequoiawell` binary and compares its output with golden files.

use std::path::Path;
use std::process::{Command, Output};

/// Environment variable that makes the tests rewrite the golden files before the comparison.
const UPDATE_GOLDEN_VARIABLE: &str = "UPDATE_GOLDEN";

/// Runs the binary in the root of the repository, so that the paths in its output are relative.
pub(crate) fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sequoiawell"))
        .args(args)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("the binary starts")
}

/// Compares standard output, standard error and exit code with `tests/golden/NAME.txt`. Each
/// replacement `(from, to)` masks a text that changes between runs, such as a port.
pub(crate) fn assert_golden(name: &str, output: &Output, replacements: &[(&str, &str)]) {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("UTF-8");
    let mut actual = text(&output.stdout);
    let stderr = text(&output.stderr);
    if !stderr.is_empty() {
        actual += &format!("--- standard error\n{stderr}");
    }
    let code = output.status.code().expect("the command was not killed");
    actual += &format!("--- exit code {code}\n");
    for (from, to) in replacements {
        actual = actual.replace(from, to);
    }
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(format!("{name}.txt"));
    if std::env::var_os(UPDATE_GOLDEN_VARIABLE).is_some() {
        std::fs::write(&path, &actual).expect("the golden file can be written");
    }
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(actual == expected, "{} differs; the output is now:\n{actual}", path.display());
}
