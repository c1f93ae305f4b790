//! Claims whose records are not stored yet.

use types::prelude::*;

use crate::api::{Claim, Token};
use crate::key::KeyHash;
use crate::record::{ClaimId, Entry, EntryState};

/// Pending claims by number, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    claims: BTreeMap<u64, PendingClaim>,
    keys: HashMap<KeyHash, u64>,
    deadlines: BTreeSet<(Instant, u64)>,
    /// Numbers, by key, of claims that were refused although a write may store them.
    abandoned: HashMap<KeyHash, u64>,
}

#[derive(Debug)]
struct PendingClaim {
    claim: Claim,
    /// A write that contains the claim has an unknown outcome, so the claim may be stored already
    /// or later.
    maybe_stored: bool,
    /// The outstanding write contains the claim.
    in_write: bool,
}

impl Pending {
    pub(crate) fn insert(&mut self, number: u64, claim: Claim) {
        self.keys.insert(claim.key.clone(), number);
        self.deadlines.insert((claim.decide_by, number));
        self.claims.insert(number, PendingClaim { claim, maybe_stored: false, in_write: false });
    }

    pub(crate) fn by_key(&self, key: &KeyHash) -> Option<&Claim> {
        self.claims.get(self.keys.get(key)?).map(|pending| &pending.claim)
    }

    pub(crate) fn is_abandoned(&self, key: &KeyHash) -> bool {
        self.abandoned.contains_key(key)
    }

    pub(crate) fn claim_numbers(&self) -> Vec<u64> {
        self.claims.keys().copied().collect()
    }

    pub(crate) fn get(&self, number: u64) -> Option<&Claim> {
        self.claims.get(&number).map(|pending| &pending.claim)
    }

    /// Removes a claim that was decided.
    pub(crate) fn remove(&mut self, number: u64) -> Option<Claim> {
        let PendingClaim { claim, .. } = self.claims.remove(&number)?;
        self.keys.remove(&claim.key);
        self.deadlines.remove(&(claim.decide_by, number));
        Some(claim)
    }

    /// Removes a claim that is refused before it is known to be stored. It counts as abandoned if a
    /// write may store it.
    pub(crate) fn abandon(&mut self, number: u64) -> Option<Claim> {
        let pending = self.claims.get(&number)?;
        if pending.maybe_stored || pending.in_write {
            self.abandoned.insert(pending.claim.key.clone(), number);
        }
        self.remove(number)
    }

    /// Removes claims whose `decide_by` has passed and returns their tokens.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Token> {
        let mut tokens = Vec::new();
        while let Some((_, number)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
            let Some(claim) = self.abandon(number) else { break };
            tokens.push(claim.token);
        }
        tokens
    }

    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Whether a write is needed, either for a claim or to find out whether abandoned claims were
    /// stored.
    pub(crate) fn needs_write(&self) -> bool {
        !self.abandoned.is_empty() || self.claims.values().any(|pending| !pending.in_write)
    }

    /// Entries for the claims that the outstanding write does not contain, oldest first.
    pub(crate) fn unwritten_entries(
        &self,
        fencing: FencingNumber,
    ) -> impl Iterator<Item = (u64, Entry)> + '_ {
        let unwritten = self.claims.iter().filter(|(_, pending)| !pending.in_write);
        unwritten.map(move |(number, pending)| {
            let Claim { key, fingerprint, expires_at, .. } = pending.claim.clone();
            let claim = ClaimId { fencing, number: *number };
            let state = EntryState::Claimed;
            (*number, Entry { key, fingerprint, claim, state, expires_at })
        })
    }

    /// Marks the claims that the new outstanding write contains.
    pub(crate) fn start_write(&mut self, numbers: &[u64]) {
        for number in numbers {
            if let Some(pending) = self.claims.get_mut(number) {
                pending.in_write = true;
            }
        }
    }

    /// Records that the outstanding write has an unknown outcome.
    pub(crate) fn mark_maybe_stored(&mut self) {
        for pending in self.claims.values_mut().filter(|pending| pending.in_write) {
            pending.maybe_stored = true;
        }
    }

    /// Returns the claims of the outstanding write to the queue for the next write.
    pub(crate) fn requeue_write(&mut self) {
        self.claims.values_mut().for_each(|pending| pending.in_write = false);
    }

    /// Records that a write was stored, after which no earlier write can be stored. Removes and
    /// returns the abandoned claims; the records contain those that were stored.
    pub(crate) fn complete_write(&mut self) -> HashMap<KeyHash, u64> {
        for pending in self.claims.values_mut() {
            (pending.in_write, pending.maybe_stored) = (false, false);
        }
        std::mem::take(&mut self.abandoned)
    }

    /// Removes and returns the abandoned claims that are known to be stored.
    pub(crate) fn take_stored(
        &mut self,
        is_stored: impl Fn(&KeyHash, u64) -> bool,
    ) -> HashMap<KeyHash, u64> {
        let all = std::mem::take(&mut self.abandoned);
        let (stored, unknown) = all.into_iter().partition(|(key, number)| is_stored(key, *number));
        self.abandoned = unknown;
        stored
    }
}
