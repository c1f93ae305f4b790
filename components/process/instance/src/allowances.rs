//! Allowances and standing permits of an owned group.

use placement::Event;
use rand::Rng;
use types::prelude::*;

use crate::owned_group::OwnedGroup;

/// Time for the pool to give allowance: two writes and a read take some milliseconds, and more if
/// an answer is lost.
const ALLOWANCE_TIME: Duration = Duration::from_millis(1_000);
/// Time after which the pool may have allowance again.
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(5);
/// Time between looks for allowance to return.
const RETURN_INTERVAL: Duration = Duration::from_secs(1);
/// Time without demand after which allowance is returned. Getting it again costs a cold start three
/// platform calls, some 10 ms.
const RETURN_AFTER: Duration = Duration::from_secs(3);
/// Time between choices of the models that permits cover. Each change costs a write.
const PERMIT_INTERVAL: Duration = Duration::from_secs(60);

/// What an owned group was asked for, and when allowance and permits are looked at.
#[derive(Debug)]
pub(crate) struct Asked {
    /// When allowance for a model was first asked for without success.
    pub(crate) asked_at: HashMap<ModelId, Instant>,
    /// The latest demand for each model whose allowance is on its way.
    pub(crate) deferred: HashMap<ModelId, placement::Demand>,
    /// Requests by model since the permits were last set.
    pub(crate) asked_for: HashMap<ModelId, u32>,
    /// When each model was last asked for.
    pub(crate) last_asked: HashMap<ModelId, Instant>,
    pub(crate) permits_at: Instant,
    pub(crate) returns_at: Instant,
}

impl Asked {
    /// Nothing was asked for.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            asked_at: HashMap::new(),
            deferred: HashMap::new(),
            asked_for: HashMap::new(),
            last_asked: HashMap::new(),
            permits_at: now,
            returns_at: now + RETURN_INTERVAL,
        }
    }
}

impl OwnedGroup {
    /// Asks the pool for allowance if none is left. Returns true while the answer is waited for.
    pub(crate) fn ask_for_allowance(
        &mut self,
        target: &Target,
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        let model = &target.model;
        let view = self.group.view(now);
        let has = |phase: ReplicaPhase| {
            let mut replicas = view.servers.values().flat_map(|s| s.replicas.values());
            replicas.any(|r| r.model == *model && r.phase == phase)
        };
        if view.is_writable && has(ReplicaPhase::Unloading) {
            // Its allowance comes back with the proof of the unload.
            return true;
        }
        if has(ReplicaPhase::Loading) || (target.adapter.is_some() && has(ReplicaPhase::Ready)) {
            return false;
        }
        let has_allowance = view.allowance_left.get(model).is_some_and(|left| *left > 0);
        if has_allowance || !view.is_writable {
            self.asked.asked_at.remove(model);
            return false;
        }
        let actions = self.group.request_allowance(now, model, 1, rng);
        self.act(actions, now);
        let asked_at = self.asked.asked_at.entry(model.clone()).or_insert(now);
        if now >= *asked_at + ASK_AGAIN_AFTER {
            *asked_at = now;
        }
        now < *asked_at + ALLOWANCE_TIME
    }

    /// Returns allowance for models that nobody asked for lately, so that other groups can use it.
    pub(crate) fn return_allowances(&mut self, now: Instant, rng: &mut impl Rng) {
        self.asked.returns_at = now + RETURN_INTERVAL;
        self.asked.last_asked.retain(|_, at| now < *at + RETURN_AFTER);
        let view = self.group.view(now);
        if !view.is_writable {
            return;
        }
        let unused = view
            .allowance_left
            .iter()
            .filter(|(model, left)| **left > 0 && !self.asked.last_asked.contains_key(*model));
        let unused: Vec<(ModelId, u32)> = unused.map(|(m, left)| (m.clone(), *left)).collect();
        for (model, count) in unused {
            let actions = self.group.return_allowance(now, &model, count, rng);
            self.act(actions, now);
        }
    }

    /// Passes demand on whose allowance has arrived.
    pub(crate) fn place_deferred(&mut self, now: Instant, wall: SystemTime, rng: &mut impl Rng) {
        if self.asked.deferred.is_empty() {
            return;
        }
        let left = self.group.view(now).allowance_left;
        let has_left = |model: &ModelId| left.get(model).is_some_and(|left| *left > 0);
        let ready: Vec<ModelId> =
            self.asked.deferred.keys().filter(|m| has_left(m)).cloned().collect();
        for demand in
            ready.iter().filter_map(|model| self.asked.deferred.remove(model)).collect::<Vec<_>>()
        {
            self.place(&Event::Demand(demand), now, wall, rng);
        }
        self.asked.deferred.retain(|_, demand| now < demand.deadline);
    }

    /// Sets the permits to the models that were asked for most.
    pub(crate) fn set_permits(&mut self, now: Instant) {
        self.asked.permits_at = now + PERMIT_INTERVAL;
        let mut models: Vec<(u32, ModelId)> =
            self.asked.asked_for.iter().map(|(model, count)| (*count, model.clone())).collect();
        models.sort_unstable_by(|a, b| b.cmp(a));
        self.group.set_permit_models(models.into_iter().map(|(_, model)| model).collect());
        self.asked.asked_for.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
    }
}
