//! Which group is asked to make a target ready.

use types::prelude::*;

/// How long a group that could not load a model is passed over.
const REFUSED_FOR: Duration = Duration::from_secs(2);

/// Groups that could not load a model lately.
#[derive(Debug, Default)]
pub(crate) struct DemandRouting {
    refused: HashMap<(ModelId, GroupId), Instant>,
    /// Groups with a replica of a model in any phase, by published state.
    holders: HashMap<ModelId, BTreeSet<GroupId>>,
    /// Models by group in the last publication.
    published: HashMap<GroupId, BTreeSet<ModelId>>,
    /// Models with a ready replica by group in the last publication.
    ready: HashMap<GroupId, BTreeSet<ModelId>>,
}

impl DemandRouting {
    /// Takes a publication.
    pub(crate) fn apply_state(&mut self, state: &GroupState) {
        let is_kept = |r: &&ReplicaState| r.phase != ReplicaPhase::Unloading;
        let models: BTreeSet<ModelId> = state
            .servers
            .iter()
            .flat_map(|s| s.replicas.iter().filter(is_kept).map(|r| r.model.clone()))
            .collect();
        let is_ready = |r: &&ReplicaState| r.phase == ReplicaPhase::Ready;
        let ready = state.servers.iter().filter(|s| !s.leaving && s.reachable);
        let ready = ready.flat_map(|s| s.replicas.iter().filter(is_ready).map(|r| r.model.clone()));
        self.ready.insert(state.group.clone(), ready.collect());
        let before = self.published.insert(state.group.clone(), models.clone()).unwrap_or_default();
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

    /// Models with a ready replica in the data centre.
    pub(crate) fn ready_models(&self) -> Vec<ModelId> {
        self.ready.values().flatten().cloned().collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// A group cannot load a model now.
    pub(crate) fn refused(&mut self, model: &ModelId, group: &GroupId, now: Instant) {
        self.refused.insert((model.clone(), group.clone()), now + REFUSED_FOR);
    }

    /// The group to ask for an adapter of a loaded model: one that holds the model.
    pub(crate) fn holder(&self, model: &ModelId, order: &[GroupId]) -> Option<GroupId> {
        let held = self.holders.get(model)?;
        order.iter().find(|group| held.contains(*group)).cloned()
    }

    /// The group to ask: one that holds the model, otherwise the first of `order` that has not
    /// refused it lately. All instances ask the same group, so that a burst causes one load.
    pub(crate) fn group_for(
        &mut self,
        model: &ModelId,
        order: &[GroupId],
        now: Instant,
    ) -> Option<GroupId> {
        self.refused.retain(|_, until| now < *until);
        let has_refused =
            |group: &&GroupId| self.refused.contains_key(&(model.clone(), (*group).clone()));
        let holders = self.holders.get(model);
        let is_holder = |group: &&GroupId| holders.is_some_and(|held| held.contains(*group));
        order
            .iter()
            .filter(is_holder)
            .chain(order.iter())
            .find(|group| !has_refused(group))
            .cloned()
    }
}
