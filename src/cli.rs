//! The command line.

use clap::Command;

/// Builds the whole command line.
pub(crate) fn build() -> Command {
    Command::new("sequoiawell")
        .about(clap::crate_description!())
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
}
