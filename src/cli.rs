//! The definition of the command line.

use clap::Command;

use crate::cmd;

/// Builds the root command with all its subcommands.
pub(crate) fn build() -> Command {
    Command::new("sequoiawell")
        .about(clap::crate_description!())
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(cmd::serve::command())
        .subcommand(cmd::entry::command())
        .subcommand(cmd::demo::command())
        .subcommand(cmd::check::command())
        .subcommand(cmd::diff::command())
        .subcommand(cmd::apply::command())
        .subcommand(cmd::status::command())
        .subcommand(cmd::report::command())
        .subcommand(cmd::stand_in::command())
}
