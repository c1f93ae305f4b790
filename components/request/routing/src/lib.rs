//! Selection of a replica for each request.

mod demand;
mod load;
mod prefix;
mod router;
mod sample;
mod selection;
mod servers;
mod summaries;
mod tables;

pub use demand::{DEMAND_INTERVAL, Demand};
pub use prefix::{CacheChange, CacheEvent, MAX_PREFIX_BLOCKS, PREFIX_BLOCK_BYTES, prefix_hashes};
pub use router::Router;
pub use selection::{ReplicaSelection, RouteOutcome, RouteRequest, ServerSelection};
pub use summaries::DataCentreSummary;
