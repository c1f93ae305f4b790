//! Randomized fault soak: real entry processes on loopback, faults from outside, promises checked
//! from what callers and servers see. A seed gives the same plan of faults each time.

mod checks;
mod plan;
mod proxy;
mod run;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, Command, value_parser};

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
                .help("Number of seeds, one run after the other"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .default_value("20")
                .value_parser(value_parser!(u64).range(5..=3_600))
                .help("Length of the faults of each run"),
        )
        .arg(
            Arg::new("instances")
                .long("instances")
                .value_name("N")
                .default_value("4")
                .value_parser(value_parser!(u16).range(2..=200))
                .help("Entry processes"),
        )
        .arg(
            Arg::new("binary")
                .long("binary")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The sequoiawell binary; by default the one beside this program"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let beside = || Some(std::env::current_exe().ok()?.parent()?.join("sequoiawell"));
    let Some(binary) = matches.get_one::<PathBuf>("binary").cloned().or_else(beside) else {
        eprintln!("soak: the sequoiawell binary is not found; give --binary");
        return ExitCode::from(2);
    };
    if !binary.exists() {
        eprintln!("soak: {} does not exist; build the workspace first", binary.display());
        return ExitCode::from(2);
    }
    let instances = matches.get_one::<u16>("instances").copied().unwrap_or(4);
    let length = Duration::from_secs(number("seconds"));
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("soak: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut failed = 0;
    for seed in number("seed")..number("seed") + number("seeds") {
        let report = runtime.block_on(run::run(&binary, seed, length, instances));
        println!("{report}");
        failed += u64::from(!report.findings.is_empty());
    }
    println!("{} passed, {failed} failed", number("seeds") - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
