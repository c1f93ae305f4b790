//! Reading and conditional writing of the decision object.

use rand::Rng;
use types::object::{CallId, Condition, ObjectAnswer, ObjectCall, encode};
use types::prelude::*;

use crate::group::Authority;
use crate::{Action, DecisionObject, Group};

/// Size of the value above which decisions are rejected; the platform's limit is 1 MB.
pub(crate) const MAX_VALUE_BYTES: usize = 900_000;
/// Upper bound of the bytes that one decision adds to the value.
pub(crate) const DECISION_BYTES: usize = 1_000;
/// Number of abandoned writes whose nonces are remembered. Every write is conditional on the
/// version that it replaces, so only the last few can still take effect.
const MAX_ABANDONED_NONCES: usize = 64;

/// A write that has no confirmed result.
#[derive(Debug)]
struct Write {
    value: DecisionObject,
    condition: Condition,
}

#[derive(Debug, Default)]
enum Step {
    #[default]
    Idle,
    /// Reading for recovery, or to find out from the nonce whether `write` took effect.
    Reading {
        call: CallId,
    },
    Writing {
        call: CallId,
    },
    /// A read is due at this time, after a failure or immediately.
    ReadAt {
        at: Instant,
    },
}

/// State of the decision object in the platform.
#[derive(Debug, Default)]
pub(crate) struct DecisionStore {
    /// The value last known to be in the platform.
    pub(crate) committed: DecisionObject,
    /// Version of `committed`; `None` if the object does not exist.
    version: Option<ObjectVersion>,
    step: Step,
    write: Option<Write>,
    abandoned_nonces: VecDeque<Nonce>,
    is_recovering: bool,
    is_dirty: bool,
    failures: u32,
    /// Size of the last value that was written, plus an upper bound of what was added since.
    pub(crate) bytes: usize,
}

impl DecisionStore {
    /// Requires that the object is read before anything is written.
    pub(crate) fn begin_recovery(&mut self, now: Instant) {
        self.is_recovering = true;
        if matches!(self.step, Step::Idle) {
            self.step = Step::ReadAt { at: now };
        }
    }

    /// Marks the record as changed, so that it is written.
    pub(crate) fn mark_dirty(&mut self) {
        self.is_dirty = true;
        self.bytes += DECISION_BYTES;
    }

    pub(crate) fn is_clean(&self) -> bool {
        !self.is_dirty && self.write.is_none() && !self.is_recovering
    }

    /// Whether the last platform call for the object failed and is being retried.
    pub(crate) fn is_retrying(&self) -> bool {
        self.failures > 0
    }

    pub(crate) fn retry_at(&self) -> Option<Instant> {
        match self.step {
            Step::ReadAt { at } => Some(at),
            _ => None,
        }
    }
}

impl Group {
    /// Starts the next platform call for the decision object, if one is due.
    pub(crate) fn flush(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        if self.store.is_recovering && matches!(self.store.step, Step::Idle) {
            self.store.step = Step::ReadAt { at: now };
        }
        match self.store.step {
            Step::ReadAt { at } if at <= now => {
                let call = self.call(ObjectCall::Read { key: self.key() }, actions);
                self.store.step = Step::Reading { call };
            }
            // After the lease lapsed, the group is claimed and the object read again before
            // anything is written.
            Step::Idle
                if self.store.is_dirty && !self.store.is_recovering && self.is_lease_valid(now) =>
            {
                let mut value = self.record.clone();
                value.nonce = rng.random();
                let condition = self.store.version.map_or(Condition::Absent, Condition::Version);
                self.store.is_dirty = false;
                self.store.write = Some(Write { value, condition });
                self.send_write(actions);
            }
            _ => {}
        }
    }

    fn send_write(&mut self, actions: &mut Vec<Action>) {
        let Some(write) = &self.store.write else { return };
        let value = encode(&write.value);
        self.store.bytes = value.len();
        let request = ObjectCall::Write { key: self.key(), condition: write.condition, value };
        let call = self.call(request, actions);
        self.store.step = Step::Writing { call };
    }

    /// Processes an answer if it belongs to the decision object; returns whether it does.
    pub(crate) fn on_store_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: &ObjectAnswer,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) -> bool {
        match self.store.step {
            Step::Writing { call: pending } if pending == call => {
                match answer {
                    ObjectAnswer::Written { version } => self.on_write_committed(*version),
                    // The nonce shows whether this write or another one took effect.
                    ObjectAnswer::Conflict => self.store.step = Step::ReadAt { at: now },
                    _ => {
                        self.withdraw_unloads(actions);
                        self.retry(now, rng);
                    }
                }
                true
            }
            Step::Reading { call: pending } if pending == call => {
                match answer {
                    ObjectAnswer::Found { version, value } => match Self::decode(value) {
                        Some(value) => self.on_read(now, *version, value, actions),
                        None => self.retry(now, rng),
                    },
                    ObjectAnswer::Missing => self.on_missing(now, actions),
                    _ => self.retry(now, rng),
                }
                true
            }
            _ => false,
        }
    }

    fn retry(&mut self, now: Instant, rng: &mut impl Rng) {
        let (first, longest) = (self.cfg.retry_min, self.cfg.retry_max);
        let delay = backoff::delay(first, longest, self.store.failures, rng);
        self.store.failures += 1;
        self.store.step = Step::ReadAt { at: now + delay };
    }

    /// Handles that the pending write took effect: its orders may be sent.
    fn on_write_committed(&mut self, version: ObjectVersion) {
        self.store.version = Some(version);
        self.store.step = Step::Idle;
        self.store.failures = 0;
        self.store.abandoned_nonces.clear();
        if let Some(write) = self.store.write.take() {
            self.store.committed = write.value;
        }
    }

    /// Handles that the object was read, for recovery or to resolve a write.
    fn on_read(
        &mut self,
        now: Instant,
        version: ObjectVersion,
        value: DecisionObject,
        actions: &mut Vec<Action>,
    ) {
        self.store.failures = 0;
        self.store.step = Step::Idle;
        if self.authority == Authority::None {
            // The next recovery reads the object again and resolves the write.
            return;
        }
        if value.fencing > self.fencing() {
            tracing::warn!("group: another owner has written the decision object");
            self.end_ownership();
            actions.push(Action::Superseded);
            return;
        }
        let pending_nonce = self.store.write.as_ref().map(|write| write.value.nonce);
        let is_earlier_own_write = self.store.abandoned_nonces.contains(&value.nonce);
        if pending_nonce == Some(value.nonce) {
            self.on_write_committed(version);
        } else if self.store.version == Some(version) || is_earlier_own_write {
            // The pending write has not taken effect, or an earlier write of this process did. The
            // pending write may still take effect; then the next one, which is conditional on the
            // version, fails.
            self.store.version = Some(version);
            self.abandon_write();
        } else {
            self.store.write = None;
            self.store.version = Some(version);
            self.store.is_recovering = true;
            self.adopt_record(now, value.clone());
        }
        if pending_nonce != Some(value.nonce) {
            self.store.committed = value;
        }
        self.finish_recovery();
    }

    fn on_missing(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.store.failures = 0;
        self.store.step = Step::Idle;
        if self.authority == Authority::None {
            return;
        }
        if self.store.version.is_some() {
            // Decision objects are never deleted. Starting with an empty one could overcommit, so
            // stop here.
            tracing::error!("group: the decision object is missing");
            self.end_ownership();
            actions.push(Action::Superseded);
            return;
        }
        self.abandon_write();
        self.create_first_record(now);
        self.finish_recovery();
    }

    /// Starts with an empty object if this process is the first owner.
    fn create_first_record(&mut self, now: Instant) {
        if self.record.group.is_empty() {
            let mut record =
                DecisionObject { next_replica: 1, next_order: 1, ..Default::default() };
            let listed = self.servers.keys().cloned();
            record.servers = listed.map(|name| (name, Default::default())).collect();
            self.adopt_record(now, record);
        }
    }

    /// Abandons a pending write, which may still take effect; its content stays in the record.
    fn abandon_write(&mut self) {
        if let Some(write) = self.store.write.take() {
            self.store.abandoned_nonces.push_back(write.value.nonce);
            if self.store.abandoned_nonces.len() > MAX_ABANDONED_NONCES {
                self.store.abandoned_nonces.pop_front();
            }
            self.store.is_dirty = true;
        }
    }

    fn finish_recovery(&mut self) {
        if std::mem::take(&mut self.store.is_recovering) && self.authority != Authority::None {
            self.claim_record();
        }
    }
}
