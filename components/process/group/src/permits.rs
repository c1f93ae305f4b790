//! Standing permits: granting, using and withdrawing them.
//!
//! A permit reserves memory and allowance in the decision object. Its owner alone uses it, so the
//! owner may take it back with any write; a successor treats it as fully used.

use types::prelude::*;

use crate::{DecisionError, Group, Permit};

impl Group {
    /// Reserves memory and allowance for a load, at the expense of own permits where needed.
    pub(crate) fn reserve(
        &mut self,
        name: &BackendServerId,
        model: &str,
        memory_bytes: u64,
    ) -> Result<(), DecisionError> {
        let own = |name: &str| self.servers.get(name).is_some_and(|server| server.own_permit);
        let record = self.record.servers.get(name).ok_or(DecisionError::Unknown)?;
        let reclaimable = if own(name) { record.permit_memory() } else { 0 };
        if record.unreserved() + reclaimable < memory_bytes
            || record.replica_memory() + memory_bytes > record.memory_total
        {
            return Err(DecisionError::NoMemory);
        }
        let enough = record.unreserved() >= memory_bytes;
        let holders: Vec<BackendServerId> = self
            .record
            .servers
            .iter()
            .filter(|(name, record)| {
                own(name) && record.permit.as_ref().is_some_and(|p| p.replicas_of(model) > 0)
            })
            .map(|(name, _)| name.clone())
            .collect();
        let left = self.record.allowance_left(model);
        if left == 0 && holders.is_empty() {
            return Err(DecisionError::NoAllowance);
        }
        // A server that ignores fencing numbers has either a permit or an outstanding order.
        if !record.checks_fencing || !enough {
            self.withdraw_permit(name);
        }
        if self.record.allowance_left(model) == 0
            && let Some(holder) = holders.first()
        {
            self.drop_from_permit(holder, model);
        }
        Ok(())
    }

    /// Takes a permit back; it is not used any more from here on.
    pub(crate) fn withdraw_permit(&mut self, name: &str) {
        let Some(server) = self.servers.get_mut(name).filter(|server| server.own_permit) else {
            return;
        };
        server.own_permit = false;
        if let Some(record) = self.record.servers.get_mut(name) {
            record.permit = None;
        }
        self.store.touch();
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

    /// Uses one load of the permit that stands in the platform.
    pub(crate) fn use_permit(
        &mut self,
        name: &BackendServerId,
        model: &ModelId,
        memory_bytes: u64,
    ) -> Result<(OrderId, ReplicaId, FencingNumber), DecisionError> {
        let committed = self.store.committed.servers.get(name).and_then(|r| r.permit.as_ref());
        let own = self.servers.get(name).is_some_and(|server| server.own_permit);
        let record = self.record.servers.get_mut(name).ok_or(DecisionError::Unknown)?;
        // A permit that was only decided on, or that another write replaced, has other numbers.
        let permit = record
            .permit
            .as_mut()
            .filter(|permit| own && committed.is_some_and(|c| c.covers_order(permit.first_order)))
            .ok_or(DecisionError::NoPermit)?;
        if permit.replicas_of(model) == 0 {
            return Err(DecisionError::NoPermit);
        }
        if permit.memory_bytes < memory_bytes {
            return Err(DecisionError::NoMemory);
        }
        let ids = (permit.first_order, permit.first_replica, permit.fencing);
        permit.take(permit.first_replica, model, memory_bytes);
        if permit.loads == 0 {
            record.permit = None;
        }
        Ok(ids)
    }

    /// Grants a permit to every server that can have one and has none.
    pub(crate) fn grant_permits(&mut self) {
        if self.releasing {
            return;
        }
        let counted = self.record.counted();
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
                server.own_permit = true;
            }
            self.store.touch();
        }
    }

    fn new_permit(&self, name: &str, left: &mut [(ModelId, u64, u32)]) -> Option<Permit> {
        let (record, server) = (self.record.servers.get(name)?, self.servers.get(name)?);
        let settled = if record.checks_fencing {
            server.sealed
        } else {
            record.orders.is_empty() && server.unrecorded.is_empty()
        };
        if record.permit.is_some() || !settled || server.report.is_none() || server.is_leaving() {
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
