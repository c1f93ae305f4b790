//! Loads, prefetches and adapter loads that were ordered and have not ended according to reports.

use placement::{AdapterLoadEnded, Decision, Event, LoadEnded};
use types::prelude::*;

/// Time after which a prefetch or an adapter load that no report shows counts as failed. It is far
/// above the usual time because the weight store may be slow.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Loads, prefetches and adapter loads in flight.
#[derive(Debug, Default)]
pub(crate) struct InFlightLoads {
    loads: HashMap<ReplicaId, InFlightLoad>,
    prefetches: HashMap<(BackendServerId, ModelId), (LoadSource, Instant)>,
    adapters: HashMap<(ReplicaId, AdapterId), Instant>,
}

#[derive(Debug)]
struct InFlightLoad {
    server: BackendServerId,
    model: ModelId,
    source: LoadSource,
    started_at: Instant,
}

impl InFlightLoads {
    /// Records a decision that was carried out; `replica` is the new replica of a load.
    pub(crate) fn record_started(
        &mut self,
        decision: &Decision,
        replica: Option<ReplicaId>,
        now: Instant,
    ) {
        match decision {
            Decision::Load { server, model, source } => {
                let Some(replica) = replica else { return };
                let load = InFlightLoad {
                    server: server.clone(),
                    model: model.clone(),
                    source: *source,
                    started_at: now,
                };
                self.loads.insert(replica, load);
            }
            Decision::Prefetch { server, model, source } => {
                self.prefetches.insert((server.clone(), model.clone()), (*source, now));
            }
            Decision::LoadAdapter { replica, adapter, .. } => {
                self.adapters.insert((*replica, adapter.clone()), now);
            }
            Decision::Unload { .. } | Decision::Unreachable { .. } => {}
        }
    }

    /// Whether a model load or an adapter load is in flight on a server.
    pub(crate) fn is_busy(&self, server: &str, view: &group::GroupView) -> bool {
        let has_replica = |replica: &ReplicaId| {
            view.servers.get(server).is_some_and(|s| s.replicas.contains_key(replica))
        };
        self.loads.values().any(|load| *load.server == *server)
            || self.adapters.keys().any(|(replica, _)| has_replica(replica))
    }

    /// Returns the number of loads and prefetches from the weight store, and the number of adapter
    /// loads.
    pub(crate) fn store_counts(&self) -> (usize, usize) {
        let loads = self.loads.values().filter(|load| load.source == LoadSource::Remote).count();
        let is_remote = |(source, _): &&(LoadSource, Instant)| *source == LoadSource::Remote;
        let prefetches = self.prefetches.values().filter(is_remote).count();
        (loads + prefetches, self.adapters.len())
    }

    /// Removes the loads that have ended according to the view, and returns their events.
    pub(crate) fn remove_ended(&mut self, view: &group::GroupView, now: Instant) -> Vec<Event> {
        let mut events = Vec::new();
        self.remove_ended_loads(view, &mut events);
        self.remove_ended_prefetches(view, now, &mut events);
        self.remove_ended_adapters(view, now, &mut events);
        events
    }

    fn remove_ended_loads(&mut self, view: &group::GroupView, events: &mut Vec<Event>) {
        self.loads.retain(|id, load| {
            let succeeded = match find_replica(view, *id).map(|r| r.phase) {
                Some(ReplicaPhase::Loading) => return true,
                Some(ReplicaPhase::Ready) => true,
                Some(ReplicaPhase::Unloading) | None => false,
            };
            events.push(Event::LoadEnded(LoadEnded {
                server: load.server.clone(),
                model: load.model.clone(),
                source: load.source,
                started: load.started_at,
                succeeded,
            }));
            false
        });
    }

    fn remove_ended_prefetches(
        &mut self,
        view: &group::GroupView,
        now: Instant,
        events: &mut Vec<Event>,
    ) {
        self.prefetches.retain(|(server, model), (source, started)| {
            let is_cached =
                view.servers.get(server).is_some_and(|s| s.cached_in_memory.contains(model));
            if !is_cached && now < *started + LOAD_TIMEOUT {
                return true;
            }
            events.push(Event::PrefetchEnded(LoadEnded {
                server: server.clone(),
                model: model.clone(),
                source: *source,
                started: *started,
                succeeded: is_cached,
            }));
            false
        });
    }

    fn remove_ended_adapters(
        &mut self,
        view: &group::GroupView,
        now: Instant,
        events: &mut Vec<Event>,
    ) {
        self.adapters.retain(|(id, adapter), started| {
            let replica = find_replica(view, *id);
            let is_loaded = replica.is_some_and(|r| r.adapters.contains(adapter));
            if !is_loaded && replica.is_some() && now < *started + LOAD_TIMEOUT {
                return true;
            }
            events.push(Event::AdapterLoadEnded(AdapterLoadEnded {
                replica: *id,
                adapter: adapter.clone(),
                started: *started,
                succeeded: is_loaded,
            }));
            false
        });
    }
}

fn find_replica(view: &group::GroupView, id: ReplicaId) -> Option<&group::ReplicaView> {
    view.servers.values().find_map(|server| server.replicas.get(&id))
}
