//! The state machine of one instance, with its heartbeats and rumours.

use rand::Rng;
use rand::seq::IteratorRandom;
use types::prelude::*;

use crate::member::{Member, highest_weighted, weight};
use crate::summaries::Summaries;
use crate::{Action, Heartbeat, MemberState, Rumour, Settings};

/// Number of members that each heartbeat includes in round-robin order, which repairs lost rumours.
const ROUND_ROBIN_ENTRIES: usize = 4;
/// Number of members that the answer to a previously unknown member includes in addition.
const ENTRIES_FOR_NEW_MEMBER: usize = 64;
/// Minimum time between two requests to the same member to refute a rumour.
const MIN_REFUTATION_INTERVAL: Duration = Duration::from_millis(200);
/// How many times an instance sends a rumour for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;

/// The view that one instance has of the members of its data centre.
#[derive(Debug)]
pub struct Membership {
    pub(crate) cfg: Settings,
    pub(crate) own: Rumour,
    own_sends_left: u32,
    pub(crate) members: BTreeMap<InstanceId, Member>,
    /// Instances of the platform's list that are not known as members yet, with their addresses.
    candidates: BTreeMap<InstanceId, Box<str>>,
    pub(crate) targets: Vec<InstanceId>,
    /// Members that have this instance among their heartbeat targets.
    pub(crate) watched: BTreeSet<InstanceId>,
    /// Members in the state `Suspect`.
    pub(crate) suspects: BTreeSet<InstanceId>,
    pub(crate) next_heartbeat: Instant,
    pub(crate) configuration: ConfigurationVersion,
    /// Whether the live members changed since the peers were chosen. Choosing once per heartbeat
    /// bounds the cost of many simultaneous changes, such as those at a common start.
    peers_changed: bool,
    next_entry: usize,
    round: usize,
    pub(crate) summaries: Summaries,
}

impl Membership {
    /// Creates a view without other members. Heartbeats, rumours and the platform's list add them.
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

    /// Sends heartbeats and summaries, and detects silent members.
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
        // One target in round-robin order is asked for an answer, so that rumours also reach a
        // member that is nobody's target.
        let answering_index = self.round % self.targets.len().max(1);
        for (index, target) in self.targets.clone().into_iter().enumerate() {
            if let Some(address) = self.address(&target).map(Box::from) {
                let heartbeat = self.build_heartbeat(index == answering_index, None);
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

    /// Chooses a candidate or failed member to contact. It may have come back, and after a network
    /// partition nothing else reconnects the two sides.
    fn reconnect_candidate(&self, rng: &mut impl Rng) -> Option<InstanceId> {
        let failed = self.members.iter().filter(|(_, m)| m.rumour.state == MemberState::Failed);
        let names = failed.map(|(name, _)| name).chain(self.candidates.keys());
        names.choose(rng).cloned()
    }

    /// Builds a heartbeat with the rumour about `subject`, if given, rumours that are still to be
    /// sent, and a few members in round-robin order.
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

    /// Processes a heartbeat, and answers it if the sender asks for that or has to refute a rumour.
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
        // The rate is limited because two processes under one name would keep refuting each other.
        let needs_refutation = member.rumour != *sender
            && member.refutation_requested_at.is_none_or(|at| now >= at + MIN_REFUTATION_INTERVAL);
        if needs_refutation {
            member.refutation_requested_at = Some(now);
        }
        if heartbeat.configuration > self.configuration {
            let instance = sender.instance.clone();
            actions.push(Action::PeerVersion { instance, version: heartbeat.configuration });
        }
        // A sender about which this instance has a worse rumour has to refute it.
        if heartbeat.answer || needs_refutation {
            let mut answer = self.build_heartbeat(false, Some(&sender.instance));
            if is_new {
                self.add_entries(ENTRIES_FOR_NEW_MEMBER, &mut answer.rumours);
            }
            let address = sender.address.clone();
            actions.push(Action::SendHeartbeat { address, heartbeat: answer });
        }
        actions
    }

    /// Raises the generation of this instance above that of a false rumour about it.
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
        // A rumour from a third member does not bring back members that failed or left and were
        // pruned.
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

    /// Chooses the heartbeat targets, and determines which members have this instance among theirs.
    fn choose_peers(&mut self, now: Instant) {
        let names: Vec<InstanceId> = self.live().into_keys().collect();
        let others = |name: &InstanceId| {
            let name = name.clone();
            names.iter().filter(move |other| **other != name)
        };
        let count = self.cfg.heartbeat_peers;
        let own = &self.cfg.instance;
        self.targets = highest_weighted("heartbeat", own, others(own), count);
        // Stops once `count` members precede this one, so that the cost of a change grows little
        // faster than the number of members.
        let watches = |name: &&InstanceId| {
            let own_weight = (weight("heartbeat", name, own), own);
            let before = others(name).filter(|o| (weight("heartbeat", name, o), *o) > own_weight);
            before.take(count).count() < count
        };
        let watched: BTreeSet<InstanceId> = others(own).filter(watches).cloned().collect();
        for name in watched.difference(&self.watched) {
            if let Some(member) = self.members.get_mut(name) {
                // This instance expects heartbeats of the member from now on.
                member.last_heard = Some(now);
            }
        }
        self.watched = watched;
    }

    fn prune(&mut self, now: Instant) {
        let time = self.cfg.prune_after;
        self.members.retain(|_, member| member.is_live() || now < member.changed_at + time);
    }

    /// Processes the platform's list of instances. Unknown instances become candidates, which are
    /// contacted later, and suspects that are no longer listed fail. A live member is never
    /// removed, because the list lags behind.
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

    /// Sets the configuration version in effect here, which heartbeats and summaries carry.
    pub fn set_configuration(&mut self, version: ConfigurationVersion) {
        self.configuration = version;
    }

    /// Announces that this instance is leaving by a heartbeat to every live member.
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

    /// Live and suspected members of the data centre with their addresses. Members that are leaving
    /// are left out; this instance is included unless it is leaving.
    pub fn live(&self) -> BTreeMap<InstanceId, Box<str>> {
        let others = self.members.values().filter(|member| member.is_live());
        let own = std::iter::once(&self.own).filter(|own| own.state == MemberState::Live);
        let rumours = others.map(|member| &member.rumour).chain(own);
        rumours.map(|r| (r.instance.clone(), r.address.clone())).collect()
    }

    /// Incarnations of the members that [`Self::live`] returns.
    pub fn incarnations(&self) -> BTreeMap<InstanceId, Incarnation> {
        let others = self.members.values().filter(|member| member.is_live());
        let own = std::iter::once(&self.own).filter(|own| own.state == MemberState::Live);
        let rumours = others.map(|member| &member.rumour).chain(own);
        rumours.map(|r| (r.instance.clone(), r.incarnation)).collect()
    }

    /// State of a member or of this instance; `None` if it is not known.
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

    /// Live members that have an older configuration version according to the heartbeats that they
    /// sent to this instance.
    pub fn outdated_members(&self, version: ConfigurationVersion) -> Vec<InstanceId> {
        let live = self.members.iter().filter(|(_, member)| member.is_live());
        live.filter(|(_, member)| member.configuration.is_some_and(|has| has < version))
            .map(|(name, _)| name.clone())
            .collect()
    }
}
