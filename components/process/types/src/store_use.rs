//! Use of the weight store, as group owners and data centres publish it.

use serde::{Deserialize, Serialize};

/// What a group, or all groups of a data centre together, have in progress at the weight store.
/// Takes five to eight bytes in a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreUse {
    /// Model loads and prefetches in progress.
    pub loads: u32,
    /// Adapter loads in flight.
    pub adapters: u32,
    /// For a group: loads and prefetches started so far, as a wrapping counter. For a data centre:
    /// those started in the last [`STARTS_WINDOW_S`] seconds.
    pub starts: u32,
    /// Priority of the demand that waits for the store; 0 if none waits.
    pub waiting: u8,
}

/// Window over which a data centre counts its starts, in seconds. Summaries are sent every second
/// and some are lost, so a shorter window would miss starts.
pub const STARTS_WINDOW_S: u32 = 4;

impl StoreUse {
    /// Whether any load is in progress or waiting.
    pub fn is_active(&self) -> bool {
        self.loads > 0 || self.adapters > 0 || self.waiting > 0
    }
}
