//! Settings of one entry instance, read from the INI file of `serve --settings FILE`.
//!
//! [`Settings::load`] reports all mistakes at once, each with file, section, key and line. Only
//! `instance.name`, `instance.data_centre` and `platform.addresses` are required; everything else
//! has the default that its field documents.
//!
//! Settings hold durations, because a file cannot hold a deadline. The code that uses a duration
//! turns it into a deadline.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ini_file::{Diagnostics, Ini};
use types::prelude::*;

mod directory;
#[cfg(test)]
mod directory_tests;
mod read;
#[cfg(test)]
mod read_tests;

pub use directory::read_directory;

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// `[instance]`: identity of the instance.
    pub instance: InstanceSettings,
    /// `[callers]`: the listener for callers and its limits.
    pub callers: CallerSettings,
    /// `[operators]`: the listener for operators.
    pub operators: OperatorSettings,
    /// `[peers]`: the listener for other instances.
    pub peers: PeerSettings,
    /// `[platform]`: the object API.
    pub platform: PlatformSettings,
    /// `[log]`: log output.
    pub log: LogSettings,
    /// `[lease]`: timing of the instance's lease.
    pub lease: LeaseSettings,
    /// `[accounting]`: records for the cost report.
    pub accounting: AccountingSettings,
}

impl Settings {
    /// Reads a settings file.
    pub fn load(path: &Path) -> Result<Self, Diagnostics> {
        let mut diagnostics = Diagnostics::new();
        let settings = Ini::read(path, &mut diagnostics)
            .and_then(|ini| read::settings(&ini, &mut diagnostics));
        diagnostics.into_result(settings)
    }

    /// Parses the text of a settings file; `file` names it in diagnostics.
    pub fn parse(file: &str, text: &str) -> Result<Self, Diagnostics> {
        let mut diagnostics = Diagnostics::new();
        let ini = Ini::parse(file, text, &mut diagnostics);
        let settings = read::settings(&ini, &mut diagnostics);
        diagnostics.into_result(settings)
    }
}

/// `[instance]`: identity of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name, unique over all data centres. Required.
    pub name: InstanceId,
    /// Data centre in which the instance runs. Required.
    pub data_centre: DataCentreId,
}

/// `[callers]`: the listener for callers and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// Listening address. Default `0.0.0.0:8080`.
    pub address: SocketAddr,
    /// Maximum size of a request head in bytes. Default `16KiB`.
    pub max_header_bytes: u64,
    /// Maximum size of a request body in bytes. Default `4MiB`.
    pub max_body_bytes: u64,
    /// Maximum number of open connections. Default 1024.
    pub max_connections: u32,
    /// Time limit for receiving a complete request head; also closes connections without a request.
    /// Default `5s`.
    pub header_timeout: Duration,
    /// Time limit for receiving a complete request body. Default `30s`.
    pub body_timeout: Duration,
    /// Time that one write to a caller may block before the connection is closed. Default `30s`.
    pub write_timeout: Duration,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([0, 0, 0, 0], 8080)),
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            max_connections: 1024,
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// `[operators]`: the listener for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Listening address. Default `127.0.0.1:9090`, reachable only from the machine itself.
    pub address: SocketAddr,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self { address: SocketAddr::from(([127, 0, 0, 1], 9090)) }
    }
}

/// `[peers]`: the listener for other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Listening address, which other instances also connect to. Default `127.0.0.1:7070`.
    pub address: SocketAddr,
    /// Peer addresses of other instances to contact first. Default none, because the platform's
    /// list and the lease objects hold them.
    pub seeds: Vec<SocketAddr>,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self { address: SocketAddr::from(([127, 0, 0, 1], 7070)), seeds: Vec::new() }
    }
}

/// `[platform]`: the object API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Addresses of the object API; after a failed call the next one is used. Required; never
    /// empty.
    pub addresses: Vec<SocketAddr>,
    /// Average number of reads per second. Default 50: eight instances use a fifth of the
    /// platform's two thousand reads per second.
    pub reads_per_second: u32,
    /// Average number of writes per second. Default 10: eight instances use 80 of the platform's
    /// several hundred writes per second. With 1, the planned stop of an instance with nine groups
    /// took ten seconds.
    pub writes_per_second: u32,
    /// Maximum burst of reads. Default 100.
    pub read_burst: u32,
    /// Maximum burst of writes. Default 50.
    pub write_burst: u32,
    /// Timeout of one call. Default `2s`.
    pub timeout: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            reads_per_second: 50,
            writes_per_second: 10,
            read_burst: 100,
            write_burst: 50,
            timeout: Duration::from_secs(2),
        }
    }
}

/// `[log]`: log output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Minimum level of the lines that are written. Default `info`.
    pub level: LogLevel,
    /// Format of a log line. Default `text`.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LogLevel::Info, format: LogFormat::Text }
    }
}

/// Minimum level of the lines that are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// Failures and warnings.
    Warn,
    /// Also state changes.
    Info,
    /// Also individual decisions.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// The name of the level in settings and log filters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// One JSON object per line.
    Json,
}

/// `[lease]`: timing of the instance's lease.
///
/// `renewal` is at most a third of `length`, so that two renewals may fail before the lease ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time between renewals. Default `3s`.
    pub renewal: Duration,
    /// Time for which the lease is valid after a renewal is sent. Default `9s`.
    pub length: Duration,
    /// Time that observers wait beyond `length`, to allow for clocks that run at different speeds.
    /// Default `1s`.
    pub margin: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            renewal: Duration::from_secs(3),
            length: Duration::from_secs(9),
            margin: Duration::from_secs(1),
        }
    }
}

/// `[accounting]`: records for the cost report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountingSettings {
    /// Time for which `usage` and `work` objects are retained; at least two days, because
    /// `report cost` shows one day by default. Default `400d`, which covers a yearly settlement and
    /// a month for its corrections.
    pub retention: Duration,
}

impl Default for AccountingSettings {
    fn default() -> Self {
        Self { retention: Duration::from_secs(400 * 24 * 3600) }
    }
}
