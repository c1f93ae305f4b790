//! Simulates a fleet in virtual time: instances, backend servers, the platform and their messages.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use configuration::Apply;
use instance::message::PeerMessage;
use platform::Rates;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

use crate::event::{Event, Scheduled};

use crate::node::{Identity, Node};
use crate::platform_model::PlatformModel;
use crate::scale::Scale;
use crate::server_model::ServerModel;

/// Time from a platform call to its answer.
pub(crate) const PLATFORM_LATENCY: Duration = Duration::from_millis(5);
/// Shortest time between two timers of one instance.
pub(crate) const MIN_TIMER_INTERVAL: Duration = Duration::from_millis(1);
/// Duration of a watch before it is renewed, as in `instance`.
pub(crate) const WATCH_TIME: Duration = Duration::from_secs(60);
/// Number of key ranges of idempotency records.
const KEY_RANGES: usize = 32;

/// Traffic of one instance since the last reset.
#[derive(Clone, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) platform_calls: u64,
    pub(crate) reports: u64,
    /// Bytes by kind: messages sent, and platform calls, lists and reports in both directions.
    pub(crate) bytes: BTreeMap<&'static str, u64>,
    /// Wall-clock time spent in the instance's code, used to attribute processor time to instances.
    pub(crate) busy: Duration,
}

impl Traffic {
    pub(crate) fn all_bytes(&self) -> u64 {
        self.bytes.values().sum()
    }

    pub(crate) fn add(&mut self, kind: &'static str, bytes: u64) {
        *self.bytes.entry(kind).or_default() += bytes;
    }
}

/// A simulated fleet.
pub(crate) struct Fleet {
    pub(crate) scale: Scale,
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    pub(crate) queue: BinaryHeap<Reverse<Scheduled>>,
    pub(crate) sequence: u64,
    pub(crate) identities: Vec<Identity>,
    pub(crate) nodes: Vec<Option<Node>>,
    pub(crate) runs: Vec<u64>,
    pub(crate) timers: Vec<Option<Instant>>,
    pub(crate) watching: Vec<Option<Instant>>,
    pub(crate) by_address: HashMap<Box<str>, usize>,
    pub(crate) traffic: Vec<Traffic>,
    pub(crate) servers: Vec<ServerModel>,
    pub(crate) by_server: HashMap<BackendServerId, usize>,
    pub(crate) list_encoded: Vec<u8>,
    pub(crate) platform: PlatformModel,
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) contracts: BTreeMap<ClientAccountId, Arc<Contract>>,
    pub(crate) apply: Option<Apply>,
    /// When each version was accepted.
    pub(crate) accepted: BTreeMap<ConfigurationVersion, Instant>,
    /// Longest time from acceptance to effect at one instance, since the last reset.
    pub(crate) slowest_adoption: Duration,
    pub(crate) applied: u64,
    pub(crate) is_publishing: bool,
    pub(crate) not_applied: Vec<Box<str>>,
    pub(crate) rates: Rates,
    pub(crate) rng: ChaCha8Rng,
}

fn group_name(data_centre: usize, n: usize) -> GroupId {
    format!("group-{data_centre}-{n:02}").into()
}

impl Fleet {
    /// Creates a fleet without starting its instances.
    pub(crate) fn new(scale: Scale, seed: u64) -> Self {
        let start = Instant::now();
        let catalogue = Arc::new(scale.catalogue());
        let contracts = scale.contracts(&catalogue);
        let mut fleet = Self {
            scale,
            start,
            now: start,
            queue: BinaryHeap::new(),
            sequence: 0,
            identities: Vec::new(),
            nodes: Vec::new(),
            runs: vec![0; scale.instances],
            timers: vec![None; scale.instances],
            watching: vec![None; scale.instances],
            by_address: HashMap::new(),
            traffic: vec![Traffic::default(); scale.instances],
            servers: Vec::new(),
            by_server: HashMap::new(),
            list_encoded: Vec::new(),
            platform: PlatformModel::default(),
            catalogue,
            contracts,
            apply: None,
            accepted: BTreeMap::new(),
            slowest_adoption: Duration::ZERO,
            applied: 0,
            is_publishing: false,
            not_applied: Vec::new(),
            rates: Rates::share(2_000_000, 400_000, 1),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        fleet.build_topology();
        fleet
    }

    /// Creates the instances, groups and servers and the platform's instance list.
    fn build_topology(&mut self) {
        let scale = self.scale;
        let dc_name = |dc: usize| -> DataCentreId { format!("dc-{dc}").into() };
        let mut groups: Vec<(usize, GroupId)> = Vec::new();
        let mut per_dc = vec![0; scale.data_centres];
        for n in 0..scale.instances {
            let dc = scale.data_centre(n);
            groups.push((dc, group_name(dc, per_dc[dc])));
            per_dc[dc] += 1;
        }
        let mut list = Vec::new();
        for n in 0..scale.servers() {
            let (dc, group) = groups[n % groups.len()].clone();
            let name: BackendServerId = format!("server-{n:04}").into();
            self.by_server.insert(name.clone(), n);
            self.servers.push(ServerModel::new(name.clone()));
            list.push(ListedInstance {
                name,
                role: ListedRole::Engine,
                data_centre: dc_name(dc),
                group,
                address: format!("10.200.{}.{}:8000", n / 250, n % 250).into(),
                state: ListedState::Live,
                checks_fencing: true,
            });
        }
        let mut target_models: BTreeMap<GroupId, Vec<ModelId>> = BTreeMap::new();
        for n in 0..scale.replicas {
            let (_, group) = &groups[n % groups.len()];
            target_models.entry(group.clone()).or_default().push(scale.model_of(n));
        }
        let target_models =
            Arc::new(target_models.into_iter().map(|(g, m)| (g, m.into())).collect());
        for n in 0..scale.instances {
            let dc = scale.data_centre(n);
            let keys = (0..KEY_RANGES).filter(|range| range % scale.data_centres == dc);
            let own = groups.iter().filter(|(of, _)| *of == dc).map(|(_, group)| group.clone());
            let candidate_groups = own
                .chain(keys.map(|range| format!("keys/{range}").into()))
                .chain([format!("limits/dc-{dc}").into()])
                .collect();
            let identity = Identity {
                name: format!("instance-{n:03}").into(),
                address: format!("10.{dc}.0.{n}:7000").into(),
                data_centre: dc_name(dc),
                candidate_groups,
                target_models: Arc::clone(&target_models),
            };
            list.push(ListedInstance {
                name: identity.name.clone(),
                role: ListedRole::Entry,
                data_centre: dc_name(dc),
                group: "".into(),
                address: identity.address.clone(),
                state: ListedState::Live,
                checks_fencing: false,
            });
            self.by_address.insert(identity.address.clone(), n);
            self.identities.push(identity);
            self.nodes.push(None);
        }
        self.list_encoded = serde_json::to_vec(&list).expect("lists serialise");
    }

    pub(crate) fn schedule(&mut self, at: Instant, node: Option<usize>, event: Event) {
        self.sequence += 1;
        let run = node.map(|node| (node, self.runs[node]));
        self.queue.push(Reverse(Scheduled { at, sequence: self.sequence, run, event }));
    }

    /// Starts the instances of one data centre, or of all, spread over `within`.
    pub(crate) fn start_instances(&mut self, data_centre: Option<usize>, within: Duration) {
        for n in 0..self.scale.instances {
            if data_centre.is_some_and(|dc| self.scale.data_centre(n) != dc) {
                continue;
            }
            let at = self.now + within.mul_f64(self.rng.random_range(0.0..1.0));
            self.runs[n] += 1;
            let incarnation = self.rng.random();
            self.nodes[n] =
                Some(Node::new(self.identities[n].clone(), incarnation, self.rates, at));
            self.watching[n] = None;
            self.timers[n] = Some(at);
            self.schedule(at, Some(n), Event::Timer { node: n });
        }
    }

    /// Stops all instances of a data centre without a handover.
    pub(crate) fn kill(&mut self, data_centre: usize) {
        for n in 0..self.scale.instances {
            if self.scale.data_centre(n) == data_centre {
                self.runs[n] += 1;
                self.nodes[n] = None;
                self.watching[n] = None;
            }
        }
    }

    /// Sets the call budget of every instance.
    pub(crate) fn set_rates(&mut self, rates: Rates) {
        self.rates = rates;
        let now = self.now;
        self.nodes.iter_mut().flatten().for_each(|node| node.budget.set_rates(now, rates));
    }

    /// Schedules the first configuration.
    pub(crate) fn schedule_first_configuration(&mut self) {
        let at = self.now;
        self.schedule(at, None, Event::Change);
    }

    /// Starts the changes of models, adapters, load figures and configuration.
    pub(crate) fn begin_changes(&mut self) {
        for event in [Event::Churn { is_model: true }, Event::Churn { is_model: false }] {
            self.schedule(self.now, None, event);
        }
        self.schedule(self.now, None, Event::Traffic);
        self.schedule(self.now, None, Event::Change);
    }

    /// Resets the counters.
    pub(crate) fn reset_counters(&mut self) {
        self.traffic.iter_mut().for_each(|traffic| *traffic = Traffic::default());
        self.platform.reads.reset();
        self.platform.writes.reset();
        self.slowest_adoption = Duration::ZERO;
    }

    /// Lets instances send group states, which they do not send before. While a fleet loads its
    /// first replicas, states are soon out of date and sending them would take most of the run.
    pub(crate) fn begin_publishing(&mut self) {
        self.is_publishing = true;
    }

    /// Advances virtual time by `time` and handles all events due in it.
    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= until) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            if next.run.is_none_or(|(node, run)| self.runs[node] == run) {
                self.handle(next.event);
            }
        }
        self.now = until;
    }

    /// Runs until `done` returns true, for at most `limit`. Returns the virtual time it took.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let began = self.now;
        while self.now < began + limit {
            if done(self) {
                return Some(self.now - began);
            }
            self.run(Duration::from_millis(500));
        }
        None
    }

    /// Returns the number of ready replicas.
    pub(crate) fn ready_replicas(&self) -> usize {
        let replicas = self.servers.iter().flat_map(ServerModel::replicas);
        replicas.filter(|replica| replica.phase == ReplicaPhase::Ready).count()
    }

    /// Returns the number of groups that running instances of a data centre own.
    pub(crate) fn owned_groups(&self, data_centre: usize) -> usize {
        let nodes = self.nodes.iter().enumerate();
        let here = nodes.filter(|(n, _)| self.scale.data_centre(*n) == data_centre);
        here.flat_map(|(_, node)| node.iter().flat_map(Node::owned)).count()
    }

    /// Returns the number of groups that the instances of a data centre may own.
    pub(crate) fn candidate_groups(&self, data_centre: usize) -> usize {
        let first = (0..self.scale.instances).find(|n| self.scale.data_centre(*n) == data_centre);
        first.map_or(0, |n| self.identities[n].candidate_groups.len())
    }

    /// Returns the number of instances that run the newest accepted version.
    pub(crate) fn up_to_date(&self) -> usize {
        let newest = self.accepted.keys().last().copied().unwrap_or(0);
        self.nodes.iter().flatten().filter(|node| node.version() == newest && newest > 0).count()
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Timer { node } => {
                self.timers[node] = None;
                self.with_node(node, |n| n.on_timer(now));
            }
            Event::Deliver { to, frame } => self.with_node(to, |n| {
                if let Ok(message) = frame.decode::<PeerMessage>() {
                    n.on_message(&frame.instance, message, now);
                }
            }),
            Event::Admit { node, call } => self.admit(node, call),
            Event::Answer { node, caller, call, answer } => {
                self.with_node(node, |n| n.on_answer(&caller, call, answer, now));
            }
            Event::HeadChanged { node } => self.with_node(node, |n| n.on_head_changed(now)),
            Event::List { node } => {
                // The encoded list is moved out instead of copied. Every instance decodes it, as it
                // does with a list read over HTTP.
                let encoded = std::mem::take(&mut self.list_encoded);
                self.with_node(node, |n| {
                    n.on_list(serde_json::from_slice(&encoded).unwrap_or_default(), now);
                });
                self.list_encoded = encoded;
            }
            Event::Report { node, group, server, requested, report, revision } => {
                self.with_node(node, |n| {
                    if let Some(report) = n.decode_report(server, &report, revision) {
                        n.on_report(&group, requested, &report, now);
                    }
                });
            }
            Event::OrderArrives { node, group, server, order } => {
                self.receive_order(node, group, server, order);
            }
            Event::OrderResult { node, group, server, order, result } => {
                self.with_node(node, |n| {
                    n.on_order_result((&group, &server), order, result, now);
                });
            }
            Event::ServerChange { server, change } => self.servers[server].apply(change),
            Event::Churn { is_model } => self.churn(is_model),
            Event::Traffic => self.change_load_figures(),
            Event::Change => self.change_configuration(),
            Event::ApplyAnswer { call, answer } => {
                let Some(mut apply) = self.apply.take() else { return };
                let actions = apply.on_answer(now, call, answer, &mut self.rng);
                self.run_apply_actions(apply, actions);
            }
            Event::ApplyTimer => {
                let Some(mut apply) = self.apply.take() else { return };
                let actions = match apply.next_timer() <= now {
                    true => apply.on_timer(now),
                    false => Vec::new(),
                };
                self.run_apply_actions(apply, actions);
            }
        }
    }

    pub(crate) fn with_node(&mut self, n: usize, f: impl FnOnce(&mut Node)) {
        let Some(node) = self.nodes[n].as_mut() else { return };
        let began = Instant::now();
        f(node);
        let effects = std::mem::take(&mut node.effects);
        let wake_at = node.next_timer().max(self.now + MIN_TIMER_INTERVAL);
        self.traffic[n].busy += began.elapsed();
        for effect in effects {
            self.apply_effect(n, effect);
        }
        if self.timers[n].is_none_or(|at| wake_at < at) {
            self.timers[n] = Some(wake_at);
            self.schedule(wake_at, Some(n), Event::Timer { node: n });
        }
    }
}
