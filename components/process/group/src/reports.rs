//! Updating the record from the reports of backend servers.

use rand::Rng;
use types::prelude::*;

use crate::server::OrderProgress;
use crate::{Action, Group, ReplicaRecord, ReplicaStage};

impl Group {
    /// Applies a server's report. `requested` is the time at which the report was requested; a
    /// report that was requested before the last one was received proves nothing and is dropped.
    pub fn on_report(
        &mut self,
        now: Instant,
        wall: SystemTime,
        requested: Instant,
        report: &ServerReport,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.last_wall = Some(wall);
        let name = &report.server;
        let is_known = self.is_recovered() && self.record.servers.contains_key(name);
        let Some(server) = self.servers.get_mut(name).filter(|_| is_known) else {
            return Vec::new();
        };
        if server.received_at.is_some_and(|received| requested < received) {
            return Vec::new();
        }
        let mut actions = vec![Action::Publish];
        server.received_at = Some(now);
        let before = self.record.servers.get(name).cloned();
        self.apply_incarnation(wall, report);
        self.apply_seal(report, &mut actions);
        self.apply_outcomes(wall, report);
        self.apply_replicas(wall, report);
        self.apply_absences(wall, requested, report);
        self.drop_sealed_orders(report);
        if let Some(server) = self.servers.get_mut(name) {
            server.report = Some(report.clone());
        }
        if self.record.servers.get(name) != before.as_ref() {
            self.store.mark_dirty();
        }
        actions.extend(self.advance(now, rng));
        actions
    }

    /// Handles a restart of the server. Nothing survives it: a new incarnation proves that all
    /// replicas of the previous one are gone.
    fn apply_incarnation(&mut self, wall: SystemTime, report: &ServerReport) {
        let name = &report.server;
        let (Some(record), Some(server)) =
            (self.record.servers.get_mut(name), self.servers.get_mut(name))
        else {
            return;
        };
        record.checks_fencing = report.checks_fencing;
        record.memory_total = report.memory_total;
        let before = record.incarnation.replace(report.incarnation);
        if before.is_none_or(|before| before == report.incarnation) {
            return;
        }
        tracing::info!("group: backend server {name} has a new incarnation");
        server.is_sealed = false;
        // Orders whose sending has not ended may reach the new incarnation, so they stay
        // unresolved. On a server that checks fencing numbers, loads whose result is unknown stay
        // too, until a seal excludes late orders.
        let checks_fencing = record.checks_fencing;
        record.orders.retain(|id, order| {
            let is_load = matches!(order.kind, OrderKind::Load { .. });
            match server.progress.get(id) {
                Some(OrderProgress::Unsent | OrderProgress::Sent { .. }) => true,
                Some(OrderProgress::Accepted { .. }) => is_load,
                Some(OrderProgress::Lost { .. }) | None => is_load && checks_fencing,
            }
        });
        server.progress.retain(|id, _| record.orders.contains_key(id));
        for progress in server.progress.values_mut() {
            if let OrderProgress::Sent { restarted, .. }
            | OrderProgress::Accepted { restarted, .. } = progress
            {
                *restarted = true;
            }
        }
        if !server.has_own_permit && !checks_fencing {
            record.permit = None;
        }
        let gone: Vec<ReplicaId> = record
            .replicas
            .keys()
            .copied()
            .filter(|replica| record.load_order(*replica).is_none())
            .collect();
        for replica in gone {
            self.record.end_replica(name, replica, wall);
        }
    }

    fn apply_seal(&mut self, report: &ServerReport, actions: &mut Vec<Action>) {
        let fencing = self.fencing();
        let Some(server) = self.servers.get_mut(&report.server) else { return };
        if !report.checks_fencing {
            return;
        }
        server.is_sealed = report.highest_fencing == fencing;
        if report.highest_fencing > fencing {
            self.end_ownership();
            actions.push(Action::Superseded);
        }
    }

    fn apply_outcomes(&mut self, wall: SystemTime, report: &ServerReport) {
        let name = &report.server;
        for OrderOutcome { order, succeeded } in &report.outcomes {
            if let Some(server) = self.servers.get_mut(name) {
                server.unrecorded.retain(|unrecorded| unrecorded.order != *order);
            }
            self.consume_foreign_permit(report, *order);
            let Some(record) = self.record.servers.get_mut(name) else { return };
            let Some(kind) = record.orders.get(order).map(|order| order.kind.clone()) else {
                continue;
            };
            match kind {
                // The presence of the replica proves a successful load, and its absence a
                // successful unload.
                OrderKind::Load { replica, .. } | OrderKind::Unload { replica }
                    if *succeeded && report.replicas.iter().any(|r| r.replica == replica) =>
                {
                    continue;
                }
                OrderKind::Unload { .. } if *succeeded => {
                    record.orders.remove(order);
                }
                OrderKind::Load { replica, .. } => {
                    record.orders.remove(order);
                    self.record.end_replica(name, replica, wall);
                }
                OrderKind::Unload { replica } => {
                    record.orders.remove(order);
                    if let Some(replica) = record.replicas.get_mut(&replica) {
                        replica.stage = ReplicaStage::Seen;
                    }
                }
                _ => {
                    record.orders.remove(order);
                }
            }
            if let Some(server) = self.servers.get_mut(name) {
                server.progress.remove(order);
            }
        }
    }

    /// Uses up an earlier owner's permit if the report shows the outcome of an order under it.
    fn consume_foreign_permit(&mut self, report: &ServerReport, order: OrderId) {
        let has_own_permit =
            self.servers.get(&report.server).is_some_and(|server| server.has_own_permit);
        let Some(record) = self.record.servers.get_mut(&report.server) else { return };
        // At a server that checks fencing numbers, a late order may still use the rest of the
        // permit, so the whole permit stays reserved until the server is sealed.
        let is_foreign = !record.checks_fencing && !has_own_permit;
        if let Some(permit) = record.permit.as_mut().filter(|p| is_foreign && p.covers_order(order))
        {
            // A failed load leaves no replica. After a successful one the report shows the replica,
            // and `adopt_replica` deducts it from the permit.
            let replica = permit.first_replica + (order - permit.first_order);
            if !report.replicas.iter().any(|reported| reported.replica == replica) {
                permit.consume(replica, "", 0);
            }
        }
        record.permit = record.permit.take().filter(|permit| permit.loads > 0);
    }

    fn apply_replicas(&mut self, wall: SystemTime, report: &ServerReport) {
        let name = &report.server;
        for reported in &report.replicas {
            let Some(record) = self.record.servers.get_mut(name) else { return };
            if let Some(replica) = record.replicas.get_mut(&reported.replica) {
                if replica.stage == ReplicaStage::Ordered {
                    replica.stage = ReplicaStage::Seen;
                }
                let mut resolved = record.load_order(reported.replica);
                let unload = record.unload_order(reported.replica);
                if reported.phase == ReplicaPhase::Unloading {
                    // An unload waits for running requests, so it counts as resolved once it has
                    // begun.
                    resolved = resolved.or(unload);
                } else if unload.is_none()
                    && let Some(replica) = record.replicas.get_mut(&reported.replica)
                {
                    replica.stage = ReplicaStage::Seen;
                }
                if let Some(order) = resolved {
                    record.orders.remove(&order);
                    if let Some(server) = self.servers.get_mut(name) {
                        server.progress.remove(&order);
                    }
                }
            } else {
                self.adopt_replica(wall, name, reported);
            }
        }
    }

    /// Records a replica that the report shows but the record does not contain. An earlier owner
    /// loaded it under a permit, or its load order reached a later incarnation of the server.
    fn adopt_replica(&mut self, wall: SystemTime, name: &str, reported: &ReplicaReport) {
        let declared = self.catalogue.models.get(&reported.model);
        let Some(record) = self.record.servers.get_mut(name) else { return };
        let mut decided_at = wall;
        if let Some(permit) = &mut record.permit
            && permit.covers_replica(reported.replica)
        {
            decided_at = permit.since;
            if !record.checks_fencing {
                permit.consume(reported.replica, &reported.model, reported.memory_bytes);
            }
        } else {
            tracing::warn!("group: backend server {name} has a replica that is not recorded");
        }
        record.permit = record.permit.take().filter(|permit| permit.loads > 0);
        let replica = ReplicaRecord {
            model: reported.model.clone(),
            version: reported.version.clone(),
            memory_bytes: reported.memory_bytes,
            accelerators: declared.map_or(1, |model| model.accelerators),
            adapter_slots: declared.map_or(0, |model| model.adapter_slots),
            max_batch: declared.map_or(1, |model| model.max_batch),
            decided_at,
            stage: ReplicaStage::Seen,
        };
        record.replicas.insert(reported.replica, replica);
        self.record.next_replica = self.record.next_replica.max(reported.replica + 1);
    }

    /// Removes replicas that are proved to be gone because the report does not show them.
    fn apply_absences(&mut self, wall: SystemTime, requested: Instant, report: &ServerReport) {
        let name = &report.server;
        let Some(record) = self.record.servers.get(name) else { return };
        let reported: BTreeSet<ReplicaId> = report.replicas.iter().map(|r| r.replica).collect();
        let absent: Vec<(ReplicaId, ReplicaStage)> = record
            .replicas
            .iter()
            .filter(|(id, _)| !reported.contains(id))
            .map(|(id, replica)| (*id, replica.stage))
            .collect();
        for (replica, stage) in absent {
            if stage == ReplicaStage::Ordered {
                self.resolve_absent_load(requested, name, replica);
                continue;
            }
            // An earlier report showed the replica, so its load order has been carried out and its
            // absence proves that it is gone.
            self.record.end_replica(name, replica, wall);
        }
        self.resolve_finished_unloads(requested, name);
    }

    /// Resolves unload orders whose replica is gone. The replica may have disappeared without the
    /// order, so at a server that ignores fencing numbers the order may still be in flight unless
    /// it was accepted. Such a server gets no other order, so its reports still show the outcome.
    fn resolve_finished_unloads(&mut self, requested: Instant, name: &str) {
        let (Some(record), Some(server)) =
            (self.record.servers.get_mut(name), self.servers.get_mut(name))
        else {
            return;
        };
        let (checks_fencing, replicas) = (record.checks_fencing, &record.replicas);
        record.orders.retain(|id, order| {
            let OrderKind::Unload { replica } = &order.kind else { return true };
            let has_arrived = match server.progress.get(id) {
                Some(OrderProgress::Accepted { at, .. }) => *at <= requested,
                _ => false,
            };
            let is_finished = !replicas.contains_key(replica) && (checks_fencing || has_arrived);
            if is_finished {
                server.progress.remove(id);
            }
            !is_finished
        });
    }

    /// Resolves the load order of a replica that the report does not show, if that proves that the
    /// replica will not appear: a seal excludes that the order still arrives, or the server
    /// restarted between accepting the order and this report.
    fn resolve_absent_load(&mut self, requested: Instant, name: &str, replica: ReplicaId) {
        let fencing = self.fencing();
        let (Some(record), Some(server)) =
            (self.record.servers.get_mut(name), self.servers.get_mut(name))
        else {
            return;
        };
        let Some(id) = record.load_order(replica) else { return };
        let sent = server.progress.get(&id);
        let is_excluded = record.checks_fencing
            && server.is_sealed
            && sent != Some(&OrderProgress::Unsent)
            && record.orders.get(&id).is_some_and(|order| order.fencing < fencing);
        let has_restarted = matches!(
            sent,
            Some(OrderProgress::Accepted { at, restarted: true }) if *at <= requested
        );
        if is_excluded || has_restarted {
            record.orders.remove(&id);
            server.progress.remove(&id);
            self.record.remove_replica(name, replica);
        }
    }

    /// Drops the orders with lower fencing numbers and an earlier owner's permit once the server is
    /// sealed. The orders can no longer run, and the report shows the replicas that were loaded
    /// under the permit.
    fn drop_sealed_orders(&mut self, report: &ServerReport) {
        let fencing = self.fencing();
        let name = &report.server;
        let Some(server) = self.servers.get_mut(name).filter(|server| server.is_sealed) else {
            return;
        };
        let Some(record) = self.record.servers.get_mut(name) else { return };
        let old: Vec<OrderId> = record
            .orders
            .iter()
            .filter(|(id, order)| {
                order.fencing < fencing && server.progress.get(id) != Some(&OrderProgress::Unsent)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in &old {
            server.progress.remove(id);
        }
        if !server.has_own_permit {
            record.permit = None;
        }
        for id in old {
            let Some(order) = self.record.servers.get_mut(name).and_then(|r| r.orders.remove(&id))
            else {
                continue;
            };
            let OrderKind::Unload { replica } = order.kind else { continue };
            let is_unloading = report
                .replicas
                .iter()
                .any(|r| r.replica == replica && r.phase == ReplicaPhase::Unloading);
            let record = self.record.servers.get_mut(name);
            if let Some(replica) = record.and_then(|record| record.replicas.get_mut(&replica))
                && !is_unloading
            {
                replica.stage = ReplicaStage::Seen;
            }
        }
    }
}
