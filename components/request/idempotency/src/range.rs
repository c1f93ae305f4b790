//! The records of one key range on its owner.

use types::prelude::*;

use crate::api::{Action, Claim, ClaimReply, Condition, Decision, WriteResult};
use crate::key::KeyHash;
use crate::log::Log;
use crate::pending::Pending;
use crate::record::{ClaimId, Entry, EntryState, MAX_ENTRY_BYTES, Segment};
use crate::state::{Outstanding, Phase, Sent};
use crate::table::{Standing, Table};

/// Time for which a key is kept after the call's own deadline.
pub const RETENTION: Duration = Duration::from_secs(900);
/// Shortest time between two writes of one range; claims and outcomes in between share a write.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which claims are refused at once after the platform could not be reached.
pub const PLATFORM_BACKOFF: Duration = Duration::from_secs(1);
/// Time between two reads of an unresolved write, or two recoveries.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Stored length at which a range takes no more claims, which bounds the owner's memory.
pub const MAX_RANGE_BYTES: usize = 32 * 1024 * 1024;

/// The records of one range on the instance that owns it.
///
/// A claim number is granted at most once: only when a stored entry carries it, and the claim then
/// leaves `pending`.
#[derive(Debug)]
pub struct KeyRange {
    range: u32,
    fencing: FencingNumber,
    phase: Phase,
    log: Log,
    table: Table,
    pending: Pending,
    /// Entries to store besides claims, oldest first; already in `table`.
    updates: VecDeque<Entry>,
    /// Outcomes that arrived before the records were recovered.
    early: Vec<(KeyHash, ClaimId, EntryState)>,
    outstanding: Option<Outstanding>,
    claims: u64,
    next_write_at: Option<Instant>,
    away_until: Option<Instant>,
}

impl KeyRange {
    /// The range under a new owner. It grants nothing before `recover`.
    pub fn new(range: u32, fencing: FencingNumber) -> Self {
        Self {
            range,
            fencing,
            phase: Phase::Unread(None),
            log: Log::default(),
            table: Table::default(),
            pending: Pending::default(),
            updates: VecDeque::new(),
            early: Vec::new(),
            outstanding: None,
            claims: 0,
            next_write_at: None,
            away_until: None,
        }
    }

    /// Number of the range.
    pub fn range(&self) -> u32 {
        self.range
    }

    /// Whether another owner was seen to have taken the range over.
    pub fn is_superseded(&self) -> bool {
        self.phase == Phase::Superseded
    }

    /// Takes all stored segments of the range with their versions; `Err` if they could not be
    /// read.
    pub fn recover(
        &mut self,
        stored: Result<Vec<(ObjectVersion, Segment)>, ()>,
        now: Instant,
        wall: SystemTime,
    ) -> Vec<Decision> {
        let Ok(mut stored) = stored else {
            self.phase = Phase::Unread(Some(now + READ_INTERVAL));
            return Vec::new();
        };
        stored.sort_by_key(|(_, segment)| segment.number);
        if stored.iter().any(|(_, segment)| segment.fencing > self.fencing) {
            return self.depose();
        }
        self.table = Table::default();
        self.log = Log::new(stored, |entry| self.table.apply(entry));
        self.phase = Phase::Adopting;
        // An update that was stored in spite of a lost answer must not be stored again, after a
        // later claim of the same key.
        self.updates.retain(|update| self.table.claimed(&update.key, update.claim).is_some());
        self.updates.iter().for_each(|update| self.table.apply(update.clone()));
        self.table.expire(wall);
        for (key, claim, state) in std::mem::take(&mut self.early) {
            self.finish(&key, claim, state);
        }
        let fencing = self.fencing;
        let stored = self.pending.take_stored(|key, number| {
            self.table.claimed(key, ClaimId { fencing, number }).is_some()
        });
        self.release(stored);
        self.decide_recovered(wall)
    }

    /// Asks for a key.
    pub fn claim(&mut self, claim: Claim, now: Instant, wall: SystemTime) -> ClaimReply {
        if let Some(reply) = self.reply(&claim, wall) {
            return reply;
        }
        if let Some(earlier) = self.pending.by_key(&claim.key) {
            return ClaimReply::Refused(match earlier.fingerprint == claim.fingerprint {
                true => Refusal::may_have_run(Reason::IdempotencyPending),
                false => Refusal::not_run(Reason::IdempotencyMismatch),
            });
        }
        let away = self.away_until.is_some_and(|until| until > now);
        let full = self.log.bytes() >= MAX_RANGE_BYTES;
        // The call of an abandoned claim never ran, but whether its record is stored is unknown.
        let unresolved = self.pending.is_abandoned(&claim.key);
        if self.is_superseded() || away || full || unresolved || claim.decide_by <= now {
            let refusal = Refusal::not_run(Reason::RecordUnavailable);
            return ClaimReply::Refused(refusal.with_retry_at(now + PLATFORM_BACKOFF));
        }
        self.claims += 1;
        self.pending.insert(self.claims, claim);
        ClaimReply::Pending
    }

    /// Records how the call of a granted claim ended. Returns false if the claim is not open here.
    pub fn finish(&mut self, key: &KeyHash, claim: ClaimId, state: EntryState) -> bool {
        if matches!(self.phase, Phase::Unread(_) | Phase::Reading) {
            self.early.push((key.clone(), claim, state));
            return true;
        }
        let Some(open) = self.table.claimed(key, claim).filter(|_| !self.is_superseded()) else {
            return false;
        };
        let mut entry = Entry { state, ..open.clone() };
        if entry.stored_bytes() > MAX_ENTRY_BYTES {
            entry.state = EntryState::Unknown;
        }
        self.table.apply(entry.clone());
        // A stored claim without an outcome is unknown in any case.
        if !matches!(entry.state, EntryState::Unknown | EntryState::Claimed) {
            self.updates.push_back(entry);
        }
        true
    }

    /// The platform call to make now, if any. `nonce` is drawn by the caller for each call. To be
    /// called after every other method, at `next_deadline`, and at least once a minute.
    pub fn poll(&mut self, nonce: Nonce, now: Instant, wall: SystemTime) -> Option<Action> {
        let is_due = |at: Option<Instant>| at.is_none_or(|at| at <= now);
        self.table.expire(wall);
        if self.outstanding.is_some() {
            return match self.outstanding.take() {
                Some(Outstanding::Unresolved(sent, at)) if is_due(at) => {
                    let number = sent.write.segment.number;
                    self.outstanding = Some(Outstanding::ReadBack(sent));
                    Some(Action::Read(number))
                }
                other => {
                    self.outstanding = other;
                    None
                }
            };
        }
        match self.phase {
            Phase::Superseded | Phase::Reading => None,
            Phase::Unread(at) if !is_due(at) => None,
            Phase::Unread(_) => {
                self.phase = Phase::Reading;
                Some(Action::Recover)
            }
            Phase::Adopting | Phase::Active if self.has_work() => {
                is_due(self.next_write_at).then(|| self.start_write(nonce, now))
            }
            Phase::Adopting | Phase::Active => {
                let (number, version) = self.log.expired(wall)?;
                self.outstanding = Some(Outstanding::Deletion);
                Some(Action::Delete(number, version))
            }
        }
    }

    /// Takes the outcome of the outstanding write.
    pub fn on_written(&mut self, result: WriteResult, now: Instant) -> Vec<Decision> {
        let sent = match self.outstanding.take() {
            Some(Outstanding::Written(sent)) => sent,
            other => {
                self.outstanding = other;
                return Vec::new();
            }
        };
        let mut decisions = self.expire(now);
        match result {
            WriteResult::Written(version) => decisions.extend(self.store(*sent, version)),
            WriteResult::Conflict => {
                self.pending.end_write();
                self.phase = Phase::Unread(None);
            }
            WriteResult::AnswerLost => {
                self.pending.expose();
                self.outstanding = Some(Outstanding::Unresolved(sent, None));
            }
            WriteResult::NotSent => {
                self.pending.end_write();
                self.away_until = Some(now + PLATFORM_BACKOFF);
                self.next_write_at = Some(now + PLATFORM_BACKOFF);
                let claims = sent.claims.into_iter();
                decisions.extend(claims.filter_map(|number| self.refuse_unavailable(number)));
            }
        }
        decisions
    }

    /// Takes the value read after a lost answer; `None` if the object does not exist, `Err` if
    /// it could not be read.
    pub fn on_read_back(
        &mut self,
        stored: Result<Option<(ObjectVersion, Segment)>, ()>,
        now: Instant,
    ) -> Vec<Decision> {
        let sent = match self.outstanding.take() {
            Some(Outstanding::ReadBack(sent)) => sent,
            other => {
                self.outstanding = other;
                return Vec::new();
            }
        };
        let mut decisions = self.expire(now);
        let found = match &stored {
            Err(()) => {
                self.outstanding = Some(Outstanding::Unresolved(sent, Some(now + READ_INTERVAL)));
                return decisions;
            }
            Ok(Some((version, segment))) if segment.nonce == sent.write.segment.nonce => {
                decisions.extend(self.store(*sent, *version));
                return decisions;
            }
            Ok(Some((version, _))) => Condition::Version(*version),
            Ok(None) => Condition::Absent,
        };
        // The lost write may still take effect. If the object is unchanged, a new write under the
        // same condition settles which of the two does.
        if found != sent.write.condition {
            self.phase = Phase::Unread(None);
        }
        self.pending.end_write();
        decisions
    }

    /// Takes the outcome of a deletion: `gone` if the segment certainly does not exist any more.
    pub fn on_deleted(&mut self, number: u64, gone: bool) {
        if matches!(self.outstanding, Some(Outstanding::Deletion)) {
            self.outstanding = None;
        }
        if gone {
            self.log.deleted(number);
        }
    }

    /// Refuses pending claims whose time to decide has passed. Their calls were never dispatched,
    /// whether or not their records are stored.
    pub fn expire(&mut self, now: Instant) -> Vec<Decision> {
        let refusal =
            || Refusal::not_run(Reason::RecordUnavailable).with_retry_at(now + PLATFORM_BACKOFF);
        let tokens = self.pending.expire(now).into_iter();
        tokens.map(|token| Decision::Refused(token, refusal())).collect()
    }

    /// When `poll` or `expire` is due next.
    pub fn next_deadline(&self) -> Option<Instant> {
        let poll = match (&self.outstanding, self.phase) {
            (Some(Outstanding::Unresolved(_, at)), _) => *at,
            (Some(_), _) => None,
            (None, Phase::Unread(at)) => at,
            (None, _) if self.has_work() => self.next_write_at,
            (None, _) => None,
        };
        poll.into_iter().chain(self.pending.next_deadline()).min()
    }

    /// Reply to a claim from the records; `None` if they leave the key free.
    fn reply(&self, claim: &Claim, wall: SystemTime) -> Option<ClaimReply> {
        let refusal = match self.table.standing(&claim.key, &claim.fingerprint, wall) {
            Standing::Free => return None,
            Standing::Taken(EntryState::Finished(answer)) => {
                return Some(ClaimReply::Recorded(answer));
            }
            Standing::Taken(_) => Refusal::may_have_run(Reason::IdempotencyPending),
            Standing::Mismatch => Refusal::not_run(Reason::IdempotencyMismatch),
        };
        Some(ClaimReply::Refused(refusal))
    }

    fn has_work(&self) -> bool {
        self.phase == Phase::Adopting || !self.updates.is_empty() || self.pending.needs_write()
    }

    fn start_write(&mut self, nonce: Nonce, now: Instant) -> Action {
        let updates = self.updates.iter().cloned().map(|entry| (None, entry));
        let claims = self.pending.unwritten(self.fencing).map(|(n, entry)| (Some(n), entry));
        let all: Vec<(Option<u64>, Entry)> = updates.chain(claims).collect();
        let fitting = self.log.fitting(all.iter().map(|(_, entry)| entry.stored_bytes()));
        let (numbers, added): (Vec<_>, Vec<_>) = all.into_iter().take(fitting).unzip();
        let updates = numbers.iter().filter(|number| number.is_none()).count();
        let claims: Vec<u64> = numbers.into_iter().flatten().collect();
        let write = self.log.write(self.range, self.fencing, nonce, &added);
        self.pending.start_write(&claims);
        self.next_write_at = Some(now + WRITE_INTERVAL);
        let sent = Sent { write: write.clone(), added, claims, updates };
        self.outstanding = Some(Outstanding::Written(Box::new(sent)));
        Action::Write(Box::new(write))
    }

    /// Takes a write that is certain to be stored.
    fn store(&mut self, sent: Sent, version: ObjectVersion) -> Vec<Decision> {
        self.log.stored(sent.write.segment, version);
        self.updates.drain(..sent.updates);
        self.away_until = None;
        self.phase = Phase::Active;
        for entry in sent.added.into_iter().skip(sent.updates) {
            self.table.apply(entry);
        }
        let granted = sent.claims.into_iter().filter_map(|number| self.grant(number)).collect();
        let abandoned = self.pending.settle();
        self.release(abandoned);
        granted
    }

    fn grant(&mut self, number: u64) -> Option<Decision> {
        let claim = self.pending.remove(number)?;
        Some(Decision::Granted(claim.token, ClaimId { fencing: self.fencing, number }))
    }

    /// Frees the keys of claims that were stored although they had been given up. A claim that is
    /// not in the records was not stored.
    fn release(&mut self, abandoned: HashMap<KeyHash, u64>) {
        for (key, number) in abandoned {
            let claim = ClaimId { fencing: self.fencing, number };
            self.finish(&key, claim, EntryState::Released);
        }
    }

    /// Decides pending claims by the records just read.
    fn decide_recovered(&mut self, wall: SystemTime) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for number in self.pending.numbers() {
            let Some(claim) = self.pending.get(number).cloned() else { continue };
            let id = ClaimId { fencing: self.fencing, number };
            if self.table.claimed(&claim.key, id).is_some() {
                decisions.extend(self.grant(number));
                continue;
            }
            let decision = match self.reply(&claim, wall) {
                None | Some(ClaimReply::Pending) => continue,
                Some(ClaimReply::Recorded(answer)) => Decision::Recorded(claim.token, answer),
                Some(ClaimReply::Refused(refusal)) => Decision::Refused(claim.token, refusal),
            };
            self.pending.remove(number);
            decisions.push(decision);
        }
        decisions
    }

    fn refuse_unavailable(&mut self, number: u64) -> Option<Decision> {
        let claim = self.pending.give_up(number)?;
        let refusal = Refusal::not_run(Reason::RecordUnavailable);
        Some(Decision::Refused(claim.token, refusal))
    }

    fn depose(&mut self) -> Vec<Decision> {
        self.phase = Phase::Superseded;
        let numbers = self.pending.numbers();
        numbers.into_iter().filter_map(|number| self.refuse_unavailable(number)).collect()
    }
}
