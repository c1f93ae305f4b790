//! One module per command.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod demo;
pub(crate) mod diff;
pub(crate) mod entry;
pub(crate) mod report;
pub(crate) mod serve;
pub(crate) mod stand_in;
pub(crate) mod status;

use std::future::Future;
use std::io::{self, Write};
use std::process::ExitCode;

use clap::ArgMatches;

use crate::error::CommandError;

/// Runs the command that `matches` names.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    let result = match matches.subcommand() {
        Some(("serve", matches)) => serve::run(matches),
        Some(("entry", matches)) => entry::run(matches),
        Some(("demo", matches)) => demo::run(matches),
        Some(("check", matches)) => check::run(matches),
        Some(("diff", matches)) => diff::run(matches),
        Some(("apply", matches)) => apply::run(matches),
        Some(("status", matches)) => status::run(matches),
        Some(("report", matches)) => report::run(matches),
        Some(("stand-in", matches)) => return stand_in::run(matches),
        _ => unreachable!("clap requires one of the subcommands"),
    };
    result.unwrap_or_else(|e| {
        // Standard error may be closed too; the exit code still reports the error.
        let _ = writeln!(io::stderr(), "sequoiawell: {e}");
        ExitCode::FAILURE
    })
}

/// Runs a future to completion on a new single-threaded runtime.
fn block_on<T>(future: impl Future<Output = T>) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(future))
}

/// Writes a command's result to standard output. Unlike `print!`, it returns an error instead of
/// panicking if the reader has closed the pipe.
fn print(text: impl AsRef<str>) -> Result<(), CommandError> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_ref().as_bytes())?;
    out.flush()?;
    Ok(())
}

/// Writes a command's result to standard output as JSON.
fn print_json(value: &impl serde::Serialize) -> Result<(), CommandError> {
    print(serde_json::to_string_pretty(value)? + "\n")
}

/// Converts the result of a command that ran without an error into an exit code.
fn exit_code(is_success: bool) -> ExitCode {
    if is_success { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
