//! Entry point of the `sequoiawell` binary.

mod args;
mod cli;
mod cmd;
mod error;
mod instance_client;
mod platform_client;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::build().get_matches();
    cmd::run(&matches)
}
