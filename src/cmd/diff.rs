//! `diff`: shows the changes that `apply` would make.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::args::{self, Format};
use crate::cmd;
use crate::error::CommandError;

/// Returns the definition of the command.
pub(crate) fn command() -> Command {
    Command::new("diff")
        .about("Shows the differences between the accepted configuration and a directory")
        .arg(args::path_arg("DIR", "A directory of contracts and the catalogue"))
        .arg(args::platform_arg())
        .arg(args::platform_timeout_arg())
        .arg(args::format_arg(&["text", "json"]))
}

/// Runs the command. Differences do not make it fail.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let proposed = contracts::read_directory(&args::path(matches))?;
    let accepted =
        cmd::block_on(async { args::platform_client(matches).accepted_configuration().await })??;
    let diff = contracts::diff(&accepted, &proposed);
    match args::format(matches) {
        Format::Json => cmd::print_json(&serde_json::json!({
            "accepted_version": accepted.version,
            "objects": diff.objects,
        }))?,
        _ if diff.is_empty() => {
            cmd::print(format!("no differences to version {}\n", accepted.version))?
        }
        _ => cmd::print(format!("differences to version {}:\n{diff}", accepted.version))?,
    }
    Ok(ExitCode::SUCCESS)
}
