//! Steps of a claim: read the group, read the owner's lease, write conditionally, and resolve a
//! write with an unknown outcome.

use rand::Rng;
use types::object::{Condition, ObjectAnswer, ObjectCall, ObjectKey, decode};
use types::prelude::*;

use crate::claim::{GroupWrite, Held, Hint, Intent, Release, Step, read_group, write_group};
use crate::{Action, GroupObject, Handover, LeaseObject, Ownership};

/// Divides `claim_jitter` after an observed expiry, because the group has already waited for the
/// expiry.
const EXPIRY_JITTER_DIVISOR: u32 = 4;

impl Ownership {
    /// Starts the check of a group, or claims an owned group again.
    pub(crate) fn start_check(
        &mut self,
        now: Instant,
        group: &GroupId,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let held = self.claims.get(group).and_then(|claim| claim.held.clone());
        if let Some(held) = held {
            let condition = Condition::Version(held.version);
            self.queue_claim(now, group, condition, held.fencing, rng, actions);
            return;
        }
        // A lease that was observed too recently cannot have expired, so an earlier check is of no
        // use.
        if let Some(at) = self.earliest_expiry(group)
            && now < at
        {
            self.check_after_expiry(group, at);
            return;
        }
        let call = self.call(read_group(group), actions);
        self.set_step(group, Step::ReadingGroup { call });
    }

    /// Earliest time at which the lease of the hinted owner may have expired.
    fn earliest_expiry(&self, group: &GroupId) -> Option<Instant> {
        let claim = self.claims.get(group)?;
        let hint = claim.hint.as_ref().filter(|_| !claim.urgent)?;
        let seen = self.observer.first_seen(&hint.owner, hint.incarnation)?;
        Some(seen + self.cfg.observed_lease_duration())
    }

    fn postpone_check(&mut self, group: &GroupId, at: Instant) {
        if let Some(claim) = self.claims.get_mut(group) {
            claim.check_at = at;
            claim.unranked_check_at = None;
            claim.urgent = false;
            claim.step = Step::Idle;
        }
    }

    fn set_step(&mut self, group: &GroupId, step: Step) {
        if let Some(claim) = self.claims.get_mut(group) {
            claim.step = step;
        }
    }

    /// Schedules another check after a backoff delay.
    fn check_after_backoff(&mut self, now: Instant, group: &GroupId, rng: &mut impl Rng) {
        let Some(claim) = self.claims.get_mut(group) else { return };
        let at = claim.backoff.next_attempt(now, rng);
        self.postpone_check(group, at);
    }

    /// Processes the answer to a call for a group.
    pub(crate) fn on_group_answer(
        &mut self,
        now: Instant,
        group: &GroupId,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let Some(claim) = self.claims.get_mut(group) else { return };
        match std::mem::replace(&mut claim.step, Step::Idle) {
            Step::ReadingGroup { .. } => match answer {
                ObjectAnswer::Found { version, value } => match decode::<GroupObject>(&value) {
                    Some(object) => self.evaluate(now, group, version, object, rng, actions),
                    None => self.check_after_backoff(now, group, rng),
                },
                ObjectAnswer::Missing => {
                    self.queue_claim(now, group, Condition::Absent, 0, rng, actions);
                }
                _ => self.check_after_backoff(now, group, rng),
            },
            Step::ReadingLease { sent_at, object, version, .. } => {
                self.on_owner_lease(now, group, sent_at, (version, object), answer, rng, actions);
            }
            Step::Writing { write, .. } => match answer {
                ObjectAnswer::Written { version } => {
                    self.on_write_confirmed(now, group, write, version, rng, actions);
                }
                ObjectAnswer::Failed => {
                    let at = self.claims.get_mut(group).map(|c| c.backoff.next_attempt(now, rng));
                    self.set_step(group, Step::Retrying { at: at.unwrap_or(now), write });
                }
                _ => {
                    self.set_step(group, Step::Retrying { at: now, write });
                    self.read_back(group, actions);
                }
            },
            Step::ReadingBack { write, .. } => {
                self.on_read_back(now, group, write, answer, rng, actions);
            }
            step => self.set_step(group, step),
        }
    }

    /// Reads the object back to find out whether a write took effect.
    pub(crate) fn read_back(&mut self, group: &GroupId, actions: &mut Vec<Action>) {
        let step = self.claims.get(group).map(|claim| claim.step.clone());
        if let Some(Step::Retrying { write, .. }) = step {
            let call = self.call(read_group(group), actions);
            self.set_step(group, Step::ReadingBack { call, write });
        }
    }

    fn on_read_back(
        &mut self,
        now: Instant,
        group: &GroupId,
        write: GroupWrite,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let (found, object) = match &answer {
            ObjectAnswer::Found { version, value } => {
                (Condition::Version(*version), decode::<GroupObject>(value))
            }
            ObjectAnswer::Missing => (Condition::Absent, None),
            _ => {
                let at = self.claims.get_mut(group).map(|c| c.backoff.next_attempt(now, rng));
                self.set_step(group, Step::Retrying { at: at.unwrap_or(now), write });
                return;
            }
        };
        match (found, object) {
            (Condition::Version(version), Some(object)) if object.nonce == write.value.nonce => {
                self.on_write_confirmed(now, group, write, version, rng, actions);
            }
            // The write has not taken effect. Retrying it under the same condition is safe: even if
            // the first attempt still arrives, at most one of the two takes effect.
            _ if found == write.condition => {
                if self.is_still_needed(now, write.intent, write.epoch) {
                    let call = self.call(write_group(&write), actions);
                    self.set_step(group, Step::Writing { call, write });
                } else if self.stopping {
                    // The claim may still arrive. This write either prevents that or fails its
                    // condition, and the next read shows the claim.
                    let vacant = (None, write.value.fencing);
                    self.write(group, Intent::Vacate, write.condition, vacant, rng, actions);
                } else {
                    self.check_after_backoff(now, group, rng);
                }
            }
            (Condition::Version(version), Some(object)) => {
                self.evaluate(now, group, version, object, rng, actions);
            }
            _ => {
                self.mark_lost(group, actions);
                self.check_after_backoff(now, group, rng);
            }
        }
    }

    /// Decides by the group object whether to claim the group, or whose lease to read.
    fn evaluate(
        &mut self,
        now: Instant,
        group: &GroupId,
        version: ObjectVersion,
        object: GroupObject,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let condition = Condition::Version(version);
        let fencing = object.fencing;
        let Some(owner) = object.owner.clone() else {
            self.mark_lost(group, actions);
            self.queue_claim(now, group, condition, fencing, rng, actions);
            return;
        };
        if owner == self.cfg.instance {
            self.evaluate_own(now, group, condition, &object, rng, actions);
            return;
        }
        self.mark_lost(group, actions);
        let call = self.call(ObjectCall::Read { key: ObjectKey::new("lease", owner) }, actions);
        self.set_step(group, Step::ReadingLease { call, sent_at: now, object, version });
    }

    /// Handles a group object that names this instance as the owner.
    fn evaluate_own(
        &mut self,
        now: Instant,
        group: &GroupId,
        condition: Condition,
        object: &GroupObject,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        if object.incarnation == self.cfg.incarnation && self.stopping {
            // A claim from before the stop took effect late.
            self.write(group, Intent::Vacate, condition, (None, object.fencing), rng, actions);
            return;
        }
        if object.incarnation != self.cfg.incarnation {
            // An earlier incarnation can no longer renew its lease, but its last renewal may still
            // be valid.
            let acquired_at = self.lease.acquired_at().unwrap_or(now);
            let claimable_at = acquired_at + self.cfg.observed_lease_duration();
            if now < claimable_at {
                self.postpone_check(group, claimable_at);
                return;
            }
        }
        self.queue_claim(now, group, condition, object.fencing, rng, actions);
    }

    /// Claims the group if the lease that was read for its owner has expired.
    #[expect(clippy::too_many_arguments, reason = "one step of the state machine")]
    fn on_owner_lease(
        &mut self,
        now: Instant,
        group: &GroupId,
        sent_at: Instant,
        (version, object): (ObjectVersion, GroupObject),
        answer: ObjectAnswer,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let lease = match &answer {
            ObjectAnswer::Found { value, .. } => decode::<LeaseObject>(value),
            ObjectAnswer::Missing => None,
            _ => return self.check_after_backoff(now, group, rng),
        };
        let Some(owner) = object.owner.clone() else { return };
        self.observer.on_object(now, &owner, object.incarnation, lease.as_ref());
        let seen = self.observer.first_seen(&owner, object.incarnation).unwrap_or(now);
        let expiry = seen + self.cfg.observed_lease_duration();
        let expiry = self.grace_end(&owner).map_or(expiry, |grace_end| expiry.max(grace_end));
        // The read must have been sent after the expiry: only then does the unchanged counter show
        // that no renewal took effect in time.
        if sent_at >= expiry {
            let condition = Condition::Version(version);
            self.queue_claim(now, group, condition, object.fencing, rng, actions);
            return;
        }
        let Some(claim) = self.claims.get_mut(group) else { return };
        let until = now + self.cfg.announcement_lifetime;
        claim.hint = Some(Hint { owner, incarnation: object.incarnation, until });
        claim.backoff.reset();
        self.check_after_expiry(group, expiry);
    }

    /// Schedules another check for when a lease may have expired. Jitter and rank keep the
    /// candidates from claiming at the same moment after an expiry that all of them observed.
    fn check_after_expiry(&mut self, group: &GroupId, expiry: Instant) {
        let at = expiry + self.jitter(group) / EXPIRY_JITTER_DIVISOR;
        self.postpone_check(group, at);
        self.schedule_check(group, at);
    }

    /// Claims a group as soon as the rate limit of claims allows it. The lease must be valid
    /// without interruption from the write on, so nothing is written while it is not valid.
    fn queue_claim(
        &mut self,
        now: Instant,
        group: &GroupId,
        condition: Condition,
        fencing: FencingNumber,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_still_needed(now, Intent::Claim, self.epoch) {
            self.check_after_backoff(now, group, rng);
        } else if self.claims.get(group).is_some_and(|claim| claim.urgent) {
            self.write_claim(group, condition, fencing, rng, actions);
        } else {
            self.set_step(group, Step::Queued { condition, fencing });
        }
    }

    pub(crate) fn write_claim(
        &mut self,
        group: &GroupId,
        condition: Condition,
        fencing: FencingNumber,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let owner = Some(self.cfg.instance.clone());
        self.write(group, Intent::Claim, condition, (owner, fencing + 1), rng, actions);
    }

    /// Makes a group vacant that this instance holds.
    pub(crate) fn vacate(&mut self, group: &str, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let Some((group, claim)) = self.claims.get_key_value(group) else { return };
        let (group, Some(held)) = (group.clone(), claim.held.clone()) else { return };
        if claim.step == Step::Idle {
            let condition = Condition::Version(held.version);
            self.write(&group, Intent::Vacate, condition, (None, held.fencing), rng, actions);
        }
    }

    fn write(
        &mut self,
        group: &GroupId,
        intent: Intent,
        condition: Condition,
        (owner, fencing): (Option<InstanceId>, FencingNumber),
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let value = GroupObject {
            group: group.clone(),
            owner,
            incarnation: self.cfg.incarnation,
            fencing,
            nonce: rng.random(),
        };
        let write = GroupWrite { intent, condition, value, epoch: self.epoch };
        let call = self.call(write_group(&write), actions);
        self.set_step(group, Step::Writing { call, write });
    }

    /// Updates the group after a write of this instance took effect.
    fn on_write_confirmed(
        &mut self,
        now: Instant,
        group: &GroupId,
        write: GroupWrite,
        version: ObjectVersion,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let fencing = write.value.fencing;
        if write.intent == Intent::Vacate {
            self.mark_lost(group, actions);
            if let Some(to) = self.successor(group).cloned() {
                let handover = Handover { group: group.clone(), fencing };
                actions.push(Action::SendHandover { to, handover });
            }
            return;
        }
        if self.lease.is_superseded() {
            // The group has no live owner. Other instances claim it when they observe that the
            // lease of this incarnation was replaced.
            return;
        }
        let Some(claim) = self.claims.get_mut(group) else { return };
        // A claim written before the lease expired gives no authority, so the group is claimed
        // again.
        claim.held = Some(Held { fencing, version, epoch: write.epoch, must_reclaim: false });
        claim.hint = None;
        claim.urgent = false;
        claim.check_at = now;
        claim.backoff.reset();
        if self.stopping {
            if claim.release != Release::Requested {
                self.vacate(group, rng, actions);
            }
            return;
        }
        self.update_own_counts();
        if self.authority(now, group).is_some() {
            actions.push(Action::Gained { group: group.clone(), fencing });
            actions.push(self.announce(now));
        }
    }

    /// Records that this instance no longer owns the group.
    fn mark_lost(&mut self, group: &GroupId, actions: &mut Vec<Action>) {
        if let Some(claim) = self.claims.get_mut(group)
            && claim.held.take().is_some()
        {
            claim.release = Release::NotRequested;
            actions.push(Action::Lost { group: group.clone() });
            self.update_own_counts();
        }
    }
}
