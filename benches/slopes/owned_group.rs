//! A group that a simulated instance owns, with the polling and publishing of the instance's loop.

use std::sync::Arc;

use group::{Action, Decision, Group, Publication, Publisher};
use rand::Rng;
use rand::seq::IteratorRandom;
use types::prelude::*;

/// Time between reads of a server's report while nothing changes, as in `instance`.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// First interval after an order, as in `instance`.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(15);
/// Longest interval while an order is being carried out, as in `instance`.
const LONGEST_BUSY_INTERVAL: Duration = Duration::from_millis(240);
/// How long changes are gathered before they are published, as in `instance`.
const PUBLISH_DELAY: Duration = Duration::from_millis(5);
/// Time after which the state is published again, as in `instance`.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(20);
/// Time between two looks at what is missing.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Poll {
    at: Instant,
    in_flight: bool,
    busy_interval: Duration,
}

/// An owned group.
pub(crate) struct OwnedGroup {
    pub(crate) group: Group,
    polls: BTreeMap<BackendServerId, Poll>,
    publisher: Publisher,
    publish_at: Instant,
    republish_at: Instant,
    tick_at: Instant,
    /// Models that the group keeps loaded, as often as they are named.
    wanted: Arc<[ModelId]>,
}

/// What a timer asks for besides actions.
#[derive(Default)]
pub(crate) struct Due {
    pub(crate) actions: Vec<Action>,
    pub(crate) polls: Vec<BackendServerId>,
    pub(crate) publish: bool,
}

impl OwnedGroup {
    pub(crate) fn new(group: Group, wanted: Arc<[ModelId]>, now: Instant) -> Self {
        let publish_at = now + REPUBLISH_INTERVAL;
        Self {
            group,
            polls: BTreeMap::new(),
            publisher: Publisher::default(),
            publish_at,
            republish_at: now,
            tick_at: now,
            wanted,
        }
    }

    pub(crate) fn set_servers(&mut self, now: Instant, servers: &[ListedInstance]) {
        for server in servers {
            let poll = Poll { at: now, in_flight: false, busy_interval: SHORTEST_INTERVAL };
            self.polls.entry(server.name.clone()).or_insert(poll);
        }
    }

    /// What to publish, as in `instance`.
    pub(crate) fn publish(&mut self, now: Instant) -> Option<(GroupState, Option<Publication>)> {
        let state = self.group.publish(now)?;
        let publication = if self.republish_at <= now {
            self.republish_at = now + REPUBLISH_INTERVAL;
            Some(self.publisher.whole(state.clone()))
        } else {
            self.publisher.publish(state.clone())
        };
        Some((state, publication))
    }

    pub(crate) fn publish_soon(&mut self, now: Instant) {
        self.publish_at = self.publish_at.min(now + PUBLISH_DELAY);
    }

    pub(crate) fn reported(&mut self, now: Instant, server: &str, is_busy: bool) {
        if let Some(poll) = self.polls.get_mut(server) {
            poll.in_flight = false;
            poll.at = now + if is_busy { poll.busy_interval } else { IDLE_INTERVAL };
            let longer = (poll.busy_interval * 2).min(LONGEST_BUSY_INTERVAL);
            poll.busy_interval = if is_busy { longer } else { SHORTEST_INTERVAL };
        }
    }

    pub(crate) fn poll_soon(&mut self, now: Instant, server: &str) {
        if let Some(poll) = self.polls.get_mut(server) {
            poll.busy_interval = SHORTEST_INTERVAL;
            poll.at = poll.at.min(now + SHORTEST_INTERVAL);
        }
    }

    pub(crate) fn next_timer(&self) -> Instant {
        let polls = self.polls.values().filter(|poll| !poll.in_flight).map(|poll| poll.at);
        let own = [self.publish_at, self.tick_at];
        polls.chain(self.group.next_timer()).chain(own).min().unwrap_or(self.tick_at)
    }

    pub(crate) fn on_timer(&mut self, now: Instant, wall: SystemTime, rng: &mut impl Rng) -> Due {
        let mut due = Due::default();
        if self.group.next_timer().is_some_and(|at| at <= now) {
            due.actions.extend(self.group.on_timer(now, rng));
        }
        for (server, poll) in &mut self.polls {
            if poll.at <= now && !poll.in_flight {
                poll.in_flight = true;
                due.polls.push(server.clone());
            }
        }
        if self.tick_at <= now {
            self.tick_at = now + TICK_INTERVAL;
            due.actions.extend(self.load_missing(now, wall, rng));
        }
        if self.publish_at <= now {
            self.publish_at = now + REPUBLISH_INTERVAL;
            due.publish = true;
        }
        due
    }

    /// Decides on loads for the models that are not loaded often enough.
    fn load_missing(&mut self, now: Instant, wall: SystemTime, rng: &mut impl Rng) -> Vec<Action> {
        let view = self.group.view(now);
        if !view.writable {
            return Vec::new();
        }
        let mut missing: BTreeMap<&ModelId, i64> = BTreeMap::new();
        self.wanted.iter().for_each(|model| *missing.entry(model).or_default() += 1);
        for replica in view.servers.values().flat_map(|server| server.replicas.values()) {
            if let Some(missing) = missing.get_mut(&replica.model) {
                *missing -= 1;
            }
        }
        missing.retain(|_, missing| *missing > 0);
        let mut free: Vec<_> = view.servers.iter().filter(|(_, server)| !server.blocked).collect();
        free.sort_by_key(|(_, server)| server.memory_free);
        let missing: Vec<ModelId> = missing.into_keys().cloned().collect();
        let mut actions = Vec::new();
        for model in missing {
            if view.allowance_left.get(&model).copied().unwrap_or(0) == 0 {
                actions.extend(self.group.request_allowance(now, &model, 1, rng));
                continue;
            }
            let Some((server, _)) = free.pop() else { break };
            let (server, source) = (server.clone(), LoadSource::Remote);
            let load = Decision::Load { server, model, source };
            actions.extend(self.group.decide(now, wall, load, rng).unwrap_or_default());
        }
        actions
    }

    /// Unloads a replica, which `load_missing` then replaces.
    pub(crate) fn churn_model(
        &mut self,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let view = self.group.view(now);
        let replicas = view.servers.values().filter(|s| !s.blocked).flat_map(|s| &s.replicas);
        let ready = replicas.filter(|(_, replica)| replica.phase == ReplicaPhase::Ready);
        let Some((replica, _)) = ready.choose(rng) else { return Vec::new() };
        let unload = Decision::Unload { replica: *replica };
        self.group.decide(now, wall, unload, rng).unwrap_or_default()
    }

    /// Loads an adapter in the place of another.
    pub(crate) fn churn_adapter(
        &mut self,
        now: Instant,
        wall: SystemTime,
        adapter: AdapterId,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let view = self.group.view(now);
        let replicas = view.servers.values().filter(|s| !s.blocked).flat_map(|s| &s.replicas);
        let ready = replicas.filter(|(_, replica)| replica.phase == ReplicaPhase::Ready);
        let Some((id, replica)) = ready.choose(rng) else { return Vec::new() };
        let evict = replica.adapters.first().cloned();
        let load = Decision::LoadAdapter { replica: *id, adapter, evict };
        self.group.decide(now, wall, load, rng).unwrap_or_default()
    }
}
