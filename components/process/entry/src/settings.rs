//! Settings of an entry instance, from an INI file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ini_file::{Diagnostics, Ini, SectionReader, value};
use server_choice::RetryLimits;

#[cfg(test)]
mod tests;

/// Settings of one instance. Files hold durations; they become deadlines on first use.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// `[instance] name`: unique over all data centres.
    pub name: Box<str>,
    /// `[instance] data_centre`: where the instance runs.
    pub data_centre: Box<str>,
    /// `[instance] cores`: processor share of the machine.
    pub cores: f64,
    /// `[callers] address`: listener for callers.
    pub callers: SocketAddr,
    /// `[readiness] address`: listener for the readiness check.
    pub readiness: SocketAddr,
    /// `[metrics] address`: listener for metrics.
    pub metrics: SocketAddr,
    /// `[peers] address`: datagrams between instances.
    pub peers: SocketAddr,
    /// `[store] address`: the platform's store.
    pub store: SocketAddr,
    /// `[store] writes_per_second`, over all instances.
    pub store_writes_per_second: u32,
    /// `[store] reads_per_second`, over all instances.
    pub store_reads_per_second: u32,
    /// `[registry] heartbeat`: interval at which backend servers renew their registry entries.
    pub heartbeat: Duration,
    /// `[orders] turn_gap`: least time between the orders of two holders to one server.
    pub turn_gap: Duration,
    /// `[orders] concurrent_loads`: loads from the weight store at once, until it is learned how
    /// many run at full speed.
    pub concurrent_loads: usize,
    /// `[orders] prefetch`: load models without a copy before they are asked for.
    pub is_prefetching: bool,
    /// `[repeats]`: limits on second sends of each service.
    pub repeats: RetryLimits,
    /// `[stop] grace`: time from SIGTERM until the process is ended.
    pub grace: Duration,
    /// `[log] level`.
    pub log_level: Box<str>,
}

/// Processor share below which a machine leaves the orders to larger ones if there are any.
const SMALL_MACHINE_CORES: f64 = 0.2;
/// How much later small machines claim the right to give orders; longer than a claim takes.
const SMALL_MACHINE_DELAY: Duration = Duration::from_millis(900);

const SECTIONS: &[&str] = &[
    "instance",
    "callers",
    "readiness",
    "metrics",
    "peers",
    "store",
    "registry",
    "orders",
    "repeats",
    "stop",
    "log",
];

/// Reads a decimal number of milliseconds or seconds as the templates of a platform give them.
fn decimal(text: &str) -> Result<f64, value::ValueError> {
    text.trim()
        .parse::<f64>()
        .ok()
        .filter(|number| number.is_finite() && *number >= 0.0)
        .ok_or_else(|| value::ValueError::Other("expected a number that is not negative".into()))
}

impl EntrySettings {
    /// Reads a settings file.
    pub fn load(path: &Path) -> Result<Self, Diagnostics> {
        let mut diagnostics = Diagnostics::new();
        let settings =
            Ini::read(path, &mut diagnostics).and_then(|ini| Self::read(&ini, &mut diagnostics));
        diagnostics.into_result(settings)
    }

    /// Parses the text of a settings file; `file` names it in diagnostics.
    pub fn parse(file: &str, text: &str) -> Result<Self, Diagnostics> {
        let mut diagnostics = Diagnostics::new();
        let ini = Ini::parse(file, text, &mut diagnostics);
        let settings = Self::read(&ini, &mut diagnostics);
        diagnostics.into_result(settings)
    }

    /// How much later than the largest machines this one claims the right to give orders. The
    /// order giver needs a few per cent of a core and its link for each hundred servers.
    pub(crate) fn claim_delay(&self) -> Duration {
        if self.is_small() { SMALL_MACHINE_DELAY } else { Duration::ZERO }
    }

    /// Whether the machine leaves the orders to larger ones if there are any.
    pub(crate) fn is_small(&self) -> bool {
        self.cores < SMALL_MACHINE_CORES
    }

    fn read(ini: &Ini, diagnostics: &mut Diagnostics) -> Option<Self> {
        ini.check_sections(SECTIONS, &[], diagnostics);

        let mut r = SectionReader::new(ini, "instance", diagnostics);
        let name = r.required("name", value::text);
        let data_centre = r.required("data_centre", value::text);
        let cores = r.or("cores", 1.0, decimal);
        r.finish();

        let mut address = |section: &str| {
            let mut r = SectionReader::new(ini, section, diagnostics);
            let address = r.required("address", value::address);
            r.finish();
            address
        };
        let callers = address("callers");
        let readiness = address("readiness");
        let metrics = address("metrics");
        let peers = address("peers");

        let mut r = SectionReader::new(ini, "store", diagnostics);
        let store = r.required("address", value::address);
        let writes = r.or("writes_per_second", 400.0, decimal);
        let reads = r.or("reads_per_second", 2_000.0, decimal);
        r.finish();

        let mut r = SectionReader::new(ini, "registry", diagnostics);
        let heartbeat_ms = r.or("heartbeat_ms", 1_200.0, decimal);
        r.finish();

        let mut r = SectionReader::new(ini, "orders", diagnostics);
        let turn_gap_ms = r.or("turn_gap_ms", 3_000.0, decimal);
        let concurrent_loads = r.or("concurrent_loads", 2_u32, value::number(1..=10_000));
        let is_prefetching = r.or("prefetch", true, value::boolean);
        r.finish();

        let mut r = SectionReader::new(ini, "repeats", diagnostics);
        let ratio = r.or("ratio", 0.2, decimal);
        let extra = r.or("extra", 50.0, decimal);
        let window_s = r.or("window_s", 10.0, decimal);
        r.finish();

        let mut r = SectionReader::new(ini, "stop", diagnostics);
        let grace_s = r.or("grace_s", 8.0, decimal);
        r.finish();

        let mut r = SectionReader::new(ini, "log", diagnostics);
        let log_level = r.or("level", "info".into(), value::text);
        r.finish();

        Some(Self {
            name: name?,
            data_centre: data_centre?,
            cores,
            callers: callers?,
            readiness: readiness?,
            metrics: metrics?,
            peers: peers?,
            store: store?,
            store_writes_per_second: writes as u32,
            store_reads_per_second: reads as u32,
            heartbeat: Duration::from_secs_f64(heartbeat_ms / 1_000.0),
            turn_gap: Duration::from_secs_f64(turn_gap_ms / 1_000.0),
            concurrent_loads: concurrent_loads as usize,
            is_prefetching,
            repeats: RetryLimits {
                ratio,
                base_retries: extra,
                window: Duration::from_secs_f64(window_s),
            },
            grace: Duration::from_secs_f64(grace_s),
            log_level,
        })
    }
}
