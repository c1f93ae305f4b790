//! `report cost`: accelerator time per client account, model and contract version.

use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use accounting::{CostReport, Interval, Ledger, UsageObject, WorkObject};
use clap::error::ErrorKind;
use clap::{Arg, ArgMatches, Command};
use group::DecisionObject;
use ownership::LeaseObject;

use crate::accepted::Platform;
use crate::args::{self, Format};
use crate::cmd;
use crate::failure::Failure;

/// Length of the period, unless `--from` is given.
const DEFAULT_PERIOD: Duration = Duration::from_secs(24 * 60 * 60);

/// Describes the command.
pub(super) fn command() -> Command {
    let time = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("TIME").value_parser(parse_time).help(help)
    };
    Command::new("cost")
        .about("Shows accelerator time per client account, model and contract version")
        .arg(time(
            "from",
            "Begin of the period, such as 2026-12-03T00:00:00Z [default: 24 h before the end]",
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
pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let now = SystemTime::now();
    let time = |name| matches.get_one::<SystemTime>(name).copied();
    let to = time("to").unwrap_or(now);
    let from = time("from").unwrap_or_else(|| to.checked_sub(DEFAULT_PERIOD).unwrap_or(to));
    if from > to {
        command().error(ErrorKind::ArgumentConflict, "the period ends before it begins").exit();
    }
    let report = cmd::block_on(async { report(&args::platform(matches), from, to, now).await })??;
    let text = match args::format(matches) {
        Format::Csv => report.to_csv()?,
        Format::Json => report.to_json()? + "\n",
        _ => report.to_string(),
    };
    cmd::print(text)?;
    Ok(ExitCode::SUCCESS)
}

async fn report(
    platform: &Platform,
    from: SystemTime,
    to: SystemTime,
    now: SystemTime,
) -> Result<CostReport, Failure> {
    let mut ledger = Ledger::new();
    add_decisions(&mut ledger, platform, now).await?;
    for usage in platform.list::<UsageObject>("usage").await? {
        let added = ledger.add_usage(&usage.value);
        added.map_err(|e| Failure::Records(format!("usage/{}", usage.name), e))?;
    }
    for work in platform.list::<WorkObject>("work").await? {
        // The name is `INSTANCE-HOUR`, and instance names may contain hyphens.
        let instance = work.name.rsplit_once('-').map_or(&*work.name, |(instance, _)| instance);
        let added = ledger.add_work(instance, &work.value);
        added.map_err(|e| Failure::Records(format!("work/{}", work.name), e))?;
    }
    for lease in platform.list::<LeaseObject>("lease").await? {
        ledger.add_running(&lease.value.instance, lease.value.incarnation);
    }
    for (client_account, hash) in ledger.missing_contracts() {
        let contract = platform.contract(&client_account, &hash).await?;
        let added = ledger.add_contract(&hash, &contract);
        added.map_err(|e| Failure::Records(format!("contract/{client_account}@{hash}"), e))?;
    }
    Ok(ledger.report(from, to, now))
}

/// Adds intervals that are not booked yet, and those of loaded replicas up to now. They may also be
/// booked in part; only the union counts.
async fn add_decisions(
    ledger: &mut Ledger,
    platform: &Platform,
    now: SystemTime,
) -> Result<(), Failure> {
    for decision in platform.list::<DecisionObject>("decision").await? {
        for interval in intervals(&decision.value, now) {
            let added = ledger.add_interval(&interval);
            added.map_err(|e| Failure::Records(format!("decision/{}", decision.name), e))?;
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
    let ended = decision
        .intervals
        .iter()
        .map(|i| interval(i.replica, &i.model, i.accelerators, i.from, i.until));
    let replicas = decision.servers.values().flat_map(|server| &server.replicas);
    let open = replicas.map(|(n, r)| interval(*n, &r.model, r.accelerators, r.decided_at, now));
    ended.chain(open).collect()
}
