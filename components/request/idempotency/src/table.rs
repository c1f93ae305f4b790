//! Records in memory.

use types::prelude::*;

use crate::key::{Fingerprint, KeyHash};
use crate::record::{ClaimId, Entry, EntryState};

/// Latest entry of each key that has not expired.
#[derive(Debug, Default)]
pub(crate) struct Table {
    records: HashMap<KeyHash, Entry>,
    expiry: BTreeSet<(SystemTime, KeyHash)>,
}

/// What a record means for another call with its key.
pub(crate) enum Standing {
    /// The key can be claimed.
    Free,
    /// The record decides the call.
    Taken(EntryState),
    /// The key was used for another call.
    Mismatch,
}

impl Table {
    /// Takes an entry unless a later claim of the key is known.
    pub(crate) fn apply(&mut self, entry: Entry) {
        if self.records.get(&entry.key).is_some_and(|known| known.claim > entry.claim) {
            return;
        }
        let expires = (entry.expires_at, entry.key.clone());
        match self.records.insert(entry.key.clone(), entry) {
            Some(old) if old.expires_at == expires.0 => return,
            Some(old) => self.expiry.remove(&(old.expires_at, old.key)),
            None => false,
        };
        self.expiry.insert(expires);
    }

    pub(crate) fn expire(&mut self, now: SystemTime) {
        while let Some((at, key)) = self.expiry.pop_first() {
            if at > now {
                self.expiry.insert((at, key));
                break;
            }
            self.records.remove(&key);
        }
    }

    pub(crate) fn standing(
        &self,
        key: &KeyHash,
        fingerprint: &Fingerprint,
        now: SystemTime,
    ) -> Standing {
        match self.records.get(key) {
            None => Standing::Free,
            Some(entry) if entry.expires_at <= now => Standing::Free,
            Some(entry) if entry.state == EntryState::Released => Standing::Free,
            Some(entry) if entry.fingerprint != *fingerprint => Standing::Mismatch,
            Some(entry) => Standing::Taken(entry.state.clone()),
        }
    }

    /// The record of a claim that is still open.
    pub(crate) fn claimed(&self, key: &KeyHash, claim: ClaimId) -> Option<&Entry> {
        let open = |entry: &&Entry| entry.claim == claim && entry.state == EntryState::Claimed;
        self.records.get(key).filter(open)
    }
}
