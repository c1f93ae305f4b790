//! Decides which models stand on which backend servers, and who may order it, without I/O.

mod adapters;
mod authority;
mod demand;
mod last_orders;
mod plan;
mod store_pace;
mod value;

#[cfg(test)]
mod authority_tests;
#[cfg(test)]
mod plan_tests;
#[cfg(test)]
mod store_pace_tests;

pub use adapters::{AdapterMove, AdapterUse, adapter_move};
pub use authority::{Action, Authority, BootTime, HeldLease, InstanceName, LeaseRecord};
pub use demand::{Demand, Demands};
pub use last_orders::OrderAge;
pub use plan::{Limits, Move, Plan, ServerView, Source, plan};
pub use store_pace::{StorePace, StoreRate};
pub use value::free_mb;
