//! The view for the placement policy, the state for publication, and accelerator intervals.

use rand::Rng;
use types::prelude::*;

use crate::accounting::interval;
use crate::group::Authority;
use crate::server::Server;
use crate::{
    Action, Group, GroupView, Interval, ReplicaRecord, ReplicaStage, ReplicaView, ServerRecord,
    ServerView,
};

impl Group {
    /// The state that the placement policy decides on; empty if this instance does not own the
    /// group.
    pub fn view(&self, now: Instant) -> GroupView {
        if self.authority == Authority::None {
            return GroupView::default();
        }
        let servers = self.record.servers.iter().filter_map(|(name, record)| {
            Some((name.clone(), self.server_view(now, name, record, self.servers.get(name)?)))
        });
        let mut counted = self.record.counted_replicas();
        let with_own_permit = self.record.servers.iter().filter(|(name, _)| {
            self.servers.get(*name).is_some_and(|server| server.has_own_permit)
        });
        // A decision withdraws this owner's permits where it needs their allowance.
        for permit in with_own_permit.filter_map(|(_, record)| record.permit.as_ref()) {
            for model in permit.models.keys() {
                if let Some(counted) = counted.get_mut(model) {
                    *counted -= permit.replicas_of(model);
                }
            }
        }
        let left = |(model, allowance): (&ModelId, &u32)| {
            let counted = counted.get(model).copied().unwrap_or(0);
            (model.clone(), allowance.saturating_sub(counted))
        };
        GroupView {
            is_writable: self.is_writable(now),
            servers: servers.collect(),
            allowance_left: self.record.allowances.iter().map(left).collect(),
        }
    }

    fn server_view(
        &self,
        now: Instant,
        name: &str,
        record: &ServerRecord,
        server: &Server,
    ) -> ServerView {
        let report = server.report.as_ref();
        let reclaimable = if server.has_own_permit { record.permit_memory() } else { 0 };
        let permit = record.permit.as_ref().filter(|_| server.has_own_permit);
        let permit_loads = permit.map(|permit| {
            let models = permit.models.keys();
            models.map(|model| (model.clone(), permit.replicas_of(model))).collect()
        });
        let replicas = record.replicas.iter();
        let cached = |models: &[ModelId]| models.iter().cloned().collect();
        ServerView {
            memory_total: record.memory_total,
            memory_free: record.unreserved() + reclaimable,
            role: report.map_or_else(Default::default, |report| report.role),
            is_blocked: self.is_blocked(now, name),
            is_leaving: server.is_leaving(),
            checks_fencing: record.checks_fencing,
            replicas: replicas
                .map(|(id, r)| (*id, replica_view(r, server.reported(*id))))
                .collect(),
            cached_in_memory: report.map(|r| cached(&r.cached_in_memory)).unwrap_or_default(),
            cached_on_disk: report.map(|r| cached(&r.cached_on_disk)).unwrap_or_default(),
            permit_loads: permit_loads.unwrap_or_default(),
        }
    }

    /// The state to publish, with the next sequence number; `None` if this instance does not own
    /// the group.
    pub fn state_to_publish(&mut self, now: Instant) -> Option<GroupState> {
        if self.authority == Authority::None {
            return None;
        }
        self.sequence += 1;
        let servers = self.servers.iter().filter_map(|(name, server)| {
            let report = server.report.as_ref()?;
            let received = server.received_at?;
            let age = now.saturating_duration_since(received);
            let millis = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            Some(ServerState {
                server: name.clone(),
                address: server.address.clone(),
                incarnation: report.incarnation,
                leaving: server.is_leaving(),
                reachable: age < self.cfg.unreachable_after,
                load_age_ms: report.load_age_ms.saturating_add(millis),
                replicas: self.replica_states(name, report),
            })
        });
        Some(GroupState {
            group: self.cfg.group.clone(),
            owner: self.cfg.instance.clone(),
            fencing: self.fencing(),
            sequence: self.sequence,
            store: self.store_use,
            servers: servers.collect(),
        })
    }

    fn replica_states(&self, name: &str, report: &ServerReport) -> Vec<ReplicaState> {
        let record = self.record.servers.get(name);
        let recorded = |id| record.and_then(|record| record.replicas.get(&id));
        let states = report.replicas.iter().map(|reported| {
            let recorded = recorded(reported.replica);
            // The replica must get no new requests once its unload may have been sent or is
            // committed, even before the server reports the unload.
            let is_unloading = recorded.is_some_and(|r| r.stage == ReplicaStage::Unloading)
                && !self.is_unload_unsent(name, reported.replica);
            ReplicaState {
                replica: reported.replica,
                model: reported.model.clone(),
                phase: if is_unloading { ReplicaPhase::Unloading } else { reported.phase },
                max_batch: recorded.map_or(1, |replica| replica.max_batch),
                running: reported.running,
                queued: reported.queued,
                adapters: reported.adapters.clone(),
            }
        });
        states.collect()
    }

    /// Ended accelerator intervals that are stored in the platform and not yet recorded as usage.
    pub fn closed_intervals(&self) -> &[Interval] {
        &self.store.committed.intervals
    }

    /// Accelerator intervals of the present replicas, cut off at `wall`.
    pub fn open_intervals(&self, wall: SystemTime) -> Vec<Interval> {
        let servers = self.record.servers.values();
        let replicas = servers.flat_map(|server| &server.replicas);
        replicas.map(|(id, replica)| interval(*id, replica, wall)).collect()
    }

    /// Drops the ended intervals of these replicas after they were recorded in `usage/GROUP-HOUR`.
    pub fn on_intervals_booked(
        &mut self,
        now: Instant,
        replicas: &[ReplicaId],
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let before = self.record.intervals.len();
        self.record.intervals.retain(|interval| !replicas.contains(&interval.replica));
        if self.record.intervals.len() != before {
            self.store.mark_dirty();
        }
        self.advance(now, rng)
    }
}

fn replica_view(record: &ReplicaRecord, reported: Option<&ReplicaReport>) -> ReplicaView {
    let phase = match record.stage {
        ReplicaStage::Ordered => ReplicaPhase::Loading,
        ReplicaStage::Unloading => ReplicaPhase::Unloading,
        ReplicaStage::Seen => reported.map_or(ReplicaPhase::Loading, |reported| reported.phase),
    };
    ReplicaView {
        model: record.model.clone(),
        version: record.version.clone(),
        memory_bytes: record.memory_bytes,
        phase,
        decided_at: record.decided_at,
        adapters: reported.map(|r| r.adapters.iter().cloned().collect()).unwrap_or_default(),
        adapter_slots: record.adapter_slots,
        running: reported.map_or(0, |reported| reported.running),
        queued: reported.map_or(0, |reported| reported.queued),
    }
}
