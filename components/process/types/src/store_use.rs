//! Use of the weight store, as owners and data centres tell each other.

use serde::{Deserialize, Serialize};

/// What a group, or all groups of a data centre, have in progress at the weight store. Five to
/// eight bytes in a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreUse {
    /// Model loads and prefetches in progress.
    pub loads: u32,
    /// Adapter loads in flight.
    pub adapters: u32,
    /// Of a group: loads and prefetches started so far, wrapping. Of a data centre: those started
    /// in the last [`STARTS_WINDOW_S`] seconds.
    pub starts: u32,
    /// Priority of the demand that waits for the store; 0 if none does.
    pub waiting: u8,
}

/// Seconds over which a data centre counts its starts. Summaries come every second and some are
/// lost, so that a shorter span would miss starts.
pub const STARTS_WINDOW_S: u32 = 4;

impl StoreUse {
    /// Whether anything is in progress or waits.
    pub fn is_active(&self) -> bool {
        self.loads > 0 || self.adapters > 0 || self.waiting > 0
    }
}
