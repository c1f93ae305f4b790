//! Allowances and standing permits of an owned group.

use placement::Event;
use rand::Rng;
use types::prelude::*;

use crate::owned_group::OwnedGroup;

/// Time to wait for allowance from the pool. Two writes and a read usually take some milliseconds,
/// and longer if an answer is lost.
const ALLOWANCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after an unsuccessful request at which demand waits for allowance again, because the pool
/// may have some by then.
const RETRY_AFTER: Duration = Duration::from_secs(5);
/// Interval between checks for unused allowance.
const RETURN_INTERVAL: Duration = Duration::from_secs(1);
/// Time without demand after which allowance is returned. Requesting it again delays a cold start
/// by three platform calls, about 10 ms.
const RETURN_AFTER: Duration = Duration::from_secs(3);
/// Interval between updates of the models that permits cover. Each change costs a write.
const PERMIT_INTERVAL: Duration = Duration::from_secs(60);

/// Demand for allowance in an owned group, and the timers of its allowance and permits.
#[derive(Debug)]
pub(crate) struct AllowanceState {
    /// When allowance for a model was first requested without success.
    pub(crate) requested_at: HashMap<ModelId, Instant>,
    /// Latest demand for each model whose allowance is pending.
    pub(crate) deferred_demand: HashMap<ModelId, placement::Demand>,
    /// Number of requests by model, halved each time the permits are set.
    pub(crate) request_counts: HashMap<ModelId, u32>,
    /// When demand for each model last arrived.
    pub(crate) last_demand_at: HashMap<ModelId, Instant>,
    pub(crate) next_permits_at: Instant,
    pub(crate) next_return_at: Instant,
}

impl AllowanceState {
    /// Creates the state without any demand.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            requested_at: HashMap::new(),
            deferred_demand: HashMap::new(),
            request_counts: HashMap::new(),
            last_demand_at: HashMap::new(),
            next_permits_at: now,
            next_return_at: now + RETURN_INTERVAL,
        }
    }
}

impl OwnedGroup {
    /// Requests allowance from the pool if none is left. Returns true while the answer is pending.
    pub(crate) fn request_allowance(
        &mut self,
        target: &Target,
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        let model = &target.model;
        let view = self.group.view(now);
        let has_replica_in = |phase: ReplicaPhase| {
            let mut replicas = view.servers.values().flat_map(|s| s.replicas.values());
            replicas.any(|r| r.model == *model && r.phase == phase)
        };
        if view.is_writable && has_replica_in(ReplicaPhase::Unloading) {
            // Its allowance is returned once a report confirms the unload.
            return true;
        }
        if has_replica_in(ReplicaPhase::Loading)
            || (target.adapter.is_some() && has_replica_in(ReplicaPhase::Ready))
        {
            return false;
        }
        let has_allowance = view.allowance_left.get(model).is_some_and(|left| *left > 0);
        if has_allowance || !view.is_writable {
            self.allowances.requested_at.remove(model);
            return false;
        }
        let actions = self.group.request_allowance(now, model, 1, rng);
        self.queue_actions(actions, now);
        let requested_at = self.allowances.requested_at.entry(model.clone()).or_insert(now);
        if now >= *requested_at + RETRY_AFTER {
            *requested_at = now;
        }
        now < *requested_at + ALLOWANCE_TIMEOUT
    }

    /// Returns allowance for models without recent demand, so that other groups can use it.
    pub(crate) fn return_allowances(&mut self, now: Instant, rng: &mut impl Rng) {
        self.allowances.next_return_at = now + RETURN_INTERVAL;
        self.allowances.last_demand_at.retain(|_, at| now < *at + RETURN_AFTER);
        let view = self.group.view(now);
        if !view.is_writable {
            return;
        }
        let unused = view.allowance_left.iter().filter(|(model, left)| {
            **left > 0 && !self.allowances.last_demand_at.contains_key(*model)
        });
        let unused: Vec<(ModelId, u32)> = unused.map(|(m, left)| (m.clone(), *left)).collect();
        for (model, count) in unused {
            let actions = self.group.return_allowance(now, &model, count, rng);
            self.queue_actions(actions, now);
        }
    }

    /// Passes deferred demand to placement once its allowance has arrived.
    pub(crate) fn place_deferred_demand(
        &mut self,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) {
        if self.allowances.deferred_demand.is_empty() {
            return;
        }
        let left = self.group.view(now).allowance_left;
        let has_allowance = |model: &ModelId| left.get(model).is_some_and(|left| *left > 0);
        let ready: Vec<ModelId> =
            self.allowances.deferred_demand.keys().filter(|m| has_allowance(m)).cloned().collect();
        for demand in ready
            .iter()
            .filter_map(|model| self.allowances.deferred_demand.remove(model))
            .collect::<Vec<_>>()
        {
            self.run_placement(&Event::Demand(demand), now, wall, rng);
        }
        self.allowances.deferred_demand.retain(|_, demand| now < demand.deadline);
    }

    /// Sets the permits to the models with the most requests.
    pub(crate) fn set_permits(&mut self, now: Instant) {
        self.allowances.next_permits_at = now + PERMIT_INTERVAL;
        let mut models: Vec<(u32, ModelId)> = self
            .allowances
            .request_counts
            .iter()
            .map(|(model, count)| (*count, model.clone()))
            .collect();
        models.sort_unstable_by(|a, b| b.cmp(a));
        self.group.set_permit_models(models.into_iter().map(|(_, model)| model).collect());
        self.allowances.request_counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
    }
}
