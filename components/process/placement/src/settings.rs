//! Settings of placement, derived from the catalogue.

use types::prelude::*;

/// Settings of the placement of one group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Weight of avoided cold starts against idle accelerator time, from 0 to 100.
    pub cold_start_weight: u8,
    /// Cost of one idle accelerator second, in thousandths.
    pub idle_second_cost_milli: u32,
    /// Limit on model loads started from the store per second, over all groups.
    pub store_loads_per_second: u32,
    /// Limit on concurrent model loads from the store, over all groups.
    pub store_concurrent_loads: u32,
    /// Limit on adapter loads in flight, over all groups.
    pub store_concurrent_adapters: u32,
}

impl From<&Deployment> for Settings {
    fn from(d: &Deployment) -> Self {
        Self {
            cold_start_weight: d.cold_start_weight.min(100),
            idle_second_cost_milli: d.idle_second_cost_milli,
            store_loads_per_second: d.store_loads_per_second.max(1),
            store_concurrent_loads: d.store_concurrent_loads.max(1),
            store_concurrent_adapters: d.store_concurrent_adapters.max(1),
        }
    }
}
