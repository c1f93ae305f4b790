//! Gives orders to the engines while this instance holds the lease.

mod adapters;
mod give;
mod giver;
mod lease;
mod moves;
mod order;
mod tell;

use std::time::Duration;

pub(crate) use give::give;
pub(crate) use lease::keep_lease;

/// A server that refused an order is left alone for this time.
const REFUSED_PAUSE: Duration = Duration::from_millis(700);
