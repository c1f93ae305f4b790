//! Accounting of memory, replicas and accelerator intervals in the decision object.

use types::prelude::*;

use crate::{DecisionObject, Interval, Permit, ReplicaRecord, ReplicaStage, ServerRecord};

impl ServerRecord {
    /// Memory of all replicas that are loaded or may be loaded.
    pub(crate) fn replica_memory(&self) -> u64 {
        self.replicas.values().map(|replica| replica.memory_bytes).sum()
    }

    /// Memory that the permit reserves.
    pub(crate) fn permit_memory(&self) -> u64 {
        self.permit.as_ref().map_or(0, |permit| permit.memory_bytes)
    }

    /// Memory that neither a replica nor the permit reserves.
    pub(crate) fn unreserved(&self) -> u64 {
        self.memory_total.saturating_sub(self.replica_memory() + self.permit_memory())
    }

    /// The unresolved load order of a replica.
    pub(crate) fn load_order(&self, replica: ReplicaId) -> Option<OrderId> {
        let is_load =
            |kind: &OrderKind| matches!(kind, OrderKind::Load { replica: r, .. } if *r == replica);
        self.orders.iter().find(|(_, order)| is_load(&order.kind)).map(|(id, _)| *id)
    }

    /// The unresolved unload order of a replica.
    pub(crate) fn unload_order(&self, replica: ReplicaId) -> Option<OrderId> {
        let is_unload =
            |kind: &OrderKind| matches!(kind, OrderKind::Unload { replica: r } if *r == replica);
        self.orders.iter().find(|(_, order)| is_unload(&order.kind)).map(|(id, _)| *id)
    }
}

impl Permit {
    /// Replicas of a model that may still be loaded under the permit.
    pub(crate) fn replicas_of(&self, model: &str) -> u32 {
        self.models.get(model).copied().unwrap_or(0).min(self.loads)
    }

    /// Whether the permit reserves an order number.
    pub(crate) fn covers_order(&self, order: OrderId) -> bool {
        (self.first_order..self.first_order + u64::from(self.loads)).contains(&order)
    }

    /// Whether the permit reserves a replica number.
    pub(crate) fn covers_replica(&self, replica: ReplicaId) -> bool {
        (self.first_replica..self.first_replica + u64::from(self.loads)).contains(&replica)
    }

    /// Uses one load of a model under the permit. Also drops the loads with lower numbers, which
    /// are no longer available.
    pub(crate) fn consume(&mut self, replica: ReplicaId, model: &str, memory_bytes: u64) {
        let used = u32::try_from(replica - self.first_replica).unwrap_or(u32::MAX) + 1;
        self.loads = self.loads.saturating_sub(used);
        self.first_replica += u64::from(used);
        self.first_order += u64::from(used);
        self.memory_bytes = self.memory_bytes.saturating_sub(memory_bytes);
        if let Some(count) = self.models.get_mut(model) {
            *count = count.saturating_sub(1);
        }
        self.models.retain(|_, count| *count > 0);
    }
}

impl DecisionObject {
    /// Replicas of a model that are loaded or may be loaded, without those under permits.
    pub(crate) fn replicas_of(&self, model: &str) -> u32 {
        let replicas = self.servers.values().flat_map(|server| server.replicas.values());
        u32::try_from(replicas.filter(|replica| &*replica.model == model).count())
            .unwrap_or(u32::MAX)
    }

    /// Replicas of a model that may be loaded under permits.
    pub(crate) fn permitted_replicas(&self, model: &str) -> u32 {
        let permits = self.servers.values().filter_map(|server| server.permit.as_ref());
        permits.map(|permit| permit.replicas_of(model)).sum()
    }

    /// Replicas by model that count against the allowances: recorded ones and those under permits.
    pub(crate) fn counted_replicas(&self) -> BTreeMap<ModelId, u32> {
        let mut counted = BTreeMap::new();
        for server in self.servers.values() {
            for replica in server.replicas.values() {
                *counted.entry(replica.model.clone()).or_default() += 1;
            }
            for (permit, model) in server
                .permit
                .iter()
                .flat_map(|permit| permit.models.keys().map(move |m| (permit, m)))
            {
                *counted.entry(model.clone()).or_default() += permit.replicas_of(model);
            }
        }
        counted
    }

    /// Unused part of the allowance for a model.
    pub(crate) fn allowance_left(&self, model: &str) -> u32 {
        let allowance = self.allowances.get(model).copied().unwrap_or(0);
        allowance.saturating_sub(self.replicas_of(model) + self.permitted_replicas(model))
    }

    /// The server that a replica is recorded on.
    pub(crate) fn server_of(&self, replica: ReplicaId) -> Option<&BackendServerId> {
        let mut servers = self.servers.iter();
        servers.find(|(_, server)| server.replicas.contains_key(&replica)).map(|(name, _)| name)
    }

    /// Removes a replica that is proved to be gone and records its accelerator interval.
    pub(crate) fn end_replica(&mut self, server: &str, replica: ReplicaId, wall: SystemTime) {
        let Some(record) = self.servers.get_mut(server) else { return };
        if let Some(ended) = record.replicas.remove(&replica) {
            self.intervals.push(interval(replica, &ended, wall));
        }
    }

    /// Removes a replica whose load certainly did not run, without an accelerator interval.
    pub(crate) fn remove_replica(&mut self, server: &str, replica: ReplicaId) {
        if let Some(record) = self.servers.get_mut(server) {
            record.replicas.remove(&replica);
        }
    }

    /// Removes an order that certainly did not run, and reverts its effect on the replica.
    pub(crate) fn revert_order(&mut self, server: &str, order: OrderId) {
        let Some(record) = self.servers.get_mut(server) else { return };
        match record.orders.remove(&order).map(|order| order.kind) {
            Some(OrderKind::Load { replica, .. }) => {
                record.replicas.remove(&replica);
            }
            Some(OrderKind::Unload { replica }) => {
                if let Some(replica) = record.replicas.get_mut(&replica) {
                    replica.stage = ReplicaStage::Seen;
                }
            }
            _ => {}
        }
    }
}

/// The accelerator interval of a replica that ended at `until`.
pub(crate) fn interval(id: ReplicaId, replica: &ReplicaRecord, until: SystemTime) -> Interval {
    Interval {
        replica: id,
        model: replica.model.clone(),
        accelerators: replica.accelerators,
        from: replica.decided_at,
        // The wall clocks of two owners may differ, but an interval must not be negative.
        until: until.max(replica.decided_at),
    }
}
