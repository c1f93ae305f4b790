//! `report burn`: burn rates and alerts, merged over all instances.

use std::process::ExitCode;

use burn::{BurnReport, BurnState};
use clap::{ArgMatches, Command};

use crate::args::{self, Format};
use crate::error::CommandError;
use crate::{cmd, instance_client};

/// Returns the definition of the command.
pub(super) fn command() -> Command {
    Command::new("burn")
        .about("Shows burn rates, error budgets and alerts per client account and class")
        .arg(args::operators_arg())
        .arg(args::format_arg(&["text", "json", "html"]))
}

/// Runs the command. If an instance does not respond, the report lists it as missing and the
/// command fails.
pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let addresses = args::operators_addresses(matches);
    let responses = cmd::block_on(instance_client::get_all::<BurnState>(&addresses, "/burn"))?;
    let mut merged = BurnState::default();
    let mut missing = Vec::new();
    for (_, response) in responses {
        match response {
            Ok(state) => merged.merge(&state),
            Err(e) => missing.push(e.to_string().into()),
        }
    }
    let report = BurnReport { missing, ..BurnReport::new(&merged) };
    let text = match args::format(matches) {
        Format::Json => report.to_json()? + "\n",
        Format::Html => report.to_html(),
        _ => report.to_string(),
    };
    cmd::print(text)?;
    Ok(cmd::exit_code(report.missing.is_empty()))
}
