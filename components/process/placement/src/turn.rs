//! Whose turn it is at the weight store, which groups of several owners share.
//!
//! Owners tell each other what they have in progress and the priority of the demand that waits.
//! A place goes to the demand with the highest priority; who does not have it leaves the place for
//! a short time. Demand that has waited for long comes first, the longest wait before all, so that
//! no group waits for ever.

use types::prelude::*;

use crate::placement::Placement;
use crate::view::{OtherGroups, View};

/// Time for which a place is left to another group. It takes the place within milliseconds if it
/// can; if it cannot, for example for lack of memory, the place is not kept empty for it.
const YIELD_TIME: Duration = Duration::from_millis(300);
/// From this wait on demand precedes all demand that has waited for less. About one load.
const LONG_WAIT: Duration = Duration::from_secs(5);
/// Priorities of long waits grow by one in this time.
const WAIT_STEP: Duration = Duration::from_secs(4);
/// Priority of a long wait; lower ones are for demand by urgency.
const FIRST_LONG: u8 = 128;
/// From this wait on a group without a load of its own starts one, whatever others do: what they
/// say may be wrong, or their loads may hang.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// Least time between two starts of a group among several, in which the others hear of the first.
const SPACING: Duration = Duration::from_millis(20);

/// A priority that other groups are told. They hear it some milliseconds later, so that a raised
/// one counts only after [`SPACING`]: until then two groups could both take themselves for first.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ToldPriority {
    told: u8,
    /// The lower one before, and until when it counts.
    before: Option<(u8, Instant)>,
}

impl ToldPriority {
    fn tell(&mut self, priority: u8, now: Instant) {
        if priority != self.told {
            self.before = (priority > self.told).then(|| (self.known(now), now + SPACING));
            self.told = priority;
        }
    }

    /// The priority that all groups know of.
    fn known(&self, now: Instant) -> u8 {
        match self.before {
            Some((before, until)) if now < until => before,
            _ => self.told,
        }
    }
}

impl Placement {
    /// Loads and prefetches that this group started from the store so far, wrapping.
    pub fn store_starts(&self) -> u32 {
        self.store.total()
    }

    /// Priority of the demand that waits for the store; 0 if none does. Demand that the store
    /// would let start waits for something else, so that no other group is to wait for it.
    /// Called after [`Placement::handle`], which starts what the store lets start; the caller tells
    /// the other groups at once.
    pub fn store_wait_priority(&mut self, view: &View, now: Instant) -> u8 {
        let waits = !self.pending.is_empty() && !self.store_open(view, now);
        let priority = if waits { self.present_priority(now) } else { 0 };
        self.store_priority.tell(priority, now);
        priority
    }

    fn present_priority(&self, now: Instant) -> u8 {
        let from_store = self
            .pending
            .values()
            .filter(|p| p.copies.iter().all(|copy| *copy == LoadSource::Remote));
        let priority = |wait: Duration, urgency: f32| {
            if wait >= LONG_WAIT {
                let steps = ((wait - LONG_WAIT).as_secs_f32() / WAIT_STEP.as_secs_f32()) as u8;
                FIRST_LONG.saturating_add(steps)
            } else {
                // Whole powers of two, so that a slowly growing urgency is rarely published.
                1 + (urgency.max(1.0).log2() as u8).min(FIRST_LONG - 2)
            }
        };
        from_store
            .map(|p| priority(now.saturating_duration_since(p.since), p.urgency(now)))
            .max()
            .unwrap_or(0)
    }

    /// Whether another group's demand precedes this group's.
    fn is_preceded(&self, others: &OtherGroups, now: Instant) -> bool {
        if others.waiting_priority == 0 {
            return false;
        }
        let own = self.store_priority.known(now);
        others.waiting_priority > own || (others.waiting_priority == own && others.wins_ties)
    }

    /// Notes at the start of a call since when a place is left to another group.
    pub(crate) fn note_turn(&mut self, view: &View, now: Instant) {
        let yields = self.has_place(view, now) && self.is_preceded(&view.store.others, now);
        self.yields_since = yields.then(|| self.yields_since.unwrap_or(now));
    }

    /// Notes a load or prefetch that was decided.
    pub(crate) fn note_store_start(&mut self, now: Instant) {
        self.store.started(now);
        self.store_starts_in_call += 1;
        self.yields_since = None;
    }

    /// Whether a load from the store may start now.
    pub(crate) fn store_open(&self, view: &View, now: Instant) -> bool {
        if self.has_waited_longest(view, now) {
            return self.store.next_start(self.settings.store_loads_per_second, 0, now) <= now;
        }
        let yields = self.is_preceded(&view.store.others, now)
            && self.yields_since.is_none_or(|since| now < since + YIELD_TIME);
        self.has_place(view, now) && !yields
    }

    fn has_place(&self, view: &View, now: Instant) -> bool {
        let spaced =
            !view.store.others.exist || self.store.last().is_none_or(|last| now >= last + SPACING);
        spaced
            && self.store_in_progress(view) < self.settings.store_concurrent_loads
            && self.next_rate_start(view, now) <= now
    }

    fn has_waited_longest(&self, view: &View, now: Instant) -> bool {
        let waited = |since: Instant| now.saturating_duration_since(since) >= LONGEST_WAIT;
        view.store.others.exist
            && self.own_store_loads(view) == 0
            && self.pending.values().any(|p| waited(p.since))
    }

    /// When the rate lets one more load start.
    pub(crate) fn next_rate_start(&self, view: &View, now: Instant) -> Instant {
        let per_second = self.settings.store_loads_per_second;
        self.store.next_start(per_second, view.store.others.starts, now)
    }

    /// Loads from the store in progress over all groups, whether or not the view shows them yet.
    pub(crate) fn store_in_progress(&self, view: &View) -> u32 {
        self.own_store_loads(view) + view.store.others.loads
    }

    fn own_store_loads(&self, view: &View) -> u32 {
        let shown = view.store.loads_in_progress + self.store_starts_in_call;
        shown.max(self.outstanding.store_loads())
    }
}
