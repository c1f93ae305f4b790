//! Writing a new version.

use std::sync::Arc;

use rand::Rng;
use types::object::{CallId, Condition, ObjectAnswer, ObjectCall, ObjectKey, decode, encode};
use types::prelude::*;

use crate::head::RECENT_NONCES;
use crate::{ContentHash, Head, catalogue_hash, contract_hash};

/// What an operator wants to put into effect. The caller validates it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// All contracts.
    pub contracts: BTreeMap<CustomerId, Arc<Contract>>,
    /// The catalogue.
    pub catalogue: Arc<Catalogue>,
    /// The version that the operator's files are based on; `None` accepts the present one. If
    /// another version is present when `apply` starts, the result is a conflict.
    pub based_on: Option<ConfigurationVersion>,
}

/// An action for the caller of [`Apply`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyAction {
    /// Call the platform and pass the answer to [`Apply::on_answer`].
    Call {
        /// Number to pass back.
        call: CallId,
        /// The call.
        request: ObjectCall,
    },
    /// The result.
    Done(Applied),
}

/// How `apply` ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Accepted with this version.
    Accepted {
        /// The new version.
        version: ConfigurationVersion,
    },
    /// The present version has the same content; nothing was written.
    Unchanged {
        /// The present version.
        version: ConfigurationVersion,
    },
    /// Another change came first; nothing is in effect.
    Conflict(Box<Conflict>),
    /// The platform could not be reached in time and the head was certainly not written.
    NotApplied,
    /// The platform could not be reached in time after a write whose answer was lost. Only then
    /// does the outcome stay unknown; the nonce in the head tells it later.
    Unknown {
        /// Nonce of the write.
        nonce: Nonce,
    },
}

/// Two changes to the same version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The version that both changes are based on.
    pub base: ConfigurationVersion,
    /// The version that was accepted instead.
    pub accepted: ConfigurationVersion,
    /// What the accepted version changed; empty if the base version is not known any more.
    pub theirs: BTreeMap<Box<str>, Change>,
    /// What the refused proposal would have changed.
    pub ours: BTreeMap<Box<str>, Change>,
}

/// Change of one contract (`contract/CUSTOMER`) or of the catalogue (`catalogue`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// New, with this hash.
    Added(ContentHash),
    /// Changed to this hash.
    Changed(ContentHash),
    /// Removed.
    Removed,
}

/// Objects that are written at one time.
const WRITES_IN_FLIGHT: usize = 8;
/// Delay before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum Step {
    ReadingHead,
    /// Contracts and the catalogue, which must exist before the head names them.
    Objects,
    WritingHead,
    /// The answer to the head's write was lost or was a conflict.
    ReadingBack,
    Done,
}

/// One run of `apply`.
#[derive(Debug)]
pub struct Apply {
    proposal: Proposal,
    deadline: Instant,
    step: Step,
    base: Head,
    condition: Condition,
    next: Head,
    /// Calls without an answer; for writes of objects, the object.
    calls: BTreeMap<CallId, Option<(ObjectKey, Vec<u8>)>>,
    /// Objects still to be written.
    objects: Vec<(ObjectKey, Vec<u8>)>,
    retry_at: Option<Instant>,
    /// The head may have been written.
    in_doubt: bool,
    last_call: CallId,
}

impl Apply {
    /// Prepares a run that gives up at `deadline`.
    pub fn new(proposal: Proposal, deadline: Instant) -> Self {
        Self {
            proposal,
            deadline,
            step: Step::ReadingHead,
            base: Head::default(),
            condition: Condition::Absent,
            next: Head::default(),
            calls: BTreeMap::new(),
            objects: Vec::new(),
            retry_at: None,
            in_doubt: false,
            last_call: 0,
        }
    }

    /// Starts by reading the head.
    pub fn start(&mut self) -> Vec<ApplyAction> {
        vec![self.read_head()]
    }

    /// When [`on_timer`](Self::on_timer) is due.
    pub fn next_timer(&self) -> Instant {
        self.retry_at.map_or(self.deadline, |at| at.min(self.deadline))
    }

    /// Repeats calls that failed, and gives up at the deadline.
    pub fn on_timer(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<ApplyAction> {
        if matches!(self.step, Step::Done) {
            return Vec::new();
        }
        if now >= self.deadline {
            self.step = Step::Done;
            let nonce = self.next.nonce;
            let result =
                if self.in_doubt { Applied::Unknown { nonce } } else { Applied::NotApplied };
            return vec![ApplyAction::Done(result)];
        }
        if self.retry_at.take_if(|at| *at <= now).is_none() {
            return Vec::new();
        }
        match self.step {
            Step::ReadingHead | Step::ReadingBack => vec![self.read_head()],
            Step::WritingHead => vec![self.write_head()],
            Step::Objects => self.write_objects(rng),
            Step::Done => Vec::new(),
        }
    }

    /// Takes the answer to a call.
    pub fn on_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<ApplyAction> {
        let Some(object) = self.calls.remove(&call) else { return Vec::new() };
        match self.step {
            Step::ReadingHead => self.on_head(now, &answer, rng),
            Step::Objects => self.on_object(now, object, &answer, rng),
            Step::WritingHead => match answer {
                ObjectAnswer::Written { .. } => self.accepted(),
                ObjectAnswer::Failed => self.retry(now, rng),
                ObjectAnswer::Conflict => {
                    self.step = Step::ReadingBack;
                    vec![self.read_head()]
                }
                _ => {
                    self.in_doubt = true;
                    self.step = Step::ReadingBack;
                    vec![self.read_head()]
                }
            },
            Step::ReadingBack => self.on_read_back(now, &answer, rng),
            Step::Done => Vec::new(),
        }
    }

    fn call(&mut self, request: ObjectCall, object: Option<(ObjectKey, Vec<u8>)>) -> ApplyAction {
        self.last_call += 1;
        self.calls.insert(self.last_call, object);
        ApplyAction::Call { call: self.last_call, request }
    }

    fn read_head(&mut self) -> ApplyAction {
        self.call(ObjectCall::Read { key: head_key() }, None)
    }

    fn write_head(&mut self) -> ApplyAction {
        let (condition, value) = (self.condition, encode(&self.next));
        self.call(ObjectCall::Write { key: head_key(), condition, value }, None)
    }

    fn retry(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<ApplyAction> {
        self.retry_at = Some(now + RETRY_DELAY.mul_f64(rng.random_range(0.5..1.5)));
        Vec::new()
    }

    fn done(&mut self, result: Applied) -> Vec<ApplyAction> {
        self.step = Step::Done;
        vec![ApplyAction::Done(result)]
    }

    fn accepted(&mut self) -> Vec<ApplyAction> {
        let version = self.next.version;
        self.done(Applied::Accepted { version })
    }

    /// The present head was read: prepares the next one.
    fn on_head(
        &mut self,
        now: Instant,
        answer: &ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<ApplyAction> {
        match answer {
            ObjectAnswer::Found { version, value } => {
                let Some(head) = decode(value) else { return self.retry(now, rng) };
                self.base = head;
                self.condition = Condition::Version(*version);
            }
            ObjectAnswer::Missing => {}
            _ => return self.retry(now, rng),
        }
        let nonce = rng.random();
        let contracts = self.proposal.contracts.iter();
        self.next = Head {
            version: self.base.version + 1,
            contracts: contracts.map(|(name, c)| (name.clone(), contract_hash(c))).collect(),
            catalogue: catalogue_hash(&self.proposal.catalogue),
            nonce,
            recent: self.base.recent.clone(),
        };
        self.next.recent.push((self.next.version, nonce));
        let excess = self.next.recent.len().saturating_sub(RECENT_NONCES);
        self.next.recent.drain(..excess);
        if self.proposal.based_on.is_some_and(|version| version != self.base.version) {
            let conflict = Conflict {
                base: self.proposal.based_on.unwrap_or_default(),
                accepted: self.base.version,
                theirs: BTreeMap::new(),
                ours: changes(&self.base, &self.next),
            };
            return self.done(Applied::Conflict(Box::new(conflict)));
        }
        if changes(&self.base, &self.next).is_empty() {
            let version = self.base.version;
            return self.done(Applied::Unchanged { version });
        }
        self.collect_objects();
        self.step = Step::Objects;
        self.write_objects(rng)
    }

    fn collect_objects(&mut self) {
        for (customer, hash) in &self.next.contracts {
            if self.base.contracts.get(customer) != Some(hash)
                && let Some(contract) = self.proposal.contracts.get(customer)
            {
                let key = ObjectKey::new("contract", format!("{customer}@{hash}"));
                self.objects.push((key, encode(contract)));
            }
        }
        if self.base.catalogue != self.next.catalogue {
            let key = ObjectKey::new("catalogue", self.next.catalogue.clone());
            self.objects.push((key, encode(&self.proposal.catalogue)));
        }
    }

    /// Writes some objects; once all exist, writes the head.
    fn write_objects(&mut self, _rng: &mut impl Rng) -> Vec<ApplyAction> {
        let mut actions = Vec::new();
        while self.calls.len() < WRITES_IN_FLIGHT
            && let Some((key, value)) = self.objects.pop()
        {
            let condition = Condition::Absent;
            let request = ObjectCall::Write { key: key.clone(), condition, value: value.clone() };
            actions.push(self.call(request, Some((key, value))));
        }
        if self.calls.is_empty() && self.retry_at.is_none() {
            self.step = Step::WritingHead;
            actions.push(self.write_head());
        }
        actions
    }

    fn on_object(
        &mut self,
        now: Instant,
        object: Option<(ObjectKey, Vec<u8>)>,
        answer: &ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<ApplyAction> {
        match answer {
            // The name is the hash of the content, so an existing object has the same content, and
            // a write whose answer was lost may be made again: it has no effect the second time.
            ObjectAnswer::Written { .. } | ObjectAnswer::Conflict => self.write_objects(rng),
            _ => {
                self.objects.extend(object);
                self.retry(now, rng)
            }
        }
    }

    /// Resolves the write of the head by the nonces.
    fn on_read_back(
        &mut self,
        now: Instant,
        answer: &ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<ApplyAction> {
        let (found, head) = match answer {
            ObjectAnswer::Found { version, value } => match decode::<Head>(value) {
                Some(head) => (Condition::Version(*version), head),
                None => return self.retry(now, rng),
            },
            ObjectAnswer::Missing => (Condition::Absent, Head::default()),
            _ => return self.retry(now, rng),
        };
        let (version, nonce) = (self.next.version, self.next.nonce);
        if head.recent.contains(&(version, nonce)) {
            return self.accepted();
        }
        if found == self.condition {
            // Not written yet. The first attempt may still arrive; the repetition has the same
            // condition and nonce, so that at most one takes effect and both count as this run's.
            self.step = Step::WritingHead;
            return vec![self.write_head()];
        }
        if self.in_doubt && head.recent.first().is_some_and(|(oldest, _)| *oldest > version) {
            return self.done(Applied::Unknown { nonce });
        }
        let conflict = Conflict {
            base: self.base.version,
            accepted: head.version,
            theirs: changes(&self.base, &head),
            ours: changes(&self.base, &self.next),
        };
        self.done(Applied::Conflict(Box::new(conflict)))
    }
}

fn head_key() -> ObjectKey {
    ObjectKey::new("configuration", "head")
}

/// What changed between two heads.
fn changes(from: &Head, to: &Head) -> BTreeMap<Box<str>, Change> {
    let mut changes = BTreeMap::new();
    for (customer, hash) in &to.contracts {
        let change = match from.contracts.get(customer) {
            None => Change::Added(hash.clone()),
            Some(before) if before != hash => Change::Changed(hash.clone()),
            Some(_) => continue,
        };
        changes.insert(format!("contract/{customer}").into(), change);
    }
    for customer in from.contracts.keys().filter(|name| !to.contracts.contains_key(*name)) {
        changes.insert(format!("contract/{customer}").into(), Change::Removed);
    }
    if from.catalogue != to.catalogue {
        let change = match from.version {
            0 => Change::Added(to.catalogue.clone()),
            _ => Change::Changed(to.catalogue.clone()),
        };
        changes.insert("catalogue".into(), change);
    }
    changes
}
