//! Tests of the `check` command against golden files. Set `UPDATE_GOLDEN=1` to rewrite the files.

mod support;

use rstest::rstest;

/// Guards against mistakes that are not reported or reported without their location, false reports,
/// and wrong exit codes.
#[rstest]
#[case("check-alykes", &["check", "samples/alykes"])]
#[case("check-alykes-json", &["check", "samples/alykes", "--format", "json"])]
#[case("check-kovac-hudec", &["check", "samples/kovac-hudec"])]
#[case("check-contract", &["check", "samples/alykes/foremen.ini"])]
#[case("check-catalogue", &["check", "samples/alykes/catalogue.ini"])]
#[case("check-settings", &["check", "samples/settings/north-1.ini"])]
#[case("check-settings-directory", &["check", "samples/settings"])]
#[case("check-mistakes", &["check", "tests/golden/mistakes"])]
#[case("check-mistakes-json", &["check", "tests/golden/mistakes", "--format", "json"])]
#[case("check-absent", &["check", "samples/absent"])]
#[case("check-no-path", &["check"])]
#[case("check-no-format", &["check", "samples/alykes", "--format", "xml"])]
fn check_output_matches_the_golden_file(#[case] name: &str, #[case] args: &[&str]) {
    support::assert_golden(name, &support::run(args), &[]);
}
