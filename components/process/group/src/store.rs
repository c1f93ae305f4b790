//! Reading and conditional writing of the decision object.

use rand::Rng;
use types::object::{CallId, Condition, ObjectAnswer, ObjectCall, encode};
use types::prelude::*;

use crate::group::Authority;
use crate::{Action, DecisionObject, Group};

/// Values stay below this; the platform's limit is 1 MB.
pub(crate) const MAX_VALUE_BYTES: usize = 900_000;
/// Upper bound of what one decision adds to the value.
pub(crate) const DECISION_BYTES: usize = 1_000;
/// Lost writes whose nonces are remembered. Each later write depends on the version that it
/// would replace, so that only the last few can still turn up.
const MAX_LOST_NONCES: usize = 64;

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
    /// Read for recovery, or to read back the nonce of `write`.
    Reading {
        call: CallId,
    },
    Writing {
        call: CallId,
    },
    /// To be read, after a failure or at once.
    ReadAt {
        at: Instant,
    },
}

/// State of the decision object in the platform.
#[derive(Debug, Default)]
pub(crate) struct Store {
    /// The value last known to be in the platform.
    pub(crate) committed: DecisionObject,
    /// Version of `committed`; `None` if the object does not exist.
    version: Option<ObjectVersion>,
    step: Step,
    write: Option<Write>,
    lost_nonces: VecDeque<Nonce>,
    recovering: bool,
    dirty: bool,
    failures: u32,
    /// Bytes of the last value, plus an upper bound of what was added since.
    pub(crate) bytes: usize,
}

impl Store {
    /// The object has to be read before anything is written.
    pub(crate) fn begin_recovery(&mut self, now: Instant) {
        self.recovering = true;
        if matches!(self.step, Step::Idle) {
            self.step = Step::ReadAt { at: now };
        }
    }

    /// The record changed.
    pub(crate) fn touch(&mut self) {
        self.dirty = true;
        self.bytes += DECISION_BYTES;
    }

    pub(crate) fn is_clean(&self) -> bool {
        !self.dirty && self.write.is_none() && !self.recovering
    }

    /// Whether a write waits for a platform that does not answer.
    pub(crate) fn is_stuck(&self) -> bool {
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
    /// Makes the next call for the decision object, if one is due.
    pub(crate) fn flush(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        if self.store.recovering && matches!(self.store.step, Step::Idle) {
            self.store.step = Step::ReadAt { at: now };
        }
        match self.store.step {
            Step::ReadAt { at } if at <= now => {
                let call = self.call(ObjectCall::Read { key: self.key() }, actions);
                self.store.step = Step::Reading { call };
            }
            // After a lapse the group is claimed and read again before anything is written.
            Step::Idle if self.store.dirty && !self.store.recovering && self.is_valid(now) => {
                let mut value = self.record.clone();
                value.nonce = rng.random();
                let condition = self.store.version.map_or(Condition::Absent, Condition::Version);
                self.store.dirty = false;
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

    /// Takes an answer if it belongs to the decision object.
    pub(crate) fn on_store_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: &ObjectAnswer,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) -> bool {
        match self.store.step {
            Step::Writing { call: own } if own == call => {
                match answer {
                    ObjectAnswer::Written { version } => self.committed(*version),
                    // The nonce tells whether this or another write took effect.
                    ObjectAnswer::Conflict => self.store.step = Step::ReadAt { at: now },
                    _ => {
                        self.withdraw_unloads(actions);
                        self.retry(now, rng);
                    }
                }
                true
            }
            Step::Reading { call: own } if own == call => {
                match answer {
                    ObjectAnswer::Found { version, value } => match Self::decode(value) {
                        Some(value) => self.on_found(now, *version, value, actions),
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

    /// The write took effect: its orders may be sent.
    fn committed(&mut self, version: ObjectVersion) {
        self.store.version = Some(version);
        self.store.step = Step::Idle;
        self.store.failures = 0;
        self.store.lost_nonces.clear();
        if let Some(write) = self.store.write.take() {
            self.store.committed = write.value;
        }
    }

    /// The object was read, for recovery or to resolve a write.
    fn on_found(
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
            self.lose_authority();
            actions.push(Action::Superseded);
            return;
        }
        let written = self.store.write.as_ref().map(|write| write.value.nonce);
        let own_late = self.store.lost_nonces.contains(&value.nonce);
        if written == Some(value.nonce) {
            self.committed(version);
        } else if self.store.version == Some(version) || own_late {
            // The write has not taken effect, or an earlier write of this process did. The write
            // may still arrive, but then the next one, which depends on the version, fails.
            self.store.version = Some(version);
            self.drop_write();
        } else {
            self.store.write = None;
            self.store.version = Some(version);
            self.store.recovering = true;
            self.adopt(now, value.clone());
        }
        if written != Some(value.nonce) {
            self.store.committed = value;
        }
        self.recovered();
    }

    fn on_missing(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.store.failures = 0;
        self.store.step = Step::Idle;
        if self.authority == Authority::None {
            return;
        }
        if self.store.version.is_some() {
            // Nobody deletes decision objects. Starting anew could overcommit, so stop here.
            tracing::error!("group: the decision object is missing");
            self.lose_authority();
            actions.push(Action::Superseded);
            return;
        }
        self.drop_write();
        self.adopt_nothing(now);
        self.recovered();
    }

    /// The first owner starts with an empty object.
    fn adopt_nothing(&mut self, now: Instant) {
        if self.record.group.is_empty() {
            let mut record =
                DecisionObject { next_replica: 1, next_order: 1, ..Default::default() };
            let listed = self.servers.keys().cloned();
            record.servers = listed.map(|name| (name, Default::default())).collect();
            self.adopt(now, record);
        }
    }

    /// Gives up a write that may still take effect; its content stays in the record.
    fn drop_write(&mut self) {
        if let Some(write) = self.store.write.take() {
            self.store.lost_nonces.push_back(write.value.nonce);
            if self.store.lost_nonces.len() > MAX_LOST_NONCES {
                self.store.lost_nonces.pop_front();
            }
            self.store.dirty = true;
        }
    }

    fn recovered(&mut self) {
        if std::mem::take(&mut self.store.recovering) && self.authority != Authority::None {
            self.take_over();
        }
    }
}
