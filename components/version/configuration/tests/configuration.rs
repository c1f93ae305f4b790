//! Tests of configuration versions with a fake platform and a lossy network in virtual time.

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

/// Callers of the platform from this number on are runs of `Apply`; the others are instances.
const FIRST_OPERATOR: usize = 1000;

struct Node {
    follower: Follower,
    is_up: bool,
    partition: usize,
    /// Adopted versions with the times of their adoption.
    adopted: Vec<(Instant, u64)>,
}

struct Operator {
    run: Apply,
    result: Option<ApplyOutcome>,
}

struct Simulation {
    start: Instant,
    now: Instant,
    rng: ChaCha8Rng,
    platform: FakePlatform,
    nodes: Vec<Node>,
    operators: Vec<Operator>,
    messages: BTreeMap<(Instant, u64), (usize, usize, ConfigurationMessage)>,
    last_message: u64,
    loss: f64,
    next_heartbeats: Instant,
    pushes: Vec<usize>,
}

fn instance_name(index: usize) -> InstanceId {
    format!("i{index}").into()
}

fn proposal(client_accounts: usize, changed: usize, capacity_share: u32) -> Proposal {
    let contract = |n: usize| Contract {
        client_account: format!("c{n}").into(),
        key_hashes: BTreeSet::new(),
        models: BTreeSet::new(),
        adapters: BTreeMap::new(),
        classes: BTreeMap::new(),
        default_class: "batch".into(),
        capacity_share: if n == changed { capacity_share } else { 0 },
        cost_share: 0,
        limits: Limits { requests_per_second: 1, concurrent_requests: 1, queued_requests: 1 },
        services: BTreeSet::new(),
    };
    let contracts = (0..client_accounts).map(|n| (format!("c{n}").into(), Arc::new(contract(n))));
    Proposal { contracts: contracts.collect(), catalogue: Arc::default(), based_on: None }
}

impl Simulation {
    fn new(instances: usize, seed: u64) -> Self {
        let start = Instant::now();
        let mut sim = Self {
            start,
            now: start,
            rng: ChaCha8Rng::seed_from_u64(seed),
            platform: FakePlatform::new(),
            nodes: Vec::new(),
            operators: Vec::new(),
            messages: BTreeMap::new(),
            last_message: 0,
            loss: 0.0,
            next_heartbeats: start,
            pushes: vec![0; instances],
        };
        for index in 0..instances {
            let follower = Follower::new(Settings::new(instance_name(index)));
            sim.nodes.push(Node { follower, is_up: true, partition: 0, adopted: Vec::new() });
        }
        (0..instances).for_each(|index| sim.start_node(index));
        sim
    }

    fn start_node(&mut self, index: usize) {
        let peers: Vec<InstanceId> = (0..self.nodes.len())
            .filter(|n| *n != index && self.nodes[*n].is_up)
            .map(instance_name)
            .collect();
        let actions = self.nodes[index].follower.start(self.now, &peers);
        self.run_actions(index, actions);
    }

    fn restart(&mut self, index: usize) {
        let follower = Follower::new(Settings::new(instance_name(index)));
        self.nodes[index] = Node { follower, is_up: true, partition: 0, adopted: Vec::new() };
        self.start_node(index);
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
                    let caller = FIRST_OPERATOR + operator;
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
                    let to: usize = to[1..].parse().expect("an instance name with an index");
                    if let ConfigurationMessage::Push { .. } = message {
                        self.pushes[node] += 1;
                    }
                    if !self.rng.random_bool(self.loss) {
                        self.last_message += 1;
                        let delay = Duration::from_millis(self.rng.random_range(1..20));
                        self.messages
                            .insert((self.now + delay, self.last_message), (node, to, message));
                    }
                }
                Action::Adopted(configuration) => {
                    let node = &mut self.nodes[node];
                    let before = node.adopted.last().map_or(0, |(_, version)| *version);
                    assert!(configuration.version > before, "version went back");
                    node.adopted.push((self.now, configuration.version));
                }
                Action::StartWatch | Action::StopWatch => {}
            }
        }
    }

    /// Gives each instance the live members and the versions of three peers, as membership and its
    /// heartbeats do once a second.
    fn heartbeats(&mut self) {
        self.next_heartbeats = self.now + Duration::from_secs(1);
        for node in (0..self.nodes.len()).filter(|n| self.nodes[*n].is_up).collect::<Vec<_>>() {
            let partition = self.nodes[node].partition;
            let live: Vec<usize> = (0..self.nodes.len())
                .filter(|other| {
                    self.nodes[*other].is_up && self.nodes[*other].partition == partition
                })
                .collect();
            let members = live.iter().copied().map(instance_name).collect();
            let actions = self.nodes[node].follower.set_members(self.now, members, &mut self.rng);
            self.run_actions(node, actions);
            for _ in 0..3 {
                let peer = live[self.rng.random_range(0..live.len())];
                let version = self.nodes[peer].follower.current().version;
                let now = self.now;
                let actions =
                    self.nodes[node].follower.on_peer_version(now, &instance_name(peer), version);
                self.run_actions(node, actions);
            }
        }
    }

    fn run_for(&mut self, seconds: f64) {
        let end = self.now + Duration::from_secs_f64(seconds);
        while self.now < end {
            let up = self.nodes.iter().filter(|node| node.is_up);
            let timers = up.filter_map(|node| node.follower.next_timer());
            let running = self.operators.iter().filter(|operator| operator.result.is_none());
            let runs = running.map(|operator| operator.run.next_timer());
            let next_message = self.messages.keys().next().map(|(at, _)| *at);
            let others = [next_message, self.platform.next_event_at(), Some(self.next_heartbeats)];
            let next = timers.chain(runs).chain(others.into_iter().flatten()).min();
            self.now = next.unwrap_or(end).max(self.now).min(end);
            if self.now >= self.next_heartbeats {
                self.heartbeats();
            }
            let writes = self.platform.history.len();
            for (caller, call, answer) in self.platform.step(self.now) {
                if caller >= FIRST_OPERATOR {
                    let run = &mut self.operators[caller - FIRST_OPERATOR].run;
                    let actions = run.on_answer(self.now, call, answer, &mut self.rng);
                    self.run_apply(caller - FIRST_OPERATOR, actions);
                } else if self.nodes[caller].is_up {
                    let follower = &mut self.nodes[caller].follower;
                    let actions = follower.on_answer(self.now, call, answer, &mut self.rng);
                    self.run_actions(caller, actions);
                }
            }
            if self.platform.history.len() > writes {
                for node in 0..self.nodes.len() {
                    if self.nodes[node].is_up && self.nodes[node].partition == 0 {
                        // Instances that do not watch ignore the call.
                        let actions = self.nodes[node].follower.on_head_changed();
                        self.run_actions(node, actions);
                    }
                }
            }
            while let Some(entry) = self.messages.first_entry().filter(|e| e.key().0 <= self.now) {
                let (from, to, message) = entry.remove();
                if self.nodes[to].is_up && self.nodes[from].partition == self.nodes[to].partition {
                    let follower = &mut self.nodes[to].follower;
                    let actions = follower.on_message(self.now, &instance_name(from), message);
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
                let due = self.nodes[node].follower.next_timer().is_some_and(|at| at <= self.now);
                if self.nodes[node].is_up && due {
                    let actions = self.nodes[node].follower.on_timer(self.now, &mut self.rng);
                    self.run_actions(node, actions);
                }
            }
        }
    }

    fn versions(&self) -> BTreeSet<u64> {
        let up = self.nodes.iter().filter(|node| node.is_up);
        up.map(|node| node.follower.current().version).collect()
    }

    fn head(&self) -> Head {
        let key = ObjectKey::new("configuration", "head");
        self.platform.objects.get(&key).map_or_else(Head::default, |(_, value)| {
            decode(value).expect("the head can be decoded")
        })
    }
}

/// Guards against versions that spread too slowly or revert, and against a push tree in which an
/// inner instance sends more messages than its fan-out.
#[test]
fn a_version_is_in_effect_everywhere_within_four_seconds() {
    let mut sim = Simulation::new(40, 1);
    sim.loss = 0.1;
    sim.run_for(5.0);
    for version in 1..=20 {
        let (started, writes) = (sim.now, sim.platform.history.len());
        let operator = sim.apply(proposal(30, version % 30, version as u32));
        sim.run_for(6.0);
        let accepted = ApplyOutcome::Accepted { version: version as u64 };
        assert_eq!(sim.operators[operator].result, Some(accepted));
        assert_eq!(sim.versions(), BTreeSet::from([version as u64]));
        let last = sim.nodes.iter().filter_map(|node| node.adopted.last()).map(|(at, _)| *at).max();
        let took = last.expect("adopted") - started;
        assert!(took < Duration::from_secs(4), "version {version} took {took:?}");
        assert!(version == 1 || sim.platform.history.len() - writes <= 3, "writes of one change");
    }
    let most = sim.pushes.iter().max().copied().unwrap_or_default();
    println!("40 instances, 20 versions, a tenth lost: at most {most} pushes by one instance");
    assert!(most <= 20 * 2 * 8, "{most}");
}

/// Guards against the silent loss of one of two racing changes.
#[test]
fn one_of_two_racing_operators_gets_a_conflict_that_shows_both_changes() {
    let mut sim = Simulation::new(1, 2);
    sim.apply(proposal(3, 0, 1));
    sim.run_for(2.0);
    let (one, two) = (sim.apply(proposal(3, 1, 5)), sim.apply(proposal(3, 2, 6)));
    sim.run_for(5.0);
    let mut results = [one, two].map(|n| sim.operators[n].result.clone().expect("a result"));
    results.sort_by_key(|result| matches!(result, ApplyOutcome::Conflict(_)));
    assert_eq!(results[0], ApplyOutcome::Accepted { version: 2 });
    let ApplyOutcome::Conflict(conflict) = &results[1] else { panic!("{:?}", results[1]) };
    assert_eq!((conflict.base, conflict.accepted), (1, 2));
    for changes in [&conflict.theirs, &conflict.ours] {
        // Each of the two also reverts the first change, since it is not part of its proposal.
        assert_eq!(changes.len(), 2);
        assert!(changes.values().all(|change| matches!(change, Change::Changed(_))));
    }
    assert_ne!(conflict.theirs, conflict.ours);
}

/// Guards against a starting instance that trusts the first answer, and against one that cannot
/// start while the platform is unreachable.
#[test]
fn a_starting_instance_adopts_the_highest_version_even_without_the_platform() {
    let mut sim = Simulation::new(6, 3);
    sim.run_for(2.0);
    sim.apply(proposal(5, 0, 1));
    sim.run_for(6.0);
    sim.apply(proposal(5, 1, 2));
    sim.run_for(6.0);
    let outage = sim.now..sim.now + Duration::from_secs(60);
    sim.platform.faults.outages.push(outage);
    sim.restart(3);
    assert!(!sim.nodes[3].follower.is_started(sim.now));
    sim.run_for(4.0);
    assert!(sim.nodes[3].follower.is_started(sim.now));
    assert_eq!(sim.nodes[3].follower.current().version, 2);
}

/// Guards against instances that never catch up after a network partition, or that revert others
/// to their own version.
#[test]
fn partitioned_instances_catch_up_when_they_are_reachable_again() {
    let mut sim = Simulation::new(10, 4);
    sim.run_for(2.0);
    sim.apply(proposal(5, 0, 1));
    sim.run_for(6.0);
    (0..4).for_each(|node| sim.nodes[node].partition = 1);
    let cut = sim.now..sim.now + Duration::from_secs(20);
    (0..4).for_each(|node| sim.platform.faults.partitions.push((node, cut.clone())));
    for capacity_share in 2..5 {
        sim.apply(proposal(5, 1, capacity_share));
        sim.run_for(5.0);
    }
    assert_eq!(sim.versions(), BTreeSet::from([1, 4]));
    sim.run_for(6.0);
    (0..4).for_each(|node| sim.nodes[node].partition = 0);
    sim.run_for(4.0);
    assert_eq!(sim.versions(), BTreeSet::from([4]));
}

proptest! {
    #![proptest_config(cases())]

    /// Guards against a version in effect that was never accepted, a reverted version, a wrong
    /// outcome of `Apply` and instances that stay behind. Messages and answers are lost, the
    /// platform has an outage, instances restart and operators race.
    #[test]
    fn versions_only_increase_and_outcomes_are_correct(
        seed in any::<u64>(),
        answer_loss in 0.0..0.4f64,
        loss in 0.0..0.3f64,
        outage in prop::option::of((0.0..20.0f64, 1.0..20.0f64)),
        changes in prop::collection::vec((0.0..3.0f64, 0..6usize, 1..5u32), 1..10),
        restarts in prop::collection::vec(0..8usize, 0..4),
    ) {
        let mut sim = Simulation::new(8, seed);
        sim.platform.faults.answer_loss = answer_loss;
        sim.loss = loss;
        if let Some((at, time)) = outage {
            let from = sim.start + Duration::from_secs_f64(at);
            sim.platform.faults.outages.push(from..from + Duration::from_secs_f64(time));
        }
        for (wait, client_account, capacity_share) in changes {
            sim.apply(proposal(6, client_account, capacity_share));
            sim.run_for(wait);
        }
        restarts.into_iter().for_each(|node| sim.restart(node));
        sim.run_for(61.0);
        sim.platform.faults.answer_loss = 0.0;
        sim.loss = 0.0;
        sim.run_for(15.0);
        // Each accepted change increments the version by one.
        let head = sim.head();
        prop_assert_eq!(sim.versions(), BTreeSet::from([head.version]));
        let results = sim.operators.iter().map(|operator| operator.result.clone());
        let results: Vec<ApplyOutcome> = results.map(|result| result.expect("a result")).collect();
        let accepted =
            results.iter().filter(|r| matches!(r, ApplyOutcome::Accepted { .. })).count();
        let unknown = results.iter().filter(|r| matches!(r, ApplyOutcome::Unknown { .. })).count();
        let written = head.version as usize;
        prop_assert!(accepted <= written && written <= accepted + unknown, "{:?}", results);
        for node in &sim.nodes {
            let hashes = node.follower.current().contracts.iter();
            let hashes = hashes.map(|(n, c)| (n.clone(), configuration::contract_hash(c)));
            prop_assert_eq!(hashes.collect::<BTreeMap<_, _>>(), head.contracts.clone());
        }
    }
}

/// Runs a quarter of `PROPTEST_CASES`, since one case simulates a minute and a half of 8 instances.
fn cases() -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig { cases: default.cases / 4, failure_persistence: None, ..default }
}
