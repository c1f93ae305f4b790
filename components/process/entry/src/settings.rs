//! Settings of an entry instance, from an INI file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ini_file::{Diagnostics, Ini, SectionReader, value};
use server_choice::RetryLimits;

#[cfg(test)]
mod tests;

/// Settings of one instance. Times are durations; the code that uses them computes deadlines.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// `[instance] name`: unique across all data centres.
    pub name: Box<str>,
    /// `[instance] data_centre`: where the instance runs.
    pub data_centre: Box<str>,
    /// `[instance] cores`: CPU cores available to the instance; may be a fraction.
    pub cores: f64,
    /// `[instance] memory_mb`: memory available to the instance.
    pub memory_mb: f64,
    /// `[instance] descriptors`: file descriptors available to the instance.
    pub descriptors: usize,
    /// `[callers] address`: listen address for requests of callers.
    pub callers: SocketAddr,
    /// `[callers] body_window_s`: time over which the pace of a request body is measured.
    pub body_window: Duration,
    /// `[callers] body_window_bytes`: least number of bytes of an incomplete body in that time.
    pub body_window_bytes: usize,
    /// `[callers] read_timeout_s`: longest time in which a caller takes nothing of a response.
    pub read_timeout: Duration,
    /// `[callers] read_window_bytes`: least number of bytes of a response that a caller takes in that
    /// time while more is ready for it.
    pub read_window_bytes: usize,
    /// `[readiness] address`: listen address of the readiness check.
    pub readiness: SocketAddr,
    /// `[metrics] address`: listen address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// `[peers] address`: UDP address for messages between instances.
    pub peers: SocketAddr,
    /// `[store] address`: address of the platform's store.
    pub store: SocketAddr,
    /// `[store] writes_per_second`: write limit, shared by all instances.
    pub store_writes_per_second: u32,
    /// `[store] reads_per_second`: read limit, shared by all instances.
    pub store_reads_per_second: u32,
    /// `[registry] heartbeat_ms`: interval at which backend servers renew their registry entries.
    pub heartbeat: Duration,
    /// `[orders] turn_gap_ms`: minimum time between the orders of two successive leaders to the
    /// same server.
    pub turn_gap: Duration,
    /// `[orders] concurrent_loads`: how many loads from the weight store run at once until the
    /// leader has learned how many run at full speed.
    pub concurrent_loads: usize,
    /// `[orders] prefetch`: whether models without a replica are loaded before they are requested.
    pub is_prefetching: bool,
    /// `[repeats]`: limits on the retries of each service.
    pub retry_limits: RetryLimits,
    /// `[stop] grace_s`: time from SIGTERM until the process is killed.
    pub grace: Duration,
    /// `[log] level`: minimum level of log lines.
    pub log_level: Box<str>,
}

/// An instance with fewer cores becomes leader only if there is no larger one.
const SMALL_MACHINE_CORES: f64 = 0.2;
/// Delay before small machines claim the leader's lease; longer than a claim takes.
const SMALL_MACHINE_CLAIM_DELAY: Duration = Duration::from_millis(900);

/// Least memory of an instance, in MB.
const MIN_MEMORY_MB: f64 = 1.0;

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

/// Parses a non-negative decimal number. The platform's templates render milliseconds and seconds
/// with a fraction.
fn non_negative(text: &str) -> Result<f64, value::ValueError> {
    text.trim()
        .parse::<f64>()
        .ok()
        .filter(|number| number.is_finite() && *number >= 0.0)
        .ok_or_else(|| value::ValueError::Other("expected a number that is not negative".into()))
}

/// Parses the memory of an instance: without any, each body would be refused.
fn memory(text: &str) -> Result<f64, value::ValueError> {
    let memory_mb = non_negative(text)?;
    match memory_mb >= MIN_MEMORY_MB {
        true => Ok(memory_mb),
        false => Err(value::ValueError::Other("expected a number of at least 1".into())),
    }
}

impl EntrySettings {
    /// Reads a settings file.
    pub fn load(path: &Path) -> Result<Self, Diagnostics> {
        let mut diagnostics = Diagnostics::new();
        let settings =
            Ini::read(path, &mut diagnostics).and_then(|ini| Self::read(&ini, &mut diagnostics));
        diagnostics.into_result(settings)
    }

    /// Parses the text of a settings file; diagnostics refer to it as `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self, Diagnostics> {
        let mut diagnostics = Diagnostics::new();
        let ini = Ini::parse(file, text, &mut diagnostics);
        let settings = Self::read(&ini, &mut diagnostics);
        diagnostics.into_result(settings)
    }

    /// Delay before this instance claims the leader's lease, so that larger machines claim it
    /// first. The leader needs a few per cent of a core and of its network link for each hundred
    /// servers.
    pub(crate) fn claim_delay(&self) -> Duration {
        if self.is_small() { SMALL_MACHINE_CLAIM_DELAY } else { Duration::ZERO }
    }

    /// Memory available to the instance, in bytes.
    pub(crate) fn memory_bytes(&self) -> f64 {
        self.memory_mb * f64::from(1 << 20)
    }

    /// Whether this instance becomes leader only if there is no larger one.
    pub(crate) fn is_small(&self) -> bool {
        self.cores < SMALL_MACHINE_CORES
    }

    fn read(ini: &Ini, diagnostics: &mut Diagnostics) -> Option<Self> {
        ini.check_sections(SECTIONS, &[], diagnostics);

        let mut r = SectionReader::new(ini, "instance", diagnostics);
        let name = r.required("name", value::text);
        let data_centre = r.required("data_centre", value::text);
        let cores = r.or("cores", 1.0, non_negative);
        let memory_mb = r.or("memory_mb", 256.0, memory);
        let descriptors = r.or("descriptors", 4_096.0, non_negative);
        r.finish();

        let mut r = SectionReader::new(ini, "callers", diagnostics);
        let callers = r.required("address", value::address);
        let body_window_s = r.or("body_window_s", 10.0, non_negative);
        let body_window_bytes = r.or("body_window_bytes", 1_024.0, non_negative);
        let read_timeout_s = r.or("read_timeout_s", 30.0, non_negative);
        let read_window_bytes = r.or("read_window_bytes", 1_024.0, non_negative);
        r.finish();

        let mut address = |section: &str| {
            let mut r = SectionReader::new(ini, section, diagnostics);
            let address = r.required("address", value::address);
            r.finish();
            address
        };
        let readiness = address("readiness");
        let metrics = address("metrics");
        let peers = address("peers");

        let mut r = SectionReader::new(ini, "store", diagnostics);
        let store = r.required("address", value::address);
        let writes = r.or("writes_per_second", 400.0, non_negative);
        let reads = r.or("reads_per_second", 2_000.0, non_negative);
        r.finish();

        let mut r = SectionReader::new(ini, "registry", diagnostics);
        let heartbeat_ms = r.or("heartbeat_ms", 1_200.0, non_negative);
        r.finish();

        let mut r = SectionReader::new(ini, "orders", diagnostics);
        let turn_gap_ms = r.or("turn_gap_ms", 3_000.0, non_negative);
        let concurrent_loads = r.or("concurrent_loads", 2_u32, value::number(1..=10_000));
        let is_prefetching = r.or("prefetch", true, value::boolean);
        r.finish();

        let mut r = SectionReader::new(ini, "repeats", diagnostics);
        let ratio = r.or("ratio", 0.2, non_negative);
        let extra = r.or("extra", 50.0, non_negative);
        let window_s = r.or("window_s", 10.0, non_negative);
        r.finish();

        let mut r = SectionReader::new(ini, "stop", diagnostics);
        let grace_s = r.or("grace_s", 8.0, non_negative);
        r.finish();

        let mut r = SectionReader::new(ini, "log", diagnostics);
        let log_level = r.or("level", "info".into(), value::text);
        r.finish();

        Some(Self {
            name: name?,
            data_centre: data_centre?,
            cores,
            memory_mb,
            descriptors: descriptors as usize,
            callers: callers?,
            body_window: Duration::from_secs_f64(body_window_s),
            body_window_bytes: body_window_bytes as usize,
            read_timeout: Duration::from_secs_f64(read_timeout_s),
            read_window_bytes: read_window_bytes as usize,
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
            retry_limits: RetryLimits {
                ratio,
                base_retries: extra,
                window: Duration::from_secs_f64(window_s),
            },
            grace: Duration::from_secs_f64(grace_s),
            log_level,
        })
    }
}
