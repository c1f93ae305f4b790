//! One module per command.

use std::process::ExitCode;

use clap::ArgMatches;

/// Exit code for a usage error.
const USAGE_ERROR: u8 = 2;

/// Runs the command that `matches` names.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    eprintln!("sequoiawell: no command named {:?}", matches.subcommand_name().unwrap_or_default());
    ExitCode::from(USAGE_ERROR)
}
