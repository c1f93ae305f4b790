//! Randomized fault soak: runs real entry processes on loopback, injects faults from outside and
//! checks the system's guarantees from what callers and servers see. A seed always gives the same
//! fault plan.

mod accounts;
mod checks;
mod crowd;
mod notices;
#[cfg(test)]
mod notices_tests;
mod plan;
mod proxy;
mod run;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};

fn command() -> Command {
    Command::new("soak")
        .about("Runs entry processes under random faults and checks what callers and servers see")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("First seed of the fault plans"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Number of seeds, run one after the other"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .default_value("20")
                .value_parser(value_parser!(u64).range(5..=3_600))
                .help("Duration of fault injection in each run, in seconds"),
        )
        .arg(
            Arg::new("instances")
                .long("instances")
                .value_name("N")
                .default_value("4")
                .value_parser(value_parser!(u16).range(2..=200))
                .help("Number of entry processes"),
        )
        .arg(
            Arg::new("accounts")
                .long("accounts")
                .action(ArgAction::SetTrue)
                .help("Gives callers keys; adds a hot account, keys that come and go, and quotas"),
        )
        .arg(
            Arg::new("binary")
                .long("binary")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Path of the sequoiawell binary; by default the one next to this program"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let next_to_program = || Some(std::env::current_exe().ok()?.parent()?.join("sequoiawell"));
    let Some(binary) = matches.get_one::<PathBuf>("binary").cloned().or_else(next_to_program)
    else {
        eprintln!("soak: cannot find the sequoiawell binary; pass --binary");
        return ExitCode::from(2);
    };
    if !binary.exists() {
        eprintln!("soak: {} does not exist; build the workspace first", binary.display());
        return ExitCode::from(2);
    }
    let instances = matches.get_one::<u16>("instances").copied().unwrap_or(4);
    let fault_duration = Duration::from_secs(number("seconds"));
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("soak: {error}");
            return ExitCode::FAILURE;
        }
    };
    let has_accounts = matches.get_flag("accounts");
    let mut failed = 0;
    for seed in number("seed")..number("seed") + number("seeds") {
        let run = run::run(&binary, seed, fault_duration, instances, has_accounts);
        let report = runtime.block_on(run);
        println!("{report}");
        failed += u64::from(!report.violations.is_empty());
    }
    println!("{} passed, {failed} failed", number("seeds") - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
