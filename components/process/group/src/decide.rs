//! Accepting or rejecting the decisions of the placement policy.

use rand::Rng;
use types::prelude::*;

use crate::group::Authority;
use crate::server::OrderProgress;
use crate::store::MAX_VALUE_BYTES;
use crate::{Action, Decision, DecisionError, Group, OrderRecord, ReplicaRecord, ReplicaStage};

impl Group {
    /// Applies a decision of the placement policy, or rejects it without any effect.
    pub fn decide(
        &mut self,
        now: Instant,
        wall: SystemTime,
        decision: Decision,
        rng: &mut impl Rng,
    ) -> Result<Vec<Action>, DecisionError> {
        if self.authority == Authority::None || self.is_releasing || !self.has_recovered_once() {
            return Err(DecisionError::NotReady);
        }
        if self.store.bytes > MAX_VALUE_BYTES {
            return Err(DecisionError::TooLarge);
        }
        let mut actions = match decision {
            Decision::Load { server, model, source } => {
                self.decide_load(now, wall, &server, &model, source)?
            }
            Decision::Unload { replica } => self.decide_unload(now, replica)?,
            Decision::Prefetch { server, model } => {
                self.check_available(now, &server)?;
                if !self.catalogue.models.contains_key(&model) {
                    return Err(DecisionError::UnknownModel);
                }
                self.check_unrecorded_allowed(now, &server)?;
                self.send_unrecorded(&server, OrderKind::Prefetch { model })
            }
            Decision::LoadAdapter { replica, adapter, evict } => {
                self.decide_adapter(now, replica, adapter, evict)?
            }
            Decision::SetRole { server, role } => {
                self.check_available(now, &server)?;
                self.check_writable(now)?;
                self.record_order(now, &server, OrderKind::SetRole { role });
                Vec::new()
            }
        };
        actions.extend(self.advance(now, rng));
        Ok(actions)
    }

    /// Whether this process has read the decision object, possibly under an earlier fencing number.
    fn has_recovered_once(&self) -> bool {
        self.record.fencing > 0 && self.store.committed.fencing > 0
    }

    /// Whether a decision can be written soon. While the platform does not answer, only permits
    /// allow loads.
    pub(crate) fn is_writable(&self, now: Instant) -> bool {
        self.is_lease_valid(now) && self.is_recovered() && !self.store.is_retrying()
    }

    fn check_writable(&self, now: Instant) -> Result<(), DecisionError> {
        if self.is_writable(now) { Ok(()) } else { Err(DecisionError::NoPermit) }
    }

    fn check_available(&self, now: Instant, server: &str) -> Result<(), DecisionError> {
        if !self.record.servers.contains_key(server) {
            return Err(DecisionError::Unknown);
        }
        if self.servers.get(server).is_some_and(|server| server.is_leaving()) {
            return Err(DecisionError::Leaving);
        }
        if self.is_blocked(now, server) { Err(DecisionError::Blocked) } else { Ok(()) }
    }

    /// Checks that an order that reserves nothing may be sent without a record. This needs a valid
    /// lease or a permit of this owner at the server: a successor sends no order to a server that
    /// has a permit of an earlier owner.
    fn check_unrecorded_allowed(&self, now: Instant, server: &str) -> Result<(), DecisionError> {
        let has_permit =
            self.store.committed.servers.get(server).is_some_and(|r| r.permit.is_some())
                && self.servers.get(server).is_some_and(|server| server.has_own_permit);
        if self.is_lease_valid(now) && self.is_recovered() || has_permit {
            Ok(())
        } else {
            Err(DecisionError::NoPermit)
        }
    }

    fn decide_load(
        &mut self,
        now: Instant,
        wall: SystemTime,
        name: &BackendServerId,
        model: &ModelId,
        source: LoadSource,
    ) -> Result<Vec<Action>, DecisionError> {
        self.check_available(now, name)?;
        let declared = self.catalogue.models.get(model).ok_or(DecisionError::UnknownModel)?.clone();
        let (order, replica, fencing) = if self.is_writable(now) {
            self.reserve(name, model, declared.memory_bytes)?;
            let ids = (self.record.next_order, self.record.next_replica, self.fencing());
            self.record.next_order += 1;
            self.record.next_replica += 1;
            ids
        } else {
            self.use_permit(name, model, declared.memory_bytes)?
        };
        let record = self.record.servers.get_mut(name).ok_or(DecisionError::Unknown)?;
        record.replicas.insert(
            replica,
            ReplicaRecord {
                model: model.clone(),
                version: declared.version.clone(),
                memory_bytes: declared.memory_bytes,
                accelerators: declared.accelerators,
                adapter_slots: declared.adapter_slots,
                max_batch: declared.max_batch,
                decided_at: wall,
                stage: ReplicaStage::Ordered,
            },
        );
        let kind = OrderKind::Load {
            replica,
            model: model.clone(),
            version: declared.version,
            memory_bytes: declared.memory_bytes,
            adapter_slots: declared.adapter_slots,
            source,
        };
        record.orders.insert(order, OrderRecord { fencing, kind });
        self.queue_order(name, order);
        Ok(Vec::new())
    }

    fn decide_unload(
        &mut self,
        now: Instant,
        replica: ReplicaId,
    ) -> Result<Vec<Action>, DecisionError> {
        let name = self.record.server_of(replica).ok_or(DecisionError::Unknown)?.clone();
        let record = self.record.servers.get_mut(&name).ok_or(DecisionError::Unknown)?;
        if record.replicas.get(&replica).is_none_or(|r| r.stage != ReplicaStage::Seen) {
            return Err(DecisionError::WrongPhase);
        }
        // Only servers that check fencing numbers refuse unloads that arrive late.
        let checks_fencing = record.checks_fencing;
        if self.is_blocked(now, &name) {
            return Err(DecisionError::Blocked);
        }
        if !self.is_writable(now) && !checks_fencing {
            return Err(DecisionError::NoPermit);
        }
        self.record_order(now, &name, OrderKind::Unload { replica });
        let record = self.record.servers.get_mut(&name).ok_or(DecisionError::Unknown)?;
        if let Some(replica) = record.replicas.get_mut(&replica) {
            replica.stage = ReplicaStage::Unloading;
        }
        Ok(Vec::new())
    }

    fn decide_adapter(
        &mut self,
        now: Instant,
        replica: ReplicaId,
        adapter: AdapterId,
        evict: Option<AdapterId>,
    ) -> Result<Vec<Action>, DecisionError> {
        let name = self.record.server_of(replica).ok_or(DecisionError::Unknown)?.clone();
        if self.is_blocked(now, &name) {
            return Err(DecisionError::Blocked);
        }
        self.check_unrecorded_allowed(now, &name)?;
        let (Some(record), Some(server)) =
            (self.record.servers.get(&name), self.servers.get(&name))
        else {
            return Err(DecisionError::Unknown);
        };
        let reported = server.reported(replica).ok_or(DecisionError::WrongPhase)?;
        let recorded = record.replicas.get(&replica).ok_or(DecisionError::Unknown)?;
        if reported.phase != ReplicaPhase::Ready || recorded.stage != ReplicaStage::Seen {
            return Err(DecisionError::WrongPhase);
        }
        let mut pool: BTreeSet<&AdapterId> = reported.adapters.iter().collect();
        for order in &server.unrecorded {
            if let OrderKind::LoadAdapter { replica: r, adapter, evict } = &order.kind
                && *r == replica
            {
                evict.iter().for_each(|evicted| {
                    pool.remove(evicted);
                });
                pool.insert(adapter);
            }
        }
        evict.iter().for_each(|evicted| {
            pool.remove(evicted);
        });
        if pool.len() >= recorded.adapter_slots as usize {
            return Err(DecisionError::PoolFull);
        }
        Ok(self.send_unrecorded(&name, OrderKind::LoadAdapter { replica, adapter, evict }))
    }

    /// Records an order, which is sent once the decision object is written.
    fn record_order(&mut self, now: Instant, name: &BackendServerId, kind: OrderKind) {
        // A successor may assign the same number as long as the counter is not written. An unload
        // after the lease lapsed is sent without a write, so it uses a reserved number.
        let order = if self.is_writable(now) {
            self.record.next_order += 1;
            self.record.next_order - 1
        } else {
            self.next_unrecorded += 1;
            self.next_unrecorded
        };
        let fencing = self.fencing();
        let ignores_fencing = self.record.servers.get(name).is_some_and(|r| !r.checks_fencing);
        if ignores_fencing {
            self.withdraw_permit(name);
        }
        if let Some(record) = self.record.servers.get_mut(name) {
            record.orders.insert(order, OrderRecord { fencing, kind });
        }
        self.queue_order(name, order);
    }

    fn queue_order(&mut self, name: &BackendServerId, order: OrderId) {
        if let Some(server) = self.servers.get_mut(name) {
            server.progress.insert(order, OrderProgress::Unsent);
        }
        self.store.mark_dirty();
    }
}
