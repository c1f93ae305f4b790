//! `report cost`: accelerator time per client account, model and contract version.

use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use accounting::{CostReport, Interval, Ledger, UsageObject, WorkObject};
use clap::error::ErrorKind;
use clap::{Arg, ArgMatches, Command};
use group::DecisionObject;
use ownership::LeaseObject;

use crate::args::{self, Format};
use crate::cmd;
use crate::error::CommandError;
use crate::platform_client::PlatformClient;

/// Length of the reported period if `--from` is not given.
const DEFAULT_PERIOD: Duration = Duration::from_secs(24 * 60 * 60);

/// Returns the definition of the command.
pub(super) fn command() -> Command {
    let time = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("TIME").value_parser(parse_time).help(help)
    };
    Command::new("cost")
        .about("Shows accelerator time per client account, model and contract version")
        .arg(time(
            "from",
            "Start of the period, such as 2026-12-03T00:00:00Z [default: 24 h before the end]",
        ))
        .arg(time("to", "End of the period [default: now]"))
        .arg(args::platform_arg())
        .arg(args::platform_timeout_arg())
        .arg(args::format_arg(&["text", "csv", "json"]))
}

fn parse_time(text: &str) -> Result<SystemTime, humantime::TimestampError> {
    humantime::parse_rfc3339_weak(text)
}

/// Runs the command.
pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let now = SystemTime::now();
    let time = |name| matches.get_one::<SystemTime>(name).copied();
    let to = time("to").unwrap_or(now);
    let from = time("from").unwrap_or_else(|| to.checked_sub(DEFAULT_PERIOD).unwrap_or(to));
    if from > to {
        command().error(ErrorKind::ArgumentConflict, "the period ends before it begins").exit();
    }
    let report = cmd::block_on(async {
        build_report(&args::platform_client(matches), from, to, now).await
    })??;
    let text = match args::format(matches) {
        Format::Csv => report.to_csv()?,
        Format::Json => report.to_json()? + "\n",
        _ => report.to_string(),
    };
    cmd::print(text)?;
    Ok(ExitCode::SUCCESS)
}

async fn build_report(
    platform: &PlatformClient,
    from: SystemTime,
    to: SystemTime,
    now: SystemTime,
) -> Result<CostReport, CommandError> {
    let mut ledger = Ledger::new();
    add_decision_intervals(&mut ledger, platform, now).await?;
    for usage in platform.list::<UsageObject>("usage").await? {
        let added = ledger.add_usage(&usage.value);
        added
            .map_err(|e| CommandError::ContradictoryRecords(format!("usage/{}", usage.name), e))?;
    }
    for work in platform.list::<WorkObject>("work").await? {
        // The name is `INSTANCE-HOUR`, and instance names may contain hyphens.
        let instance = work.name.rsplit_once('-').map_or(&*work.name, |(instance, _)| instance);
        let added = ledger.add_work(instance, &work.value);
        added.map_err(|e| CommandError::ContradictoryRecords(format!("work/{}", work.name), e))?;
    }
    for lease in platform.list::<LeaseObject>("lease").await? {
        ledger.add_known_run(&lease.value.instance, lease.value.incarnation);
    }
    for (client_account, hash) in ledger.missing_contracts() {
        let contract = platform.contract(&client_account, &hash).await?;
        let added = ledger.add_contract(&hash, &contract);
        added.map_err(|e| {
            CommandError::ContradictoryRecords(format!("contract/{client_account}@{hash}"), e)
        })?;
    }
    Ok(ledger.report(from, to, now))
}

/// Adds the intervals in decision objects: ended ones that are not booked yet, and those of loaded
/// replicas up to now. Usage objects may contain parts of them; the ledger counts only the union.
async fn add_decision_intervals(
    ledger: &mut Ledger,
    platform: &PlatformClient,
    now: SystemTime,
) -> Result<(), CommandError> {
    for decision in platform.list::<DecisionObject>("decision").await? {
        for interval in intervals(&decision.value, now) {
            let added = ledger.add_interval(&interval);
            added.map_err(|e| {
                CommandError::ContradictoryRecords(format!("decision/{}", decision.name), e)
            })?;
        }
    }
    Ok(())
}

fn intervals(decision: &DecisionObject, now: SystemTime) -> Vec<Interval> {
    let interval =
        |replica, model: &str, accelerators, from: SystemTime, to: SystemTime| Interval {
            group: decision.group.clone(),
            replica,
            model: model.into(),
            accelerators,
            from,
            to: to.max(from),
        };
    let ended_intervals = decision
        .intervals
        .iter()
        .map(|i| interval(i.replica, &i.model, i.accelerators, i.from, i.until));
    let replicas = decision.servers.values().flat_map(|server| &server.replicas);
    let open_intervals =
        replicas.map(|(n, r)| interval(*n, &r.model, r.accelerators, r.decided_at, now));
    ended_intervals.chain(open_intervals).collect()
}
