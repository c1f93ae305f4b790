//! Cache of the owners of other data centres' key ranges, read from the platform.

use types::prelude::*;

/// How long a cached owner is valid. Summaries usually name a new owner earlier.
const VALIDITY: Duration = Duration::from_secs(10);
/// Minimum interval between reads of the same owner, so that a burst of claims causes one read.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Cached owners by key range.
#[derive(Debug, Default)]
pub(crate) struct KeyOwners {
    owners: HashMap<u32, CachedOwner>,
}

#[derive(Debug)]
struct CachedOwner {
    owner: Option<InstanceId>,
    valid_until: Instant,
    read_again_at: Instant,
}

impl KeyOwners {
    /// Stores the owner read from the platform; `None` if the range has no owner or could not be
    /// read.
    pub(crate) fn set(&mut self, range: u32, owner: Option<InstanceId>, now: Instant) {
        let entry =
            CachedOwner { owner, valid_until: now + VALIDITY, read_again_at: now + READ_INTERVAL };
        self.owners.insert(range, entry);
    }

    /// Returns the cached owner while it is valid.
    pub(crate) fn get(&self, range: u32, now: Instant) -> Option<InstanceId> {
        let entry = self.owners.get(&range).filter(|entry| now < entry.valid_until)?;
        entry.owner.clone()
    }

    /// Returns whether the owner was read within `READ_INTERVAL`, so that it is not read again yet.
    pub(crate) fn was_read_recently(&self, range: u32, now: Instant) -> bool {
        self.owners.get(&range).is_some_and(|entry| now < entry.read_again_at)
    }
}
