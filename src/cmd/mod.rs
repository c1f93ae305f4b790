//! One module per command.

pub(crate) mod stand_in;

use std::process::ExitCode;

use clap::ArgMatches;

/// Exit code for a usage error.
const USAGE_ERROR: u8 = 2;

/// Runs the command that `matches` names.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    if let Some(("stand-in", matches)) = matches.subcommand() {
        return stand_in::run(matches);
    }
    eprintln!("sequoiawell: no command named {:?}", matches.subcommand_name().unwrap_or_default());
    ExitCode::from(USAGE_ERROR)
}
