//! Sends orders to the engines while this instance is the leader, that is, holds the lease.

mod adapters;
mod copies;
mod leader;
mod lease;
mod moves;
mod order;
mod plan_loop;
mod publish;

use std::time::Duration;

pub(crate) use lease::maintain_lease;
pub(crate) use plan_loop::run_plan_loop;

/// Time without orders for a server that refused one.
const REFUSED_PAUSE: Duration = Duration::from_millis(700);
