//! Arguments that several commands share.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, value_parser};

use crate::platform_client::PlatformClient;

/// Default address of the platform, for a deployment on the local machine.
const DEFAULT_PLATFORM_ADDRESS: &str = "127.0.0.1:7000";
/// Default operators' address of an instance, for a deployment on the local machine.
const DEFAULT_OPERATORS_ADDRESS: &str = "127.0.0.1:9090";

/// Default time limit for reading the platform. A command reports a longer outage as an error.
const DEFAULT_PLATFORM_TIMEOUT: &str = "10s";

/// Output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Human-readable text.
    Text,
    /// JSON.
    Json,
    /// Comma-separated values.
    Csv,
    /// An HTML page.
    Html,
}

const FORMATS: &[(&str, Format)] =
    &[("text", Format::Text), ("json", Format::Json), ("csv", Format::Csv), ("html", Format::Html)];

/// Returns the argument `--format`, which accepts the given formats.
pub(crate) fn format_arg(formats: &'static [&'static str]) -> Arg {
    Arg::new("format")
        .long("format")
        .value_name("FORMAT")
        .default_value("text")
        .value_parser(clap::builder::PossibleValuesParser::new(formats))
        .help("Output format")
}

/// Returns the value of `--format`.
pub(crate) fn format(matches: &ArgMatches) -> Format {
    let name = matches.get_one::<String>("format").map_or("text", String::as_str);
    FORMATS.iter().find(|(known, _)| *known == name).map_or(Format::Text, |(_, format)| *format)
}

/// Returns the argument `--platform`, which may be repeated and takes a list of addresses.
pub(crate) fn platform_arg() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("IP:PORT")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .default_value(DEFAULT_PLATFORM_ADDRESS)
        .value_parser(value_parser!(SocketAddr))
        .help(
            "Address of the platform's object API; give several in order of preference, separated \
             by commas or with the option repeated",
        )
}

/// Returns the argument `--platform-timeout`.
pub(crate) fn platform_timeout_arg() -> Arg {
    Arg::new("platform-timeout")
        .long("platform-timeout")
        .value_name("DURATION")
        .default_value(DEFAULT_PLATFORM_TIMEOUT)
        .value_parser(|text: &str| humantime::parse_duration(text))
        .help("Time limit for reading the platform")
}

/// Creates a client for the addresses in `--platform`. Its calls share the time limit in
/// `--platform-timeout`, which begins now.
pub(crate) fn platform_client(matches: &ArgMatches) -> PlatformClient {
    let addresses = unique_addresses(matches, "platform").into();
    let timeout = matches.get_one::<Duration>("platform-timeout").copied();
    PlatformClient::new(addresses, Instant::now() + timeout.expect("the argument has a default"))
}

/// Returns the argument `--operators`, which may be repeated.
pub(crate) fn operators_arg() -> Arg {
    Arg::new("operators")
        .long("operators")
        .value_name("IP:PORT")
        .action(ArgAction::Append)
        .default_value(DEFAULT_OPERATORS_ADDRESS)
        .value_parser(value_parser!(SocketAddr))
        .help("Operators' address of an instance; give the option once per instance")
}

/// Returns the operators' addresses of the instances, without duplicates.
pub(crate) fn operators_addresses(matches: &ArgMatches) -> Vec<SocketAddr> {
    unique_addresses(matches, "operators")
}

/// Returns the addresses of a repeatable argument in the order given, without duplicates.
fn unique_addresses(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for address in matches.get_many::<SocketAddr>(name).into_iter().flatten() {
        if !addresses.contains(address) {
            addresses.push(*address);
        }
    }
    addresses
}

/// Returns the required positional argument for the path that a command reads.
pub(crate) fn path_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new("path").value_name(name).required(true).value_parser(value_parser!(PathBuf)).help(help)
}

/// Returns the path that the command reads.
pub(crate) fn path(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("path").cloned().unwrap_or_default()
}
