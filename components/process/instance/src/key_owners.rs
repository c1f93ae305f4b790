//! Owners of key ranges of other data centres, as read from the platform.

use types::prelude::*;

/// How long an owner is used before it is read again; summaries name it sooner.
const VALIDITY: Duration = Duration::from_secs(10);
/// Least time between two reads of the same owner, so that a burst of claims causes one read.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Owners by key range.
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
    /// Takes what the platform says; `None` if nobody owns the range or it could not be read.
    pub(crate) fn set(&mut self, range: u32, owner: Option<InstanceId>, now: Instant) {
        let entry =
            CachedOwner { owner, valid_until: now + VALIDITY, read_again_at: now + READ_INTERVAL };
        self.owners.insert(range, entry);
    }

    /// The owner, if it was read lately.
    pub(crate) fn get(&self, range: u32, now: Instant) -> Option<InstanceId> {
        let entry = self.owners.get(&range).filter(|entry| now < entry.valid_until)?;
        entry.owner.clone()
    }

    /// Whether the owner was read so lately that reading it again is of no use.
    pub(crate) fn was_read_recently(&self, range: u32, now: Instant) -> bool {
        self.owners.get(&range).is_some_and(|entry| now < entry.read_again_at)
    }
}
