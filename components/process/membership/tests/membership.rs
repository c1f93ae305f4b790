//! Heartbeats, rumours and summaries over a lossy network in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use membership::{Action, Heartbeat, MemberState, Membership, Settings, Summary, SummaryBody};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

enum Message {
    Heartbeat(Heartbeat),
    Summary(Summary),
}

struct Node {
    machine: Membership,
    data_centre: usize,
    up: bool,
    /// Part of the partitioned network; messages only arrive within the same part.
    partition: usize,
}

struct Network {
    start: Instant,
    now: Instant,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    queue: BTreeMap<(Instant, u64), (usize, usize, Message)>,
    sent: u64,
    loss: f64,
    bytes: Vec<usize>,
    /// State changes that nodes reported: time, node, member, state.
    state_changes: Vec<(Instant, usize, Box<str>, MemberState)>,
    highest_versions: BTreeMap<usize, u64>,
}

impl Network {
    fn new(data_centres: usize, per_data_centre: usize, seed: u64) -> Self {
        let start = Instant::now();
        let mut net = Self {
            start,
            now: start,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sent: 0,
            loss: 0.0,
            bytes: Vec::new(),
            state_changes: Vec::new(),
            highest_versions: BTreeMap::new(),
        };
        for n in 0..data_centres * per_data_centre {
            net.join(n / per_data_centre);
        }
        for node in 0..net.nodes.len() {
            net.send_list(node);
        }
        net
    }

    fn machine(&mut self, index: usize, data_centre: usize, incarnation: u64) -> Membership {
        let name = format!("i{index}");
        let cfg = Settings::new(name, incarnation, index.to_string(), format!("dc{data_centre}"));
        Membership::new(cfg, self.now, &mut self.rng)
    }

    fn join(&mut self, data_centre: usize) -> usize {
        let machine = self.machine(self.nodes.len(), data_centre, 7);
        self.nodes.push(Node { machine, data_centre, up: true, partition: 0 });
        self.bytes.push(0);
        self.nodes.len() - 1
    }

    /// Passes the platform's list of all nodes to a node, including those that are down.
    fn send_list(&mut self, node: usize) {
        let entry = |(index, node): (usize, &Node)| ListedInstance {
            name: format!("i{index}").into(),
            role: ListedRole::Entry,
            data_centre: format!("dc{}", node.data_centre).into(),
            group: "".into(),
            address: index.to_string().into(),
            state: ListedState::Live,
            checks_fencing: false,
        };
        let listed: Vec<_> = self.nodes.iter().enumerate().map(entry).collect();
        let actions = self.nodes[node].machine.on_list(self.now, &listed);
        self.run_actions(node, actions);
    }

    fn restart(&mut self, node: usize, incarnation: u64) {
        let data_centre = self.nodes[node].data_centre;
        self.nodes[node].machine = self.machine(node, data_centre, incarnation);
        self.nodes[node].up = true;
        self.send_list(node);
    }

    fn run_actions(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            let (address, message, size) = match action {
                Action::SendHeartbeat { address, heartbeat } => {
                    let size = serde_json::to_vec(&heartbeat).expect("JSON").len();
                    assert!(heartbeat.rumours.len() <= 24 + 1 + 64, "unbounded heartbeat");
                    (address, Message::Heartbeat(heartbeat), size)
                }
                Action::SendSummary { address, summary } => {
                    let size = serde_json::to_vec(&summary).expect("JSON").len();
                    (address, Message::Summary(summary), size)
                }
                Action::MemberChanged { instance, state, .. } => {
                    self.state_changes.push((self.now, node, instance, state));
                    continue;
                }
                Action::PeerVersion { version, .. } => {
                    let seen = self.highest_versions.entry(node).or_default();
                    *seen = version.max(*seen);
                    continue;
                }
                Action::SummaryChanged { .. } => continue,
            };
            self.bytes[node] += size;
            let to: usize = address.parse().expect("an address");
            let is_reachable = self.nodes[node].partition == self.nodes[to].partition;
            if is_reachable && !self.rng.random_bool(self.loss) {
                self.sent += 1;
                let delay = Duration::from_millis(self.rng.random_range(1..20));
                self.queue.insert((self.now + delay, self.sent), (node, to, message));
            }
        }
    }

    fn run_for(&mut self, seconds: f64) {
        let end = self.now + Duration::from_secs_f64(seconds);
        while self.now < end {
            let timers = self.nodes.iter().filter(|n| n.up).map(|n| n.machine.next_timer());
            let next = timers.chain(self.queue.keys().next().map(|(at, _)| *at)).min();
            self.now = next.unwrap_or(end).max(self.now).min(end);
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let (from, to, message) = entry.remove();
                if !self.nodes[to].up || self.nodes[from].partition != self.nodes[to].partition {
                    continue;
                }
                let machine = &mut self.nodes[to].machine;
                let actions = match &message {
                    Message::Heartbeat(msg) => machine.on_heartbeat(self.now, msg, &mut self.rng),
                    Message::Summary(msg) => machine.on_summary(self.now, msg, &mut self.rng),
                };
                self.run_actions(to, actions);
            }
            for node in 0..self.nodes.len() {
                if self.nodes[node].up && self.nodes[node].machine.next_timer() <= self.now {
                    let actions = self.nodes[node].machine.on_timer(self.now, &mut self.rng);
                    self.run_actions(node, actions);
                }
            }
        }
    }

    fn up(&self) -> BTreeSet<Box<str>> {
        let up = self.nodes.iter().enumerate().filter(|(_, node)| node.up);
        up.map(|(index, _)| format!("i{index}").into()).collect()
    }

    /// Whether every node that is up has exactly the nodes that are up in its view.
    fn views_agree(&self) -> bool {
        let up = self.up();
        let sees = |n: &Node| n.machine.live().into_keys().collect::<BTreeSet<_>>() == up;
        self.nodes.iter().filter(|node| node.up).all(sees)
    }

    /// Time from `from` until the last node reported a state of a member; `None` if some node did
    /// not report it.
    fn seen_by_all(&self, member: &str, state: MemberState, from: Instant) -> Option<Duration> {
        let mut first = BTreeMap::new();
        let after = self.state_changes.iter().filter(|(at, ..)| *at >= from);
        for (at, node, ..) in after.filter(|(.., name, s)| **name == *member && *s == state) {
            first.entry(*node).or_insert(*at - from);
        }
        let others = self.nodes.iter().filter(|node| node.up).count();
        (first.len() >= others).then(|| first.into_values().max()).flatten()
    }
}

/// Guards against slow failure detection and against failures that some members never learn of.
#[test]
fn a_failure_is_detected_by_all_within_eight_seconds() {
    let mut net = Network::new(1, 40, 1);
    net.run_for(20.0);
    assert!(net.views_agree());
    assert!(net.state_changes.iter().all(|(.., state)| *state == MemberState::Live));
    let died = net.now;
    net.nodes[5].up = false;
    net.run_for(12.0);
    assert!(net.views_agree());
    let seen = net.seen_by_all("i5", MemberState::Failed, died).expect("seen by all");
    println!("failure of 1 of 40 detected by all after {seen:?}");
    assert!(seen < Duration::from_secs(8) && seen > Duration::from_secs(4), "{seen:?}");
}

/// Guards against slow propagation of `Leaving`, during which callers still use the instance, also
/// when messages are lost.
#[test]
fn leaving_is_known_to_all_within_three_seconds() {
    let mut net = Network::new(1, 40, 2);
    net.loss = 0.1;
    net.run_for(30.0);
    let left = net.now;
    let actions = net.nodes[3].machine.leave(net.now, &mut net.rng);
    net.run_actions(3, actions);
    net.run_for(0.2);
    net.nodes[3].up = false;
    net.run_for(10.0);
    let seen = net.seen_by_all("i3", MemberState::Leaving, left).expect("seen by all");
    println!("leaving of 1 of 40 known to all after {seen:?} with a tenth of messages lost");
    assert!(seen < Duration::from_secs(3), "{seen:?}");
}

/// Guards against live members that are considered failed because messages are lost, and against
/// refutations that never arrive.
#[test]
fn message_loss_alone_fails_no_member() {
    let mut net = Network::new(1, 30, 3);
    net.loss = 0.1;
    net.run_for(300.0);
    let failed = net.state_changes.iter().filter(|(.., s)| *s == MemberState::Failed).count();
    let suspected = net.state_changes.iter().filter(|(.., s)| *s == MemberState::Suspect).count();
    println!("30 members, 300 s, a tenth lost: {suspected} suspicions, {failed} failures");
    assert_eq!(failed, 0);
    net.loss = 0.0;
    net.run_for(10.0);
    assert!(net.views_agree());
}

/// Guards against a restarted member that is mistaken for its failed predecessor, whichever of the
/// two incarnation numbers is higher.
#[test]
fn a_restarted_member_replaces_its_failed_incarnation() {
    for (seed, incarnation) in [(4, 6), (5, 8)] {
        let mut net = Network::new(1, 10, seed);
        net.run_for(20.0);
        net.nodes[4].up = false;
        net.run_for(15.0);
        net.restart(4, incarnation);
        net.run_for(15.0);
        assert!(net.views_agree(), "restart with incarnation {incarnation}");
        net.restart(4, incarnation + 10);
        net.run_for(15.0);
        assert!(net.views_agree(), "restart without a failure");
    }
}

/// Guards against a partition that never heals because both sides consider each other failed, and
/// against a lagging list that removes live members.
#[test]
fn a_partition_heals() {
    let mut net = Network::new(1, 12, 6);
    net.run_for(20.0);
    (0..4).for_each(|node| net.nodes[node].partition = 1);
    net.run_for(30.0);
    assert_eq!(net.nodes[0].machine.live().len(), 4);
    assert_eq!(net.nodes[9].machine.live().len(), 8);
    assert!(net.nodes[0].machine.on_list(net.now, &[]).is_empty());
    assert_eq!(net.nodes[0].machine.live().len(), 4);
    (0..4).for_each(|node| net.nodes[node].partition = 0);
    net.run_for(30.0);
    assert!(net.views_agree());
}

/// Guards against summaries that do not reach every instance of the other data centres, and
/// against configuration versions that do not reach the other data centres.
#[test]
fn summaries_and_versions_reach_every_instance() {
    let mut net = Network::new(3, 12, 7);
    net.run_for(10.0);
    for node in 0..12 {
        net.nodes[node].machine.set_configuration(9);
        let body = SummaryBody { models_ready: vec!["m".into()], ..Default::default() };
        net.nodes[node].machine.set_summary_body(body);
    }
    net.run_for(40.0);
    for node in 12..36 {
        let summary = net.nodes[node].machine.summary(net.now, "dc0").expect("a summary");
        let body = summary.body.as_ref().expect("a body");
        assert_eq!(body.models_ready, vec![Box::from("m")], "node {node}");
    }
    let informed = net.highest_versions.iter().filter(|(node, v)| **node >= 12 && **v == 9).count();
    assert_eq!(informed, 24, "instances that know of the version");
}

/// Guards against owners that never learn of another data centre's use of the weight store because
/// they are not delegates, and against counting that use long after it ended.
#[test]
fn the_use_of_the_weight_store_reaches_every_instance() {
    let mut net = Network::new(3, 12, 7);
    // Before that some data centres do not know each other's delegates and choose receivers at
    // random.
    net.run_for(60.0);
    let used = StoreUse { loads: 3, adapters: 8, starts: 5, waiting: 9 };
    let count_reports = |net: &Network, node: usize| {
        net.nodes[node].machine.remote_store_use(net.now).filter(|store| *store == used).count()
    };
    (0..12).for_each(|node| net.nodes[node].machine.set_store_use(used));
    // The loop takes longer than the time between two bodies, which also report the use to all
    // instances.
    net.run_for(6.0);
    for second in 0..20 {
        net.run_for(1.0);
        let informed = (12..36).filter(|node| count_reports(&net, *node) == 1).count();
        assert_eq!(informed, 24, "instances that know of the use after {second} s");
    }
    (0..12).for_each(|node| net.nodes[node].machine.set_store_use(StoreUse::default()));
    net.run_for(6.0);
    let outdated = (12..36).filter(|node| count_reports(&net, *node) > 0).count();
    assert_eq!(outdated, 0, "instances that still count it");
}

/// Guards against traffic per instance that grows with the number of members times the number of
/// changes.
#[test]
fn the_traffic_of_an_instance_is_bounded() {
    let mut rates = Vec::new();
    for (members, restarts) in [(10, 0), (30, 0), (30, 10), (80, 10), (80, 30)] {
        let mut net = Network::new(1, members, 8);
        net.run_for(20.0);
        net.bytes.iter_mut().for_each(|bytes| *bytes = 0);
        for n in 0..30 {
            for restart in n * restarts / 30..(n + 1) * restarts / 30 {
                net.restart(restart % members, 100 + restart as u64);
            }
            net.run_for(1.0);
        }
        let highest = net.bytes.iter().max().copied().unwrap_or_default() / 30;
        println!("{members} members, {restarts} restarts in 30 s: {highest} B/s as JSON");
        rates.push(highest);
    }
    assert!(rates.iter().all(|rate| *rate < 21_000), "{rates:?}");
    // For the same changes, the traffic grows with the logarithm of the number of members.
    assert!(rates[3] < rates[2] * 2, "{rates:?}");
    assert!(rates[4] < rates[3] * 2, "{rates:?}");
}

proptest! {
    #![proptest_config(cases())]

    /// Guards against views that stay wrong after failures, restarts, a join and a partition.
    #[test]
    fn views_agree_after_the_faults(
        seed in any::<u64>(),
        deaths in prop::collection::btree_set(0..12usize, 0..5),
        restarts in prop::collection::vec((0..12usize, 1..20u64, 0.1..10.0f64), 0..4),
        partitioned in prop::collection::btree_set(0..12usize, 0..6),
        loss in 0.0..0.2f64,
    ) {
        let mut net = Network::new(1, 12, seed);
        net.loss = loss;
        net.run_for(15.0);
        deaths.iter().for_each(|node| net.nodes[*node].up = false);
        partitioned.iter().for_each(|node| net.nodes[*node].partition = 1);
        for (node, incarnation, after) in restarts {
            net.run_for(after);
            net.restart(node, incarnation);
        }
        let new = net.join(0);
        net.send_list(new);
        net.run_for(10.0);
        net.nodes.iter_mut().for_each(|node| node.partition = 0);
        net.loss = 0.0;
        net.run_for(60.0);
        prop_assert!(net.views_agree(), "views after {:?}", net.now - net.start);
    }
}

/// A quarter of `PROPTEST_CASES`, because one case simulates 13 instances for a minute and a half.
fn cases() -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig { cases: default.cases / 4, failure_persistence: None, ..default }
}
