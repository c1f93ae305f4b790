//! `status`: shows the status that each instance reports.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{ArgMatches, Command};
use types::status::InstanceStatus;

use crate::args::{self, Format};
use crate::cmd;
use crate::error::CommandError;
use crate::instance_client::{self, Responses};

/// Returns the definition of the command.
pub(crate) fn command() -> Command {
    Command::new("status")
        .about("Shows version, groups and readiness of each instance")
        .arg(args::operators_arg())
        .arg(args::format_arg(&["text", "json"]))
}

/// Runs the command. It fails if an instance does not respond.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let addresses = args::operators_addresses(matches);
    let responses = cmd::block_on(fetch_all(&addresses))?;
    match args::format(matches) {
        Format::Json => print_json(&responses)?,
        _ => cmd::print(format_table(&responses))?,
    }
    Ok(cmd::exit_code(responses.iter().all(|(_, response)| response.is_ok())))
}

/// Fetches the status of all instances.
pub(crate) async fn fetch_all(addresses: &[SocketAddr]) -> Responses<InstanceStatus> {
    instance_client::get_all(addresses, "/status").await
}

fn format_table(responses: &Responses<InstanceStatus>) -> String {
    let mut rows =
        vec![["instance", "data_centre", "version", "ready", "groups"].map(String::from)];
    rows.extend(responses.iter().filter_map(|(_, response)| response.as_ref().ok()).map(table_row));
    let width =
        |column: usize| rows.iter().map(|r| r[column].chars().count()).max().unwrap_or_default();
    let widths: [usize; 5] = std::array::from_fn(width);
    let mut text = String::new();
    for row in &rows {
        let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
        text += cells.collect::<Vec<_>>().join("  ").trim_end();
        text += "\n";
    }
    for error in responses.iter().filter_map(|(_, response)| response.as_ref().err()) {
        text += &format!("missing: {error}\n");
    }
    text
}

fn table_row(status: &InstanceStatus) -> [String; 5] {
    let groups = status.owned_groups.join(", ");
    [
        status.instance.to_string(),
        status.data_centre.to_string(),
        status.configuration_version.to_string(),
        if status.ready { "yes" } else { "no" }.into(),
        if groups.is_empty() { "-".into() } else { groups },
    ]
}

fn print_json(responses: &Responses<InstanceStatus>) -> Result<(), CommandError> {
    let instances: Vec<_> =
        responses.iter().filter_map(|(_, response)| response.as_ref().ok()).collect();
    let errors = responses.iter().filter_map(|(_, response)| response.as_ref().err());
    let missing: Vec<_> = errors.map(CommandError::to_string).collect();
    cmd::print_json(&serde_json::json!({ "instances": instances, "missing": missing }))
}
