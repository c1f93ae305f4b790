//! Records which servers received orders recently, so that a planned change of the leader pauses
//! orders to these servers only.

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

/// Whole milliseconds of a duration, saturating at `u32::MAX`.
pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn order_age((server, age): (&ServerId, Duration)) -> OrderAge {
    OrderAge { server: server.clone(), age_ms: millis(age) }
}

/// When this holder of the lease last sent an order to each server.
#[derive(Clone, Debug, Default)]
pub(crate) struct LastOrders {
    sent_at: HashMap<ServerId, BootTime>,
}

impl LastOrders {
    /// Records that an order is sent to the server.
    pub(crate) fn record(&mut self, server: &str, now: BootTime) {
        match self.sent_at.get_mut(server) {
            Some(at) => *at = now,
            None => {
                self.sent_at.insert(server.into(), now);
            }
        }
    }

    /// Ages of the orders within the last `gap`, and of the predecessor's orders that still block a
    /// server.
    pub(crate) fn ages(
        &self,
        blocked: &BlockedServers,
        now: BootTime,
        gap: Duration,
    ) -> Box<[OrderAge]> {
        let own = self.sent_at.iter().map(|(server, at)| (server, now.saturating_sub(*at)));
        own.filter(|(_, age)| *age < gap).map(order_age).chain(blocked.ages(now, gap)).collect()
    }
}

/// Servers that a successor may not order until the turn gap after its predecessor's last order has
/// elapsed.
#[derive(Clone, Debug, Default)]
pub(crate) struct BlockedServers {
    until: HashMap<ServerId, BootTime>,
}

impl BlockedServers {
    /// Blocks the servers in the order ages that the predecessor stored. The ages were read at
    /// `read_at`, after they were stored, so the orders are at least that old.
    pub(crate) fn from_order_ages(ages: &[OrderAge], read_at: BootTime, gap: Duration) -> Self {
        let mut until = HashMap::new();
        for order in ages {
            let age = Duration::from_millis(u64::from(order.age_ms));
            let ends = (read_at + gap).saturating_sub(age);
            let known = until.entry(order.server.clone()).or_insert(ends);
            *known = ends.max(*known);
        }
        Self { until }
    }

    /// Ages of the predecessor's orders that still block a server.
    pub(crate) fn ages(
        &self,
        now: BootTime,
        gap: Duration,
    ) -> impl Iterator<Item = OrderAge> + use<'_> {
        let blocked = self.until.iter().filter(move |(_, until)| **until > now);
        blocked.map(move |(server, until)| order_age((server, gap.saturating_sub(*until - now))))
    }

    /// Whether the predecessor's orders no longer block the server.
    pub(crate) fn is_unblocked(&self, server: &str, now: BootTime) -> bool {
        self.until.get(server).is_none_or(|until| now >= *until)
    }
}
