//! Entry point of the `sequoiawell` binary.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::build().get_matches();
    cmd::run(&matches)
}
