//! Bounded map of recently used keys.

use std::collections::HashMap;
use std::time::Instant;

use crate::PropertyKey;

/// Keys in one generation. Two generations are kept.
const GENERATION_LEN: usize = 4_096;

/// The last few thousand keys, and when each was last used. The older half is dropped at once when
/// the newer half is full.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentKeys {
    /// At most [`GENERATION_LEN`] keys.
    newer: HashMap<PropertyKey, Instant>,
    older: HashMap<PropertyKey, Instant>,
}

impl RecentKeys {
    /// Records a use at `at`, which may be before the last known one.
    pub(crate) fn insert(&mut self, key: PropertyKey, at: Instant) {
        let at = self.last(key).map_or(at, |last| last.max(at));
        if self.newer.len() >= GENERATION_LEN {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, at);
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    pub(crate) fn last(&self, key: PropertyKey) -> Option<Instant> {
        self.newer.get(&key).or_else(|| self.older.get(&key)).copied()
    }

    pub(crate) fn contains(&self, key: PropertyKey) -> bool {
        self.last(key).is_some()
    }
}
