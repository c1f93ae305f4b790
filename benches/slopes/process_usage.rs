//! Processor time and memory of this process.

use std::fs;
use std::time::Duration;

/// Clock ticks per second in `/proc/self/stat`; fixed on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Bytes per page in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;

/// Processor time of the whole process so far, user and system.
pub(crate) fn processor_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The command's name in parentheses may hold spaces; fields are counted after it.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = fields.split_whitespace().skip(11).take(2).flat_map(str::parse::<u64>).sum();
    Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND)
}

/// Resident memory of the process in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
