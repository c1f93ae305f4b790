//! Decides which backend servers hold which models, and which instance may send the orders for it.
//! Does no I/O.

mod adapters;
mod demand;
mod last_orders;
mod leader_lease;
mod plan;
mod retention_value;
mod store_limits;
mod unload_time;
mod waiting_loss;

#[cfg(test)]
mod leader_lease_tests;
#[cfg(test)]
mod plan_tests;
#[cfg(test)]
mod store_limits_tests;
#[cfg(test)]
mod unload_time_tests;
#[cfg(test)]
mod waiting_loss_tests;

pub use adapters::{AdapterPlacement, AdapterUse, place_adapter};
pub use demand::{Demand, Demands};
pub use last_orders::OrderAge;
pub use leader_lease::{Action, BootTime, HeldLease, InstanceName, LeaderLease, LeaseRecord, Term};
pub use plan::{ModelPlacement, Plan, PlanLimits, ServerView, Source, plan};
pub use retention_value::free_mb;
pub use store_limits::{StoreConcurrencyLimit, StoreRateLimiter};
pub use unload_time::UnloadTime;
