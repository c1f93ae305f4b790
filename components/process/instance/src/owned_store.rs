//! An owned group's part in sharing the weight store.

use placement::{Event, StoreView};
use rand::Rng;
use types::prelude::*;

use crate::group_view::placement_view;
use crate::owned_group::OwnedGroup;
use crate::store_uses::{self, REPEAT_EVERY};

/// Demand that waits for the weight store is looked at again after a time in this range, in
/// milliseconds; drawn, so that owners do not all look at the same moment.
const STORE_RETRY_MS: std::ops::Range<u64> = 30..70;

impl OwnedGroup {
    /// Looks again at demand that waits for the store, and repeats what is in progress there.
    pub(crate) fn store_timers(&mut self, now: Instant, wall: SystemTime, rng: &mut impl Rng) {
        if self.store_retry_at.is_some_and(|at| at <= now) {
            self.place(&Event::ViewChanged, now, wall, rng);
        }
        if self.store_repeat_at.is_some_and(|at| at <= now) {
            self.store_repeat_at = Some(now + REPEAT_EVERY);
            self.publishing.resend_store_use(now);
        }
    }

    /// Publishes what the group has in progress at the weight store, if that has changed.
    pub(crate) fn note_store_use(&mut self, now: Instant, rng: &mut impl Rng) {
        let view = self.placement_view(now);
        let waiting = self.placement.store_waiting(&view, now);
        let retry = Duration::from_millis(rng.random_range(STORE_RETRY_MS));
        self.store_retry_at = (waiting > 0).then_some(now + retry);
        let StoreView { loads_in_progress, adapters_in_flight, .. } = view.store;
        let starts = self.placement.store_starts();
        let store = store_uses::published(loads_in_progress, adapters_in_flight, starts, waiting);
        if self.group.set_store_use(store) {
            self.publishing.mark_changed(now);
        }
        let repeat_at = self.store_repeat_at.unwrap_or(now + REPEAT_EVERY);
        self.store_repeat_at = store.is_active().then_some(repeat_at);
    }

    pub(crate) fn placement_view(&self, now: Instant) -> placement::View {
        let (loads, adapters) = self.progress.store_load();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let store = StoreView {
            loads_in_progress: count(loads),
            adapters_in_flight: count(adapters),
            others: self.others,
        };
        placement_view(&self.group.view(now), &self.used, store, now)
    }
}
