//! Simulates the instances of one data centre in virtual time.

#[path = "../../../../types/tests/fakes/platform.rs"]
pub(crate) mod platform;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::{Duration, Instant};

use ownership::{Action, GroupObject, Ownership, Settings};
use platform::FakePlatform;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::object::decode;

pub(crate) fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

struct Node {
    name: Box<str>,
    machine: Ownership,
    incarnation: u64,
    dead: bool,
    paused: Option<Range<Instant>>,
}

pub(crate) struct Fleet {
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    pub(crate) platform: FakePlatform,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) events: usize,
    nodes: Vec<Node>,
    /// Time after which a dead or paused instance is removed from the view of live members.
    detection_delay: Duration,
    view_changes: Vec<Instant>,
    /// Every `Gained`: time, group, fencing number, node.
    pub(crate) gained: Vec<(Instant, Box<str>, u64, usize)>,
    /// Every `Lost`: time, group, node.
    pub(crate) lost: Vec<(Instant, Box<str>, usize)>,
    pub(crate) groups: BTreeSet<Box<str>>,
    died_at: BTreeMap<usize, Instant>,
    pub(crate) handed_over: BTreeMap<usize, Instant>,
}

impl Fleet {
    pub(crate) fn new(instances: usize, groups: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            start: now,
            now,
            platform: FakePlatform::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: 0,
            nodes: Vec::new(),
            detection_delay: secs(5.0),
            view_changes: Vec::new(),
            gained: Vec::new(),
            lost: Vec::new(),
            groups: (0..groups).map(|n| format!("keys/{n}").into()).collect(),
            died_at: BTreeMap::new(),
            handed_over: BTreeMap::new(),
        };
        for _ in 0..instances {
            fleet.join();
        }
        fleet
    }

    fn machine(&mut self, name: &str, incarnation: u64) -> Ownership {
        let cfg = Settings::new(name, incarnation, "127.0.0.1:1", "dc");
        let mut machine = Ownership::new(cfg, self.now, &mut self.rng);
        machine.set_groups(self.now, self.groups.clone());
        machine
    }

    pub(crate) fn join(&mut self) -> usize {
        let name: Box<str> = format!("i{}", self.nodes.len()).into();
        let machine = self.machine(&name, 1);
        self.nodes.push(Node { name, machine, incarnation: 1, dead: false, paused: None });
        self.update_members();
        self.nodes.len() - 1
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].dead = true;
        self.died_at.insert(node, self.now);
        self.view_changes.push(self.now + self.detection_delay);
    }

    /// Starts a new incarnation of a dead instance.
    pub(crate) fn restart(&mut self, node: usize) {
        let name = self.nodes[node].name.clone();
        let incarnation = self.nodes[node].incarnation + 1;
        let machine = self.machine(&name, incarnation);
        self.nodes[node] = Node { name, machine, incarnation, dead: false, paused: None };
        self.died_at.remove(&node);
        self.update_members();
    }

    /// Starts a second process under the name of an instance that keeps running.
    pub(crate) fn duplicate(&mut self, node: usize) -> usize {
        let name = self.nodes[node].name.clone();
        let incarnation = self.nodes[node].incarnation + 1;
        let machine = self.machine(&name, incarnation);
        self.nodes.push(Node { name, machine, incarnation, dead: false, paused: None });
        self.update_members();
        self.nodes.len() - 1
    }

    pub(crate) fn pause(&mut self, node: usize, time: Duration) {
        self.nodes[node].paused = Some(self.now..self.now + time);
        self.view_changes.push(self.now + self.detection_delay);
        self.view_changes.push(self.now + time);
    }

    pub(crate) fn stop(&mut self, node: usize) {
        let actions = self.nodes[node].machine.stop(self.now, &mut self.rng);
        self.run_actions(node, actions);
        self.died_at.insert(node, self.now - self.detection_delay);
        self.update_members();
    }

    fn is_paused(&self, node: usize) -> bool {
        self.nodes[node].paused.as_ref().is_some_and(|when| when.contains(&self.now))
    }

    fn update_members(&mut self) {
        let has_left_view = |node: usize, f: &Self| {
            let paused = f.nodes[node].paused.as_ref();
            let is_silent =
                paused.is_some_and(|p| f.is_paused(node) && f.now >= p.start + f.detection_delay);
            is_silent || f.died_at.get(&node).is_some_and(|at| f.now >= *at + f.detection_delay)
        };
        let live: BTreeSet<Box<str>> = (0..self.nodes.len())
            .filter(|node| !has_left_view(*node, self))
            .map(|node| self.nodes[node].name.clone())
            .collect();
        for node in 0..self.nodes.len() {
            if !self.nodes[node].dead && !self.is_paused(node) {
                self.nodes[node].machine.set_members(self.now, live.clone());
            }
        }
    }

    fn run_actions(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call { call, request, .. } => {
                    self.platform.submit(self.now, node, call, request, &mut self.rng);
                }
                Action::Gained { group, fencing } => {
                    self.gained.push((self.now, group, fencing, node));
                }
                Action::Announce(announcement) => {
                    for other in 0..self.nodes.len() {
                        if other != node && !self.nodes[other].dead && !self.is_paused(other) {
                            let now = self.now;
                            let responses =
                                self.nodes[other].machine.on_announcement(now, &announcement);
                            self.run_actions(other, responses);
                        }
                    }
                }
                Action::SendHandover { to, handover } => {
                    let to = self.nodes.iter().position(|n| n.name == to && !n.dead);
                    if let Some(to) = to.filter(|to| !self.is_paused(*to)) {
                        let now = self.now;
                        let responses =
                            self.nodes[to].machine.on_handover(now, &handover, &mut self.rng);
                        self.run_actions(to, responses);
                    }
                }
                Action::Release { group } => {
                    let now = self.now;
                    let responses =
                        self.nodes[node].machine.on_released(now, &group, &mut self.rng);
                    self.run_actions(node, responses);
                }
                Action::Lost { group } => self.lost.push((self.now, group, node)),
                Action::LeaseExtended { .. } | Action::LeaseExpired { .. } => {}
            }
        }
    }

    /// Runs until `seconds` after the start, and checks the owners after the events.
    pub(crate) fn run_until(&mut self, seconds: f64) {
        let end = self.start + secs(seconds);
        let mut delayed_answers: Vec<(usize, u64, types::object::ObjectAnswer)> = Vec::new();
        while self.now < end {
            let timers: Vec<Option<Instant>> = (0..self.nodes.len())
                .map(|node| {
                    let Node { machine, dead, paused, .. } = &self.nodes[node];
                    let at = machine.next_timer().filter(|_| !dead)?;
                    let paused = paused.as_ref().filter(|_| self.is_paused(node));
                    Some(paused.map_or(at, |paused| at.max(paused.end)))
                })
                .collect();
            let due = timers.iter().flatten().copied();
            let next = due
                .chain(self.platform.next_event_at())
                .chain(self.view_changes.iter().copied())
                .min();
            self.now = next.unwrap_or(end).max(self.now).min(end);
            if self.view_changes.iter().any(|at| *at <= self.now) {
                let now = self.now;
                self.view_changes.retain(|at| *at > now);
                self.update_members();
            }
            delayed_answers.extend(self.platform.step(self.now));
            for (node, call, answer) in std::mem::take(&mut delayed_answers) {
                if self.is_paused(node) {
                    delayed_answers.push((node, call, answer));
                } else if !self.nodes[node].dead {
                    let now = self.now;
                    let actions =
                        self.nodes[node].machine.on_answer(now, call, answer, &mut self.rng);
                    self.run_actions(node, actions);
                }
            }
            for (node, due) in timers.into_iter().enumerate() {
                let due = due.is_some_and(|at| at <= self.now);
                if due && !self.nodes[node].dead && !self.is_paused(node) {
                    let actions = self.nodes[node].machine.on_timer(self.now, &mut self.rng);
                    self.run_actions(node, actions);
                }
                if self.nodes[node].machine.is_handed_over() {
                    self.handed_over.entry(node).or_insert(self.now);
                }
            }
            self.events += 1;
            // Checking a large fleet takes longer than simulating it.
            if self.nodes.len() <= 8 || self.events.is_multiple_of(64) {
                self.check();
            }
        }
    }

    /// Nodes that may act for a group now. Includes paused nodes, which may resume at any moment.
    pub(crate) fn authorities(&self, group: &str) -> Vec<usize> {
        let live = self.nodes.iter().enumerate().filter(|(_, node)| !node.dead);
        live.filter(|(_, n)| n.machine.authority(self.now, group).is_some())
            .map(|(i, _)| i)
            .collect()
    }

    pub(crate) fn owned(&self) -> BTreeMap<Box<str>, usize> {
        let owner = |g| self.authorities(g).first().map(|node| (Box::from(g), *node));
        self.groups.iter().map(AsRef::as_ref).filter_map(owner).collect()
    }

    fn check(&self) {
        for group in &self.groups {
            let owners = self.authorities(group);
            assert!(
                owners.len() <= 1,
                "{group} has the owners {owners:?} at {:?}",
                self.now - self.start
            );
        }
    }

    /// Checks the writes that the platform received: fencing numbers grow and none is used twice.
    pub(crate) fn check_history(&self) {
        let mut last: BTreeMap<Box<str>, (u64, Option<Box<str>>)> = BTreeMap::new();
        for (_, key, value) in &self.platform.history {
            if key.kind != "group" {
                continue;
            }
            let object: GroupObject = decode(value).expect("a group object");
            let before = last.insert(key.name.clone(), (object.fencing, object.owner.clone()));
            if let Some((fencing, _)) = before {
                let grows = object.fencing > fencing || object.owner.is_none();
                assert!(grows && object.fencing >= fencing, "{key:?}: {fencing}, then {object:?}");
            }
        }
        let mut seen = BTreeSet::new();
        for (_, group, fencing, _) in &self.gained {
            assert!(seen.insert((group, fencing)), "{group} gained twice with {fencing}");
        }
    }
}
