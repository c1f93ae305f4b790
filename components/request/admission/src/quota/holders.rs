//! Which instance should hold the share of another.

use types::prelude::*;

use super::messages::InstanceKey;

/// Least time for which a holder counts as failed.
const MIN_FAILED_TIME: Duration = Duration::from_millis(1_000);

/// Instances that may hold a share.
#[derive(Debug, Default)]
pub(super) struct Holders {
    /// The preferred one first.
    order: Box<[InstanceKey]>,
    /// Those that gave no answer, and since when they count as failed.
    failed: HashMap<InstanceKey, Instant>,
}

impl Holders {
    /// Replaces the list; an empty one keeps it.
    pub(super) fn set(&mut self, order: &[InstanceKey]) {
        if !order.is_empty() && *order != *self.order {
            self.order = order.into();
            self.failed.retain(|holder, _| order.contains(holder));
        }
    }

    /// Records that the holder did not answer.
    pub(super) fn record_failed(&mut self, holder: InstanceKey, now: Instant) {
        self.failed.insert(holder, now);
    }

    /// Records that the holder answered.
    pub(super) fn record_answer(&mut self, holder: InstanceKey) {
        self.failed.remove(&holder);
    }

    /// Records that another message of the holder arrived, so that it may be tried again.
    pub(super) fn record_alive(&mut self, holder: InstanceKey, now: Instant) {
        if self.failed.get(&holder).is_some_and(|since| now >= *since + MIN_FAILED_TIME) {
            self.failed.remove(&holder);
        }
    }

    pub(super) fn is_failed(&self, holder: InstanceKey) -> bool {
        self.failed.contains_key(&holder)
    }

    /// The holder that should have the share. If all have failed, it is the one that failed first,
    /// after a time in which requests do not wait for any.
    pub(super) fn preferred(&self, now: Instant) -> Option<InstanceKey> {
        let mut order = self.order.iter().copied();
        if let Some(usable) = order.find(|holder| !self.is_failed(*holder)) {
            return Some(usable);
        }
        let first = self.failed.iter().min_by_key(|(_, since)| **since);
        first.filter(|(_, since)| now >= **since + MIN_FAILED_TIME).map(|(holder, _)| *holder)
    }
}
