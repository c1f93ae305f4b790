//! Intervals of the messages and calls that every instance makes periodically.

use types::prelude::*;

/// Time between reads of the platform's list, per hundred entries. An entry takes about 120 bytes,
/// so the list costs an instance less than 3 KB/s at any size. Leaving servers and dead instances
/// are noticed sooner through reports and heartbeats.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
const LIST_ENTRIES_PER_INTERVAL: usize = 100;
/// Time between reads until the list has been read.
const FIRST_LIST_INTERVAL: Duration = Duration::from_millis(250);
/// Time between reports of arrivals to the owners of groups.
pub const ARRIVALS_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the time until the platform's list of this many entries is read again.
pub fn list_interval(entries: usize) -> Duration {
    if entries == 0 {
        return FIRST_LIST_INTERVAL;
    }
    let hundreds = entries.div_ceil(LIST_ENTRIES_PER_INTERVAL);
    LIST_INTERVAL * u32::try_from(hundreds).unwrap_or(u32::MAX)
}
