//! `demo`: a small deployment in one process on loopback, a mixed load and the burn report.

mod caller;
mod judge;
mod load;
mod world;

use std::process::ExitCode;

use burn::{BurnReport, BurnState};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::cmd;
use crate::error::CommandError;
use crate::instance_client;
use judge::{Judged, Tally};
use world::World;

/// Requests of the mixed load, unless the command line says otherwise.
const DEFAULT_REQUESTS: &str = "60";

/// Describes the command.
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
                .help("Requests of the mixed load"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("LEVEL")
                .default_value("warn")
                .help("Lowest level of log lines, written to standard error"),
        )
}

/// Runs the command. It succeeds only if every request got its whole answer or a true refusal.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or_default();
    let requests = matches.get_one::<usize>("requests").copied().unwrap_or_default();
    let level = matches.get_one::<String>("log").map_or("warn", String::as_str);
    telemetry::init_log(level, telemetry::LogFormat::Text)
        .map_err(|e| CommandError::LogSetup(e.to_string()))?;
    cmd::block_on(async {
        cmd::print("starting a platform, three engines, a ledger and two instances\n")?;
        let world = World::start(seed).await?;
        let plan = load::plan(seed, requests);
        let results = load::run(&world, plan).await;
        let tally = judge::judge(&world, &results);
        let burn = merged_burn(&world).await?;
        cmd::print(describe(&results, &tally))?;
        cmd::print(format!("\n{}", BurnReport::new(&burn)))?;
        world.stop().await?;
        Ok(cmd::exit_code(tally.faults.is_empty()))
    })?
}

async fn merged_burn(world: &World) -> Result<BurnState, CommandError> {
    let mut merged = BurnState::default();
    for (_, answer) in instance_client::get_all::<BurnState>(&world.operators(), "/burn").await {
        merged.merge(&answer?);
    }
    Ok(merged)
}

fn describe(results: &[(load::Planned, caller::Outcome)], tally: &Tally) -> String {
    let mut text = String::new();
    for (planned, outcome) in results {
        text += &format!("{planned:<44} {outcome}\n");
    }
    text += &format!(
        "\n{} requests: {} whole answers, {} true refusals, {} faults\n",
        results.len(),
        tally.count(Judged::Whole),
        tally.count(Judged::Refused),
        tally.faults.len(),
    );
    for fault in &tally.faults {
        text += &format!("fault: {fault}\n");
    }
    text
}
