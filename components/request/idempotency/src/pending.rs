//! Claims that wait for their record to be stored.

use types::prelude::*;

use crate::api::{Claim, Token};
use crate::key::KeyHash;
use crate::record::{ClaimId, Entry, EntryState};

/// Claims in order of arrival, by number.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    claims: BTreeMap<u64, Waiting>,
    keys: HashMap<KeyHash, u64>,
    deadlines: BTreeSet<(Instant, u64)>,
    /// Claims that were given up while a write of theirs may still be stored, by key.
    abandoned: HashMap<KeyHash, u64>,
}

#[derive(Debug)]
struct Waiting {
    claim: Claim,
    /// A write of the claim has an unknown outcome, so the claim may be stored later.
    exposed: bool,
    /// The claim is in the outstanding write.
    in_write: bool,
}

impl Pending {
    pub(crate) fn insert(&mut self, number: u64, claim: Claim) {
        self.keys.insert(claim.key.clone(), number);
        self.deadlines.insert((claim.decide_by, number));
        self.claims.insert(number, Waiting { claim, exposed: false, in_write: false });
    }

    pub(crate) fn by_key(&self, key: &KeyHash) -> Option<&Claim> {
        self.claims.get(self.keys.get(key)?).map(|waiting| &waiting.claim)
    }

    pub(crate) fn is_abandoned(&self, key: &KeyHash) -> bool {
        self.abandoned.contains_key(key)
    }

    pub(crate) fn numbers(&self) -> Vec<u64> {
        self.claims.keys().copied().collect()
    }

    pub(crate) fn get(&self, number: u64) -> Option<&Claim> {
        self.claims.get(&number).map(|waiting| &waiting.claim)
    }

    /// Removes a claim that is decided.
    pub(crate) fn remove(&mut self, number: u64) -> Option<Claim> {
        let Waiting { claim, .. } = self.claims.remove(&number)?;
        self.keys.remove(&claim.key);
        self.deadlines.remove(&(claim.decide_by, number));
        Some(claim)
    }

    /// Removes a claim that is refused.
    pub(crate) fn give_up(&mut self, number: u64) -> Option<Claim> {
        let waiting = self.claims.get(&number)?;
        if waiting.exposed || waiting.in_write {
            self.abandoned.insert(waiting.claim.key.clone(), number);
        }
        self.remove(number)
    }

    /// Gives up claims whose time to decide has passed.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Token> {
        let mut tokens = Vec::new();
        while let Some((_, number)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
            let Some(claim) = self.give_up(number) else { break };
            tokens.push(claim.token);
        }
        tokens
    }

    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Whether a write is needed: for a claim, or to settle what became of abandoned ones.
    pub(crate) fn needs_write(&self) -> bool {
        !self.abandoned.is_empty() || self.claims.values().any(|waiting| !waiting.in_write)
    }

    /// Entries for claims that are in no outstanding write, oldest first.
    pub(crate) fn unwritten(
        &self,
        fencing: FencingNumber,
    ) -> impl Iterator<Item = (u64, Entry)> + '_ {
        let waiting = self.claims.iter().filter(|(_, waiting)| !waiting.in_write);
        waiting.map(move |(number, waiting)| {
            let Claim { key, fingerprint, expires_at, .. } = waiting.claim.clone();
            let claim = ClaimId { fencing, number: *number };
            let state = EntryState::Claimed;
            (*number, Entry { key, fingerprint, claim, state, expires_at })
        })
    }

    /// Notes that a write with these claims is handed out.
    pub(crate) fn start_write(&mut self, numbers: &[u64]) {
        for number in numbers {
            if let Some(waiting) = self.claims.get_mut(number) {
                waiting.in_write = true;
            }
        }
    }

    /// Notes that the outstanding write may still be stored.
    pub(crate) fn expose(&mut self) {
        for waiting in self.claims.values_mut().filter(|waiting| waiting.in_write) {
            waiting.exposed = true;
        }
    }

    /// Puts the claims of the outstanding write back in line.
    pub(crate) fn end_write(&mut self) {
        self.claims.values_mut().for_each(|waiting| waiting.in_write = false);
    }

    /// Notes that a write was stored, so that no earlier one can be any more. Takes the abandoned
    /// claims; those that are stored are in the records by now.
    pub(crate) fn settle(&mut self) -> HashMap<KeyHash, u64> {
        for waiting in self.claims.values_mut() {
            (waiting.in_write, waiting.exposed) = (false, false);
        }
        std::mem::take(&mut self.abandoned)
    }

    /// Takes those abandoned claims that are known to be stored.
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
