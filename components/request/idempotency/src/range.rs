//! Records of one key range on the instance that owns it.

use types::prelude::*;

use crate::api::{Action, Claim, ClaimReply, Condition, Decision, WriteResult};
use crate::key::KeyHash;
use crate::log::Log;
use crate::pending::Pending;
use crate::record::{ClaimId, Entry, EntryState, MAX_ENTRY_BYTES, Segment};
use crate::state::{OutstandingCall, Phase, SentWrite};
use crate::table::{KeyStatus, Table};

/// Time for which the record of a key is retained after the call's own deadline.
pub const RETENTION: Duration = Duration::from_secs(900);
/// Minimum time between two writes of a range. Claims and outcomes that arrive in between share a
/// write.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a range refuses claims at once after the platform could not be reached.
pub const PLATFORM_BACKOFF: Duration = Duration::from_secs(1);
/// Time before the read-back of a write or a recovery is tried again after it failed.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Stored length at which a range refuses new claims, to bound the owner's memory.
pub const MAX_RANGE_BYTES: usize = 32 * 1024 * 1024;

/// Records of one key range on the instance that owns it.
///
/// A claim number is granted at most once: a claim is granted only when a stored entry carries its
/// number, and it is then removed from `pending`.
#[derive(Debug)]
pub struct KeyRange {
    range: u32,
    fencing: FencingNumber,
    phase: Phase,
    log: Log,
    table: Table,
    pending: Pending,
    /// Entries with outcomes that are not stored yet, oldest first; `table` already contains them.
    updates: VecDeque<Entry>,
    /// Outcomes that arrived before the records were recovered.
    early_outcomes: Vec<(KeyHash, ClaimId, EntryState)>,
    outstanding: Option<OutstandingCall>,
    last_claim_number: u64,
    next_write_at: Option<Instant>,
    backoff_until: Option<Instant>,
}

impl KeyRange {
    /// A range under a new owner with the given fencing number. It grants no claims until `recover`
    /// has been called.
    pub fn new(range: u32, fencing: FencingNumber) -> Self {
        Self {
            range,
            fencing,
            phase: Phase::NeedsRecovery(None),
            log: Log::default(),
            table: Table::default(),
            pending: Pending::default(),
            updates: VecDeque::new(),
            early_outcomes: Vec::new(),
            outstanding: None,
            last_claim_number: 0,
            next_write_at: None,
            backoff_until: None,
        }
    }

    /// Number of the range.
    pub fn range(&self) -> u32 {
        self.range
    }

    /// Whether the stored records show that another owner has taken over the range.
    pub fn is_superseded(&self) -> bool {
        self.phase == Phase::Superseded
    }

    /// Rebuilds the records from all stored segments of the range and their versions, and decides
    /// pending claims by them. `stored` is `Err` if the segments could not be read.
    pub fn recover(
        &mut self,
        stored: Result<Vec<(ObjectVersion, Segment)>, ()>,
        now: Instant,
        wall: SystemTime,
    ) -> Vec<Decision> {
        let Ok(mut stored) = stored else {
            self.phase = Phase::NeedsRecovery(Some(now + READ_RETRY_INTERVAL));
            return Vec::new();
        };
        stored.sort_by_key(|(_, segment)| segment.number);
        if stored.iter().any(|(_, segment)| segment.fencing > self.fencing) {
            return self.supersede();
        }
        self.table = Table::default();
        self.log = Log::new(stored, |entry| self.table.apply(entry));
        self.phase = Phase::Fencing;
        // An update may have been stored although the answer was lost. Storing it again after a
        // later claim of the same key would undo that claim.
        self.updates.retain(|update| self.table.open_claim(&update.key, update.claim).is_some());
        self.updates.iter().for_each(|update| self.table.apply(update.clone()));
        self.table.expire(wall);
        for (key, claim, state) in std::mem::take(&mut self.early_outcomes) {
            self.finish(&key, claim, state);
        }
        let fencing = self.fencing;
        let stored = self.pending.take_stored(|key, number| {
            self.table.open_claim(key, ClaimId { fencing, number }).is_some()
        });
        self.release(stored);
        self.decide_recovered(wall)
    }

    /// Claims a key for a call.
    pub fn claim(&mut self, claim: Claim, now: Instant, wall: SystemTime) -> ClaimReply {
        if let Some(reply) = self.reply_from_records(&claim, wall) {
            return reply;
        }
        if let Some(earlier) = self.pending.by_key(&claim.key) {
            return ClaimReply::Refused(match earlier.fingerprint == claim.fingerprint {
                true => Refusal::may_have_run(Reason::IdempotencyPending),
                false => Refusal::not_run(Reason::IdempotencyMismatch),
            });
        }
        let is_backing_off = self.backoff_until.is_some_and(|until| until > now);
        let is_full = self.log.bytes() >= MAX_RANGE_BYTES;
        // The call of an abandoned claim never ran, but whether its record is stored is unknown.
        let is_abandoned = self.pending.is_abandoned(&claim.key);
        if self.is_superseded()
            || is_backing_off
            || is_full
            || is_abandoned
            || claim.decide_by <= now
        {
            let refusal = Refusal::not_run(Reason::RecordUnavailable);
            return ClaimReply::Refused(refusal.with_retry_at(now + PLATFORM_BACKOFF));
        }
        self.last_claim_number += 1;
        self.pending.insert(self.last_claim_number, claim);
        ClaimReply::Pending
    }

    /// Records the outcome of the call of a granted claim. Returns false if the claim is not open
    /// in this range.
    pub fn finish(&mut self, key: &KeyHash, claim: ClaimId, state: EntryState) -> bool {
        if matches!(self.phase, Phase::NeedsRecovery(_) | Phase::Recovering) {
            self.early_outcomes.push((key.clone(), claim, state));
            return true;
        }
        let Some(open_entry) = self.table.open_claim(key, claim).filter(|_| !self.is_superseded())
        else {
            return false;
        };
        let mut entry = Entry { state, ..open_entry.clone() };
        if entry.stored_bytes() > MAX_ENTRY_BYTES {
            entry.state = EntryState::Unknown;
        }
        self.table.apply(entry.clone());
        // A stored claim without an outcome already means that the outcome is unknown.
        if !matches!(entry.state, EntryState::Unknown | EntryState::Claimed) {
            self.updates.push_back(entry);
        }
        true
    }

    /// Returns the platform call to make now, if any. The caller draws a new `nonce` each time.
    /// This method must be called after every other method, at `next_deadline`, and at least once
    /// a minute.
    pub fn poll(&mut self, nonce: Nonce, now: Instant, wall: SystemTime) -> Option<Action> {
        let is_due = |at: Option<Instant>| at.is_none_or(|at| at <= now);
        self.table.expire(wall);
        if self.outstanding.is_some() {
            return match self.outstanding.take() {
                Some(OutstandingCall::Unresolved(sent, at)) if is_due(at) => {
                    let number = sent.write.segment.number;
                    self.outstanding = Some(OutstandingCall::ReadBack(sent));
                    Some(Action::Read(number))
                }
                other => {
                    self.outstanding = other;
                    None
                }
            };
        }
        match self.phase {
            Phase::Superseded | Phase::Recovering => None,
            Phase::NeedsRecovery(at) if !is_due(at) => None,
            Phase::NeedsRecovery(_) => {
                self.phase = Phase::Recovering;
                Some(Action::Recover)
            }
            Phase::Fencing | Phase::Active if self.needs_write() => {
                is_due(self.next_write_at).then(|| self.start_write(nonce, now))
            }
            Phase::Fencing | Phase::Active => {
                let (number, version) = self.log.expired_segment(wall)?;
                self.outstanding = Some(OutstandingCall::Delete);
                Some(Action::Delete(number, version))
            }
        }
    }

    /// Applies the outcome of the outstanding write.
    pub fn on_written(&mut self, result: WriteResult, now: Instant) -> Vec<Decision> {
        let sent = match self.outstanding.take() {
            Some(OutstandingCall::Write(sent)) => sent,
            other => {
                self.outstanding = other;
                return Vec::new();
            }
        };
        let mut decisions = self.expire(now);
        match result {
            WriteResult::Written(version) => {
                decisions.extend(self.apply_stored_write(*sent, version))
            }
            WriteResult::Conflict => {
                self.pending.requeue_write();
                self.phase = Phase::NeedsRecovery(None);
            }
            WriteResult::AnswerLost => {
                self.pending.mark_maybe_stored();
                self.outstanding = Some(OutstandingCall::Unresolved(sent, None));
            }
            WriteResult::NotSent => {
                self.pending.requeue_write();
                self.backoff_until = Some(now + PLATFORM_BACKOFF);
                self.next_write_at = Some(now + PLATFORM_BACKOFF);
                let claims = sent.claim_numbers.into_iter();
                decisions.extend(claims.filter_map(|number| self.refuse_unavailable(number)));
            }
        }
        decisions
    }

    /// Compares the stored segment with a write whose answer was lost. `stored` is `None` if the
    /// object does not exist and `Err` if it could not be read.
    pub fn on_read_back(
        &mut self,
        stored: Result<Option<(ObjectVersion, Segment)>, ()>,
        now: Instant,
    ) -> Vec<Decision> {
        let sent = match self.outstanding.take() {
            Some(OutstandingCall::ReadBack(sent)) => sent,
            other => {
                self.outstanding = other;
                return Vec::new();
            }
        };
        let mut decisions = self.expire(now);
        let found = match &stored {
            Err(()) => {
                self.outstanding =
                    Some(OutstandingCall::Unresolved(sent, Some(now + READ_RETRY_INTERVAL)));
                return decisions;
            }
            Ok(Some((version, segment))) if segment.nonce == sent.write.segment.nonce => {
                decisions.extend(self.apply_stored_write(*sent, *version));
                return decisions;
            }
            Ok(Some((version, _))) => Condition::Version(*version),
            Ok(None) => Condition::Absent,
        };
        // The earlier write may still take effect. If the object is unchanged, the next write has
        // the same condition, so that at most one of the two succeeds.
        if found != sent.write.condition {
            self.phase = Phase::NeedsRecovery(None);
        }
        self.pending.requeue_write();
        decisions
    }

    /// Applies the outcome of a deletion. `gone` means that the segment certainly no longer exists.
    pub fn on_deleted(&mut self, number: u64, gone: bool) {
        if matches!(self.outstanding, Some(OutstandingCall::Delete)) {
            self.outstanding = None;
        }
        if gone {
            self.log.remove_segment(number);
        }
    }

    /// Refuses pending claims whose `decide_by` has passed. Their calls were never dispatched,
    /// whether or not their records are stored.
    pub fn expire(&mut self, now: Instant) -> Vec<Decision> {
        let refusal =
            || Refusal::not_run(Reason::RecordUnavailable).with_retry_at(now + PLATFORM_BACKOFF);
        let tokens = self.pending.expire(now).into_iter();
        tokens.map(|token| Decision::Refused(token, refusal())).collect()
    }

    /// Time at which `poll` or `expire` must be called next.
    pub fn next_deadline(&self) -> Option<Instant> {
        let poll = match (&self.outstanding, self.phase) {
            (Some(OutstandingCall::Unresolved(_, at)), _) => *at,
            (Some(_), _) => None,
            (None, Phase::NeedsRecovery(at)) => at,
            (None, _) if self.needs_write() => self.next_write_at,
            (None, _) => None,
        };
        poll.into_iter().chain(self.pending.next_deadline()).min()
    }

    /// Replies to a claim from the records; `None` if the key is free.
    fn reply_from_records(&self, claim: &Claim, wall: SystemTime) -> Option<ClaimReply> {
        let refusal = match self.table.key_status(&claim.key, &claim.fingerprint, wall) {
            KeyStatus::Free => return None,
            KeyStatus::Used(EntryState::Finished(answer)) => {
                return Some(ClaimReply::Recorded(answer));
            }
            KeyStatus::Used(_) => Refusal::may_have_run(Reason::IdempotencyPending),
            KeyStatus::Mismatch => Refusal::not_run(Reason::IdempotencyMismatch),
        };
        Some(ClaimReply::Refused(refusal))
    }

    fn needs_write(&self) -> bool {
        self.phase == Phase::Fencing || !self.updates.is_empty() || self.pending.needs_write()
    }

    fn start_write(&mut self, nonce: Nonce, now: Instant) -> Action {
        let updates = self.updates.iter().cloned().map(|entry| (None, entry));
        let claims =
            self.pending.unwritten_entries(self.fencing).map(|(n, entry)| (Some(n), entry));
        let all: Vec<(Option<u64>, Entry)> = updates.chain(claims).collect();
        let fitting_count =
            self.log.count_fitting(all.iter().map(|(_, entry)| entry.stored_bytes()));
        let (numbers, added): (Vec<_>, Vec<_>) = all.into_iter().take(fitting_count).unzip();
        let update_count = numbers.iter().filter(|number| number.is_none()).count();
        let claim_numbers: Vec<u64> = numbers.into_iter().flatten().collect();
        let write = self.log.next_write(self.range, self.fencing, nonce, &added);
        self.pending.start_write(&claim_numbers);
        self.next_write_at = Some(now + WRITE_INTERVAL);
        let sent = SentWrite { write: write.clone(), added, claim_numbers, update_count };
        self.outstanding = Some(OutstandingCall::Write(Box::new(sent)));
        Action::Write(Box::new(write))
    }

    /// Applies a write that is known to be stored and grants its claims.
    fn apply_stored_write(&mut self, sent: SentWrite, version: ObjectVersion) -> Vec<Decision> {
        self.log.apply_write(sent.write.segment, version);
        self.updates.drain(..sent.update_count);
        self.backoff_until = None;
        self.phase = Phase::Active;
        for entry in sent.added.into_iter().skip(sent.update_count) {
            self.table.apply(entry);
        }
        let granted =
            sent.claim_numbers.into_iter().filter_map(|number| self.grant(number)).collect();
        let abandoned = self.pending.complete_write();
        self.release(abandoned);
        granted
    }

    fn grant(&mut self, number: u64) -> Option<Decision> {
        let claim = self.pending.remove(number)?;
        Some(Decision::Granted(claim.token, ClaimId { fencing: self.fencing, number }))
    }

    /// Releases the keys of abandoned claims that were stored. An abandoned claim that is not in
    /// the records was not stored.
    fn release(&mut self, abandoned: HashMap<KeyHash, u64>) {
        for (key, number) in abandoned {
            let claim = ClaimId { fencing: self.fencing, number };
            self.finish(&key, claim, EntryState::Released);
        }
    }

    /// Decides pending claims by the recovered records.
    fn decide_recovered(&mut self, wall: SystemTime) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for number in self.pending.claim_numbers() {
            let Some(claim) = self.pending.get(number).cloned() else { continue };
            let id = ClaimId { fencing: self.fencing, number };
            if self.table.open_claim(&claim.key, id).is_some() {
                decisions.extend(self.grant(number));
                continue;
            }
            let decision = match self.reply_from_records(&claim, wall) {
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
        let claim = self.pending.abandon(number)?;
        let refusal = Refusal::not_run(Reason::RecordUnavailable);
        Some(Decision::Refused(claim.token, refusal))
    }

    fn supersede(&mut self) -> Vec<Decision> {
        self.phase = Phase::Superseded;
        let numbers = self.pending.claim_numbers();
        numbers.into_iter().filter_map(|number| self.refuse_unavailable(number)).collect()
    }
}
