//! Choice of a replica for a request.

mod choice;
mod demand;
mod load;
mod prefix;
mod router;
mod sample;
mod servers;
mod summaries;
mod tables;

pub use choice::{Choice, Outcome, RouteRequest, ServiceChoice};
pub use demand::{DEMAND_INTERVAL, Demand};
pub use prefix::{CacheChange, CacheEvent, MAX_PREFIX_BLOCKS, PREFIX_BLOCK_BYTES, prefix_hashes};
pub use router::Router;
pub use summaries::DataCentreSummary;
