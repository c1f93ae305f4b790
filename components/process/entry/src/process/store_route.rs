//! Decides whether an instance calls the store directly or through another one. Does no I/O.
//!
//! The store may turn some instances away while it serves the others. If it turns the leader away,
//! no model would be loaded until its lease has expired, another instance has claimed it and the
//! turn gap has elapsed. An instance that does not lead would not learn of a new configuration.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;

/// Time between two direct calls while the other calls go through another instance.
const DIRECT_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of other instances that are tried in a row. If the store serves none of them, it is
/// probably down, and calls are direct until one succeeds or [`GIVE_UP_TIME`] has passed.
const MAX_RELAYS_IN_A_ROW: u32 = 5;
/// See [`MAX_RELAYS_IN_A_ROW`].
const GIVE_UP_TIME: Duration = Duration::from_secs(1);

/// Way of one call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreRoute {
    /// To the store itself.
    Direct,
    /// Through the instance with this address.
    Relay(SocketAddr),
}

/// Chooses the way of each call from the results of the earlier ones.
#[derive(Debug, Default)]
pub(crate) struct StoreRouting {
    relay: Option<SocketAddr>,
    /// Relays that failed since the last call that succeeded.
    failed_relays: u32,
    /// When the next direct call is due although there is a relay.
    probe_at: Option<Instant>,
    /// No relay is used before this time.
    direct_until: Option<Instant>,
}

impl StoreRouting {
    /// The way of the next call. A critical call is never the one that tests the direct way.
    pub(crate) fn next(&mut self, is_critical: bool, now: Instant) -> StoreRoute {
        let Some(relay) = self.relay else { return StoreRoute::Direct };
        if !is_critical && self.probe_at.is_some_and(|at| at <= now) {
            self.probe_at = Some(now + DIRECT_PROBE_INTERVAL);
            return StoreRoute::Direct;
        }
        StoreRoute::Relay(relay)
    }

    /// Records whether the store answered a call. `next_relay` returns an instance to try if the
    /// call failed; it gets the address of the one that just failed.
    pub(crate) fn record(
        &mut self,
        route: StoreRoute,
        has_answered: bool,
        now: Instant,
        next_relay: impl FnOnce(Option<SocketAddr>) -> Option<SocketAddr>,
    ) {
        match (route, has_answered) {
            (StoreRoute::Direct, true) => *self = Self::default(),
            (StoreRoute::Relay(_), true) => self.failed_relays = 0,
            // A probe of the direct way that failed, or a call from before the last change.
            (StoreRoute::Direct, false) if self.relay.is_some() => {}
            (StoreRoute::Relay(used), false) if self.relay != Some(used) => {}
            (StoreRoute::Direct, false) => {
                if self.direct_until.is_none_or(|until| until <= now) {
                    self.failed_relays = 0;
                    self.relay = next_relay(None);
                    self.probe_at = Some(now + DIRECT_PROBE_INTERVAL);
                }
            }
            (StoreRoute::Relay(used), false) => {
                self.failed_relays += 1;
                self.relay = match self.failed_relays < MAX_RELAYS_IN_A_ROW {
                    true => next_relay(Some(used)),
                    false => None,
                };
                if self.relay.is_none() {
                    self.direct_until = Some(now + GIVE_UP_TIME);
                }
            }
        }
    }

    /// Instance through which calls go now.
    pub(crate) fn relay(&self) -> Option<SocketAddr> {
        self.relay
    }

    /// Calls are direct again, because this instance is not the leader.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Chooses an instance through which one that does not lead reads what the leader has: first the
/// leader, which knows a way to the store, then a random one other than the one that just failed.
pub(crate) fn catch_up_relay(
    leader: Option<SocketAddr>,
    others: impl IntoIterator<Item = SocketAddr>,
    failed: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let others = others.into_iter().filter(|address| Some(*address) != failed);
    leader.filter(|_| failed.is_none()).or_else(|| others.choose(&mut rand::rng()))
}

#[cfg(test)]
mod tests;
