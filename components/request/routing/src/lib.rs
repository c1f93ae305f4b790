//! Choice of a replica for a request.

mod prefix;
mod router;

pub use prefix::{CacheChange, CacheEvent, MAX_PREFIX_BLOCKS, PREFIX_BLOCK_BYTES, prefix_hashes};
pub use router::{
    Choice, DEMAND_INTERVAL, DataCentreSummary, Demand, Outcome, RouteRequest, Router,
    ServiceChoice,
};
