//! `report burn`: burn rates and alerts over all instances.

use std::process::ExitCode;

use burn::{BurnReport, BurnState};
use clap::{ArgMatches, Command};

use crate::args::{self, Format};
use crate::failure::Failure;
use crate::{client, cmd};

/// Describes the command.
pub(super) fn command() -> Command {
    Command::new("burn")
        .about("Shows burn rates, error budgets and alerts per client account and class")
        .arg(args::operators_arg())
        .arg(args::format_arg(&["text", "json", "html"]))
}

/// Runs the command. A report that lacks an instance says so, and the command fails.
pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let addresses = args::operators(matches);
    let answers = cmd::block_on(client::get_all::<BurnState>(&addresses, "/burn"))?;
    let mut merged = BurnState::default();
    let mut missing = Vec::new();
    for (_, answer) in answers {
        match answer {
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
