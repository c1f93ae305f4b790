//! The state machine of one instance.

use rand::Rng;
use types::object::{CallId, ObjectAnswer};
use types::prelude::*;

use crate::{Action, Announcement, Handover, Settings};

/// Lease and groups of one instance.
#[derive(Debug)]
pub struct Ownership {
    cfg: Settings,
}

impl Ownership {
    /// Starts without a lease. The first timer is due at once.
    pub fn new(cfg: Settings, now: Instant, rng: &mut impl Rng) -> Self {
        let _ = (now, rng);
        Self { cfg }
    }

    /// When [`on_timer`](Self::on_timer) is due.
    pub fn next_timer(&self) -> Instant {
        unreachable!("{}", self.cfg.instance)
    }

    /// Renews the lease, notices a lapse, and looks at groups that may need an owner.
    pub fn on_timer(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let _ = (now, rng);
        Vec::new()
    }

    /// Takes the answer to a call.
    pub fn on_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, call, answer, rng);
        Vec::new()
    }

    /// Sets the live, not leaving members of this data centre, this instance included.
    pub fn set_members(&mut self, now: Instant, live: BTreeSet<InstanceId>, rng: &mut impl Rng) {
        let _ = (now, live, rng);
    }

    /// Sets the groups for which this data centre's instances are candidates.
    pub fn set_groups(&mut self, now: Instant, groups: BTreeSet<GroupId>, rng: &mut impl Rng) {
        let _ = (now, groups, rng);
    }

    /// Takes an owner's announcement.
    pub fn on_announcement(&mut self, now: Instant, announcement: &Announcement) {
        let _ = (now, announcement);
    }

    /// Takes a hand-over: the group is vacant and is claimed at once.
    pub fn on_handover(
        &mut self,
        now: Instant,
        handover: &Handover,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, handover, rng);
        Vec::new()
    }

    /// Claims an owned group again to get a higher fencing number. `group` asks for it to resolve
    /// an order that left no trace on a server that checks fencing numbers.
    pub fn raise_fencing(&mut self, now: Instant, group: &str, rng: &mut impl Rng) -> Vec<Action> {
        let _ = (now, group, rng);
        Vec::new()
    }

    /// Begins a planned stop: claims nothing more and asks for the release of every group.
    pub fn stop(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let _ = (now, rng);
        Vec::new()
    }

    /// A group asked for by [`Action::Release`] issues nothing more: hand it over.
    pub fn released(&mut self, now: Instant, group: &str, rng: &mut impl Rng) -> Vec<Action> {
        let _ = (now, group, rng);
        Vec::new()
    }

    /// Whether a planned stop has handed over every group.
    pub fn is_handed_over(&self) -> bool {
        false
    }

    /// End of the lease on this instance's clock, if it is valid now.
    pub fn lease_until(&self, now: Instant) -> Option<Instant> {
        let _ = now;
        None
    }

    /// The fencing number of a group that this instance may act for now.
    pub fn authority(&self, now: Instant, group: &str) -> Option<FencingNumber> {
        let _ = (now, group);
        None
    }

    /// The owner of a group as last announced or read; a hint for routing.
    pub fn owner_hint(&self, group: &str) -> Option<&InstanceId> {
        let _ = group;
        None
    }
}
