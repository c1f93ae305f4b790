//! `entry`: runs one entry instance on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use entry::EntrySettings;
use tokio::task::LocalSet;

use crate::error::CommandError;

/// Returns the definition of the command.
pub(crate) fn command() -> Command {
    Command::new("entry")
        .about("Runs one entry instance on the users' platform until SIGTERM or SIGINT")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("INI file with the settings of this instance"),
        )
}

/// Runs the command. Invalid settings are reported before anything starts.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let settings = EntrySettings::load(&path)?;
    let log = telemetry::init_json_stdout(&settings.log_level)
        .map_err(|e| CommandError::LogSetup(e.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, entry::run(settings, &path, log.dropped_lines()))?;
    Ok(ExitCode::SUCCESS)
}
