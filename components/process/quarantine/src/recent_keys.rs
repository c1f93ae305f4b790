//! Bounded set of recently used keys.

use std::collections::HashSet;

use crate::PropertyKey;

/// Keys in one generation. Two generations are kept.
const GENERATION_LEN: usize = 4_096;

/// The last few thousand keys. The older half is dropped at once when the newer half is full.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentKeys {
    /// At most [`GENERATION_LEN`] keys.
    newer: HashSet<PropertyKey>,
    older: HashSet<PropertyKey>,
}

impl RecentKeys {
    pub(crate) fn insert(&mut self, key: PropertyKey) {
        if self.newer.len() >= GENERATION_LEN {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key);
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    pub(crate) fn contains(&self, key: PropertyKey) -> bool {
        self.newer.contains(&key) || self.older.contains(&key)
    }
}
