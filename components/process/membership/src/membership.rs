//! The state machine of one instance: heartbeats and rumours.

use rand::Rng;
use rand::seq::IteratorRandom;
use types::prelude::*;

use crate::member::{Member, highest_weighted, weight};
use crate::summaries::Summaries;
use crate::{Action, Heartbeat, MemberState, Rumour, Settings};

/// Entries in turn that fill up a heartbeat, so that a lost rumour is repaired.
const ROUND_ROBIN_ENTRIES: usize = 4;
/// Entries in the answer to a member that was not known before.
const ENTRIES_FOR_NEW_MEMBER: usize = 64;
/// Least time between two requests to the same member to refute something.
const MIN_REFUTATION_INTERVAL: Duration = Duration::from_millis(200);
/// A rumour is sent this often per doubling of the members.
const SENDS_PER_DOUBLING: u32 = 3;

/// The members of a data centre as one instance sees them.
#[derive(Debug)]
pub struct Membership {
    pub(crate) cfg: Settings,
    pub(crate) own: Rumour,
    own_sends_left: u32,
    pub(crate) members: BTreeMap<InstanceId, Member>,
    /// Instances from the platform's list that are not known as members.
    candidates: BTreeMap<InstanceId, Box<str>>,
    pub(crate) targets: Vec<InstanceId>,
    /// Members whose heartbeats are expected here.
    pub(crate) watched: BTreeSet<InstanceId>,
    /// Members in the state `Suspect`.
    pub(crate) suspects: BTreeSet<InstanceId>,
    pub(crate) next_heartbeat: Instant,
    pub(crate) configuration: ConfigurationVersion,
    /// The live members changed since the peers were chosen. Many changes at once, as at a joint
    /// start, cost one choice per heartbeat.
    peers_changed: bool,
    next_entry: usize,
    round: usize,
    pub(crate) summaries: Summaries,
}

impl Membership {
    /// Starts alone; heartbeats, rumours and the platform's list add members.
    pub fn new(cfg: Settings, now: Instant, rng: &mut impl Rng) -> Self {
        let own = Rumour {
            instance: cfg.instance.clone(),
            incarnation: cfg.incarnation,
            generation: 1,
            address: cfg.address.clone(),
            state: MemberState::Live,
        };
        let delay = cfg.heartbeat_interval.mul_f64(rng.random_range(0.0..1.0));
        Self {
            cfg,
            own,
            own_sends_left: 0,
            members: BTreeMap::new(),
            candidates: BTreeMap::new(),
            targets: Vec::new(),
            watched: BTreeSet::new(),
            suspects: BTreeSet::new(),
            next_heartbeat: now + delay,
            configuration: 0,
            peers_changed: false,
            next_entry: 0,
            round: 0,
            summaries: Summaries::default(),
        }
    }

    /// When [`on_timer`](Self::on_timer) is due.
    pub fn next_timer(&self) -> Instant {
        self.next_heartbeat.min(self.next_detection().unwrap_or(self.next_heartbeat))
    }

    /// Sends heartbeats and summaries; suspects and fails silent members.
    pub fn on_timer(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = self.detect(now);
        if now >= self.next_heartbeat {
            let jitter = rng.random_range(0.9..1.1);
            self.next_heartbeat = now + self.cfg.heartbeat_interval.mul_f64(jitter);
            self.prune(now);
            if std::mem::take(&mut self.peers_changed) {
                self.choose_peers(now);
            }
            self.send_heartbeats(now, rng, &mut actions);
            self.send_summaries(now, rng, &mut actions);
        }
        actions
    }

    fn send_heartbeats(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        self.round += 1;
        // One target in turn answers, so that rumours also reach a member that no other has among
        // its targets.
        let answering = self.round % self.targets.len().max(1);
        for (index, target) in self.targets.clone().into_iter().enumerate() {
            if let Some(address) = self.address(&target).map(Box::from) {
                let heartbeat = self.build_heartbeat(index == answering, None);
                actions.push(Action::SendHeartbeat { address, heartbeat });
            }
        }
        let mut probes = self.probe_targets(now);
        probes.extend(self.reconnect_candidate(rng));
        for name in probes {
            let address = self.candidates.get(&name).cloned();
            if let Some(address) = self.address(&name).map(Box::from).or(address) {
                let heartbeat = self.build_heartbeat(true, Some(&name));
                actions.push(Action::SendHeartbeat { address, heartbeat });
            }
        }
    }

    /// A candidate or failed member that is contacted: it may have come back, and after a partition
    /// nothing else connects the two sides.
    fn reconnect_candidate(&self, rng: &mut impl Rng) -> Option<InstanceId> {
        let failed = self.members.iter().filter(|(_, m)| m.rumour.state == MemberState::Failed);
        let names = failed.map(|(name, _)| name).chain(self.candidates.keys());
        names.choose(rng).cloned()
    }

    /// A heartbeat with rumours that are still to be sent, and some entries in turn.
    fn build_heartbeat(&mut self, answer: bool, subject: Option<&str>) -> Heartbeat {
        let limit = self.cfg.rumours_per_heartbeat;
        let mut rumours: Vec<Rumour> = Vec::new();
        rumours.extend(subject.and_then(|name| self.members.get(name)).map(|m| m.rumour.clone()));
        let mut unsent: Vec<&mut Member> =
            self.members.values_mut().filter(|member| member.sends_left > 0).collect();
        unsent.sort_by_key(|member| std::cmp::Reverse(member.sends_left));
        for member in unsent.into_iter().take(limit - ROUND_ROBIN_ENTRIES) {
            member.sends_left -= 1;
            rumours.push(member.rumour.clone());
        }
        self.add_entries(ROUND_ROBIN_ENTRIES, &mut rumours);
        Heartbeat {
            data_centre: self.cfg.data_centre.clone(),
            sender: self.own.clone(),
            configuration: self.configuration,
            answer,
            rumours,
        }
    }

    fn add_entries(&mut self, count: usize, rumours: &mut Vec<Rumour>) {
        let total = self.members.len();
        let start = if total == 0 { 0 } else { self.next_entry % total };
        let entries = self.members.values().cycle().skip(start).take(count.min(total));
        rumours.extend(entries.map(|member| member.rumour.clone()));
        self.next_entry = start + count;
    }

    /// Takes a heartbeat.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        _rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let sender = &heartbeat.sender;
        if heartbeat.data_centre != self.cfg.data_centre || sender.instance == self.cfg.instance {
            return actions;
        }
        let is_new = !self.members.contains_key(&sender.instance);
        self.merge(now, sender, true, &mut actions);
        for rumour in &heartbeat.rumours {
            if rumour.instance == self.cfg.instance {
                self.refute(now, rumour);
            } else {
                self.merge(now, rumour, false, &mut actions);
            }
        }
        let Some(member) = self.members.get_mut(&sender.instance) else { return actions };
        member.last_heard = Some(now);
        member.configuration = Some(heartbeat.configuration);
        // Limited, because two processes under one name would keep refuting each other.
        let is_outdated = member.rumour != *sender
            && member.refutation_requested_at.is_none_or(|at| now >= at + MIN_REFUTATION_INTERVAL);
        if is_outdated {
            member.refutation_requested_at = Some(now);
        }
        if heartbeat.configuration > self.configuration {
            let instance = sender.instance.clone();
            actions.push(Action::PeerVersion { instance, version: heartbeat.configuration });
        }
        // A sender about which something worse is known has to refute it.
        if heartbeat.answer || is_outdated {
            let mut answer = self.build_heartbeat(false, Some(&sender.instance));
            if is_new {
                self.add_entries(ENTRIES_FOR_NEW_MEMBER, &mut answer.rumours);
            }
            let address = sender.address.clone();
            actions.push(Action::SendHeartbeat { address, heartbeat: answer });
        }
        actions
    }

    /// Raises the own generation above a rumour that is not true.
    fn refute(&mut self, now: Instant, rumour: &Rumour) {
        let is_accurate =
            rumour.incarnation == self.own.incarnation && rumour.state == self.own.state;
        if rumour.generation >= self.own.generation && !is_accurate {
            self.own.generation = rumour.generation + 1;
            self.own_sends_left = self.rumour_sends();
            self.next_heartbeat = now.min(self.next_heartbeat);
        }
    }

    fn rumour_sends(&self) -> u32 {
        SENDS_PER_DOUBLING * (self.members.len() + 2).ilog2()
    }

    pub(crate) fn merge(
        &mut self,
        now: Instant,
        rumour: &Rumour,
        direct: bool,
        actions: &mut Vec<Action>,
    ) {
        let sends_left = self.rumour_sends();
        let before = self.members.get(&rumour.instance).map(|member| &member.rumour);
        if before.is_some_and(|before| !rumour.replaces(before)) {
            return;
        }
        // Members that failed or left and were forgotten are not taken up again by hearsay.
        if before.is_none() && !direct && rumour.state > MemberState::Suspect {
            return;
        }
        let is_changed = before.is_none_or(|before| {
            before.state != rumour.state || before.incarnation != rumour.incarnation
        });
        let last_heard = self.members.get(&rumour.instance).and_then(|member| member.last_heard);
        let member = Member {
            rumour: rumour.clone(),
            configuration: None,
            last_heard,
            changed_at: now,
            refutation_requested_at: None,
            sends_left,
        };
        self.candidates.remove(&rumour.instance);
        if rumour.state == MemberState::Suspect {
            self.suspects.insert(rumour.instance.clone());
        } else {
            self.suspects.remove(&rumour.instance);
        }
        let was_live = self.members.get(&rumour.instance).is_some_and(Member::is_live);
        self.members.insert(rumour.instance.clone(), member);
        if was_live != (rumour.state <= MemberState::Suspect) {
            self.peers_changed = true;
        }
        if is_changed {
            actions.push(Action::MemberChanged {
                instance: rumour.instance.clone(),
                incarnation: rumour.incarnation,
                state: rumour.state,
            });
        }
    }

    /// Chooses the heartbeat targets, and finds out who has this instance among its targets.
    fn choose_peers(&mut self, now: Instant) {
        let names: Vec<InstanceId> = self.live().into_keys().collect();
        let others = |name: &InstanceId| {
            let name = name.clone();
            names.iter().filter(move |other| **other != name)
        };
        let count = self.cfg.heartbeat_peers;
        let own = &self.cfg.instance;
        self.targets = highest_weighted("heartbeat", own, others(own), count);
        // Stops at the first `count` members that come before this one, so that the cost of a change
        // grows little faster than the number of members.
        let watches = |name: &&InstanceId| {
            let own_weight = (weight("heartbeat", name, own), own);
            let before = others(name).filter(|o| (weight("heartbeat", name, o), *o) > own_weight);
            before.take(count).count() < count
        };
        let watched: BTreeSet<InstanceId> = others(own).filter(watches).cloned().collect();
        for name in watched.difference(&self.watched) {
            if let Some(member) = self.members.get_mut(name) {
                // From now on a heartbeat is expected.
                member.last_heard = Some(now);
            }
        }
        self.watched = watched;
    }

    fn prune(&mut self, now: Instant) {
        let time = self.cfg.prune_after;
        self.members.retain(|_, member| member.is_live() || now < member.changed_at + time);
    }

    /// Takes the platform's lagging list: adds candidates that are contacted, confirms a suspicion
    /// of an instance that is no longer listed, never removes a live member.
    pub fn on_list(&mut self, now: Instant, listed: &[ListedInstance]) -> Vec<Action> {
        let mut actions = Vec::new();
        let entries = || listed.iter().filter(|entry| entry.role == ListedRole::Entry);
        let local = || entries().filter(|entry| entry.data_centre == self.cfg.data_centre);
        let unknown =
            |name: &InstanceId| *name != self.cfg.instance && !self.members.contains_key(name);
        let candidates = local()
            .filter(|entry| unknown(&entry.name))
            .map(|entry| (entry.name.clone(), entry.address.clone()))
            .collect();
        let names: BTreeSet<&InstanceId> = local().map(|entry| &entry.name).collect();
        let confirmed: Vec<Rumour> = self
            .members
            .values()
            .filter(|member| member.rumour.state == MemberState::Suspect)
            .filter(|member| !names.contains(&member.rumour.instance))
            .map(|member| Rumour { state: MemberState::Failed, ..member.rumour.clone() })
            .collect();
        self.summaries.set_listed(entries(), &self.cfg.data_centre);
        self.candidates = candidates;
        for rumour in confirmed {
            self.merge(now, &rumour, true, &mut actions);
        }
        actions
    }

    /// Sets the configuration version in effect here, carried along by heartbeats.
    pub fn set_configuration(&mut self, version: ConfigurationVersion) {
        self.configuration = version;
    }

    /// Announces that this instance is leaving: pushed at once to every live member.
    pub fn leave(&mut self, now: Instant, _rng: &mut impl Rng) -> Vec<Action> {
        self.own.state = MemberState::Leaving;
        self.own.generation += 1;
        self.next_heartbeat = now;
        let addresses: Vec<Box<str>> = self
            .members
            .values()
            .filter(|member| member.is_live())
            .map(|member| member.rumour.address.clone())
            .collect();
        let heartbeat = Heartbeat { rumours: Vec::new(), ..self.build_heartbeat(false, None) };
        let send = |address| Action::SendHeartbeat { address, heartbeat: heartbeat.clone() };
        addresses.into_iter().map(send).collect()
    }

    /// Live and suspected members of the data centre that are not leaving, with addresses, this
    /// instance included unless it is leaving.
    pub fn live(&self) -> BTreeMap<InstanceId, Box<str>> {
        let others = self.members.values().filter(|member| member.is_live());
        let own = std::iter::once(&self.own).filter(|own| own.state == MemberState::Live);
        let rumours = others.map(|member| &member.rumour).chain(own);
        rumours.map(|r| (r.instance.clone(), r.address.clone())).collect()
    }

    /// Runs of the members that [`Self::live`] names.
    pub fn incarnations(&self) -> BTreeMap<InstanceId, Incarnation> {
        let others = self.members.values().filter(|member| member.is_live());
        let own = std::iter::once(&self.own).filter(|own| own.state == MemberState::Live);
        let rumours = others.map(|member| &member.rumour).chain(own);
        rumours.map(|r| (r.instance.clone(), r.incarnation)).collect()
    }

    /// State of a member.
    pub fn state(&self, instance: &str) -> Option<MemberState> {
        if *instance == *self.cfg.instance {
            return Some(self.own.state);
        }
        self.members.get(instance).map(|member| member.rumour.state)
    }

    /// Address of a member, or of a delegate of another data centre.
    pub fn address(&self, instance: &str) -> Option<&str> {
        let member = self.members.get(instance).map(|member| &*member.rumour.address);
        member.or_else(|| self.summaries.address(instance))
    }

    /// Members whose own heartbeats arrive here and that are behind a configuration version.
    pub fn outdated_members(&self, version: ConfigurationVersion) -> Vec<InstanceId> {
        let live = self.members.iter().filter(|(_, member)| member.is_live());
        live.filter(|(_, member)| member.configuration.is_some_and(|has| has < version))
            .map(|(name, _)| name.clone())
            .collect()
    }
}
