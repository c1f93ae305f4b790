//! Arguments that several commands have.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, value_parser};

use crate::accepted::Platform;

/// Where the platform and the instances answer on one machine, unless a command says otherwise.
const DEFAULT_PLATFORM: &str = "127.0.0.1:7000";
const DEFAULT_OPERATORS: &str = "127.0.0.1:9090";

/// Outages of the platform that last longer are worth a message.
const DEFAULT_PLATFORM_TIMEOUT: &str = "10s";

/// Form of a command's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Text for people.
    Text,
    /// JSON.
    Json,
    /// Comma-separated values.
    Csv,
    /// A page for a browser.
    Html,
}

const FORMATS: &[(&str, Format)] =
    &[("text", Format::Text), ("json", Format::Json), ("csv", Format::Csv), ("html", Format::Html)];

/// `--format`, with the formats that the command has.
pub(crate) fn format_arg(formats: &'static [&'static str]) -> Arg {
    Arg::new("format")
        .long("format")
        .value_name("FORMAT")
        .default_value("text")
        .value_parser(clap::builder::PossibleValuesParser::new(formats))
        .help("Form of the output")
}

/// The chosen format.
pub(crate) fn format(matches: &ArgMatches) -> Format {
    let name = matches.get_one::<String>("format").map_or("text", String::as_str);
    FORMATS.iter().find(|(word, _)| *word == name).map_or(Format::Text, |(_, format)| *format)
}

/// `--platform`, repeatable, each with one address or several.
pub(crate) fn platform_arg() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("IP:PORT")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .default_value(DEFAULT_PLATFORM)
        .value_parser(value_parser!(SocketAddr))
        .help(
            "Address of the platform's object API; give several in order of preference, separated \
             by commas or with the option repeated",
        )
}

/// `--platform-timeout`.
pub(crate) fn platform_timeout_arg() -> Arg {
    Arg::new("platform-timeout")
        .long("platform-timeout")
        .value_name("DURATION")
        .default_value(DEFAULT_PLATFORM_TIMEOUT)
        .value_parser(|text: &str| humantime::parse_duration(text))
        .help("Longest time for reading the platform")
}

/// The platform as the command line names it.
pub(crate) fn platform(matches: &ArgMatches) -> Platform {
    let addresses = each_once(matches, "platform").into();
    let timeout = matches.get_one::<Duration>("platform-timeout").copied();
    Platform::new(addresses, Instant::now() + timeout.expect("the argument has a default"))
}

/// `--operators`, repeatable.
pub(crate) fn operators_arg() -> Arg {
    Arg::new("operators")
        .long("operators")
        .value_name("IP:PORT")
        .action(ArgAction::Append)
        .default_value(DEFAULT_OPERATORS)
        .value_parser(value_parser!(SocketAddr))
        .help("Operators' address of an instance; give the option once per instance")
}

/// The instances' operators' addresses, each once.
pub(crate) fn operators(matches: &ArgMatches) -> Vec<SocketAddr> {
    each_once(matches, "operators")
}

/// The addresses of a repeatable argument in the order given, each once.
fn each_once(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for address in matches.get_many::<SocketAddr>(name).into_iter().flatten() {
        if !addresses.contains(address) {
            addresses.push(*address);
        }
    }
    addresses
}

/// A path that the command reads.
pub(crate) fn path_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new("path").value_name(name).required(true).value_parser(value_parser!(PathBuf)).help(help)
}

/// The path that the command reads.
pub(crate) fn path(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("path").cloned().unwrap_or_default()
}
