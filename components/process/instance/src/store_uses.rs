//! Use of the weight store as published by groups and other data centres.

use placement::OtherGroups;
use types::prelude::*;

/// Time after which the published use of a group or data centre expires and counts as zero.
pub(crate) const STORE_USE_VALIDITY: Duration = Duration::from_secs(5);
/// Interval at which an owner republishes its use, so that one lost message does no harm.
pub(crate) const REPUBLISH_INTERVAL: Duration = Duration::from_secs(2);
/// Load starts within this time count against the rate limit of the store.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of load starts that one publication of a group adds. It is above the number that
/// the store's rate allows within [`STARTS_WINDOW_S`].
const MAX_STARTS: u32 = 64;
/// The published number of adapter loads is rounded down to a multiple of this. A few loads do not
/// matter to other groups, and each load takes only milliseconds but would cause two broadcasts in
/// the data centre.
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

/// Latest published use by each group of this data centre.
#[derive(Debug, Default)]
pub(crate) struct StoreUseTracker {
    groups: BTreeMap<GroupId, PublishedUse>,
}

impl StoreUseTracker {
    /// Applies the use that a group's owner has published; older publications are ignored.
    pub(crate) fn apply(
        &mut self,
        group: &GroupId,
        (fencing, sequence): (FencingNumber, u64),
        store: StoreUse,
        now: Instant,
    ) {
        let Some(last) = self.groups.get_mut(group) else {
            let starts = VecDeque::new();
            let published = PublishedUse { fencing, sequence, store, at: now, starts };
            self.groups.insert(group.clone(), published);
            return;
        };
        if (fencing, sequence) <= (last.fencing, last.sequence) {
            return;
        }
        // A new owner counts starts from zero.
        let started = if fencing == last.fencing {
            store.starts.wrapping_sub(last.store.starts).min(MAX_STARTS)
        } else {
            0
        };
        let span = Duration::from_secs(STARTS_WINDOW_S.into());
        last.starts.retain(|at| *at + span > now);
        last.starts.extend((0..started).map(|_| now));
        (last.fencing, last.sequence, last.store, last.at) = (fencing, sequence, store, now);
    }

    /// Removes groups that are no longer in the data centre.
    pub(crate) fn retain(&mut self, groups: &BTreeSet<GroupId>) {
        self.groups.retain(|group, _| groups.contains(group));
    }

    /// Sums the use by groups other than `own` and by other data centres (`elsewhere`).
    pub(crate) fn use_by_others(
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
            // The starts in a summary are already in the past, so that their mean rate is used as
            // the expected current rate.
            add_use(&mut others, store, store.starts / STARTS_WINDOW_S, false);
        }
        others
    }

    /// Sums the use by all groups of the data centre, for the summaries to other data centres.
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

fn add_use(others: &mut OtherGroups, store: StoreUse, starts: u32, wins_ties: bool) {
    others.loads += store.loads;
    others.adapters += store.adapters;
    others.starts += starts;
    if store.waiting > others.waiting_priority {
        (others.waiting_priority, others.wins_ties) = (store.waiting, wins_ties);
    } else if store.waiting == others.waiting_priority {
        others.wins_ties |= wins_ties;
    }
}

/// Builds the use that an owner publishes, with the adapter loads rounded down.
pub(crate) fn published_use(loads: u32, adapters: u32, starts: u32, waiting: u8) -> StoreUse {
    StoreUse { loads, adapters: adapters / ADAPTER_STEP * ADAPTER_STEP, starts, waiting }
}
