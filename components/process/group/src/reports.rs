//! What a server's report proves.

use rand::Rng;
use types::prelude::*;

use crate::server::Progress;
use crate::{Action, Group, ReplicaRecord, ReplicaStage};

impl Group {
    /// Takes a server's report. `requested` is the time at which the report was asked for; a
    /// report asked for before the last one was received proves nothing and is dropped.
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
        let known = self.is_recovered() && self.record.servers.contains_key(name);
        let Some(server) = self.servers.get_mut(name).filter(|_| known) else { return Vec::new() };
        if server.received.is_some_and(|received| requested < received) {
            return Vec::new();
        }
        let mut actions = vec![Action::Publish];
        server.received = Some(now);
        let before = self.record.servers.get(name).cloned();
        self.see_incarnation(wall, report);
        self.see_seal(report, &mut actions);
        self.see_outcomes(wall, report);
        self.see_replicas(wall, report);
        self.see_absences(wall, requested, report);
        self.drop_sealed_orders(report);
        if let Some(server) = self.servers.get_mut(name) {
            server.report = Some(report.clone());
        }
        if self.record.servers.get(name) != before.as_ref() {
            self.store.touch();
        }
        actions.extend(self.progress(now, rng));
        actions
    }

    /// Nothing survives a restart: a new incarnation proves that all of the last one is gone.
    fn see_incarnation(&mut self, wall: SystemTime, report: &ServerReport) {
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
        server.sealed = false;
        // Orders without a result may reach the new incarnation, so they stay unresolved. Where a
        // seal will exclude late orders, those without a trace stay until the seal, too.
        let checks = record.checks_fencing;
        record.orders.retain(|id, order| {
            let is_load = matches!(order.kind, OrderKind::Load { .. });
            match server.progress.get(id) {
                Some(Progress::Unsent | Progress::Sent { .. }) => true,
                Some(Progress::Accepted { .. }) => is_load,
                Some(Progress::Lost { .. }) | None => is_load && checks,
            }
        });
        server.progress.retain(|id, _| record.orders.contains_key(id));
        for progress in server.progress.values_mut() {
            if let Progress::Sent { restarted, .. } | Progress::Accepted { restarted, .. } =
                progress
            {
                *restarted = true;
            }
        }
        if !server.own_permit && !checks {
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

    fn see_seal(&mut self, report: &ServerReport, actions: &mut Vec<Action>) {
        let fencing = self.fencing();
        let Some(server) = self.servers.get_mut(&report.server) else { return };
        if !report.checks_fencing {
            return;
        }
        server.sealed = report.highest_fencing == fencing;
        if report.highest_fencing > fencing {
            self.lose_authority();
            actions.push(Action::Superseded);
        }
    }

    fn see_outcomes(&mut self, wall: SystemTime, report: &ServerReport) {
        let name = &report.server;
        for OrderOutcome { order, succeeded } in &report.outcomes {
            if let Some(server) = self.servers.get_mut(name) {
                server.unrecorded.retain(|unrecorded| unrecorded.order != *order);
            }
            self.use_up_permit(report, *order);
            let Some(record) = self.record.servers.get_mut(name) else { return };
            let Some(kind) = record.orders.get(order).map(|order| order.kind.clone()) else {
                continue;
            };
            match kind {
                // A successful load is shown by the replica itself, a successful unload by its
                // absence.
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

    /// An earlier owner used its permit for an order whose outcome is shown.
    fn use_up_permit(&mut self, report: &ServerReport, order: OrderId) {
        let own = self.servers.get(&report.server).is_some_and(|server| server.own_permit);
        let Some(record) = self.record.servers.get_mut(&report.server) else { return };
        // At a server that checks fencing numbers a late order may still use the rest of the permit,
        // so the whole permit stays reserved until the seal.
        let ignores = !record.checks_fencing && !own;
        if let Some(permit) = record.permit.as_mut().filter(|p| ignores && p.covers_order(order)) {
            // A failed load releases its memory; a successful one is shown by the replica, whose
            // adoption takes its part out of the permit.
            let replica = permit.first_replica + (order - permit.first_order);
            if !report.replicas.iter().any(|reported| reported.replica == replica) {
                permit.take(replica, "", 0);
            }
        }
        record.permit = record.permit.take().filter(|permit| permit.loads > 0);
    }

    fn see_replicas(&mut self, wall: SystemTime, report: &ServerReport) {
        let name = &report.server;
        for reported in &report.replicas {
            let Some(record) = self.record.servers.get_mut(name) else { return };
            if let Some(replica) = record.replicas.get_mut(&reported.replica) {
                if replica.stage == ReplicaStage::Ordered {
                    replica.stage = ReplicaStage::Seen;
                }
                let mut shown = record.load_order(reported.replica);
                let unload = record.unload_order(reported.replica);
                if reported.phase == ReplicaPhase::Unloading {
                    // An unload waits for running requests, so it is resolved once it has begun.
                    shown = shown.or(unload);
                } else if unload.is_none()
                    && let Some(replica) = record.replicas.get_mut(&reported.replica)
                {
                    replica.stage = ReplicaStage::Seen;
                }
                if let Some(order) = shown {
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

    /// Counts a replica that the record does not name: loaded by an earlier owner under a permit,
    /// or by an order that reached a later incarnation of the server.
    fn adopt_replica(&mut self, wall: SystemTime, name: &str, reported: &ReplicaReport) {
        let declared = self.catalogue.models.get(&reported.model);
        let Some(record) = self.record.servers.get_mut(name) else { return };
        let mut decided_at = wall;
        if let Some(permit) = &mut record.permit
            && permit.covers_replica(reported.replica)
        {
            decided_at = permit.since;
            if !record.checks_fencing {
                permit.take(reported.replica, &reported.model, reported.memory_bytes);
            }
        } else {
            tracing::warn!("group: backend server {name} has a replica that nobody recorded");
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

    /// Releases replicas whose absence is a proof.
    fn see_absences(&mut self, wall: SystemTime, requested: Instant, report: &ServerReport) {
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
                self.see_absent_load(requested, name, replica);
                continue;
            }
            // The replica was seen by an earlier report, so its load is over and its absence means
            // that it is gone.
            self.record.end_replica(name, replica, wall);
        }
        self.see_finished_unloads(requested, name);
    }

    /// Resolves unload orders whose replica is gone. The replica may have gone on its own, so at a
    /// server that ignores fencing numbers the order may still be on its way unless it was
    /// accepted; the server keeps its outcome in sight, as it gets no other order.
    fn see_finished_unloads(&mut self, requested: Instant, name: &str) {
        let (Some(record), Some(server)) =
            (self.record.servers.get_mut(name), self.servers.get_mut(name))
        else {
            return;
        };
        let (checks, replicas) = (record.checks_fencing, &record.replicas);
        record.orders.retain(|id, order| {
            let OrderKind::Unload { replica } = &order.kind else { return true };
            let arrived = match server.progress.get(id) {
                Some(Progress::Accepted { at, .. }) => *at <= requested,
                _ => false,
            };
            let finished = !replicas.contains_key(replica) && (checks || arrived);
            if finished {
                server.progress.remove(id);
            }
            !finished
        });
    }

    /// An ordered replica is absent. That proves nothing, unless a seal excludes that the order
    /// still arrives, or a restart came between its acceptance and this report.
    fn see_absent_load(&mut self, requested: Instant, name: &str, replica: ReplicaId) {
        let fencing = self.fencing();
        let (Some(record), Some(server)) =
            (self.record.servers.get_mut(name), self.servers.get_mut(name))
        else {
            return;
        };
        let Some(id) = record.load_order(replica) else { return };
        let sent = server.progress.get(&id);
        let excluded = record.checks_fencing
            && server.sealed
            && sent != Some(&Progress::Unsent)
            && record.orders.get(&id).is_some_and(|order| order.fencing < fencing);
        let restarted = matches!(
            sent,
            Some(Progress::Accepted { at, restarted: true }) if *at <= requested
        );
        if excluded || restarted {
            record.orders.remove(&id);
            server.progress.remove(&id);
            self.record.forget_replica(name, replica);
        }
    }

    /// After a seal, older orders other than loads will not run any more either, and what an
    /// earlier owner did under its permit is shown.
    fn drop_sealed_orders(&mut self, report: &ServerReport) {
        let fencing = self.fencing();
        let name = &report.server;
        let Some(server) = self.servers.get_mut(name).filter(|server| server.sealed) else {
            return;
        };
        let Some(record) = self.record.servers.get_mut(name) else { return };
        let old: Vec<OrderId> = record
            .orders
            .iter()
            .filter(|(id, order)| {
                order.fencing < fencing && server.progress.get(id) != Some(&Progress::Unsent)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in &old {
            server.progress.remove(id);
        }
        if !server.own_permit {
            record.permit = None;
        }
        for id in old {
            let Some(order) = self.record.servers.get_mut(name).and_then(|r| r.orders.remove(&id))
            else {
                continue;
            };
            let OrderKind::Unload { replica } = order.kind else { continue };
            let unloading = report
                .replicas
                .iter()
                .any(|r| r.replica == replica && r.phase == ReplicaPhase::Unloading);
            let record = self.record.servers.get_mut(name);
            if let Some(replica) = record.and_then(|record| record.replicas.get_mut(&replica))
                && !unloading
            {
                replica.stage = ReplicaStage::Seen;
            }
        }
    }
}
