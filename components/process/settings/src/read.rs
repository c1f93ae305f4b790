//! Reads each section of a settings file.

use ini_file::{Diagnostics, Ini, SectionReader, value};

use crate::*;

const SECTIONS: &[&str] =
    &["instance", "callers", "operators", "peers", "platform", "log", "lease", "accounting"];

/// Reads all sections; `None` if a required key is missing or invalid.
pub(crate) fn settings(ini: &Ini, diagnostics: &mut Diagnostics) -> Option<Settings> {
    ini.check_sections(SECTIONS, &[], diagnostics);
    let instance = instance(ini, diagnostics);
    let callers = callers(ini, diagnostics);
    let operators = operators(ini, diagnostics);
    let peers = peers(ini, diagnostics);
    let platform = platform(ini, diagnostics);
    let log = log(ini, diagnostics);
    let lease = lease(ini, diagnostics);
    let accounting = accounting(ini, diagnostics);
    check_listeners(ini, &callers, &operators, &peers, diagnostics);
    Some(Settings {
        instance: instance?,
        callers,
        operators,
        peers,
        platform,
        log,
        lease,
        accounting,
    })
}

fn instance(ini: &Ini, diagnostics: &mut Diagnostics) -> Option<InstanceSettings> {
    let mut r = SectionReader::new(ini, "instance", diagnostics);
    let name = r.required("name", value::name);
    let data_centre = r.required("data_centre", value::name);
    r.finish();
    Some(InstanceSettings { name: name?, data_centre: data_centre? })
}

fn callers(ini: &Ini, diagnostics: &mut Diagnostics) -> CallerSettings {
    let d = CallerSettings::default();
    let mut r = SectionReader::new(ini, "callers", diagnostics);
    let callers = CallerSettings {
        address: r.or("address", d.address, value::address),
        max_header_bytes: r.or("max_header", d.max_header_bytes, size_between(1 << 10, 1 << 20)),
        max_body_bytes: r.or("max_body", d.max_body_bytes, size_between(1 << 10, 1 << 30)),
        max_connections: r.or("max_connections", d.max_connections, value::number(1..=65_536)),
        header_timeout: r.or("header_timeout", d.header_timeout, value::positive_duration),
        body_timeout: r.or("body_timeout", d.body_timeout, value::positive_duration),
        write_timeout: r.or("write_timeout", d.write_timeout, value::positive_duration),
    };
    r.finish();
    callers
}

fn operators(ini: &Ini, diagnostics: &mut Diagnostics) -> OperatorSettings {
    let mut r = SectionReader::new(ini, "operators", diagnostics);
    let address = r.or("address", OperatorSettings::default().address, value::address);
    r.finish();
    OperatorSettings { address }
}

fn peers(ini: &Ini, diagnostics: &mut Diagnostics) -> PeerSettings {
    let mut r = SectionReader::new(ini, "peers", diagnostics);
    let address = r.or("address", PeerSettings::default().address, value::address);
    let seeds = r.list("seeds", value::address);
    if address.ip().is_unspecified() {
        r.error(
            "address",
            "other instances cannot connect to an unspecified address; give the instance's own",
        );
    }
    r.finish();
    PeerSettings { address, seeds }
}

fn platform(ini: &Ini, diagnostics: &mut Diagnostics) -> PlatformSettings {
    let d = PlatformSettings::default();
    let mut r = SectionReader::new(ini, "platform", diagnostics);
    let platform = PlatformSettings {
        addresses: r.list("addresses", value::address),
        reads_per_second: r.or("reads_per_second", d.reads_per_second, value::number(1..=100_000)),
        writes_per_second: r.or(
            "writes_per_second",
            d.writes_per_second,
            value::number(1..=100_000),
        ),
        read_burst: r.or("read_burst", d.read_burst, value::number(1..=100_000)),
        write_burst: r.or("write_burst", d.write_burst, value::number(1..=100_000)),
        timeout: r.or("timeout", d.timeout, value::positive_duration),
    };
    if platform.addresses.is_empty() {
        r.error("addresses", "at least one address of the object API is needed");
    }
    r.finish();
    platform
}

fn log(ini: &Ini, diagnostics: &mut Diagnostics) -> LogSettings {
    let d = LogSettings::default();
    let levels =
        [LogLevel::Error, LogLevel::Warn, LogLevel::Info, LogLevel::Debug, LogLevel::Trace];
    let mut r = SectionReader::new(ini, "log", diagnostics);
    let log = LogSettings {
        level: r.or("level", d.level, value::choice(&levels.map(|l| (l.as_str(), l)))),
        format: r.or(
            "format",
            d.format,
            value::choice(&[("text", LogFormat::Text), ("json", LogFormat::Json)]),
        ),
    };
    r.finish();
    log
}

fn lease(ini: &Ini, diagnostics: &mut Diagnostics) -> LeaseSettings {
    let d = LeaseSettings::default();
    let mut r = SectionReader::new(ini, "lease", diagnostics);
    let lease = LeaseSettings {
        renewal: r.or("renewal", d.renewal, value::positive_duration),
        length: r.or("length", d.length, value::positive_duration),
        margin: r.or("margin", d.margin, value::positive_duration),
    };
    if lease.renewal * 3 > lease.length {
        let message = "the renewal interval must be at most a third of the length, so that two renewals may fail";
        r.error("renewal", message);
    }
    r.finish();
    lease
}

fn accounting(ini: &Ini, diagnostics: &mut Diagnostics) -> AccountingSettings {
    const MIN_RETENTION: Duration = Duration::from_secs(2 * 24 * 3600);
    let d = AccountingSettings::default();
    let mut r = SectionReader::new(ini, "accounting", diagnostics);
    let accounting =
        AccountingSettings { retention: r.or("retention", d.retention, value::positive_duration) };
    if accounting.retention < MIN_RETENTION {
        r.error(
            "retention",
            "records must be retained for at least two days; write a duration such as 400d",
        );
    }
    r.finish();
    accounting
}

/// Reports listeners that share an address, which otherwise fail only when the instance starts.
fn check_listeners(
    ini: &Ini,
    callers: &CallerSettings,
    operators: &OperatorSettings,
    peers: &PeerSettings,
    diagnostics: &mut Diagnostics,
) {
    let listeners =
        [("callers", callers.address), ("operators", operators.address), ("peers", peers.address)];
    for (n, (section, address)) in listeners.iter().enumerate() {
        let conflict = listeners[..n].iter().find(|(_, other)| {
            let same_ip = other.ip() == address.ip()
                || other.ip().is_unspecified()
                || address.ip().is_unspecified();
            address.port() != 0 && other.port() == address.port() && same_ip
        });
        if let Some((other, _)) = conflict {
            let message = format!("{address} collides with the address of [{other}]");
            ini.report(section, "address", ini.line_of(section, "address"), &message, diagnostics);
        }
    }
}

/// Returns a parser of sizes from `min` to `max` bytes.
fn size_between(min: u64, max: u64) -> impl Fn(&str) -> Result<u64, ini_file::ValueError> {
    move |text| match value::size(text)? {
        bytes if (min..=max).contains(&bytes) => Ok(bytes),
        _ => Err(ini_file::ValueError::Other(
            format!("the size must be from {min} to {max} bytes").into(),
        )),
    }
}
