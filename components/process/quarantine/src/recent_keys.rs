//! Bounded map of recently used keys.

use std::collections::HashMap;
use std::time::Instant;

use crate::PropertyKey;
use crate::property::is_prompt;

/// Keys in one generation. Two generations are kept.
const GENERATION_LEN: usize = 4_096;
/// Prompts in one generation. Each answered request adds one, and only those that callers send again
/// matter.
const PROMPT_GENERATION_LEN: usize = 512;

/// The last few thousand keys, and when each was last used. Prompts don't push out other keys.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentKeys {
    prompts: Generations<PROMPT_GENERATION_LEN>,
    others: Generations<GENERATION_LEN>,
}

impl RecentKeys {
    /// Records a use at `at`, which may be before the last known one.
    pub(crate) fn insert(&mut self, key: PropertyKey, at: Instant) {
        if is_prompt(key) { self.prompts.insert(key, at) } else { self.others.insert(key, at) }
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.prompts.len() + self.others.len()
    }

    pub(crate) fn last(&self, key: PropertyKey) -> Option<Instant> {
        if is_prompt(key) { self.prompts.last(key) } else { self.others.last(key) }
    }

    pub(crate) fn contains(&self, key: PropertyKey) -> bool {
        self.last(key).is_some()
    }
}

/// Two generations of keys. The older one is dropped at once when the newer one is full.
#[derive(Clone, Debug, Default)]
struct Generations<const LEN: usize> {
    /// At most `LEN` keys.
    newer: HashMap<PropertyKey, Instant>,
    older: HashMap<PropertyKey, Instant>,
}

impl<const LEN: usize> Generations<LEN> {
    fn insert(&mut self, key: PropertyKey, at: Instant) {
        let at = self.last(key).map_or(at, |last| last.max(at));
        if self.newer.len() >= LEN {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, at);
    }

    #[cfg(test)]
    fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    fn last(&self, key: PropertyKey) -> Option<Instant> {
        self.newer.get(&key).or_else(|| self.older.get(&key)).copied()
    }
}
