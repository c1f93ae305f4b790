//! Tables of replicas, indexed by model and adapter.

use types::prelude::*;

use crate::load::ReplicaLoad;
use crate::prefix::{CachedPrefixes, PrefixOwners};

/// Index of a replica in the tables. Indices of removed replicas are reused.
pub(crate) type SlotIndex = u32;

/// One replica.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) replica: ReplicaRef,
    pub(crate) server: BackendServerId,
    pub(crate) max_batch: u32,
    pub(crate) load: ReplicaLoad,
    pub(crate) prefixes: CachedPrefixes,
    model: ModelId,
    adapters: Vec<AdapterId>,
    /// Position in the model's `usable` list; `None` if no requests may be sent to the replica.
    position: Option<usize>,
    /// Whether the replica is counted in the model's `with_capacity`.
    has_capacity: bool,
}

/// Replicas of one model.
#[derive(Debug, Default)]
pub(crate) struct ModelTable {
    /// Replicas that requests may be sent to.
    pub(crate) usable: Vec<SlotIndex>,
    /// Usable replicas by the adapters in their pools.
    pub(crate) by_adapter: HashMap<AdapterId, Vec<SlotIndex>>,
    pub(crate) prefix_owners: PrefixOwners,
    /// Number of usable replicas that can start one more request at once.
    pub(crate) with_capacity: usize,
    /// Number of replicas in any state.
    replicas: usize,
}

/// All replicas of a data centre.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    slots: Vec<Option<Slot>>,
    vacant: Vec<SlotIndex>,
    models: HashMap<ModelId, ModelTable>,
}

impl Tables {
    pub(crate) fn slot(&self, index: SlotIndex) -> Option<&Slot> {
        self.slots.get(index as usize)?.as_ref()
    }

    pub(crate) fn model(&self, model: &str) -> Option<&ModelTable> {
        self.models.get(model)
    }

    pub(crate) fn insert(
        &mut self,
        group: &GroupId,
        server: &BackendServerId,
        state: &ReplicaState,
    ) -> SlotIndex {
        let slot = Slot {
            replica: ReplicaRef { group: group.clone(), replica: state.replica },
            server: server.clone(),
            max_batch: state.max_batch,
            load: ReplicaLoad::new(),
            prefixes: CachedPrefixes::default(),
            model: state.model.clone(),
            adapters: Vec::new(),
            position: None,
            has_capacity: false,
        };
        self.models.entry(state.model.clone()).or_default().replicas += 1;
        if let Some(index) = self.vacant.pop() {
            self.slots[index as usize] = Some(slot);
            return index;
        }
        self.slots.push(Some(slot));
        (self.slots.len() - 1) as SlotIndex
    }

    pub(crate) fn remove(&mut self, index: SlotIndex) {
        self.set_usable(index, false);
        let Some(mut slot) = self.slots[index as usize].take() else { return };
        self.vacant.push(index);
        if let Some(table) = self.models.get_mut(&slot.model) {
            slot.prefixes.clear(index, &mut table.prefix_owners);
            table.replicas -= 1;
            if table.replicas == 0 {
                self.models.remove(&slot.model);
            }
        }
    }

    /// Applies the published state of a replica.
    pub(crate) fn update(&mut self, index: SlotIndex, state: &ReplicaState, sampled_at: Instant) {
        let Some(slot) = self.slots[index as usize].as_mut() else { return };
        slot.max_batch = state.max_batch;
        slot.load.apply_report(state.running + state.queued, sampled_at);
        if slot.adapters != state.adapters {
            let usable = slot.position.is_some();
            self.set_usable(index, false);
            if let Some(slot) = self.slots[index as usize].as_mut() {
                slot.adapters.clone_from(&state.adapters);
            }
            self.set_usable(index, usable);
        }
        self.update_capacity_count(index);
    }

    /// Sets whether requests may be sent to a replica.
    pub(crate) fn set_usable(&mut self, index: SlotIndex, usable: bool) {
        let Some(slot) = self.slots[index as usize].as_mut() else { return };
        let Some(table) = self.models.get_mut(&slot.model) else { return };
        match (slot.position, usable) {
            (None, true) => {
                slot.position = Some(table.usable.len());
                table.usable.push(index);
                for adapter in &slot.adapters {
                    table.by_adapter.entry(adapter.clone()).or_default().push(index);
                }
            }
            (Some(position), false) => {
                slot.position = None;
                table.usable.swap_remove(position);
                for adapter in &slot.adapters {
                    let Some(replicas) = table.by_adapter.get_mut(adapter) else { continue };
                    replicas.retain(|replica| *replica != index);
                    if replicas.is_empty() {
                        table.by_adapter.remove(adapter);
                    }
                }
                let moved = table.usable.get(position).copied();
                if let Some(moved) = moved.and_then(|m| self.slots[m as usize].as_mut()) {
                    moved.position = Some(position);
                }
            }
            _ => {}
        }
        self.update_capacity_count(index);
    }

    /// Changes a replica's load and updates the number of replicas with free capacity.
    pub(crate) fn update_load(&mut self, index: SlotIndex, change: impl FnOnce(&mut ReplicaLoad)) {
        if let Some(slot) = self.slots[index as usize].as_mut() {
            change(&mut slot.load);
        }
        self.update_capacity_count(index);
    }

    /// Changes a replica's prefixes together with its model's table of prefix owners.
    pub(crate) fn update_prefixes(
        &mut self,
        index: SlotIndex,
        change: impl FnOnce(&mut CachedPrefixes, &mut PrefixOwners),
    ) {
        let Some(slot) = self.slots[index as usize].as_mut() else { return };
        if let Some(table) = self.models.get_mut(&slot.model) {
            change(&mut slot.prefixes, &mut table.prefix_owners);
        }
    }

    fn update_capacity_count(&mut self, index: SlotIndex) {
        let Some(slot) = self.slots[index as usize].as_mut() else { return };
        let Some(table) = self.models.get_mut(&slot.model) else { return };
        let has_capacity = slot.position.is_some() && slot.load.requests() < slot.max_batch;
        if has_capacity != slot.has_capacity {
            slot.has_capacity = has_capacity;
            table.with_capacity =
                if has_capacity { table.with_capacity + 1 } else { table.with_capacity - 1 };
        }
    }
}

impl Slot {
    pub(crate) fn is_usable(&self) -> bool {
        self.position.is_some()
    }

    /// Whether the target names no adapter or one in the replica's pool.
    pub(crate) fn has_adapter(&self, target: &Target) -> bool {
        target.adapter.as_ref().is_none_or(|adapter| self.adapters.contains(adapter))
    }

    pub(crate) fn is_full(&self) -> bool {
        self.load.requests() >= self.max_batch
    }
}
