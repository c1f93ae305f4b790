//! Idempotency keys: the key ranges that this instance owns and the claims on them.

use admission::Ticket;
use idempotency::{
    Action, Claim, ClaimReply, Decision, KeyHash, KeyRange, RETENTION, Segment, Token, Write,
    WriteResult, range_of, segment_name,
};
use platform::{Call, WriteOutcome};
use rand::Rng;
use tokio::sync::oneshot;
use types::object::{CallPriority, Condition, ObjectAnswer, ObjectCall, ObjectKey, decode, encode};
use types::prelude::*;

use crate::context::Context;
use crate::event::{Event, PlatformCaller};
use crate::message::{ClaimAnswer, ClaimMessage, FinishMessage};

/// Timeout for a platform call that lists or deletes segments.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const KIND: &str = "idempotency";

/// Recipient of the decision on a claim.
#[derive(Debug)]
pub(crate) enum Claimant {
    /// A request of this instance.
    Own(Ticket),
    /// Another instance.
    Peer(oneshot::Sender<ClaimAnswer>),
}

#[derive(Debug)]
struct OwnedRange {
    range: KeyRange,
    claimants: HashMap<Token, Claimant>,
    /// Purpose of the platform call in progress, if any.
    call_in_progress: Option<CallPurpose>,
}

#[derive(Debug)]
enum CallPurpose {
    Write,
    Read,
    Other,
}

/// Key ranges that this instance owns.
#[derive(Debug, Default)]
pub(crate) struct KeyRanges {
    ranges: BTreeMap<u32, OwnedRange>,
    next_token: Token,
    /// Undelivered decisions on claims of requests of this instance.
    decisions: Vec<(Ticket, ClaimAnswer)>,
}

impl KeyRanges {
    /// Adds a range that the instance has gained.
    pub(crate) fn add_range(&mut self, range: u32, fencing: FencingNumber) {
        let owned = OwnedRange {
            range: KeyRange::new(range, fencing),
            claimants: HashMap::new(),
            call_in_progress: None,
        };
        self.remove_range(range);
        self.ranges.insert(range, owned);
    }

    /// Removes a range that the instance has lost and refuses its waiting claims as not recorded.
    pub(crate) fn remove_range(&mut self, range: u32) {
        let Some(owned) = self.ranges.remove(&range) else { return };
        let refusal = Refusal::not_run(Reason::RecordUnavailable);
        for claimant in owned.claimants.into_values() {
            deliver(claimant, refused_answer(&refusal), &mut self.decisions);
        }
    }

    /// Returns whether this instance owns the range of a key.
    pub(crate) fn owns(&self, key: &KeyHash) -> bool {
        self.ranges.contains_key(&range_of(key))
    }

    /// Removes and returns the decisions for requests of this instance.
    pub(crate) fn take_decisions(&mut self) -> Vec<(Ticket, ClaimAnswer)> {
        std::mem::take(&mut self.decisions)
    }

    /// Claims a key of an owned range.
    pub(crate) fn claim(
        &mut self,
        message: ClaimMessage,
        claimant: Claimant,
        now: Instant,
        wall: SystemTime,
    ) {
        let Some(owned) = self.ranges.get_mut(&range_of(&message.key)) else {
            let refusal = Refusal::not_run(Reason::RecordUnavailable);
            return deliver(claimant, refused_answer(&refusal), &mut self.decisions);
        };
        self.next_token += 1;
        let claim = Claim {
            token: self.next_token,
            key: message.key,
            fingerprint: message.fingerprint,
            expires_at: wall + RETENTION,
            decide_by: crate::message::deadline_in(message.decide_within_ms, now),
        };
        match owned.range.claim(claim, now, wall) {
            ClaimReply::Pending => {
                owned.claimants.insert(self.next_token, claimant);
            }
            ClaimReply::Recorded(answer) => {
                deliver(claimant, ClaimAnswer::Recorded(answer), &mut self.decisions);
            }
            ClaimReply::Refused(refusal) => {
                deliver(claimant, refused_answer(&refusal), &mut self.decisions)
            }
        }
    }

    /// Records how a granted call ended. Returns false if this instance has no such open claim.
    pub(crate) fn finish(&mut self, message: FinishMessage) -> bool {
        if let Some(owned) = self.ranges.get_mut(&range_of(&message.key)) {
            return owned.range.finish(&message.key, message.claim, message.state);
        }
        false
    }

    /// Refuses claims that were not stored in time and starts due platform calls.
    pub(crate) fn on_timer(&mut self, cx: &Context, now: Instant, wall: SystemTime) {
        for (number, owned) in &mut self.ranges {
            let decisions = owned.range.expire(now);
            owned.deliver_all(decisions, &mut self.decisions);
            if owned.call_in_progress.is_some() {
                continue;
            }
            let nonce = cx.rng.borrow_mut().random();
            if let Some(action) = owned.range.poll(nonce, now, wall) {
                owned.call_in_progress = Some(start_call(cx, *number, action));
            }
        }
    }

    /// Returns when `on_timer` is due next.
    pub(crate) fn next_timer(&self) -> Option<Instant> {
        let idle = self.ranges.values().filter(|owned| owned.call_in_progress.is_none());
        idle.filter_map(|owned| owned.range.next_deadline()).min()
    }

    /// Handles the answer to a platform call of a range.
    pub(crate) fn on_answer(&mut self, range: u32, answer: ObjectAnswer, now: Instant) {
        let Some(owned) = self.ranges.get_mut(&range) else { return };
        let decisions = match owned.call_in_progress.take() {
            Some(CallPurpose::Write) => owned.range.on_written(write_result(&answer), now),
            Some(CallPurpose::Read) => owned.range.on_read_back(read_result(&answer), now),
            Some(CallPurpose::Other) | None => Vec::new(),
        };
        owned.deliver_all(decisions, &mut self.decisions);
    }

    /// Recovers a range from its stored segments; `None` if they could not be read.
    pub(crate) fn on_segments(
        &mut self,
        range: u32,
        stored: Option<Vec<(ObjectVersion, Segment)>>,
        now: Instant,
        wall: SystemTime,
    ) {
        let Some(owned) = self.ranges.get_mut(&range) else { return };
        owned.call_in_progress = None;
        let decisions = owned.range.recover(stored.ok_or(()), now, wall);
        owned.deliver_all(decisions, &mut self.decisions);
    }

    /// Returns the ranges whose records another owner has written.
    pub(crate) fn superseded_ranges(&self) -> Vec<u32> {
        let ranges = self.ranges.iter().filter(|(_, owned)| owned.range.is_superseded());
        ranges.map(|(range, _)| *range).collect()
    }

    /// Handles the outcome of the deletion of a segment.
    pub(crate) fn on_deleted(&mut self, range: u32, number: u64, is_deleted: bool) {
        if let Some(owned) = self.ranges.get_mut(&range) {
            owned.call_in_progress = None;
            owned.range.on_deleted(number, is_deleted);
        }
    }
}

impl OwnedRange {
    fn deliver_all(&mut self, decisions: Vec<Decision>, answers: &mut Vec<(Ticket, ClaimAnswer)>) {
        for decision in decisions {
            let (token, answer) = match decision {
                Decision::Granted(token, claim) => (token, ClaimAnswer::Granted(claim)),
                Decision::Recorded(token, answer) => (token, ClaimAnswer::Recorded(answer)),
                Decision::Refused(token, refusal) => (token, refused_answer(&refusal)),
            };
            if let Some(claimant) = self.claimants.remove(&token) {
                deliver(claimant, answer, answers);
            }
        }
    }
}

fn deliver(claimant: Claimant, answer: ClaimAnswer, answers: &mut Vec<(Ticket, ClaimAnswer)>) {
    match claimant {
        Claimant::Own(ticket) => answers.push((ticket, answer)),
        // Sending fails if the other instance has given up; its request then ends as not run.
        Claimant::Peer(reply) => drop(reply.send(answer)),
    }
}

fn refused_answer(refusal: &Refusal) -> ClaimAnswer {
    ClaimAnswer::Refused { verdict: refusal.verdict, reason: refusal.reason }
}

fn start_call(cx: &Context, range: u32, action: Action) -> CallPurpose {
    match action {
        Action::Write(write) => {
            let Write { condition, segment } = *write;
            let condition = match condition {
                idempotency::Condition::Absent => Condition::Absent,
                idempotency::Condition::Version(version) => Condition::Version(version),
            };
            let key = ObjectKey::new(KIND, segment_name(range, segment.number));
            let request = ObjectCall::Write { key, condition, value: encode(&segment) };
            cx.call(PlatformCaller::KeyRange(range), 0, CallPriority::Normal, request);
            CallPurpose::Write
        }
        Action::Read(number) => {
            let request =
                ObjectCall::Read { key: ObjectKey::new(KIND, segment_name(range, number)) };
            cx.call(PlatformCaller::KeyRange(range), 0, CallPriority::Normal, request);
            CallPurpose::Read
        }
        Action::Recover => {
            let client = cx.platform.clone();
            cx.spawn(async move {
                let call = Call::with_deadline(Instant::now() + PLATFORM_TIMEOUT);
                let prefix = format!("{range:04}-");
                let listed = client.list::<Segment>(KIND, &prefix, call).await;
                if let Err(e) = &listed {
                    tracing::warn!("idempotency: range {range} could not be read: {e}");
                }
                let stored = listed
                    .ok()
                    .map(|l| l.objects.into_iter().map(|o| (o.version, o.value)).collect());
                Event::Segments { range, stored }
            });
            CallPurpose::Other
        }
        Action::Delete(number, version) => {
            let client = cx.platform.clone();
            cx.spawn(async move {
                let key = ObjectKey::new(KIND, segment_name(range, number));
                let call = Call::with_deadline(Instant::now() + PLATFORM_TIMEOUT);
                let outcome = client.delete::<Segment>(&key, version, call).await;
                let is_deleted = matches!(outcome, WriteOutcome::Written { .. });
                Event::SegmentDeleted { range, number, is_deleted }
            });
            CallPurpose::Other
        }
    }
}

fn write_result(answer: &ObjectAnswer) -> WriteResult {
    match answer {
        ObjectAnswer::Written { version } => WriteResult::Written(*version),
        ObjectAnswer::Conflict => WriteResult::Conflict,
        ObjectAnswer::Failed => WriteResult::NotSent,
        ObjectAnswer::Found { .. }
        | ObjectAnswer::Unchanged
        | ObjectAnswer::Missing
        | ObjectAnswer::Lost => WriteResult::AnswerLost,
    }
}

fn read_result(answer: &ObjectAnswer) -> Result<Option<(ObjectVersion, Segment)>, ()> {
    match answer {
        ObjectAnswer::Found { version, value } => {
            decode(value).map(|segment| Some((*version, segment))).ok_or(())
        }
        ObjectAnswer::Missing => Ok(None),
        _ => Err(()),
    }
}
