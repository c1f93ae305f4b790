//! Writing a new version to the platform.

use rand::Rng;
use types::object::{CallId, Condition, ObjectAnswer, ObjectCall, ObjectKey, decode, encode};
use types::prelude::*;

use crate::Head;
use crate::changes::{Hashes, diff_hashes};
use crate::head::head_key;
use crate::outcome::{ApplyAction, ApplyOutcome, Conflict, Proposal};

/// Delay before the first retry of a failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper limit of the delay, reached after five doublings.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(3_200);

/// One run that puts a [`Proposal`] into effect.
#[derive(Debug)]
pub struct Apply {
    proposal: Proposal,
    hashes: Hashes,
    deadline: Instant,
    step: Step,
    last_call: CallId,
    /// Consecutive failures.
    failures: u32,
    /// The answer to a write of the head was lost, so that the write may have taken effect.
    has_lost_answer: bool,
    is_done: bool,
}

/// The current step of a run.
#[derive(Debug)]
enum Step {
    /// Reads the head that the new version will replace.
    ReadingBase {
        call: CallId,
    },
    /// Writes contracts and the catalogue. No instance reads them before the head names them.
    WritingObjects {
        base: Base,
        calls: BTreeMap<CallId, NewObject>,
        remaining: Vec<NewObject>,
    },
    /// Writes the head.
    WritingHead {
        base: Base,
        call: CallId,
    },
    /// Reads the head after a conflict or a lost answer.
    ReadingBack {
        base: Base,
        call: CallId,
    },
    /// Waits before it retries a step.
    Waiting {
        until: Instant,
        next: NextStep,
    },
    Done,
}

/// A step that can be begun, at once or after a delay.
#[derive(Debug)]
enum NextStep {
    ReadBase,
    WriteObjects { base: Base, remaining: Vec<NewObject> },
    WriteHead { base: Base },
    ReadBack { base: Base },
}

/// The head that the new version replaces.
#[derive(Clone, Debug)]
struct Base {
    condition: Condition,
    version: ConfigurationVersion,
    hashes: Hashes,
    /// Nonce of this run's write of the head, the same for all its retries.
    nonce: Nonce,
}

/// An object that the new head names. Its key contains the hash of its content, so that writing it
/// twice is harmless.
#[derive(Clone, Debug)]
struct NewObject {
    key: ObjectKey,
    value: Vec<u8>,
}

impl Apply {
    /// Creates a run that gives up at `deadline`.
    pub fn new(proposal: Proposal, deadline: Instant) -> Self {
        let hashes = Hashes::of(&proposal.contracts, &proposal.catalogue);
        Self {
            proposal,
            hashes,
            deadline,
            step: Step::Done,
            last_call: 0,
            failures: 0,
            has_lost_answer: false,
            is_done: false,
        }
    }

    /// Starts the run by reading the head.
    pub fn start(&mut self) -> Vec<ApplyAction> {
        let mut actions = Vec::new();
        self.begin_step(NextStep::ReadBase, &mut actions);
        actions
    }

    /// Returns the time at which [`on_timer`](Self::on_timer) has to be called.
    pub fn next_timer(&self) -> Instant {
        match &self.step {
            Step::Waiting { until, .. } => self.deadline.min(*until),
            _ => self.deadline,
        }
    }

    /// Retries failed calls, and gives up at the deadline.
    pub fn on_timer(&mut self, now: Instant) -> Vec<ApplyAction> {
        let mut actions = Vec::new();
        if self.is_done {
            return actions;
        }
        if now >= self.deadline {
            self.give_up(&mut actions);
            return actions;
        }
        if let Step::Waiting { until, .. } = &self.step
            && *until <= now
            && let Step::Waiting { next, .. } = std::mem::replace(&mut self.step, Step::Done)
        {
            self.begin_step(next, &mut actions);
        }
        actions
    }

    /// Handles the answer to a platform call.
    pub fn on_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<ApplyAction> {
        let mut actions = Vec::new();
        if self.is_done {
            return actions;
        }
        match std::mem::replace(&mut self.step, Step::Done) {
            Step::ReadingBase { call: expected } if expected == call => {
                self.on_base_read(now, answer, rng, &mut actions);
            }
            Step::WritingObjects { base, mut calls, mut remaining }
                if calls.contains_key(&call) =>
            {
                if let Some(object) = calls.remove(&call)
                    && !is_stored(&answer)
                {
                    remaining.push(object);
                }
                if !calls.is_empty() {
                    self.step = Step::WritingObjects { base, calls, remaining };
                } else if remaining.is_empty() {
                    self.failures = 0;
                    self.begin_step(NextStep::WriteHead { base }, &mut actions);
                } else {
                    self.retry_later(NextStep::WriteObjects { base, remaining }, now, rng);
                }
            }
            Step::WritingHead { base, call: expected } if expected == call => {
                self.on_head_written(base, now, &answer, rng, &mut actions);
            }
            Step::ReadingBack { base, call: expected } if expected == call => {
                self.on_read_back(base, now, &answer, rng, &mut actions);
            }
            other => self.step = other,
        }
        actions
    }

    fn on_base_read(
        &mut self,
        now: Instant,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
        actions: &mut Vec<ApplyAction>,
    ) {
        let Some((condition, head)) = read_head(&answer) else {
            return self.retry_later(NextStep::ReadBase, now, rng);
        };
        let base = Base {
            condition,
            version: head.version,
            hashes: Hashes::from(&head),
            nonce: rng.random(),
        };
        if self.proposal.based_on.is_some_and(|version| version != base.version) {
            let conflict = Conflict {
                base: self.proposal.based_on.unwrap_or_default(),
                accepted: base.version,
                theirs: BTreeMap::new(),
                ours: diff_hashes(&base.hashes, &self.hashes),
            };
            return self.finish(ApplyOutcome::Conflict(Box::new(conflict)), actions);
        }
        if base.hashes == self.hashes {
            return self.finish(ApplyOutcome::Unchanged { version: base.version }, actions);
        }
        let remaining = self.new_objects(&base.hashes);
        self.failures = 0;
        self.begin_step(NextStep::WriteObjects { base, remaining }, actions);
    }

    /// Returns the objects that the new head names and the current one does not.
    fn new_objects(&self, base: &Hashes) -> Vec<NewObject> {
        let mut objects = Vec::new();
        for (client_account, hash) in &self.hashes.contracts {
            if base.contracts.get(client_account) != Some(hash)
                && let Some(contract) = self.proposal.contracts.get(client_account)
            {
                let key = ObjectKey::new("contract", format!("{client_account}@{hash}"));
                objects.push(NewObject { key, value: encode(&**contract) });
            }
        }
        if base.catalogue != self.hashes.catalogue {
            let key = ObjectKey::new("catalogue", self.hashes.catalogue.clone());
            objects.push(NewObject { key, value: encode(&*self.proposal.catalogue) });
        }
        objects
    }

    fn on_head_written(
        &mut self,
        base: Base,
        now: Instant,
        answer: &ObjectAnswer,
        rng: &mut impl Rng,
        actions: &mut Vec<ApplyAction>,
    ) {
        match answer {
            ObjectAnswer::Written { .. } => {
                self.finish(ApplyOutcome::Accepted { version: base.version + 1 }, actions);
            }
            ObjectAnswer::Failed => self.retry_later(NextStep::WriteHead { base }, now, rng),
            ObjectAnswer::Conflict => self.begin_step(NextStep::ReadBack { base }, actions),
            _ => {
                self.has_lost_answer = true;
                self.begin_step(NextStep::ReadBack { base }, actions);
            }
        }
    }

    fn on_read_back(
        &mut self,
        base: Base,
        now: Instant,
        answer: &ObjectAnswer,
        rng: &mut impl Rng,
        actions: &mut Vec<ApplyAction>,
    ) {
        let Some((condition, head)) = read_head(answer) else {
            return self.retry_later(NextStep::ReadBack { base }, now, rng);
        };
        if head.nonce == base.nonce && head.version == base.version + 1 {
            return self.finish(ApplyOutcome::Accepted { version: head.version }, actions);
        }
        if condition == base.condition {
            // The write has not taken effect. Its retry has the same nonce and the same condition,
            // so that only one of the two can take effect.
            return self.retry_later(NextStep::WriteHead { base }, now, rng);
        }
        if self.has_lost_answer && head.version > base.version + 1 {
            // This run's write may have been accepted and replaced since.
            return self.finish(ApplyOutcome::Unknown { nonce: base.nonce }, actions);
        }
        let conflict = Conflict {
            base: base.version,
            accepted: head.version,
            theirs: diff_hashes(&base.hashes, &Hashes::from(&head)),
            ours: diff_hashes(&base.hashes, &self.hashes),
        };
        self.finish(ApplyOutcome::Conflict(Box::new(conflict)), actions);
    }

    /// Begins a step by making its calls.
    fn begin_step(&mut self, next: NextStep, actions: &mut Vec<ApplyAction>) {
        match next {
            NextStep::ReadBase => {
                let call = self.send_call(ObjectCall::Read { key: head_key() }, actions);
                self.step = Step::ReadingBase { call };
            }
            NextStep::WriteObjects { base, remaining } if remaining.is_empty() => {
                self.begin_step(NextStep::WriteHead { base }, actions);
            }
            NextStep::WriteObjects { base, remaining } => {
                let mut calls = BTreeMap::new();
                for object in remaining {
                    let request = ObjectCall::Write {
                        key: object.key.clone(),
                        condition: Condition::Absent,
                        value: object.value.clone(),
                    };
                    calls.insert(self.send_call(request, actions), object);
                }
                self.step = Step::WritingObjects { base, calls, remaining: Vec::new() };
            }
            NextStep::WriteHead { base } => {
                let head = self.hashes.to_head(base.version + 1, base.nonce);
                let request = ObjectCall::Write {
                    key: head_key(),
                    condition: base.condition,
                    value: encode(&head),
                };
                let call = self.send_call(request, actions);
                self.step = Step::WritingHead { base, call };
            }
            NextStep::ReadBack { base } => {
                let call = self.send_call(ObjectCall::Read { key: head_key() }, actions);
                self.step = Step::ReadingBack { base, call };
            }
        }
    }

    fn send_call(&mut self, request: ObjectCall, actions: &mut Vec<ApplyAction>) -> CallId {
        self.last_call += 1;
        actions.push(ApplyAction::Call { call: self.last_call, request });
        self.last_call
    }

    /// Schedules a step after a jittered exponential delay.
    fn retry_later(&mut self, next: NextStep, now: Instant, rng: &mut impl Rng) {
        let until = now + backoff::delay(MIN_RETRY_DELAY, MAX_RETRY_DELAY, self.failures, rng);
        self.failures += 1;
        self.step = Step::Waiting { until, next };
    }

    fn give_up(&mut self, actions: &mut Vec<ApplyAction>) {
        let nonce = match &self.step {
            Step::WritingHead { base, .. }
            | Step::ReadingBack { base, .. }
            | Step::Waiting {
                next: NextStep::WriteHead { base } | NextStep::ReadBack { base },
                ..
            } => Some(base.nonce),
            _ => None,
        };
        // A write in flight may take effect, and so may one whose answer was lost.
        let may_have_written =
            self.has_lost_answer || matches!(self.step, Step::WritingHead { .. });
        let outcome = match nonce {
            Some(nonce) if may_have_written => ApplyOutcome::Unknown { nonce },
            _ => ApplyOutcome::NotApplied,
        };
        self.finish(outcome, actions);
    }

    fn finish(&mut self, outcome: ApplyOutcome, actions: &mut Vec<ApplyAction>) {
        self.is_done = true;
        self.step = Step::Done;
        actions.push(ApplyAction::Done(outcome));
    }
}

/// Returns true if a content-addressed object is stored. After a conflict it is, since an object
/// that already exists under this key has the same content.
fn is_stored(answer: &ObjectAnswer) -> bool {
    matches!(answer, ObjectAnswer::Written { .. } | ObjectAnswer::Conflict)
}

/// Returns the head and the condition for replacing it; `None` if the head could not be read.
fn read_head(answer: &ObjectAnswer) -> Option<(Condition, Head)> {
    match answer {
        ObjectAnswer::Found { version, value } => {
            decode(value).map(|head| (Condition::Version(*version), head))
        }
        ObjectAnswer::Missing => Some((Condition::Absent, Head::default())),
        _ => None,
    }
}
