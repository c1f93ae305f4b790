//! Sharing of the weight store between groups of several owners.
//!
//! Owners publish what they have in progress and the priority of their waiting demand. A slot goes
//! to the demand with the highest priority; the other groups leave it free for a short time. Demand
//! that has waited for long precedes all other demand, the longest wait first, so that no group
//! starves.

use types::prelude::*;

use crate::placement::Placement;
use crate::view::{OtherGroups, View};

/// Time for which a group leaves a slot to another. The other takes the slot within milliseconds if
/// it can; if it cannot, for example for lack of memory, the slot does not stay empty for it.
const YIELD_PERIOD: Duration = Duration::from_millis(300);
/// Demand that has waited for this long, about the time of one load, precedes all demand that has
/// waited for less.
const LONG_WAIT: Duration = Duration::from_secs(5);
/// The priority of a long wait grows by one in each such period.
const LONG_WAIT_STEP: Duration = Duration::from_secs(4);
/// Lowest priority of a long wait; lower ones rank demand by urgency.
const LONG_WAIT_PRIORITY: u8 = 128;
/// After this wait a group without a store load of its own starts one regardless of the other
/// groups: what they publish may be wrong, or their loads may hang.
const MAX_STORE_WAIT: Duration = Duration::from_secs(30);
/// Time in which other groups receive a publication. Two starts of a group that shares the store
/// are at least this far apart, so that the others know of the first.
const PUBLICATION_DELAY: Duration = Duration::from_millis(20);

/// The priority that this group publishes. The other groups receive it some milliseconds later, so
/// a raised priority takes effect only after [`PUBLICATION_DELAY`]: until then two groups could
/// both consider themselves first.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PublishedPriority {
    published: u8,
    /// The lower priority before, and until when it stays in effect.
    previous: Option<(u8, Instant)>,
}

impl PublishedPriority {
    fn publish(&mut self, priority: u8, now: Instant) {
        if priority != self.published {
            self.previous = (priority > self.published)
                .then(|| (self.known_to_all(now), now + PUBLICATION_DELAY));
            self.published = priority;
        }
    }

    /// The priority that all groups have received.
    fn known_to_all(&self, now: Instant) -> u8 {
        match self.previous {
            Some((previous, until)) if now < until => previous,
            _ => self.published,
        }
    }
}

impl Placement {
    /// Number of loads and prefetches that this group has started from the store so far; wraps
    /// around.
    pub fn store_starts(&self) -> u32 {
        self.store_rate.total_starts()
    }

    /// Priority of the demand that waits for the store; 0 if none does. Demand whose load could
    /// start from the store now waits for something else, so other groups need not yield to it.
    ///
    /// Call this after [`Placement::handle`], which starts the loads that the store allows, and
    /// publish the result at once.
    pub fn store_wait_priority(&mut self, view: &View, now: Instant) -> u8 {
        let is_waiting = !self.pending.is_empty() && !self.can_start_store_load(view, now);
        let priority = if is_waiting { self.current_priority(now) } else { 0 };
        self.store_priority.publish(priority, now);
        priority
    }

    fn current_priority(&self, now: Instant) -> u8 {
        let waiting_for_store = self
            .pending
            .values()
            .filter(|p| p.sources.iter().all(|source| *source == LoadSource::Remote));
        let priority = |wait: Duration, urgency: f32| {
            if wait >= LONG_WAIT {
                let steps = ((wait - LONG_WAIT).as_secs_f32() / LONG_WAIT_STEP.as_secs_f32()) as u8;
                LONG_WAIT_PRIORITY.saturating_add(steps)
            } else {
                // Rounded to powers of two, so that a slowly growing urgency is rarely published.
                1 + (urgency.max(1.0).log2() as u8).min(LONG_WAIT_PRIORITY - 2)
            }
        };
        waiting_for_store
            .map(|p| priority(now.saturating_duration_since(p.since), p.urgency(now)))
            .max()
            .unwrap_or(0)
    }

    /// Whether another group's demand precedes this group's.
    fn is_outranked(&self, others: &OtherGroups, now: Instant) -> bool {
        if others.waiting_priority == 0 {
            return false;
        }
        let own = self.store_priority.known_to_all(now);
        others.waiting_priority > own || (others.waiting_priority == own && others.wins_ties)
    }

    /// Records at the start of a call since when the group has left a slot to another.
    pub(crate) fn update_yielding(&mut self, view: &View, now: Instant) {
        let is_yielding =
            self.has_store_slot(view, now) && self.is_outranked(&view.store.others, now);
        self.yielding_since = is_yielding.then(|| self.yielding_since.unwrap_or(now));
    }

    /// Records a load or prefetch from the store that was decided.
    pub(crate) fn record_store_start(&mut self, now: Instant) {
        self.store_rate.record_start(now);
        self.store_starts_in_call += 1;
        self.yielding_since = None;
    }

    /// Whether a load from the store may start now.
    pub(crate) fn can_start_store_load(&self, view: &View, now: Instant) -> bool {
        if self.is_past_max_store_wait(view, now) {
            return self.store_rate.next_start(self.settings.store_loads_per_second, 0, now) <= now;
        }
        let is_yielding = self.is_outranked(&view.store.others, now)
            && self.yielding_since.is_none_or(|since| now < since + YIELD_PERIOD);
        self.has_store_slot(view, now) && !is_yielding
    }

    fn has_store_slot(&self, view: &View, now: Instant) -> bool {
        let is_spaced = !view.store.others.exist
            || self.store_rate.last_start().is_none_or(|last| now >= last + PUBLICATION_DELAY);
        is_spaced
            && self.store_loads_in_progress(view) < self.settings.store_concurrent_loads
            && self.next_start_by_rate(view, now) <= now
    }

    fn is_past_max_store_wait(&self, view: &View, now: Instant) -> bool {
        let waited = |since: Instant| now.saturating_duration_since(since) >= MAX_STORE_WAIT;
        view.store.others.exist
            && self.own_store_loads(view) == 0
            && self.pending.values().any(|p| waited(p.since))
    }

    /// When the rate limit allows one more load.
    pub(crate) fn next_start_by_rate(&self, view: &View, now: Instant) -> Instant {
        let per_second = self.settings.store_loads_per_second;
        self.store_rate.next_start(per_second, view.store.others.starts, now)
    }

    /// Number of loads from the store in progress over all groups, whether or not the view shows
    /// them yet.
    pub(crate) fn store_loads_in_progress(&self, view: &View) -> u32 {
        self.own_store_loads(view) + view.store.others.loads
    }

    fn own_store_loads(&self, view: &View) -> u32 {
        let shown = view.store.loads_in_progress + self.store_starts_in_call;
        shown.max(self.outstanding.store_load_count())
    }
}
