//! Which servers got orders lately, so that a planned change of the order giver pauses the orders
//! to these servers only.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use server_directory::ServerId;

use crate::leader_lease::BootTime;

/// Age of the last order to a server, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OrderAge {
    /// The server.
    pub server: ServerId,
    /// Milliseconds since the order.
    pub age_ms: u32,
}

/// Whole milliseconds of a time that is far below the largest number.
pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn order_age((server, age): (&ServerId, Duration)) -> OrderAge {
    OrderAge { server: server.clone(), age_ms: millis(age) }
}

/// When each server got an order last from this holder of the lease.
#[derive(Clone, Debug, Default)]
pub(crate) struct LastOrders {
    at: HashMap<ServerId, BootTime>,
}

impl LastOrders {
    /// An order leaves for the server.
    pub(crate) fn note(&mut self, server: &str, now: BootTime) {
        match self.at.get_mut(server) {
            Some(at) => *at = now,
            None => {
                self.at.insert(server.into(), now);
            }
        }
    }

    /// Orders of the last `gap`, and those of the predecessor that still close a server.
    pub(crate) fn ages(
        &self,
        closed: &ClosedServers,
        now: BootTime,
        gap: Duration,
    ) -> Box<[OrderAge]> {
        let own = self.at.iter().map(|(server, at)| (server, now.saturating_sub(*at)));
        own.filter(|(_, age)| *age < gap).map(order_age).chain(closed.ages(now, gap)).collect()
    }
}

/// Servers that a successor must leave alone until a whole gap after the last order of its
/// predecessor.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClosedServers {
    until: HashMap<ServerId, BootTime>,
}

impl ClosedServers {
    /// The predecessor told the ages of its orders; `read_at` is when this was read, which is after
    /// it was told, so that the orders are at least that old.
    pub(crate) fn after(ages: &[OrderAge], read_at: BootTime, gap: Duration) -> Self {
        let mut until = HashMap::new();
        for order in ages {
            let age = Duration::from_millis(u64::from(order.age_ms));
            let ends = (read_at + gap).saturating_sub(age);
            let known = until.entry(order.server.clone()).or_insert(ends);
            *known = ends.max(*known);
        }
        Self { until }
    }

    /// Orders of the predecessor that still close a server.
    pub(crate) fn ages(
        &self,
        now: BootTime,
        gap: Duration,
    ) -> impl Iterator<Item = OrderAge> + use<'_> {
        let closed = self.until.iter().filter(move |(_, until)| **until > now);
        closed.map(move |(server, until)| order_age((server, gap.saturating_sub(*until - now))))
    }

    /// Whether the server may be given orders.
    pub(crate) fn is_open(&self, server: &str, now: BootTime) -> bool {
        self.until.get(server).is_none_or(|until| now >= *until)
    }
}
