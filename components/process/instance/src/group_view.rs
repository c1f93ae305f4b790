//! Converts the state of an owned group into placement's view.

use placement::{PooledAdapter, ReplicaView, ServerView, StoreView, View};
use types::prelude::*;

/// When each replica was last known to be in use.
#[derive(Debug, Default)]
pub(crate) struct LastUsed {
    at: HashMap<ReplicaId, Instant>,
}

impl LastUsed {
    /// Records which replicas are in use now and removes those that no longer exist.
    pub(crate) fn update(&mut self, view: &group::GroupView, now: Instant) {
        let mut at = HashMap::with_capacity(self.at.len());
        for (id, replica) in view.servers.values().flat_map(|s| &s.replicas) {
            let is_used =
                replica.phase != ReplicaPhase::Ready || replica.running > 0 || replica.queued > 0;
            let known = self.at.get(id).copied();
            at.insert(*id, if is_used { now } else { known.unwrap_or(now) });
        }
        self.at = at;
    }

    /// Marks the replicas of a model as used. Short requests may start and end between two reports
    /// and appear in neither.
    pub(crate) fn record_requests(&mut self, view: &group::GroupView, model: &str, now: Instant) {
        for (id, replica) in view.servers.values().flat_map(|s| &s.replicas) {
            if *replica.model == *model {
                self.at.insert(*id, now);
            }
        }
    }

    /// Returns when a replica was last known to be in use, or `now` if it is unknown.
    pub(crate) fn get(&self, replica: ReplicaId, now: Instant) -> Instant {
        self.at.get(&replica).copied().unwrap_or(now)
    }
}

/// Builds placement's view.
pub(crate) fn placement_view(
    view: &group::GroupView,
    used: &LastUsed,
    store: StoreView,
    now: Instant,
) -> View {
    let servers = view.servers.iter().map(|(name, server)| server_view(name, server, used, now));
    let allowance_left = if view.is_writable {
        view.allowance_left.iter().map(|(model, left)| (model.clone(), *left)).collect()
    } else {
        permitted_loads(view)
    };
    View { servers: servers.collect(), allowance_left, store }
}

/// Returns the loads that standing permits allow, which are the only ones while the group cannot
/// write to the platform.
fn permitted_loads(view: &group::GroupView) -> HashMap<ModelId, u32> {
    let mut loads = HashMap::new();
    for (model, count) in view.servers.values().flat_map(|s| &s.permit_loads) {
        *loads.entry(model.clone()).or_default() += count;
    }
    loads
}

fn server_view(
    name: &BackendServerId,
    server: &group::ServerView,
    used: &LastUsed,
    now: Instant,
) -> ServerView {
    let replicas = server.replicas.iter().map(|(id, replica)| ReplicaView {
        replica: *id,
        model: replica.model.clone(),
        phase: replica.phase,
        memory_bytes: replica.memory_bytes,
        last_used: used.get(*id, now),
        running: replica.running,
        queued: replica.queued,
        adapters: replica.adapters.iter().map(|a| pooled_adapter(a, replica)).collect(),
    });
    ServerView {
        server: name.clone(),
        memory_total: server.memory_total,
        memory_free: server.memory_free,
        replicas: replicas.collect(),
        cached_in_memory: server.cached_in_memory.iter().cloned().collect(),
        cached_on_disk: server.cached_on_disk.iter().cloned().collect(),
        leaving: server.is_leaving,
        blocked: server.is_blocked,
    }
}

/// Reports do not say which adapters the running requests use, so that every adapter of a busy
/// replica counts as in use.
fn pooled_adapter(adapter: &AdapterId, replica: &group::ReplicaView) -> PooledAdapter {
    PooledAdapter { adapter: adapter.clone(), running: replica.running }
}
