//! Times between messages and calls that every instance sends by itself.

use types::prelude::*;

/// Time between reads of the platform's list, for each hundred entries. An entry takes some 120
/// bytes, so that the list costs an instance less than 3 KB/s at any size; leaving servers and dead
/// instances are known sooner from reports and heartbeats.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
const LIST_ENTRIES_PER_INTERVAL: usize = 100;
/// Time between reads while no list is known.
const FIRST_LIST_INTERVAL: Duration = Duration::from_millis(250);
/// Time between reports of arrivals to the owners of groups.
pub const ARRIVALS_INTERVAL: Duration = Duration::from_secs(1);

/// Time until the platform's list is read again, after it had this many entries.
pub fn list_interval(entries: usize) -> Duration {
    if entries == 0 {
        return FIRST_LIST_INTERVAL;
    }
    let hundreds = entries.div_ceil(LIST_ENTRIES_PER_INTERVAL);
    LIST_INTERVAL * u32::try_from(hundreds).unwrap_or(u32::MAX)
}
