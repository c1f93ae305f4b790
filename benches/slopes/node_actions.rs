//! What a simulated instance does with the actions of its components.

use group::{Group, Publication};
use instance::message::PeerMessage;
use rand_chacha::ChaCha8Rng;
use types::object::CallPriority;
use types::prelude::*;

use crate::node::{Caller, Effect, Node};
use crate::owned_group::{GroupEffects, OwnedGroup};

impl Node {
    pub(crate) fn members_changed(&mut self, now: Instant) {
        let live: BTreeSet<InstanceId> = self.membership.live().into_keys().collect();
        self.ownership.set_members(now, live.clone());
        let actions = self.follower.set_members(now, live, &mut self.rng);
        self.apply_configuration_actions(actions, now);
    }

    pub(crate) fn broadcast(&mut self, message: &PeerMessage) {
        for (instance, address) in self.membership.live() {
            if instance != self.id.name {
                self.effects.push(Effect::Send { address, message: message.clone() });
            }
        }
    }

    pub(crate) fn address_of(&self, instance: &str) -> Option<Box<str>> {
        let listed = || self.list.iter().find(|l| *l.name == *instance).map(|l| l.address.clone());
        self.membership.address(instance).map(Into::into).or_else(listed)
    }

    pub(crate) fn send(&mut self, to: &str, message: PeerMessage) {
        if let Some(address) = self.address_of(to) {
            self.effects.push(Effect::Send { address, message });
        }
    }

    pub(crate) fn apply_ownership_actions(
        &mut self,
        actions: Vec<ownership::Action>,
        now: Instant,
    ) {
        use ownership::Action;
        for action in actions {
            match action {
                Action::Call { call, priority, request } => {
                    let caller = Caller::Ownership;
                    self.effects.push(Effect::Call { caller, call, priority, request });
                }
                Action::LeaseExtended { until } => {
                    self.groups.values_mut().for_each(|owned| owned.group.set_lease(until));
                }
                Action::Gained { group, fencing } => self.on_group_gained(&group, fencing, now),
                Action::LeaseExpired { group } => {
                    if let Some(owned) = self.groups.get_mut(&group) {
                        owned.group.on_lapsed(now);
                    }
                }
                Action::Lost { group } => {
                    self.owned.remove(&group);
                    if let Some(owned) = self.groups.get_mut(&group) {
                        owned.group.on_lost(now);
                    }
                }
                Action::Release { .. } => {}
                Action::Announce(message) => self.broadcast(&PeerMessage::Announcement(message)),
                Action::SendHandover { to, handover } => {
                    self.send(&to, PeerMessage::Handover(handover));
                }
            }
        }
    }

    pub(crate) fn on_group_gained(
        &mut self,
        group: &GroupId,
        fencing: FencingNumber,
        now: Instant,
    ) {
        self.owned.insert(group.clone());
        let Some(target_models) = self.id.target_models.get(group).cloned() else { return };
        let name = self.id.name.clone();
        let cfg = self.follower.current().clone();
        self.groups.entry(group.clone()).or_insert_with(|| {
            let mut new_group = Group::new(group::Settings::new(group.clone(), name));
            new_group.set_catalogue(cfg.version, cfg.catalogue.clone());
            OwnedGroup::new(new_group, target_models, now)
        });
        let until = self.ownership.lease_until(now).unwrap_or(now);
        self.with_group(group, now, |owned, rng| {
            let actions = owned.group.on_gained(now, fencing, until, rng);
            GroupEffects { actions, ..GroupEffects::default() }
        });
        self.set_group_list(group, now);
    }

    pub(crate) fn apply_membership_actions(
        &mut self,
        actions: Vec<membership::Action>,
        now: Instant,
    ) {
        use membership::Action;
        let mut is_changed = false;
        for action in actions {
            match action {
                Action::SendHeartbeat { address, heartbeat } => {
                    let message = PeerMessage::Heartbeat(heartbeat);
                    self.effects.push(Effect::Send { address, message });
                }
                Action::SendSummary { address, summary } => {
                    let message = PeerMessage::Summary(summary);
                    self.effects.push(Effect::Send { address, message });
                }
                Action::MemberChanged { .. } => is_changed = true,
                Action::PeerVersion { instance, version } => {
                    let actions = self.follower.on_peer_version(now, &instance, version);
                    self.apply_configuration_actions(actions, now);
                }
                Action::SummaryChanged { .. } => {}
            }
        }
        if is_changed {
            self.members_changed(now);
        }
    }

    pub(crate) fn apply_configuration_actions(
        &mut self,
        actions: Vec<configuration::Action>,
        now: Instant,
    ) {
        use configuration::Action;
        for action in actions {
            match action {
                Action::Call { call, request } => {
                    let (caller, priority) = (Caller::Configuration, CallPriority::Normal);
                    self.effects.push(Effect::Call { caller, call, priority, request });
                }
                Action::StartWatch => self.effects.push(Effect::StartWatch),
                Action::StopWatch => self.effects.push(Effect::StopWatch),
                Action::Send { to, message } => self.send(&to, PeerMessage::Configuration(message)),
                Action::Adopted(cfg) => {
                    for owned in self.groups.values_mut() {
                        owned.group.set_catalogue(cfg.version, cfg.catalogue.clone());
                    }
                    self.membership.set_configuration(cfg.version);
                    self.effects.push(Effect::Adopted(cfg.version));
                }
            }
        }
        let _ = now;
    }

    pub(crate) fn with_group(
        &mut self,
        group: &GroupId,
        now: Instant,
        f: impl FnOnce(&mut OwnedGroup, &mut ChaCha8Rng) -> GroupEffects,
    ) {
        let Some(owned) = self.groups.get_mut(group) else { return };
        let effects = f(owned, &mut self.rng);
        let message = effects.publication.map(|publication| match publication {
            Publication::Full(full) => PeerMessage::GroupState(full),
            Publication::Changes(changes) => PeerMessage::GroupChanges(changes),
        });
        if let Some(message) = message {
            self.broadcast(&message);
            self.on_message(&self.id.name.clone(), message, now);
        }
        for server in effects.polls {
            self.effects.push(Effect::ReadReport { group: group.clone(), server });
        }
        for action in effects.actions {
            self.apply_group_action(group, action, now);
        }
    }

    pub(crate) fn apply_group_action(
        &mut self,
        group: &GroupId,
        action: group::Action,
        now: Instant,
    ) {
        use group::Action;
        match action {
            Action::Call { call, request } => {
                let (caller, priority) = (Caller::Group(group.clone()), CallPriority::Normal);
                self.effects.push(Effect::Call { caller, call, priority, request });
            }
            Action::SendOrder { server, order, .. } => {
                self.effects.push(Effect::SendOrder { group: group.clone(), server, order });
            }
            Action::ReadReport { server, .. } => {
                self.effects.push(Effect::ReadReport { group: group.clone(), server });
            }
            Action::RaiseFencing | Action::Superseded => {
                let actions = self.ownership.raise_fencing(now, group, &mut self.rng);
                self.apply_ownership_actions(actions, now);
            }
            Action::Released => {}
            Action::Publish => {
                if let Some(owned) = self.groups.get_mut(group) {
                    owned.publishing.mark_changed(now);
                }
            }
        }
    }
}
