//! Selects the group that is asked to make a target ready.

use types::prelude::*;

/// How long a group that could not load a model is skipped.
const REFUSAL_COOLDOWN: Duration = Duration::from_secs(2);

/// What is known of groups for the routing of demand: recent refusals and published replicas.
#[derive(Debug, Default)]
pub(crate) struct DemandRouting {
    /// Groups that could not load a model, each until it may be asked again.
    refused: HashMap<(ModelId, GroupId), Instant>,
    /// Groups with a replica of a model that is not being unloaded, as published.
    holders: HashMap<ModelId, BTreeSet<GroupId>>,
    /// Models with such a replica by group, as last published.
    models_by_group: HashMap<GroupId, BTreeSet<ModelId>>,
    /// Models with a ready replica by group, as last published.
    ready_by_group: HashMap<GroupId, BTreeSet<ModelId>>,
}

impl DemandRouting {
    /// Applies the published state of a group.
    pub(crate) fn apply_state(&mut self, state: &GroupState) {
        let is_not_unloading = |r: &&ReplicaState| r.phase != ReplicaPhase::Unloading;
        let models: BTreeSet<ModelId> = state
            .servers
            .iter()
            .flat_map(|s| s.replicas.iter().filter(is_not_unloading).map(|r| r.model.clone()))
            .collect();
        let is_ready = |r: &&ReplicaState| r.phase == ReplicaPhase::Ready;
        let ready = state.servers.iter().filter(|s| !s.leaving && s.reachable);
        let ready = ready.flat_map(|s| s.replicas.iter().filter(is_ready).map(|r| r.model.clone()));
        self.ready_by_group.insert(state.group.clone(), ready.collect());
        let before =
            self.models_by_group.insert(state.group.clone(), models.clone()).unwrap_or_default();
        for model in before.difference(&models) {
            if let Some(groups) = self.holders.get_mut(model) {
                groups.remove(&state.group);
            }
        }
        for model in models {
            self.holders.entry(model).or_default().insert(state.group.clone());
        }
        self.holders.retain(|_, groups| !groups.is_empty());
    }

    /// Returns the models with a ready replica in the data centre.
    pub(crate) fn ready_models(&self) -> Vec<ModelId> {
        self.ready_by_group
            .values()
            .flatten()
            .cloned()
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect()
    }

    /// Records that a group cannot load a model now.
    pub(crate) fn record_refusal(&mut self, model: &ModelId, group: &GroupId, now: Instant) {
        self.refused.insert((model.clone(), group.clone()), now + REFUSAL_COOLDOWN);
    }

    /// Returns the group to ask for an adapter of a loaded model: one with a replica of the model.
    pub(crate) fn holder(&self, model: &ModelId, candidates: &[GroupId]) -> Option<GroupId> {
        let holders = self.holders.get(model)?;
        candidates.iter().find(|group| holders.contains(*group)).cloned()
    }

    /// Returns the group to ask: the first candidate with a replica of the model, otherwise the
    /// first candidate. Groups that have refused the model recently are skipped. All instances ask
    /// the same group, so that a burst causes one load.
    pub(crate) fn group_for(
        &mut self,
        model: &ModelId,
        candidates: &[GroupId],
        now: Instant,
    ) -> Option<GroupId> {
        self.refused.retain(|_, until| now < *until);
        let has_refused =
            |group: &&GroupId| self.refused.contains_key(&(model.clone(), (*group).clone()));
        let holders = self.holders.get(model);
        let is_holder = |group: &&GroupId| holders.is_some_and(|groups| groups.contains(*group));
        candidates
            .iter()
            .filter(is_holder)
            .chain(candidates.iter())
            .find(|group| !has_refused(group))
            .cloned()
    }
}
