//! Configuration versions over a fake platform and a lossy network in virtual time.

#[path = "../../../process/types/tests/fakes/platform.rs"]
mod platform;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use configuration::{
    Action, Apply, ApplyAction, ApplyOutcome, Change, ConfigurationMessage, Follower, Head,
    Proposal, Settings,
};
use platform::FakePlatform;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::object::{ObjectKey, decode};
use types::prelude::*;

/// Callers from this number on are runs of `apply`.
const OPERATORS: usize = 1000;

struct Node {
    machine: Follower,
    up: bool,
    side: usize,
    /// Versions in effect, as adopted.
    adopted: Vec<(Instant, u64)>,
}

struct Operator {
    run: Apply,
    result: Option<ApplyOutcome>,
}

struct Net {
    start: Instant,
    now: Instant,
    rng: ChaCha8Rng,
    platform: FakePlatform,
    nodes: Vec<Node>,
    operators: Vec<Operator>,
    queue: BTreeMap<(Instant, u64), (usize, usize, ConfigurationMessage)>,
    sent: u64,
    loss: f64,
    next_round: Instant,
    pushes: Vec<usize>,
}

fn name(index: usize) -> InstanceId {
    format!("i{index}").into()
}

fn proposal(client_accounts: usize, changed: usize, mark: u32) -> Proposal {
    let contract = |n: usize| Contract {
        client_account: format!("c{n}").into(),
        key_hashes: BTreeSet::new(),
        models: BTreeSet::new(),
        adapters: BTreeMap::new(),
        classes: BTreeMap::new(),
        default_class: "batch".into(),
        capacity_share: if n == changed { mark } else { 0 },
        cost_share: 0,
        limits: Limits { requests_per_second: 1, concurrent_requests: 1, queued_requests: 1 },
        services: BTreeSet::new(),
    };
    let contracts = (0..client_accounts).map(|n| (format!("c{n}").into(), Arc::new(contract(n))));
    Proposal { contracts: contracts.collect(), catalogue: Arc::default(), based_on: None }
}

impl Net {
    fn new(instances: usize, seed: u64) -> Self {
        let start = Instant::now();
        let mut net = Self {
            start,
            now: start,
            rng: ChaCha8Rng::seed_from_u64(seed),
            platform: FakePlatform::new(),
            nodes: Vec::new(),
            operators: Vec::new(),
            queue: BTreeMap::new(),
            sent: 0,
            loss: 0.0,
            next_round: start,
            pushes: vec![0; instances],
        };
        for index in 0..instances {
            let machine = Follower::new(Settings::new(name(index)));
            net.nodes.push(Node { machine, up: true, side: 0, adopted: Vec::new() });
        }
        (0..instances).for_each(|index| net.begin(index));
        net
    }

    fn begin(&mut self, index: usize) {
        let peers: Vec<InstanceId> =
            (0..self.nodes.len()).filter(|n| *n != index && self.nodes[*n].up).map(name).collect();
        let actions = self.nodes[index].machine.start(self.now, &peers);
        self.run_actions(index, actions);
    }

    fn restart(&mut self, index: usize) {
        let machine = Follower::new(Settings::new(name(index)));
        self.nodes[index] = Node { machine, up: true, side: 0, adopted: Vec::new() };
        self.begin(index);
    }

    fn apply(&mut self, proposal: Proposal) -> usize {
        let mut run = Apply::new(proposal, self.now + Duration::from_secs(60));
        let actions = run.start();
        self.operators.push(Operator { run, result: None });
        let operator = self.operators.len() - 1;
        self.run_apply(operator, actions);
        operator
    }

    fn run_apply(&mut self, operator: usize, actions: Vec<ApplyAction>) {
        for action in actions {
            match action {
                ApplyAction::Call { call, request } => {
                    let caller = OPERATORS + operator;
                    self.platform.submit(self.now, caller, call, request, &mut self.rng);
                }
                ApplyAction::Done(result) => {
                    assert!(self.operators[operator].result.replace(result).is_none());
                }
            }
        }
    }

    fn run_actions(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call { call, request } => {
                    self.platform.submit(self.now, node, call, request, &mut self.rng);
                }
                Action::Send { to, message } => {
                    let to: usize = to[1..].parse().expect("a name");
                    if let ConfigurationMessage::Push { .. } = message {
                        self.pushes[node] += 1;
                    }
                    if !self.rng.random_bool(self.loss) {
                        self.sent += 1;
                        let delay = Duration::from_millis(self.rng.random_range(1..20));
                        self.queue.insert((self.now + delay, self.sent), (node, to, message));
                    }
                }
                Action::Adopted(configuration) => {
                    let it = &mut self.nodes[node];
                    let before = it.adopted.last().map_or(0, |(_, version)| *version);
                    assert!(configuration.version > before, "version went back");
                    it.adopted.push((self.now, configuration.version));
                }
                Action::StartWatch | Action::StopWatch => {}
            }
        }
    }

    /// What membership does once a second: live members, and versions in heartbeats.
    fn heartbeats(&mut self) {
        self.next_round = self.now + Duration::from_secs(1);
        for node in (0..self.nodes.len()).filter(|n| self.nodes[*n].up).collect::<Vec<_>>() {
            let side = self.nodes[node].side;
            let live: Vec<usize> = (0..self.nodes.len())
                .filter(|other| self.nodes[*other].up && self.nodes[*other].side == side)
                .collect();
            let members = live.iter().copied().map(name).collect();
            let actions = self.nodes[node].machine.set_members(self.now, members, &mut self.rng);
            self.run_actions(node, actions);
            for _ in 0..3 {
                let peer = live[self.rng.random_range(0..live.len())];
                let version = self.nodes[peer].machine.current().version;
                let now = self.now;
                let actions = self.nodes[node].machine.on_peer_version(now, &name(peer), version);
                self.run_actions(node, actions);
            }
        }
    }

    fn run_for(&mut self, seconds: f64) {
        let end = self.now + Duration::from_secs_f64(seconds);
        while self.now < end {
            let up = self.nodes.iter().filter(|node| node.up);
            let timers = up.filter_map(|node| node.machine.next_timer());
            let running = self.operators.iter().filter(|operator| operator.result.is_none());
            let runs = running.map(|operator| operator.run.next_timer());
            let messages = self.queue.keys().next().map(|(at, _)| *at);
            let others = [messages, self.platform.next_event_at(), Some(self.next_round)];
            let next = timers.chain(runs).chain(others.into_iter().flatten()).min();
            self.now = next.unwrap_or(end).max(self.now).min(end);
            if self.now >= self.next_round {
                self.heartbeats();
            }
            let writes = self.platform.history.len();
            for (caller, call, answer) in self.platform.step(self.now) {
                if caller >= OPERATORS {
                    let run = &mut self.operators[caller - OPERATORS].run;
                    let actions = run.on_answer(self.now, call, answer, &mut self.rng);
                    self.run_apply(caller - OPERATORS, actions);
                } else if self.nodes[caller].up {
                    let machine = &mut self.nodes[caller].machine;
                    let actions = machine.on_answer(self.now, call, answer, &mut self.rng);
                    self.run_actions(caller, actions);
                }
            }
            if self.platform.history.len() > writes {
                for node in 0..self.nodes.len() {
                    if self.nodes[node].up && self.nodes[node].side == 0 {
                        // Only watchers get events; for the others the call has no effect here.
                        let actions = self.nodes[node].machine.on_head_changed();
                        self.run_actions(node, actions);
                    }
                }
            }
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let (from, to, message) = entry.remove();
                if self.nodes[to].up && self.nodes[from].side == self.nodes[to].side {
                    let machine = &mut self.nodes[to].machine;
                    let actions = machine.on_message(self.now, &name(from), message);
                    self.run_actions(to, actions);
                }
            }
            for operator in 0..self.operators.len() {
                let Operator { run, result } = &mut self.operators[operator];
                if result.is_none() && run.next_timer() <= self.now {
                    let actions = run.on_timer(self.now);
                    self.run_apply(operator, actions);
                }
            }
            for node in 0..self.nodes.len() {
                let due = self.nodes[node].machine.next_timer().is_some_and(|at| at <= self.now);
                if self.nodes[node].up && due {
                    let actions = self.nodes[node].machine.on_timer(self.now, &mut self.rng);
                    self.run_actions(node, actions);
                }
            }
        }
    }

    fn versions(&self) -> BTreeSet<u64> {
        let up = self.nodes.iter().filter(|node| node.up);
        up.map(|node| node.machine.current().version).collect()
    }

    fn head(&self) -> Head {
        let key = ObjectKey::new("configuration", "head");
        self.platform
            .objects
            .get(&key)
            .map_or_else(Head::default, |(_, value)| decode(value).expect("a head"))
    }
}

/// Guards against versions that spread too slowly or revert, and against a tree that costs an
/// inner member more than its fan-out.
#[test]
fn a_version_is_in_effect_everywhere_within_four_seconds() {
    let mut net = Net::new(40, 1);
    net.loss = 0.1;
    net.run_for(5.0);
    for version in 1..=20 {
        let (started, writes) = (net.now, net.platform.history.len());
        let operator = net.apply(proposal(30, version % 30, version as u32));
        net.run_for(6.0);
        let accepted = ApplyOutcome::Accepted { version: version as u64 };
        assert_eq!(net.operators[operator].result, Some(accepted));
        assert_eq!(net.versions(), BTreeSet::from([version as u64]));
        let last = net.nodes.iter().filter_map(|node| node.adopted.last()).map(|(at, _)| *at).max();
        let took = last.expect("adopted") - started;
        assert!(took < Duration::from_secs(4), "version {version} took {took:?}");
        assert!(version == 1 || net.platform.history.len() - writes <= 3, "writes of one change");
    }
    let most = net.pushes.iter().max().copied().unwrap_or_default();
    println!("40 instances, 20 versions, a tenth lost: at most {most} pushes by one instance");
    assert!(most <= 20 * 2 * 8, "{most}");
}

/// Guards against one of two racing changes being lost without a word.
#[test]
fn racing_operators_get_one_acceptance_and_one_conflict_that_shows_both() {
    let mut net = Net::new(1, 2);
    net.apply(proposal(3, 0, 1));
    net.run_for(2.0);
    let (one, two) = (net.apply(proposal(3, 1, 5)), net.apply(proposal(3, 2, 6)));
    net.run_for(5.0);
    let mut results = [one, two].map(|n| net.operators[n].result.clone().expect("a result"));
    results.sort_by_key(|result| matches!(result, ApplyOutcome::Conflict(_)));
    assert_eq!(results[0], ApplyOutcome::Accepted { version: 2 });
    let ApplyOutcome::Conflict(conflict) = &results[1] else { panic!("{:?}", results[1]) };
    assert_eq!((conflict.base, conflict.accepted), (1, 2));
    for changes in [&conflict.theirs, &conflict.ours] {
        // Both also put the first change back.
        assert_eq!(changes.len(), 2);
        assert!(changes.values().all(|change| matches!(change, Change::Changed(_))));
    }
    assert_ne!(conflict.theirs, conflict.ours);
}

/// Guards against a starting instance that trusts the first answer, and against one that cannot
/// start while the platform is away.
#[test]
fn a_starting_instance_takes_the_highest_version_also_without_the_platform() {
    let mut net = Net::new(6, 3);
    net.run_for(2.0);
    net.apply(proposal(5, 0, 1));
    net.run_for(6.0);
    net.apply(proposal(5, 1, 2));
    net.run_for(6.0);
    let absent = net.now..net.now + Duration::from_secs(60);
    net.platform.faults.outages.push(absent);
    net.restart(3);
    assert!(!net.nodes[3].machine.is_started(net.now));
    net.run_for(4.0);
    assert!(net.nodes[3].machine.is_started(net.now));
    assert_eq!(net.nodes[3].machine.current().version, 2);
}

/// Guards against a partitioned side that never catches up, or that takes others back.
#[test]
fn a_partitioned_side_catches_up_when_it_is_reachable_again() {
    let mut net = Net::new(10, 4);
    net.run_for(2.0);
    net.apply(proposal(5, 0, 1));
    net.run_for(6.0);
    (0..4).for_each(|node| net.nodes[node].side = 1);
    let cut = net.now..net.now + Duration::from_secs(20);
    (0..4).for_each(|node| net.platform.faults.partitions.push((node, cut.clone())));
    for mark in 2..5 {
        net.apply(proposal(5, 1, mark));
        net.run_for(5.0);
    }
    assert_eq!(net.versions(), BTreeSet::from([1, 4]));
    net.run_for(6.0);
    (0..4).for_each(|node| net.nodes[node].side = 0);
    net.run_for(4.0);
    assert_eq!(net.versions(), BTreeSet::from([4]));
}

proptest! {
    #![proptest_config(cases())]

    /// Guards against a version in effect that was never accepted, a version that goes back, a
    /// wrong result of `apply`, and instances that stay behind, under losses, lost answers,
    /// absences, restarts and racing operators.
    #[test]
    fn versions_only_rise_and_results_are_true(
        seed in any::<u64>(),
        lost in 0.0..0.4f64,
        loss in 0.0..0.3f64,
        absent in prop::option::of((0.0..20.0f64, 1.0..20.0f64)),
        changes in prop::collection::vec((0.0..3.0f64, 0..6usize, 1..5u32), 1..10),
        restarts in prop::collection::vec(0..8usize, 0..4),
    ) {
        let mut net = Net::new(8, seed);
        net.platform.faults.answer_loss = lost;
        net.loss = loss;
        if let Some((at, time)) = absent {
            let from = net.start + Duration::from_secs_f64(at);
            net.platform.faults.outages.push(from..from + Duration::from_secs_f64(time));
        }
        for (wait, client_account, mark) in changes {
            net.apply(proposal(6, client_account, mark));
            net.run_for(wait);
        }
        restarts.into_iter().for_each(|node| net.restart(node));
        net.run_for(61.0);
        net.platform.faults.answer_loss = 0.0;
        net.loss = 0.0;
        net.run_for(15.0);
        // Each accepted change raises the version by one.
        let head = net.head();
        prop_assert_eq!(net.versions(), BTreeSet::from([head.version]));
        let results = net.operators.iter().map(|operator| operator.result.clone());
        let results: Vec<ApplyOutcome> = results.map(|result| result.expect("a result")).collect();
        let said = results.iter().filter(|r| matches!(r, ApplyOutcome::Accepted { .. })).count();
        let unknown = results.iter().filter(|r| matches!(r, ApplyOutcome::Unknown { .. })).count();
        let written = head.version as usize;
        prop_assert!(said <= written && written <= said + unknown, "{:?}", results);
        for node in &net.nodes {
            let hashes = node.machine.current().contracts.iter();
            let hashes = hashes.map(|(n, c)| (n.clone(), configuration::contract_hash(c)));
            prop_assert_eq!(hashes.collect::<BTreeMap<_, _>>(), head.contracts.clone());
        }
    }
}

/// A part of `PROPTEST_CASES`, as one case simulates a minute and a half of 8 instances.
fn cases() -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig { cases: default.cases / 4, failure_persistence: None, ..default }
}
