//! Standing permits: granting, using and withdrawing them.
//!
//! A permit reserves memory and allowance in the decision object, so that its owner can load models
//! while the platform does not answer. Only that owner uses it and may withdraw it with any write;
//! a successor treats it as fully used.

use types::prelude::*;

use crate::{DecisionError, Group, Permit};

impl Group {
    /// Reserves memory and allowance for a load. Withdraws or reduces this owner's permits where
    /// they hold what the load needs.
    pub(crate) fn reserve(
        &mut self,
        name: &BackendServerId,
        model: &str,
        memory_bytes: u64,
    ) -> Result<(), DecisionError> {
        let has_own_permit =
            |name: &str| self.servers.get(name).is_some_and(|server| server.has_own_permit);
        let record = self.record.servers.get(name).ok_or(DecisionError::Unknown)?;
        let reclaimable = if has_own_permit(name) { record.permit_memory() } else { 0 };
        if record.unreserved() + reclaimable < memory_bytes
            || record.replica_memory() + memory_bytes > record.memory_total
        {
            return Err(DecisionError::NoMemory);
        }
        let has_enough_memory = record.unreserved() >= memory_bytes;
        let holders: Vec<BackendServerId> = self
            .record
            .servers
            .iter()
            .filter(|(name, record)| {
                has_own_permit(name)
                    && record.permit.as_ref().is_some_and(|p| p.replicas_of(model) > 0)
            })
            .map(|(name, _)| name.clone())
            .collect();
        let left = self.record.allowance_left(model);
        if left == 0 && holders.is_empty() {
            return Err(DecisionError::NoAllowance);
        }
        // A server that ignores fencing numbers has either a permit or an outstanding order, never
        // both.
        if !record.checks_fencing || !has_enough_memory {
            self.withdraw_permit(name);
        }
        if self.record.allowance_left(model) == 0
            && let Some(holder) = holders.first()
        {
            self.drop_from_permit(holder, model);
        }
        Ok(())
    }

    /// Withdraws this owner's permit at a server; it is not used from now on.
    pub(crate) fn withdraw_permit(&mut self, name: &str) {
        let Some(server) = self.servers.get_mut(name).filter(|server| server.has_own_permit) else {
            return;
        };
        server.has_own_permit = false;
        if let Some(record) = self.record.servers.get_mut(name) {
            record.permit = None;
        }
        self.store.mark_dirty();
    }

    fn drop_from_permit(&mut self, name: &str, model: &str) {
        let Some(record) = self.record.servers.get_mut(name) else { return };
        if let Some(permit) = &mut record.permit {
            permit.models.remove(model);
            if permit.models.is_empty() {
                self.withdraw_permit(name);
            }
        }
    }

    /// Uses one load of the permit that is stored in the platform.
    pub(crate) fn use_permit(
        &mut self,
        name: &BackendServerId,
        model: &ModelId,
        memory_bytes: u64,
    ) -> Result<(OrderId, ReplicaId, FencingNumber), DecisionError> {
        let committed = self.store.committed.servers.get(name).and_then(|r| r.permit.as_ref());
        let has_own_permit = self.servers.get(name).is_some_and(|server| server.has_own_permit);
        let record = self.record.servers.get_mut(name).ok_or(DecisionError::Unknown)?;
        // A permit that is not written yet, or that another write replaced, has other numbers.
        let permit = record
            .permit
            .as_mut()
            .filter(|permit| {
                has_own_permit && committed.is_some_and(|c| c.covers_order(permit.first_order))
            })
            .ok_or(DecisionError::NoPermit)?;
        if permit.replicas_of(model) == 0 {
            return Err(DecisionError::NoPermit);
        }
        if permit.memory_bytes < memory_bytes {
            return Err(DecisionError::NoMemory);
        }
        let ids = (permit.first_order, permit.first_replica, permit.fencing);
        permit.consume(permit.first_replica, model, memory_bytes);
        if permit.loads == 0 {
            record.permit = None;
        }
        Ok(ids)
    }

    /// Grants a permit for every server that has none and can have one.
    pub(crate) fn grant_permits(&mut self) {
        if self.is_releasing {
            return;
        }
        let counted = self.record.counted_replicas();
        let mut left: Vec<(ModelId, u64, u32)> = self
            .permit_models
            .iter()
            .filter_map(|model| {
                let allowance = *self.record.allowances.get(model)?;
                let memory_bytes = self.catalogue.models.get(model)?.memory_bytes;
                let counted = counted.get(model).copied().unwrap_or(0);
                Some((model.clone(), memory_bytes, allowance.saturating_sub(counted)))
            })
            .collect();
        for name in self.record.servers.keys().cloned().collect::<Vec<_>>() {
            let Some(permit) = self.new_permit(&name, &mut left) else { continue };
            self.record.next_order += u64::from(permit.loads);
            self.record.next_replica += u64::from(permit.loads);
            if let Some(record) = self.record.servers.get_mut(&name) {
                record.permit = Some(permit);
            }
            if let Some(server) = self.servers.get_mut(&name) {
                server.has_own_permit = true;
            }
            self.store.mark_dirty();
        }
    }

    fn new_permit(&self, name: &str, left: &mut [(ModelId, u64, u32)]) -> Option<Permit> {
        let (record, server) = (self.record.servers.get(name)?, self.servers.get(name)?);
        let has_no_open_orders = if record.checks_fencing {
            server.is_sealed
        } else {
            record.orders.is_empty() && server.unrecorded.is_empty()
        };
        if record.permit.is_some()
            || !has_no_open_orders
            || server.report.is_none()
            || server.is_leaving()
        {
            return None;
        }
        let free = record.unreserved();
        let loads = if record.checks_fencing { self.cfg.permit_loads } else { 1 };
        let mut models = BTreeMap::new();
        let mut sizes = Vec::new();
        for (model, memory_bytes, left) in left.iter_mut() {
            let count = (*left).min(loads);
            if count > 0 && *memory_bytes <= free && models.len() < self.cfg.permit_models {
                *left -= count;
                models.insert(model.clone(), count);
                sizes.extend(std::iter::repeat_n(*memory_bytes, count as usize));
            }
        }
        sizes.sort_unstable_by(|a, b| b.cmp(a));
        let memory_bytes = free.min(sizes.iter().take(loads as usize).sum());
        (!models.is_empty()).then_some(Permit {
            memory_bytes,
            loads,
            models,
            first_order: self.record.next_order,
            first_replica: self.record.next_replica,
            fencing: self.fencing(),
            since: self.last_wall?,
        })
    }
}
