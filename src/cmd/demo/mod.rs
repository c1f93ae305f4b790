//! `demo`: runs a small deployment in one process on loopback, sends it a mixed load, verifies the
//! outcomes and prints the burn report.

mod caller;
mod deployment;
mod load;
mod verify;

use std::process::ExitCode;

use burn::{BurnReport, BurnState};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::cmd;
use crate::error::CommandError;
use crate::instance_client;
use deployment::Deployment;
use verify::{Summary, ValidOutcome};

/// Default number of requests in the mixed load.
const DEFAULT_REQUESTS: &str = "60";

/// Returns the definition of the command.
pub(crate) fn command() -> Command {
    Command::new("demo")
        .about("Runs a small deployment on loopback with a mixed load and prints the burn report")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the load"),
        )
        .arg(
            Arg::new("requests")
                .long("requests")
                .value_name("N")
                .default_value(DEFAULT_REQUESTS)
                .value_parser(value_parser!(usize))
                .help("Number of requests in the mixed load"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("LEVEL")
                .default_value("warn")
                .help("Lowest level of log lines, written to standard error"),
        )
}

/// Runs the command. It succeeds only if each request received its complete response or a correct
/// refusal.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or_default();
    let requests = matches.get_one::<usize>("requests").copied().unwrap_or_default();
    let level = matches.get_one::<String>("log").map_or("warn", String::as_str);
    telemetry::init_log(level, telemetry::LogFormat::Text)
        .map_err(|e| CommandError::LogSetup(e.to_string()))?;
    cmd::block_on(async {
        cmd::print("starting a platform, three engines, a ledger and two instances\n")?;
        let deployment = Deployment::start(seed).await?;
        let plan = load::plan(seed, requests);
        let results = load::run(&deployment, plan).await;
        let summary = verify::verify(&deployment, &results);
        let burn = merged_burn(&deployment).await?;
        cmd::print(format_results(&results, &summary))?;
        cmd::print(format!("\n{}", BurnReport::new(&burn)))?;
        deployment.stop().await?;
        Ok(cmd::exit_code(summary.violations.is_empty()))
    })?
}

async fn merged_burn(deployment: &Deployment) -> Result<BurnState, CommandError> {
    let mut merged = BurnState::default();
    for (_, response) in
        instance_client::get_all::<BurnState>(&deployment.operators_addresses(), "/burn").await
    {
        merged.merge(&response?);
    }
    Ok(merged)
}

fn format_results(
    results: &[(load::PlannedRequest, caller::Outcome)],
    summary: &Summary,
) -> String {
    let mut text = String::new();
    for (planned, outcome) in results {
        text += &format!("{planned:<44} {outcome}\n");
    }
    text += &format!(
        "\n{} requests: {} complete responses, {} correct refusals, {} violations\n",
        results.len(),
        summary.count(ValidOutcome::Complete),
        summary.count(ValidOutcome::Refused),
        summary.violations.len(),
    );
    for violation in &summary.violations {
        text += &format!("violation: {violation}\n");
    }
    text
}
