//! When models are expected to be ready, as last announced by the owners of groups.

use types::prelude::*;

/// How long an owner's answer is used for admission; demand is sent again more often than this.
const ANSWER_VALIDITY: Duration = Duration::from_secs(2);
/// How long a model that cannot be loaded counts as unavailable before it is tried again.
const UNAVAILABLE_VALIDITY: Duration = Duration::from_millis(500);

/// Expected times of readiness by model.
#[derive(Debug, Default)]
pub(crate) struct ExpectedReady {
    entries: HashMap<ModelId, Entry>,
}

#[derive(Debug)]
struct Entry {
    ready_at: Instant,
    valid_until: Instant,
}

impl ExpectedReady {
    /// Stores an owner's answer; `None` if the model cannot be loaded now.
    pub(crate) fn set(&mut self, model: ModelId, ready_at: Option<Instant>, now: Instant) {
        let entry = match ready_at {
            Some(ready_at) => Entry { ready_at, valid_until: now + ANSWER_VALIDITY },
            None => {
                let until = now + UNAVAILABLE_VALIDITY;
                Entry { ready_at: until, valid_until: until }
            }
        };
        self.entries.insert(model, entry);
    }

    /// Returns the expected time, if an answer is still valid.
    pub(crate) fn get(&self, model: &str, now: Instant) -> Option<Instant> {
        let entry = self.entries.get(model).filter(|entry| now < entry.valid_until)?;
        Some(entry.ready_at.max(now))
    }

    /// Removes answers that are no longer valid.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now < entry.valid_until);
    }
}
