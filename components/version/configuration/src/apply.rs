//! Writing a new version.

use rand::Rng;
use types::object::{CallId, Condition, ObjectAnswer, ObjectCall, ObjectKey, decode, encode};
use types::prelude::*;

use crate::Head;
use crate::changes::{Hashes, changes};
use crate::head::head_key;
use crate::outcome::{ApplyAction, ApplyOutcome, Conflict, Proposal};

/// First delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay, after five doublings.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(3_200);

/// One run of `apply`.
#[derive(Debug)]
pub struct Apply {
    proposal: Proposal,
    hashes: Hashes,
    deadline: Instant,
    step: Step,
    last_call: CallId,
    /// Failures in a row.
    failures: u32,
    /// An answer to a write of the head was lost, so that it may have taken effect.
    is_in_doubt: bool,
    is_done: bool,
}

/// What a run does at present.
#[derive(Debug)]
enum Step {
    /// Reads the head on which the proposal is to be based.
    ReadingBase {
        call: CallId,
    },
    /// Writes contracts and the catalogue, which nobody sees before the head names them.
    WritingObjects {
        base: Base,
        calls: BTreeMap<CallId, NewObject>,
        left: Vec<NewObject>,
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
    /// Waits before the step is repeated.
    Waiting {
        until: Instant,
        next: Next,
    },
    Done,
}

/// What follows a pause.
#[derive(Debug)]
enum Next {
    ReadBase,
    WriteObjects { base: Base, left: Vec<NewObject> },
    WriteHead { base: Base },
    ReadBack { base: Base },
}

/// The head that is to be replaced.
#[derive(Clone, Debug)]
struct Base {
    condition: Condition,
    version: ConfigurationVersion,
    hashes: Hashes,
    /// Nonce of the own write, the same for all its repeats.
    nonce: Nonce,
}

/// An object that a new head names. Its name is its content, so that writing it twice is harmless.
#[derive(Clone, Debug)]
struct NewObject {
    key: ObjectKey,
    value: Vec<u8>,
}

impl Apply {
    /// Prepares a run that gives up at `deadline`.
    pub fn new(proposal: Proposal, deadline: Instant) -> Self {
        let hashes = Hashes::of(&proposal.contracts, &proposal.catalogue);
        Self {
            proposal,
            hashes,
            deadline,
            step: Step::Done,
            last_call: 0,
            failures: 0,
            is_in_doubt: false,
            is_done: false,
        }
    }

    /// Starts by reading the head.
    pub fn start(&mut self) -> Vec<ApplyAction> {
        let mut actions = Vec::new();
        self.take(Next::ReadBase, &mut actions);
        actions
    }

    /// When [`on_timer`](Self::on_timer) is due.
    pub fn next_timer(&self) -> Instant {
        match &self.step {
            Step::Waiting { until, .. } => self.deadline.min(*until),
            _ => self.deadline,
        }
    }

    /// Repeats calls that failed, and gives up at the deadline.
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
            self.take(next, &mut actions);
        }
        actions
    }

    /// Takes the answer to a call.
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
            Step::ReadingBase { call: own } if own == call => {
                self.on_base(now, answer, rng, &mut actions);
            }
            Step::WritingObjects { base, mut calls, mut left } if calls.contains_key(&call) => {
                if let Some(object) = calls.remove(&call)
                    && !is_stored(&answer)
                {
                    left.push(object);
                }
                if !calls.is_empty() {
                    self.step = Step::WritingObjects { base, calls, left };
                } else if left.is_empty() {
                    self.failures = 0;
                    self.take(Next::WriteHead { base }, &mut actions);
                } else {
                    self.wait(Next::WriteObjects { base, left }, now, rng);
                }
            }
            Step::WritingHead { base, call: own } if own == call => {
                self.on_head_written(base, now, &answer, rng, &mut actions);
            }
            Step::ReadingBack { base, call: own } if own == call => {
                self.on_read_back(base, now, &answer, rng, &mut actions);
            }
            other => self.step = other,
        }
        actions
    }

    fn on_base(
        &mut self,
        now: Instant,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
        actions: &mut Vec<ApplyAction>,
    ) {
        let Some((condition, head)) = read_head(&answer) else {
            return self.wait(Next::ReadBase, now, rng);
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
                ours: changes(&base.hashes, &self.hashes),
            };
            return self.finish(ApplyOutcome::Conflict(Box::new(conflict)), actions);
        }
        if base.hashes == self.hashes {
            return self.finish(ApplyOutcome::Unchanged { version: base.version }, actions);
        }
        let left = self.new_objects(&base.hashes);
        self.failures = 0;
        self.take(Next::WriteObjects { base, left }, actions);
    }

    /// Objects that the new head names and the present one does not.
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
            ObjectAnswer::Failed => self.wait(Next::WriteHead { base }, now, rng),
            ObjectAnswer::Conflict => self.take(Next::ReadBack { base }, actions),
            _ => {
                self.is_in_doubt = true;
                self.take(Next::ReadBack { base }, actions);
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
            return self.wait(Next::ReadBack { base }, now, rng);
        };
        if head.nonce == base.nonce && head.version == base.version + 1 {
            return self.finish(ApplyOutcome::Accepted { version: head.version }, actions);
        }
        if condition == base.condition {
            // The write has not arrived. Its repeat has the same nonce and the same condition, so
            // that only one of the two can take effect.
            return self.wait(Next::WriteHead { base }, now, rng);
        }
        if self.is_in_doubt && head.version > base.version + 1 {
            // The own write may have been accepted and replaced since.
            return self.finish(ApplyOutcome::Unknown { nonce: base.nonce }, actions);
        }
        let conflict = Conflict {
            base: base.version,
            accepted: head.version,
            theirs: changes(&base.hashes, &Hashes::from(&head)),
            ours: changes(&base.hashes, &self.hashes),
        };
        self.finish(ApplyOutcome::Conflict(Box::new(conflict)), actions);
    }

    /// Begins a step.
    fn take(&mut self, next: Next, actions: &mut Vec<ApplyAction>) {
        match next {
            Next::ReadBase => {
                let call = self.call(ObjectCall::Read { key: head_key() }, actions);
                self.step = Step::ReadingBase { call };
            }
            Next::WriteObjects { base, left } if left.is_empty() => {
                self.take(Next::WriteHead { base }, actions);
            }
            Next::WriteObjects { base, left } => {
                let mut calls = BTreeMap::new();
                for object in left {
                    let request = ObjectCall::Write {
                        key: object.key.clone(),
                        condition: Condition::Absent,
                        value: object.value.clone(),
                    };
                    calls.insert(self.call(request, actions), object);
                }
                self.step = Step::WritingObjects { base, calls, left: Vec::new() };
            }
            Next::WriteHead { base } => {
                let head = self.hashes.head(base.version + 1, base.nonce);
                let request = ObjectCall::Write {
                    key: head_key(),
                    condition: base.condition,
                    value: encode(&head),
                };
                let call = self.call(request, actions);
                self.step = Step::WritingHead { base, call };
            }
            Next::ReadBack { base } => {
                let call = self.call(ObjectCall::Read { key: head_key() }, actions);
                self.step = Step::ReadingBack { base, call };
            }
        }
    }

    fn call(&mut self, request: ObjectCall, actions: &mut Vec<ApplyAction>) -> CallId {
        self.last_call += 1;
        actions.push(ApplyAction::Call { call: self.last_call, request });
        self.last_call
    }

    /// Begins a step after a jittered exponential delay.
    fn wait(&mut self, next: Next, now: Instant, rng: &mut impl Rng) {
        let until = now + backoff::delay(RETRY_DELAY, MAX_RETRY_DELAY, self.failures, rng);
        self.failures += 1;
        self.step = Step::Waiting { until, next };
    }

    fn give_up(&mut self, actions: &mut Vec<ApplyAction>) {
        let nonce = match &self.step {
            Step::WritingHead { base, .. }
            | Step::ReadingBack { base, .. }
            | Step::Waiting { next: Next::WriteHead { base } | Next::ReadBack { base }, .. } => {
                Some(base.nonce)
            }
            _ => None,
        };
        // A write in flight may take effect as well as one whose answer was lost.
        let in_flight = self.is_in_doubt || matches!(self.step, Step::WritingHead { .. });
        let applied = match nonce {
            Some(nonce) if in_flight => ApplyOutcome::Unknown { nonce },
            _ => ApplyOutcome::NotApplied,
        };
        self.finish(applied, actions);
    }

    fn finish(&mut self, applied: ApplyOutcome, actions: &mut Vec<ApplyAction>) {
        self.is_done = true;
        self.step = Step::Done;
        actions.push(ApplyAction::Done(applied));
    }
}

/// Whether a content-addressed object is stored: if it exists, it has this content.
fn is_stored(answer: &ObjectAnswer) -> bool {
    matches!(answer, ObjectAnswer::Written { .. } | ObjectAnswer::Conflict)
}

/// The head and the condition under which it can be replaced; `None` if it could not be read.
fn read_head(answer: &ObjectAnswer) -> Option<(Condition, Head)> {
    match answer {
        ObjectAnswer::Found { version, value } => {
            decode(value).map(|head| (Condition::Version(*version), head))
        }
        ObjectAnswer::Missing => Some((Condition::Absent, Head::default())),
        _ => None,
    }
}
