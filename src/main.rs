//! Entry point of the `sequoiawell` binary.

mod accepted;
mod args;
mod cli;
mod client;
mod cmd;
mod failure;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::build().get_matches();
    cmd::run(&matches)
}
