//! The lease object of this instance.

use rand::Rng;
use types::object::{CallId, Condition, ObjectAnswer, ObjectCall, ObjectKey, decode, encode};
use types::prelude::*;

use crate::retry_backoff::Backoff;
use crate::{LeaseObject, Settings};

/// Fraction of `renewal_interval` by which renewals are jittered, so that instances that started
/// together do not renew together.
const RENEWAL_JITTER: f64 = 0.1;

/// Current step of the renewal loop.
#[derive(Debug)]
enum Step {
    Waiting { until: Instant },
    Reading { call: CallId },
    Writing { call: CallId, sent_at: Instant },
}

/// Effect of an answer on the lease.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LeaseEvent {
    /// Nothing changed for the groups.
    None,
    /// A renewal was confirmed.
    Renewed,
    /// Another process runs under the same name and took the lease over.
    Superseded,
}

/// Renews the lease and tracks until when it is valid.
#[derive(Debug)]
pub(crate) struct Lease {
    step: Step,
    /// Version on which the next write is conditional; `None` if the object does not exist.
    version: Option<ObjectVersion>,
    /// Whether `version` was read or written since the last write with an unknown outcome.
    is_version_known: bool,
    counter: u64,
    /// Nonces and send times of writes with an unknown outcome. Each may still take effect.
    unconfirmed: Vec<(Nonce, Instant)>,
    valid_until: Option<Instant>,
    /// When the first write was confirmed. From then on no earlier incarnation of this instance can
    /// renew the lease.
    acquired_at: Option<Instant>,
    is_superseded: bool,
    leaving: bool,
    backoff: Backoff,
}

impl Lease {
    pub(crate) fn new(cfg: &Settings, now: Instant, rng: &mut impl Rng) -> Self {
        // Spreads the first writes over one renewal interval when a whole data centre starts at
        // once.
        let delay = cfg.renewal_interval.mul_f64(rng.random_range(0.0..1.0));
        Self {
            step: Step::Waiting { until: now + delay },
            version: None,
            is_version_known: false,
            counter: 0,
            unconfirmed: Vec::new(),
            valid_until: None,
            acquired_at: None,
            is_superseded: false,
            leaving: false,
            backoff: Backoff::default(),
        }
    }

    /// End of the last confirmed renewal, which may be in the past.
    pub(crate) fn valid_until(&self) -> Option<Instant> {
        self.valid_until
    }

    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        !self.is_superseded && self.valid_until.is_some_and(|until| now < until)
    }

    /// Whether another process under the same name took the lease over. This is permanent.
    pub(crate) fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    pub(crate) fn counter(&self) -> u64 {
        self.counter
    }

    pub(crate) fn acquired_at(&self) -> Option<Instant> {
        self.acquired_at
    }

    pub(crate) fn set_leaving(&mut self, now: Instant) {
        self.leaving = true;
        if let Step::Waiting { until } = &mut self.step {
            *until = now.min(*until);
        }
    }

    /// When `on_timer` is due; `None` while a call is in flight or after the lease was taken over.
    pub(crate) fn next_timer(&self) -> Option<Instant> {
        match self.step {
            Step::Waiting { until } if !self.is_superseded => Some(until),
            _ => None,
        }
    }

    pub(crate) fn on_timer(
        &mut self,
        cfg: &Settings,
        now: Instant,
        call: &mut CallId,
        rng: &mut impl Rng,
    ) -> Option<(CallId, ObjectCall)> {
        match self.step {
            Step::Waiting { until } if until <= now && !self.is_superseded => {}
            _ => return None,
        }
        *call += 1;
        // After a lost answer the object is read back before the next write.
        if self.is_version_known {
            Some(self.write(cfg, now, *call, rng))
        } else {
            Some(self.read(cfg, *call))
        }
    }

    fn read(&mut self, cfg: &Settings, call: CallId) -> (CallId, ObjectCall) {
        self.step = Step::Reading { call };
        (call, ObjectCall::Read { key: ObjectKey::new("lease", cfg.instance.clone()) })
    }

    fn write(
        &mut self,
        cfg: &Settings,
        now: Instant,
        call: CallId,
        rng: &mut impl Rng,
    ) -> (CallId, ObjectCall) {
        let nonce = rng.random();
        self.counter += 1;
        let value = LeaseObject {
            instance: cfg.instance.clone(),
            incarnation: cfg.incarnation,
            address: cfg.address.clone(),
            data_centre: cfg.data_centre.clone(),
            counter: self.counter,
            leaving: self.leaving,
            nonce,
        };
        self.unconfirmed.push((nonce, now));
        self.step = Step::Writing { call, sent_at: now };
        let condition = self.version.map_or(Condition::Absent, Condition::Version);
        let key = ObjectKey::new("lease", cfg.instance.clone());
        (call, ObjectCall::Write { key, condition, value: encode(&value) })
    }

    /// Processes an answer if it belongs to a call of the lease; returns `None` otherwise.
    pub(crate) fn on_answer(
        &mut self,
        cfg: &Settings,
        now: Instant,
        call: CallId,
        answer: &ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Option<LeaseEvent> {
        match self.step {
            Step::Reading { call: pending } if pending == call => {
                Some(self.on_read(cfg, now, answer, rng))
            }
            Step::Writing { call: pending, sent_at } if pending == call => {
                Some(self.on_written(cfg, now, sent_at, answer, rng))
            }
            _ => None,
        }
    }

    fn on_written(
        &mut self,
        cfg: &Settings,
        now: Instant,
        sent_at: Instant,
        answer: &ObjectAnswer,
        rng: &mut impl Rng,
    ) -> LeaseEvent {
        match answer {
            ObjectAnswer::Written { version } => {
                self.on_write_confirmed(cfg, now, sent_at, *version, rng);
                LeaseEvent::Renewed
            }
            ObjectAnswer::Failed => {
                // The write had no effect, so its nonce can never be read back.
                self.unconfirmed.pop();
                self.step = Step::Waiting { until: self.backoff.next_attempt(now, rng) };
                LeaseEvent::None
            }
            _ => {
                self.is_version_known = false;
                self.step = Step::Waiting { until: self.backoff.next_attempt(now, rng) };
                LeaseEvent::None
            }
        }
    }

    fn on_read(
        &mut self,
        cfg: &Settings,
        now: Instant,
        answer: &ObjectAnswer,
        rng: &mut impl Rng,
    ) -> LeaseEvent {
        let (version, value) = match answer {
            ObjectAnswer::Found { version, value } => (Some(*version), value.as_slice()),
            ObjectAnswer::Missing => (None, &[][..]),
            _ => {
                self.step = Step::Waiting { until: self.backoff.next_attempt(now, rng) };
                return LeaseEvent::None;
            }
        };
        self.version = version;
        self.is_version_known = true;
        self.step = Step::Waiting { until: now };
        let Some(object) = decode::<LeaseObject>(value) else { return LeaseEvent::None };
        if let Some((_, sent_at)) =
            self.unconfirmed.iter().find(|(nonce, _)| *nonce == object.nonce)
        {
            let sent_at = *sent_at;
            self.on_write_confirmed(cfg, now, sent_at, version.unwrap_or_default(), rng);
            return LeaseEvent::Renewed;
        }
        if object.incarnation != cfg.incarnation && self.acquired_at.is_some() {
            tracing::error!(
                "ownership: another run of {} took its lease over; this run has lost its groups \
                 permanently and has to be stopped",
                cfg.instance
            );
            self.is_superseded = true;
            return LeaseEvent::Superseded;
        }
        LeaseEvent::None
    }

    /// Extends the lease by a renewal that was sent at `sent_at` and took effect.
    fn on_write_confirmed(
        &mut self,
        cfg: &Settings,
        now: Instant,
        sent_at: Instant,
        version: ObjectVersion,
        rng: &mut impl Rng,
    ) {
        self.version = Some(version);
        self.is_version_known = true;
        self.unconfirmed.clear();
        self.backoff.reset();
        self.acquired_at.get_or_insert(now);
        self.valid_until = Some(sent_at + cfg.lease_duration);
        let jitter = rng.random_range(-RENEWAL_JITTER..RENEWAL_JITTER);
        let next = sent_at + cfg.renewal_interval.mul_f64(1.0 + jitter);
        self.step = Step::Waiting { until: next.max(now) };
    }
}
