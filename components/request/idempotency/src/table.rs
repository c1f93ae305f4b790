//! In-memory index of the records of one range.

use types::prelude::*;

use crate::key::{Fingerprint, KeyHash};
use crate::record::{ClaimId, Entry, EntryState};

/// Latest entry of each key, until it expires.
#[derive(Debug, Default)]
pub(crate) struct Table {
    records: HashMap<KeyHash, Entry>,
    expiry: BTreeSet<(SystemTime, KeyHash)>,
}

/// Status of a key for a call that wants to claim it.
pub(crate) enum KeyStatus {
    /// The key can be claimed.
    Free,
    /// An earlier call with the same fingerprint has used the key.
    Used(EntryState),
    /// An earlier call with another fingerprint has used the key.
    Mismatch,
}

impl Table {
    /// Stores an entry unless a later claim of the key is known.
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

    pub(crate) fn key_status(
        &self,
        key: &KeyHash,
        fingerprint: &Fingerprint,
        now: SystemTime,
    ) -> KeyStatus {
        match self.records.get(key) {
            None => KeyStatus::Free,
            Some(entry) if entry.expires_at <= now => KeyStatus::Free,
            Some(entry) if entry.state == EntryState::Released => KeyStatus::Free,
            Some(entry) if entry.fingerprint != *fingerprint => KeyStatus::Mismatch,
            Some(entry) => KeyStatus::Used(entry.state.clone()),
        }
    }

    /// The entry of a claim whose call has no recorded outcome yet.
    pub(crate) fn open_claim(&self, key: &KeyHash, claim: ClaimId) -> Option<&Entry> {
        let is_open = |entry: &&Entry| entry.claim == claim && entry.state == EntryState::Claimed;
        self.records.get(key).filter(is_open)
    }
}
