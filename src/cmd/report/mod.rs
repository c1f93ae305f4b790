//! `report`: one module per report.

mod burn;
mod cost;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::error::CommandError;

/// Returns the definition of the command.
pub(crate) fn command() -> Command {
    Command::new("report")
        .about("Shows burn rates or costs")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(burn::command())
        .subcommand(cost::command())
}

/// Runs the report that `matches` names.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    match matches.subcommand() {
        Some(("burn", matches)) => burn::run(matches),
        Some(("cost", matches)) => cost::run(matches),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}
