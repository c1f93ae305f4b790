//! `stand-in`: runs a stand-in for an external system as a separate process, for manual tests.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use stand_ins::engine::{Engine, EngineConfig};
use stand_ins::platform::{Platform, PlatformConfig};
use stand_ins::service::Service;
use stand_ins::weight_store::{WeightStore, WeightStoreConfig};

/// Bytes in one gigabyte of accelerator memory.
const GIGABYTE: u64 = 1_000_000_000;

/// Returns the definition of the command.
pub(crate) fn command() -> Command {
    Command::new("stand-in")
        .about("Runs a stand-in for an external system on loopback, for manual tests")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(platform_command())
        .subcommand(engine_command())
        .subcommand(Command::new("service").about("Runs a ledger service").arg(address_arg()))
}

fn address_arg() -> Arg {
    Arg::new("address")
        .long("address")
        .value_name("IP:PORT")
        .help("Address on loopback [default: a free port]")
        .value_parser(value_parser!(SocketAddr))
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .help(help)
        .value_parser(value_parser!(u64).range(1..))
}

fn platform_command() -> Command {
    Command::new("platform")
        .about("Runs an object API")
        .arg(address_arg())
        .arg(number_arg("reads", "2000", "Reads per second that the platform supports"))
        .arg(number_arg("writes", "400", "Writes per second that the platform supports"))
        .arg(number_arg("lag-ms", "2000", "Lag of the instance list in milliseconds"))
}

fn engine_command() -> Command {
    Command::new("engine")
        .about("Runs engines that share one weight store")
        .arg(address_arg().help("Address of the first engine; the others take the next ports"))
        .arg(number_arg("count", "1", "Number of engines"))
        .arg(
            Arg::new("name")
                .long("name")
                .value_name("NAME")
                .default_value("engine")
                .help("Name of the engines, followed by a hyphen and a number"),
        )
        .arg(number_arg("memory-gb", "80", "Accelerator memory of each engine in gigabytes"))
        .arg(number_arg("loads", "4", "Loads per second that the weight store starts"))
        .arg(number_arg("concurrent-loads", "4", "Concurrent loads at full speed"))
        .arg(number_arg(
            "load-ms",
            "1000",
            "Duration of a load from the weight store in milliseconds",
        ))
        .arg(
            Arg::new("ignore-fencing")
                .long("ignore-fencing")
                .action(ArgAction::SetTrue)
                .help("Ignore fencing numbers"),
        )
}

fn number_u64(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(1)
}

fn number_u32(matches: &ArgMatches, name: &str) -> u32 {
    u32::try_from(number_u64(matches, name)).unwrap_or(u32::MAX)
}

fn address(matches: &ArgMatches) -> Option<SocketAddr> {
    matches.get_one::<SocketAddr>("address").copied()
}

/// Runs the command until it is interrupted.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    let result = match matches.subcommand() {
        Some(("platform", matches)) => serve(start_platform(matches)),
        Some(("engine", matches)) => serve(start_engines(matches)),
        Some(("service", matches)) => serve(start_service(matches)),
        _ => Err(io::Error::other("no stand-in specified")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("sequoiawell: stand-in failed: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the stand-ins, prints one line `NAME ADDRESS` for each and waits for an interrupt.
fn serve(start: impl Future<Output = io::Result<Vec<(String, SocketAddr)>>>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        for (name, address) in start.await? {
            println!("{name} {address}");
        }
        tokio::signal::ctrl_c().await
    })
}

async fn start_platform(matches: &ArgMatches) -> io::Result<Vec<(String, SocketAddr)>> {
    let platform = Platform::start(PlatformConfig {
        address: address(matches),
        reads_per_second: number_u32(matches, "reads"),
        writes_per_second: number_u32(matches, "writes"),
        instances_lag: Duration::from_millis(number_u64(matches, "lag-ms")),
    })
    .await?;
    Ok(vec![("platform".to_owned(), platform.address())])
}

async fn start_engines(matches: &ArgMatches) -> io::Result<Vec<(String, SocketAddr)>> {
    let store = WeightStore::new(WeightStoreConfig {
        loads_per_second: number_u64(matches, "loads") as f64,
        concurrent_loads: number_u32(matches, "concurrent-loads"),
        ..WeightStoreConfig::default()
    });
    let name = matches.get_one::<String>("name").map_or("engine", String::as_str);
    let mut load_time = EngineConfig::default().load_time;
    load_time.remote = Duration::from_millis(number_u64(matches, "load-ms"));
    let mut started = Vec::new();
    for n in 0..number_u32(matches, "count") {
        let engine = Engine::start(
            EngineConfig {
                name: format!("{name}-{}", n + 1).into(),
                address: nth_address(address(matches), n)?,
                checks_fencing: !matches.get_flag("ignore-fencing"),
                memory_total: number_u64(matches, "memory-gb").saturating_mul(GIGABYTE),
                load_time,
                ..EngineConfig::default()
            },
            store.clone(),
        )
        .await?;
        started.push((engine.name().to_owned(), engine.address()));
    }
    Ok(started)
}

/// Returns the address `n` ports above `first`. Without `first`, or if its port is 0, the operating
/// system chooses a free port.
fn nth_address(first: Option<SocketAddr>, n: u32) -> io::Result<Option<SocketAddr>> {
    let Some(mut address) = first else { return Ok(None) };
    if address.port() != 0 {
        let port = u16::try_from(u32::from(address.port()).saturating_add(n));
        let invalid = |e| io::Error::new(io::ErrorKind::InvalidInput, e);
        address.set_port(port.map_err(invalid)?);
    }
    Ok(Some(address))
}

async fn start_service(matches: &ArgMatches) -> io::Result<Vec<(String, SocketAddr)>> {
    let service = Service::start(address(matches)).await?;
    Ok(vec![("service".to_owned(), service.address())])
}
