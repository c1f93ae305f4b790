//! Members, candidate groups and announcements, which decide when a group is checked.

use types::prelude::*;

use crate::claim::{Claim, Hint, Step};
use crate::{Action, Announcement, Ownership};

impl Ownership {
    /// Sets the members of this data centre that are live and not leaving, including this instance.
    pub fn set_members(&mut self, now: Instant, live: BTreeSet<InstanceId>) {
        self.group_counts.retain(&live);
        let before = std::mem::replace(&mut self.live, live);
        let groups: Vec<GroupId> = self.claims.keys().cloned().collect();
        for group in groups {
            let at = now + self.jitter(&group);
            let Some(claim) = self.claims.get(&group).filter(|claim| claim.held.is_none()) else {
                continue;
            };
            match &claim.hint {
                // Groups of a live owner stay where they are, whatever the ranks are now.
                Some(hint) if self.live.contains(&hint.owner) => {}
                Some(hint) if before.contains(&hint.owner) => self.schedule_check(&group, at),
                _ => {
                    let at = claim.unranked_check_at.map_or(at, |unranked| unranked.min(at));
                    self.schedule_check(&group, at);
                }
            }
        }
    }

    /// Schedules the check of a group at `unranked` plus the delay for this instance's rank.
    pub(crate) fn schedule_check(&mut self, group: &GroupId, unranked: Instant) {
        let at = unranked + self.rank_delay(group);
        if let Some(claim) = self.claims.get_mut(group) {
            claim.unranked_check_at = Some(unranked);
            claim.check_at = at;
        }
    }

    /// Reschedules the checks of groups without a live owner after the group counts, and with them
    /// the ranks, changed.
    pub(crate) fn reschedule_unowned_groups(&mut self) {
        let unowned = self.claims.iter().filter(|(_, claim)| {
            let has_owner = claim.hint.as_ref().is_some_and(|h| self.live.contains(&h.owner));
            claim.held.is_none() && claim.step == Step::Idle && !has_owner
        });
        let unowned: Vec<(GroupId, Instant)> = unowned
            .filter_map(|(group, claim)| Some((group.clone(), claim.unranked_check_at?)))
            .collect();
        unowned.iter().for_each(|(group, at)| self.schedule_check(group, *at));
    }

    /// Sets the groups for which this data centre's instances are candidates.
    pub fn set_groups(&mut self, now: Instant, groups: BTreeSet<GroupId>) {
        // A group that is held or has a step in progress stays until it is handed over.
        self.claims.retain(|group, claim| {
            groups.contains(group) || claim.held.is_some() || claim.step != Step::Idle
        });
        for group in groups {
            if !self.claims.contains_key(&group) {
                let at = now + self.jitter(&group);
                self.claims.insert(group.clone(), Claim::new(now));
                self.schedule_check(&group, at);
            }
        }
        let owners: BTreeSet<InstanceId> =
            self.claims.values().filter_map(|c| c.hint.as_ref().map(|h| h.owner.clone())).collect();
        self.observer.retain(|holder, _| owners.contains(holder));
    }

    /// Processes the announcement of another instance.
    pub fn on_announcement(&mut self, now: Instant, announcement: &Announcement) -> Vec<Action> {
        let mut actions = Vec::new();
        let Announcement { owner, incarnation, counter, groups } = announcement;
        if *owner == self.cfg.instance {
            return actions;
        }
        self.observer.on_counter(now, owner, *incarnation, *counter);
        self.clear_dropped_hints(now, announcement);
        let is_changed = self.group_counts.set(owner, groups.iter().map(|(group, _)| group));
        for (group, fencing) in groups {
            let jitter = self.jitter(group);
            let until = now + self.cfg.announcement_lifetime;
            let Some(claim) = self.claims.get_mut(group) else { continue };
            if claim.held.as_ref().is_some_and(|held| held.fencing >= *fencing) {
                continue;
            }
            if claim.held.take().is_some() {
                actions.push(Action::Lost { group: group.clone() });
            }
            claim.hint = Some(Hint { owner: owner.clone(), incarnation: *incarnation, until });
            claim.backoff.reset();
            self.schedule_check(group, until + jitter);
        }
        if is_changed {
            self.reschedule_unowned_groups();
        }
        actions
    }

    /// Clears the hints of groups that their owner no longer announces. The owner may have made
    /// such a group vacant and the handover may have been lost; its lease then says nothing about
    /// the group.
    fn clear_dropped_hints(&mut self, now: Instant, announcement: &Announcement) {
        let announced: BTreeSet<&GroupId> = announcement.groups.iter().map(|(g, _)| g).collect();
        let dropped: Vec<GroupId> = self
            .claims
            .iter()
            .filter(|(group, _)| !announced.contains(group))
            .filter(|(_, claim)| {
                let hint = claim.hint.as_ref();
                hint.is_some_and(|hint| hint.owner == announcement.owner)
            })
            .map(|(group, _)| group.clone())
            .collect();
        for group in dropped {
            let at = now + self.jitter(&group);
            let Some(claim) = self.claims.get_mut(&group) else { continue };
            claim.hint = None;
            let at = claim.unranked_check_at.map_or(at, |unranked| unranked.min(at));
            self.schedule_check(&group, at);
        }
    }
}
