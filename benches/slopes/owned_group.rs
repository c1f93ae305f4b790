//! A group that a simulated instance owns. Instead of running placement, it keeps a fixed list of
//! models loaded.

use std::sync::Arc;

use group::{Action, Decision, Group, Publication, PublishSchedule, ReportPolls};
use rand::Rng;
use rand::seq::IteratorRandom;
use types::prelude::*;

/// Interval at which missing replicas are looked for.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// A group owned by a simulated instance.
pub(crate) struct OwnedGroup {
    pub(crate) group: Group,
    pub(crate) polls: ReportPolls,
    pub(crate) publishing: PublishSchedule,
    tick_at: Instant,
    /// Models to keep loaded, each with as many replicas as it is listed times.
    target_models: Arc<[ModelId]>,
}

/// What an owned group asks the instance to do.
#[derive(Default)]
pub(crate) struct GroupEffects {
    pub(crate) actions: Vec<Action>,
    pub(crate) polls: Vec<BackendServerId>,
    pub(crate) publication: Option<Publication>,
}

impl OwnedGroup {
    pub(crate) fn new(group: Group, target_models: Arc<[ModelId]>, now: Instant) -> Self {
        Self {
            group,
            polls: ReportPolls::default(),
            publishing: PublishSchedule::new(now),
            tick_at: now,
            target_models,
        }
    }

    pub(crate) fn next_timer(&self) -> Instant {
        let due = [self.polls.next_at(), self.group.next_timer()];
        let own = [self.publishing.next_at(), self.tick_at];
        due.into_iter().flatten().chain(own).min().unwrap_or(self.tick_at)
    }

    pub(crate) fn on_timer(
        &mut self,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) -> GroupEffects {
        let mut effects = GroupEffects::default();
        if self.group.next_timer().is_some_and(|at| at <= now) {
            effects.actions.extend(self.group.on_timer(now, rng));
        }
        effects.polls.extend(self.polls.take_due(now).into_iter().map(|(server, _)| server));
        if self.tick_at <= now {
            self.tick_at = now + TICK_INTERVAL;
            effects.actions.extend(self.load_missing(now, wall, rng));
        }
        effects.publication = self.publishing.publish_due(&mut self.group, now);
        effects
    }

    /// Loads the models that have too few replicas.
    fn load_missing(&mut self, now: Instant, wall: SystemTime, rng: &mut impl Rng) -> Vec<Action> {
        let view = self.group.view(now);
        if !view.is_writable {
            return Vec::new();
        }
        let mut missing: BTreeMap<&ModelId, i64> = BTreeMap::new();
        self.target_models.iter().for_each(|model| *missing.entry(model).or_default() += 1);
        for replica in view.servers.values().flat_map(|server| server.replicas.values()) {
            if let Some(missing) = missing.get_mut(&replica.model) {
                *missing -= 1;
            }
        }
        missing.retain(|_, missing| *missing > 0);
        let mut free: Vec<_> =
            view.servers.iter().filter(|(_, server)| !server.is_blocked).collect();
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

    /// Unloads a random replica, which `load_missing` then replaces.
    pub(crate) fn churn_model(
        &mut self,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let view = self.group.view(now);
        let replicas = view.servers.values().filter(|s| !s.is_blocked).flat_map(|s| &s.replicas);
        let ready = replicas.filter(|(_, replica)| replica.phase == ReplicaPhase::Ready);
        let Some((replica, _)) = ready.choose(rng) else { return Vec::new() };
        let unload = Decision::Unload { replica: *replica };
        self.group.decide(now, wall, unload, rng).unwrap_or_default()
    }

    /// Loads an adapter on a random replica and evicts the replica's first adapter.
    pub(crate) fn churn_adapter(
        &mut self,
        now: Instant,
        wall: SystemTime,
        adapter: AdapterId,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let view = self.group.view(now);
        let replicas = view.servers.values().filter(|s| !s.is_blocked).flat_map(|s| &s.replicas);
        let ready = replicas.filter(|(_, replica)| replica.phase == ReplicaPhase::Ready);
        let Some((id, replica)) = ready.choose(rng) else { return Vec::new() };
        let evict = replica.adapters.first().cloned();
        let load = Decision::LoadAdapter { replica: *id, adapter, evict };
        self.group.decide(now, wall, load, rng).unwrap_or_default()
    }
}
