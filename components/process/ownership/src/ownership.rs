//! The state machine of one instance, which turns events into actions.

use rand::Rng;
use types::object::{CallId, CallPriority, ObjectAnswer, ObjectCall};
use types::prelude::*;

use crate::claim::{Claim, Intent, Release, Step};
use crate::group_counts::GroupCounts;
use crate::lease::{Lease, LeaseEvent};
use crate::observer::LeaseObserver;
use crate::{Action, Announcement, Handover, Settings, rendezvous};

/// Upper bound of the delay for a low rank.
const MAX_RANK_DELAY: Duration = Duration::from_secs(30);
/// Number of live instances in a data centre for which `claim_interval` and `check_interval` apply
/// unscaled.
const REFERENCE_INSTANCES: f64 = 40.0;

/// The lease of one instance and the groups that it owns or may claim.
#[derive(Debug)]
pub struct Ownership {
    pub(crate) cfg: Settings,
    pub(crate) lease: Lease,
    pub(crate) observer: LeaseObserver,
    pub(crate) claims: BTreeMap<GroupId, Claim>,
    pub(crate) live: BTreeSet<InstanceId>,
    pub(crate) group_counts: GroupCounts,
    /// Lease epoch: how often the lease expired so far. Authority requires a claim made in the
    /// current epoch.
    pub(crate) epoch: u64,
    /// Whether the lease was valid at the last check.
    was_valid: bool,
    /// Since when the lease has been valid without interruption.
    valid_since: Instant,
    pub(crate) stopping: bool,
    /// Earliest time of the next check of a group.
    next_check_at: Instant,
    /// Earliest time of the next claim.
    next_claim_at: Instant,
    last_call: CallId,
}

impl Ownership {
    /// Creates the state machine, which does not hold a lease yet.
    pub fn new(cfg: Settings, now: Instant, rng: &mut impl Rng) -> Self {
        let lease = Lease::new(&cfg, now, rng);
        Self {
            lease,
            observer: LeaseObserver::default(),
            claims: BTreeMap::new(),
            live: BTreeSet::new(),
            group_counts: GroupCounts::default(),
            epoch: 0,
            was_valid: false,
            valid_since: now,
            stopping: false,
            // When a whole data centre starts at once, the members know each other by then, so
            // that not every instance considers itself the first choice.
            next_check_at: now + cfg.renewal_interval,
            next_claim_at: now,
            last_call: 0,
            cfg,
        }
    }

    /// When [`on_timer`](Self::on_timer) is due; `None` if nothing can happen before the next
    /// answer or message.
    pub fn next_timer(&self) -> Option<Instant> {
        let expiry = self.lease.valid_until().filter(|_| self.was_valid);
        let checks = self.claims.values().filter_map(|claim| match &claim.step {
            Step::Retrying { at, .. } => Some(*at),
            Step::Idle if self.was_valid && !self.stopping => self.due_at(claim),
            Step::Queued { .. } if self.was_valid => Some(self.next_claim_at),
            _ => None,
        });
        checks.chain(expiry).chain(self.lease.next_timer()).min()
    }

    /// When an idle group is checked or claimed again; `None` if it is owned and needs no claim.
    fn due_at(&self, claim: &Claim) -> Option<Instant> {
        let at = match &claim.held {
            Some(held) if held.must_reclaim || held.epoch != self.epoch => claim.check_at,
            Some(_) => return None,
            None => claim.check_at,
        };
        Some(if claim.urgent { at } else { at.max(self.next_check_at) })
    }

    /// Renews the lease, detects that it expired, and checks groups that may need an owner.
    pub fn on_timer(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = self.check_expiry(now);
        if let Some((call, request)) = self.lease.on_timer(&self.cfg, now, &mut self.last_call, rng)
        {
            actions.push(Action::Call { call, priority: CallPriority::Lease, request });
        }
        let retries: Vec<GroupId> = self
            .claims
            .iter()
            .filter(|(_, claim)| matches!(claim.step, Step::Retrying { at, .. } if at <= now))
            .map(|(group, _)| group.clone())
            .collect();
        for group in retries {
            self.read_back(&group, &mut actions);
        }
        if self.lease.is_valid(now) && !self.stopping {
            self.check_due_groups(now, rng, &mut actions);
            self.claim_queued(now, rng, &mut actions);
        }
        actions
    }

    /// Processes the answer to a call. Every call must get one answer; a timeout counts as `Lost`.
    pub fn on_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = self.check_expiry(now);
        match self.lease.on_answer(&self.cfg, now, call, &answer, rng) {
            Some(LeaseEvent::Renewed) => self.on_renewed(now, &mut actions),
            Some(LeaseEvent::Superseded) => self.on_superseded(&mut actions),
            Some(LeaseEvent::None) => {}
            None => {
                let waiting = self.claims.iter().find(|(_, claim)| claim.call() == Some(call));
                if let Some(group) = waiting.map(|(group, _)| group.clone()) {
                    self.on_group_answer(now, &group, answer, rng, &mut actions);
                }
            }
        }
        self.claim_queued(now, rng, &mut actions);
        actions
    }

    /// Processes a handover: claims the vacant group at once.
    pub fn on_handover(
        &mut self,
        now: Instant,
        handover: &Handover,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        if let Some(claim) = self.claims.get_mut(&handover.group)
            && claim.held.is_none()
        {
            claim.hint = None;
            claim.urgent = true;
            claim.check_at = now;
        }
        self.on_timer(now, rng)
    }

    /// Claims an owned group again to get a higher fencing number, or to find out that another
    /// instance owns it. The `group` crate requests this to resolve an order that left no trace on
    /// a server that checks fencing numbers.
    pub fn raise_fencing(&mut self, now: Instant, group: &str, rng: &mut impl Rng) -> Vec<Action> {
        if let Some(claim) = self.claims.get_mut(group)
            && let Some(held) = &mut claim.held
        {
            held.must_reclaim = true;
            claim.urgent = true;
            claim.check_at = now;
        }
        self.on_timer(now, rng)
    }

    /// Begins a planned stop: makes no further claims and requests the release of every group.
    pub fn stop(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        self.stopping = true;
        self.lease.set_leaving(now);
        let mut actions = self.on_timer(now, rng);
        for (group, claim) in &mut self.claims {
            if matches!(claim.step, Step::Queued { .. }) {
                claim.step = Step::Idle;
            }
            if claim.held.is_some() && claim.release == Release::NotRequested {
                claim.release = Release::Requested;
                actions.push(Action::Release { group: group.clone() });
            }
        }
        actions
    }

    /// Makes a group vacant once the event loop has carried out [`Action::Release`] for it.
    pub fn on_released(&mut self, now: Instant, group: &str, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = self.check_expiry(now);
        if let Some(claim) = self.claims.get_mut(group) {
            claim.release = Release::Done;
        }
        self.vacate(group, rng, &mut actions);
        actions
    }

    /// Whether a planned stop has handed over every group.
    pub fn is_handed_over(&self) -> bool {
        self.stopping
            && self.claims.values().all(|claim| {
                let is_unresolved = matches!(
                    claim.step,
                    Step::Writing { .. } | Step::ReadingBack { .. } | Step::Retrying { .. }
                );
                claim.held.is_none() && !is_unresolved
            })
    }

    /// End of the lease on this instance's clock, if it is valid now.
    pub fn lease_until(&self, now: Instant) -> Option<Instant> {
        self.lease.valid_until().filter(|_| self.lease.is_valid(now))
    }

    /// Fencing number of a group, if this instance may act for the group now.
    pub fn authority(&self, now: Instant, group: &str) -> Option<FencingNumber> {
        let claim = self.claims.get(group)?;
        let held = claim.held.as_ref()?;
        let is_valid = self.lease.is_valid(now) && held.epoch == self.epoch && !claim.is_vacating();
        is_valid.then_some(held.fencing)
    }

    /// The owner of a group as last announced or read. It may be outdated and only serves routing.
    pub fn owner_hint(&self, group: &str) -> Option<&InstanceId> {
        let claim = self.claims.get(group)?;
        if claim.held.is_some() {
            return Some(&self.cfg.instance);
        }
        claim.hint.as_ref().map(|hint| &hint.owner).filter(|owner| self.live.contains(*owner))
    }

    /// The live instance that should claim a group first.
    pub fn preferred_owner(&self, group: &str) -> Option<&InstanceId> {
        rendezvous::first_choice(group, self.live.iter(), &self.group_counts)
    }

    /// Ends the authority over all groups if the lease has expired.
    fn check_expiry(&mut self, now: Instant) -> Vec<Action> {
        if !self.was_valid || self.lease.is_valid(now) {
            return Vec::new();
        }
        tracing::warn!("ownership: lease expired");
        self.was_valid = false;
        self.epoch += 1;
        for claim in self.claims.values_mut().filter(|claim| claim.held.is_some()) {
            claim.check_at = now;
        }
        let held = self.claims.iter().filter(|(_, claim)| claim.held.is_some());
        held.map(|(group, _)| Action::LeaseExpired { group: group.clone() }).collect()
    }

    fn on_renewed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(until) = self.lease_until(now) else { return };
        if !self.was_valid {
            self.valid_since = now;
        }
        self.was_valid = true;
        actions.push(Action::LeaseExtended { until });
        actions.push(self.announce(now));
    }

    /// Gives up all groups permanently, because another process under the same name took the lease
    /// over.
    fn on_superseded(&mut self, actions: &mut Vec<Action>) {
        self.was_valid = false;
        self.epoch += 1;
        for (group, claim) in &mut self.claims {
            if claim.held.take().is_some() {
                actions.push(Action::Lost { group: group.clone() });
            }
        }
    }

    /// Updates the count of groups that this instance owns.
    pub(crate) fn update_own_counts(&mut self) {
        let held = self.claims.iter().filter(|(_, claim)| claim.held.is_some());
        if self.group_counts.set(&self.cfg.instance, held.map(|(group, _)| group)) {
            self.reschedule_unowned_groups();
        }
    }

    pub(crate) fn announce(&self, now: Instant) -> Action {
        let groups = self.claims.keys();
        Action::Announce(Announcement {
            owner: self.cfg.instance.clone(),
            incarnation: self.cfg.incarnation,
            counter: self.lease.counter(),
            groups: groups.filter_map(|g| Some((g.clone(), self.authority(now, g)?))).collect(),
        })
    }

    /// Starts the checks that are due, within the rate limit of checks.
    fn check_due_groups(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let due = |claim: &Claim| {
            claim.step == Step::Idle && self.due_at(claim).is_some_and(|at| at <= now)
        };
        let mut groups: Vec<(bool, bool, Instant, GroupId)> = self
            .claims
            .iter()
            .filter(|(_, claim)| due(claim))
            .map(|(g, c)| (!c.urgent, c.held.is_none(), c.check_at, g.clone()))
            .collect();
        // Urgent groups, such as handovers, come first, then owned groups, then the groups that
        // have been due the longest.
        groups.sort();
        for (not_urgent, _, _, group) in groups {
            if not_urgent && now < self.next_check_at {
                break;
            }
            if not_urgent {
                self.next_check_at = now + self.scaled_interval(self.cfg.check_interval);
            }
            self.start_check(now, &group, rng, actions);
        }
    }

    /// Claims the first queued group if the rate limit of claims allows it.
    fn claim_queued(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        if now < self.next_claim_at || !self.lease.is_valid(now) || self.stopping {
            return;
        }
        let queued = self.claims.iter().filter(|(_, c)| matches!(c.step, Step::Queued { .. }));
        // Owned groups come first, because their replicas wait for orders.
        let first = queued.min_by_key(|(_, claim)| (claim.held.is_none(), claim.check_at));
        let Some((group, claim)) = first.map(|(group, claim)| (group.clone(), claim)) else {
            return;
        };
        let Step::Queued { condition, fencing } = claim.step else { return };
        self.next_claim_at =
            now + self.scaled_interval(self.cfg.claim_interval).mul_f64(rng.random_range(0.5..1.5));
        self.write_claim(&group, condition, fencing, rng, actions);
    }

    /// Shortens an interval that is meant for `REFERENCE_INSTANCES` in proportion to the number of
    /// live instances, so that the calls a second of the whole data centre stay the same.
    fn scaled_interval(&self, interval: Duration) -> Duration {
        let ratio = self.live.len().max(1) as f64 / REFERENCE_INSTANCES;
        interval.mul_f64(ratio.min(1.0))
    }

    /// Appends a call to the actions and returns its number.
    pub(crate) fn call(&mut self, request: ObjectCall, actions: &mut Vec<Action>) -> CallId {
        self.last_call += 1;
        let priority = CallPriority::Normal;
        actions.push(Action::Call { call: self.last_call, priority, request });
        self.last_call
    }

    /// Delay for this instance's rank among the candidates for a group.
    pub(crate) fn rank_delay(&self, group: &str) -> Duration {
        let rank = rendezvous::rank(group, &self.cfg.instance, &self.live, &self.group_counts);
        self.cfg.rank_delay.saturating_mul(rank).min(MAX_RANK_DELAY)
    }

    /// A delay of up to `claim_jitter` that depends on the instance and the group.
    pub(crate) fn jitter(&self, group: &str) -> Duration {
        let weight = rendezvous::weight(group, &self.cfg.instance);
        self.cfg.claim_jitter.mul_f64((weight >> 32) as f64 / f64::from(u32::MAX))
    }

    /// The live instance other than this one that should claim a group first.
    pub(crate) fn successor(&self, group: &str) -> Option<&InstanceId> {
        let others = self.live.iter().filter(|other| **other != self.cfg.instance);
        rendezvous::first_choice(group, others, &self.group_counts)
    }

    /// End of the grace period in which an owner that still sends heartbeats keeps its groups
    /// although its lease expired: after an outage of the platform some instances renew their
    /// leases before others.
    pub(crate) fn grace_end(&self, owner: &InstanceId) -> Option<Instant> {
        let is_live = self.live.contains(owner);
        is_live.then_some(self.valid_since + self.cfg.observed_lease_duration())
    }

    /// Whether a write that has not taken effect is still to be made.
    pub(crate) fn is_still_needed(&self, now: Instant, intent: Intent, epoch: u64) -> bool {
        match intent {
            Intent::Claim => self.lease.is_valid(now) && epoch == self.epoch && !self.stopping,
            Intent::Vacate => true,
        }
    }
}
