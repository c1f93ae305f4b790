//! What groups and other data centres say of their use of the weight store.

use placement::OtherGroups;
use types::prelude::*;

/// A group or data centre that was not heard of for this long counts as using nothing.
pub(crate) const STORE_USE_VALIDITY: Duration = Duration::from_secs(5);
/// An owner repeats what is in progress after this time, so that one lost message does no harm.
pub(crate) const REPUBLISH_INTERVAL: Duration = Duration::from_secs(2);
/// Starts of the last second count against the rate of the store.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Starts of one group that are remembered; more than the store's rate over [`STARTS_WINDOW_S`].
const MAX_STARTS: u32 = 64;
/// Adapter loads are published in steps of this many: a few do not matter to others, and single
/// loads of milliseconds would each take two messages to the whole data centre.
const ADAPTER_STEP: u32 = 4;

#[derive(Debug)]
struct PublishedUse {
    fencing: FencingNumber,
    sequence: u64,
    store: StoreUse,
    at: Instant,
    starts: VecDeque<Instant>,
}

impl PublishedUse {
    fn starts_since(&self, from: Instant) -> u32 {
        self.starts.iter().filter(|at| **at > from).count() as u32
    }
}

/// What the groups of this data centre use.
#[derive(Debug, Default)]
pub(crate) struct StoreUseTracker {
    groups: BTreeMap<GroupId, PublishedUse>,
}

impl StoreUseTracker {
    /// Takes what a group's owner has published.
    pub(crate) fn apply(
        &mut self,
        group: &GroupId,
        (fencing, sequence): (FencingNumber, u64),
        store: StoreUse,
        now: Instant,
    ) {
        let Some(known) = self.groups.get_mut(group) else {
            let starts = VecDeque::new();
            let published = PublishedUse { fencing, sequence, store, at: now, starts };
            self.groups.insert(group.clone(), published);
            return;
        };
        if (fencing, sequence) <= (known.fencing, known.sequence) {
            return;
        }
        // Another owner counts from zero.
        let started = if fencing == known.fencing {
            store.starts.wrapping_sub(known.store.starts).min(MAX_STARTS)
        } else {
            0
        };
        let span = Duration::from_secs(STARTS_WINDOW_S.into());
        known.starts.retain(|at| *at + span > now);
        known.starts.extend((0..started).map(|_| now));
        (known.fencing, known.sequence, known.store, known.at) = (fencing, sequence, store, now);
    }

    /// Forgets groups that are no longer in the data centre.
    pub(crate) fn retain(&mut self, groups: &BTreeSet<GroupId>) {
        self.groups.retain(|group, _| groups.contains(group));
    }

    /// What groups other than `own` use; `elsewhere` is what other data centres use.
    pub(crate) fn others(
        &self,
        own: &GroupId,
        elsewhere: impl Iterator<Item = StoreUse>,
        now: Instant,
    ) -> OtherGroups {
        let mut others = OtherGroups::default();
        let window = now.checked_sub(RATE_WINDOW).unwrap_or(now);
        for (group, published) in self.groups.iter().filter(|(group, _)| *group != own) {
            others.exist = true;
            if now >= published.at + STORE_USE_VALIDITY {
                continue;
            }
            add_use(&mut others, published.store, published.starts_since(window), group < own);
        }
        for store in elsewhere {
            others.exist = true;
            // The starts of a summary are over by the time it comes; their mean is expected to
            // go on.
            add_use(&mut others, store, store.starts / STARTS_WINDOW_S, false);
        }
        others
    }

    /// What all groups of the data centre use, for the other data centres.
    pub(crate) fn total(&self, now: Instant) -> StoreUse {
        let mut total = StoreUse::default();
        let span = now.checked_sub(Duration::from_secs(STARTS_WINDOW_S.into())).unwrap_or(now);
        for published in
            self.groups.values().filter(|published| now < published.at + STORE_USE_VALIDITY)
        {
            total.loads += published.store.loads;
            total.adapters += published.store.adapters;
            total.waiting = total.waiting.max(published.store.waiting);
            total.starts += published.starts_since(span);
        }
        total
    }
}

fn add_use(others: &mut OtherGroups, store: StoreUse, starts: u32, precedes_equals: bool) {
    others.loads += store.loads;
    others.adapters += store.adapters;
    others.starts += starts;
    if store.waiting > others.waiting {
        (others.waiting, others.first_of_equals) = (store.waiting, precedes_equals);
    } else if store.waiting == others.waiting {
        others.first_of_equals |= precedes_equals;
    }
}

/// What an owner publishes of its group.
pub(crate) fn published_use(loads: u32, adapters: u32, starts: u32, waiting: u8) -> StoreUse {
    StoreUse { loads, adapters: adapters / ADAPTER_STEP * ADAPTER_STEP, starts, waiting }
}
