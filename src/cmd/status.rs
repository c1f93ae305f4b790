//! `status`: shows what each instance says about itself.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{ArgMatches, Command};
use types::status::InstanceStatus;

use crate::args::{self, Format};
use crate::client::{self, Answers};
use crate::cmd;
use crate::failure::Failure;

/// Describes the command.
pub(crate) fn command() -> Command {
    Command::new("status")
        .about("Shows version, groups and readiness of each instance")
        .arg(args::operators_arg())
        .arg(args::format_arg(&["text", "json"]))
}

/// Runs the command. It fails if an instance does not answer.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let addresses = args::operators(matches);
    let answers = cmd::block_on(ask(&addresses))?;
    match args::format(matches) {
        Format::Json => print_json(&answers)?,
        _ => cmd::print(text(&answers))?,
    }
    Ok(cmd::exit_code(answers.iter().all(|(_, answer)| answer.is_ok())))
}

/// Asks all instances for their status.
pub(crate) async fn ask(addresses: &[SocketAddr]) -> Answers<InstanceStatus> {
    client::get_all(addresses, "/status").await
}

fn text(answers: &Answers<InstanceStatus>) -> String {
    let mut rows =
        vec![["instance", "data_centre", "version", "ready", "groups"].map(String::from)];
    rows.extend(answers.iter().filter_map(|(_, answer)| answer.as_ref().ok()).map(row));
    let width =
        |column: usize| rows.iter().map(|r| r[column].chars().count()).max().unwrap_or_default();
    let widths: [usize; 5] = std::array::from_fn(width);
    let mut text = String::new();
    for row in &rows {
        let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
        text += cells.collect::<Vec<_>>().join("  ").trim_end();
        text += "\n";
    }
    for failure in answers.iter().filter_map(|(_, answer)| answer.as_ref().err()) {
        text += &format!("missing: {failure}\n");
    }
    text
}

fn row(status: &InstanceStatus) -> [String; 5] {
    let groups = status.owned_groups.join(", ");
    [
        status.instance.to_string(),
        status.data_centre.to_string(),
        status.configuration_version.to_string(),
        if status.ready { "yes" } else { "no" }.into(),
        if groups.is_empty() { "-".into() } else { groups },
    ]
}

fn print_json(answers: &Answers<InstanceStatus>) -> Result<(), Failure> {
    let instances: Vec<_> = answers.iter().filter_map(|(_, answer)| answer.as_ref().ok()).collect();
    let failures = answers.iter().filter_map(|(_, answer)| answer.as_ref().err());
    let missing: Vec<_> = failures.map(Failure::to_string).collect();
    cmd::print_json(&serde_json::json!({ "instances": instances, "missing": missing }))
}
