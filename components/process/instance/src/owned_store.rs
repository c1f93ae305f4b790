//! How an owned group shares the weight store with other groups.

use placement::{Event, StoreView};
use rand::Rng;
use types::prelude::*;

use crate::group_view::placement_view;
use crate::owned_group::OwnedGroup;
use crate::store_uses::{self, REPUBLISH_INTERVAL};

/// Delay in milliseconds before placement runs again for demand that waits for the weight store. It
/// is random, so that the owners of different groups do not all start loads at the same moment.
const STORE_RETRY_RANGE_MS: std::ops::Range<u64> = 30..70;

impl OwnedGroup {
    /// Runs placement for demand that waits for the weight store, and republishes the group's use
    /// of the store.
    pub(crate) fn store_timers(&mut self, now: Instant, wall: SystemTime, rng: &mut impl Rng) {
        if self.store_retry_at.is_some_and(|at| at <= now) {
            self.run_placement(&Event::ViewChanged, now, wall, rng);
        }
        if self.store_republish_at.is_some_and(|at| at <= now) {
            self.store_republish_at = Some(now + REPUBLISH_INTERVAL);
            self.publishing.resend_store_use(now);
        }
    }

    /// Publishes the group's use of the weight store if it has changed, and sets the timers for
    /// retries and republication.
    pub(crate) fn update_store_use(&mut self, now: Instant, rng: &mut impl Rng) {
        let view = self.placement_view(now);
        let waiting = self.placement.store_wait_priority(&view, now);
        let retry = Duration::from_millis(rng.random_range(STORE_RETRY_RANGE_MS));
        self.store_retry_at = (waiting > 0).then_some(now + retry);
        let StoreView { loads_in_progress, adapters_in_flight, .. } = view.store;
        let starts = self.placement.store_starts();
        let store =
            store_uses::published_use(loads_in_progress, adapters_in_flight, starts, waiting);
        if self.group.set_store_use(store) {
            self.publishing.mark_changed(now);
        }
        let republish_at = self.store_republish_at.unwrap_or(now + REPUBLISH_INTERVAL);
        self.store_republish_at = store.is_active().then_some(republish_at);
    }

    pub(crate) fn placement_view(&self, now: Instant) -> placement::View {
        let (loads, adapters) = self.in_flight_loads.store_counts();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let store = StoreView {
            loads_in_progress: count(loads),
            adapters_in_flight: count(adapters),
            others: self.use_by_others,
        };
        placement_view(&self.group.view(now), &self.last_used, store, now)
    }
}
