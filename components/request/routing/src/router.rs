//! Routing tables of one instance and the selection among replicas.

use rand::Rng;
use types::prelude::*;

use crate::demand::{Demand, DemandLimiter};
use crate::prefix::CacheEvent;
use crate::sample::sample;
use crate::selection::{ReplicaSelection, RouteOutcome, RouteRequest, ServerSelection};
use crate::servers::{PublishedState, Server};
use crate::summaries::{DataCentreSummary, Summaries};
use crate::tables::{ModelTable, Slot, SlotIndex, Tables};

/// Score of one full batch of requests. Lower scores are better.
const FULL_BATCH_SCORE: u64 = 1_000;
/// Score added if the adapter must be loaded first. A load takes only 5 to 14 ms, so a quarter of a
/// batch of additional load on a replica that has the adapter outweighs it.
const ADAPTER_LOAD_SCORE: u64 = FULL_BATCH_SCORE / 4;
/// Score subtracted if all hashed prefixes of the prompt are probably cached.
const PREFIX_AFFINITY_SCORE: u64 = FULL_BATCH_SCORE / 2;
/// From this score on, a replica has a full batch waiting besides the one that runs.
const SATURATED_SCORE: u64 = 2 * FULL_BATCH_SCORE;

/// Routing tables of one instance.
#[derive(Debug, Default)]
pub struct Router {
    groups: HashMap<GroupId, Group>,
    servers: HashMap<BackendServerId, Server>,
    services: HashMap<ServiceId, Vec<BackendServerId>>,
    /// Temporary exclusions by end time.
    exclusions: BTreeSet<(Instant, BackendServerId)>,
    tables: Tables,
    summaries: Summaries,
    demand_limiter: DemandLimiter,
}

#[derive(Debug, Default)]
struct Group {
    fencing: FencingNumber,
    sequence: u64,
    replicas: HashMap<ReplicaId, SlotIndex>,
    servers: BTreeSet<BackendServerId>,
}

impl Router {
    /// Creates a router with empty tables.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a published group state. Returns false if it is not newer than the current one.
    pub fn apply_group_state(&mut self, state: &GroupState, now: Instant) -> bool {
        let current = self.groups.get(&state.group).map(|g| (g.fencing, g.sequence));
        if current.is_some_and(|current| (state.fencing, state.sequence) <= current) {
            return false;
        }
        let mut group = self.groups.remove(&state.group).unwrap_or_default();
        (group.fencing, group.sequence) = (state.fencing, state.sequence);
        let mut removed = std::mem::take(&mut group.replicas);
        let mut removed_servers = std::mem::take(&mut group.servers);
        for server in &state.servers {
            removed_servers.remove(&server.server);
            group.servers.insert(server.server.clone());
            let sampled_at =
                now.checked_sub(Duration::from_millis(server.load_age_ms)).unwrap_or(now);
            let mut replicas = Vec::with_capacity(server.replicas.len());
            for replica in &server.replicas {
                let index = removed
                    .remove(&replica.replica)
                    .unwrap_or_else(|| self.tables.insert(&state.group, &server.server, replica));
                group.replicas.insert(replica.replica, index);
                self.tables.update(index, replica, sampled_at);
                replicas.push((index, replica.phase == ReplicaPhase::Ready));
            }
            let entry = self.servers.entry(server.server.clone()).or_default();
            entry.clear_outdated_report(server.incarnation);
            entry.address.clone_from(&server.address);
            entry.published = Some(PublishedState {
                incarnation: server.incarnation,
                leaving: server.leaving,
                reachable: server.reachable,
            });
            entry.replicas = replicas;
            self.update_usability(&server.server);
        }
        self.groups.insert(state.group.clone(), group);
        self.drop_removed(removed, removed_servers);
        true
    }

    /// Removes a group that no longer exists.
    pub fn remove_group(&mut self, group: &str) {
        if let Some(group) = self.groups.remove(group) {
            self.drop_removed(group.replicas, group.servers);
        }
    }

    /// Applies the leaving flag of a backend server's own report.
    pub fn apply_server_report(&mut self, server: &str, incarnation: Incarnation, leaving: bool) {
        let entry = self.server_entry(server);
        match leaving {
            true => entry.reported_leaving = Some(incarnation),
            // Once a server is leaving, it stays so until it restarts with a new incarnation.
            false => entry.reported_leaving = entry.reported_leaving.filter(|i| *i == incarnation),
        }
        self.update_usability(server);
    }

    /// Applies the leaving flags and plain services in the platform's list, which must contain only
    /// entries of this instance's data centre.
    pub fn apply_platform_list(&mut self, list: &[ListedInstance]) {
        self.services.clear();
        self.servers.values_mut().for_each(|server| server.listed_state = None);
        for listed in list.iter().filter(|listed| listed.role != ListedRole::Entry) {
            let entry = self.server_entry(&listed.name);
            entry.listed_state = Some(listed.state);
            if entry.published.is_none() {
                entry.address.clone_from(&listed.address);
            }
            if let ListedRole::Service(service) = &listed.role {
                self.services.entry(service.clone()).or_default().push(listed.name.clone());
            }
        }
        self.servers.retain(|_, server| server.is_known());
        let names: Vec<_> = self.servers.keys().cloned().collect();
        names.iter().for_each(|server| self.update_usability(server));
    }

    /// Excludes a backend server until `until`, for example while its circuit breaker is open.
    pub fn exclude_server(&mut self, server: &str, until: Instant) {
        let entry = self.server_entry(server);
        let until = entry.excluded_until.map_or(until, |earlier| earlier.max(until));
        entry.excluded_until = Some(until);
        self.exclusions.insert((until, server.into()));
        self.update_usability(server);
    }

    /// Applies a summary of another data centre.
    pub fn apply_summary(&mut self, summary: DataCentreSummary, now: Instant) {
        self.summaries.insert(summary, now);
    }

    /// Applies cache events of one replica, in the order received.
    pub fn apply_cache_events(&mut self, replica: &ReplicaRef, events: &[CacheEvent]) {
        let Some(index) = self.slot_index(replica) else { return };
        self.tables.update_prefixes(index, |prefixes, owners| {
            events.iter().for_each(|event| prefixes.apply(*event, index, owners));
        });
    }

    /// Selects a replica for a request.
    pub fn route(
        &mut self,
        req: &RouteRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> RouteOutcome {
        self.expire_exclusions(now);
        let model = &req.target.model;
        let best = self.tables.model(model).and_then(|table| {
            // A replica that already failed this request is better than none.
            let without_exclusions = RouteRequest { exclude: &[], ..req.clone() };
            self.best_candidate(table, req, rng)
                .or_else(|| self.best_candidate(table, &without_exclusions, rng))
        });
        if best.is_none_or(|(score, _)| score >= SATURATED_SCORE)
            && let Some(data_centre) = self.summaries.reserve(model, now)
        {
            return RouteOutcome::DataCentre(data_centre);
        }
        if let Some(selection) = best.and_then(|(_, index)| self.selection(index, req)) {
            self.demand_limiter.discard(model);
            return RouteOutcome::Replica(selection);
        }
        let demand = Demand {
            model: model.clone(),
            adapter: req.target.adapter.clone(),
            waiting: req.waiting,
            earliest_deadline: req.earliest_deadline,
            worth_milli: req.worth_milli,
        };
        RouteOutcome::NoReplica(self.demand_limiter.offer(demand, now))
    }

    /// Selects a backend server of a plain service.
    pub fn route_service(
        &mut self,
        service: &str,
        exclude: &[BackendServerId],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<ServerSelection> {
        self.expire_exclusions(now);
        let names = self.services.get(service)?;
        let usable = |name: &BackendServerId| {
            !exclude.contains(name) && self.servers.get(name).is_some_and(Server::is_usable)
        };
        let candidates = sample(names, usable, rng);
        let server = candidates.min_by_key(|name| self.servers[*name].calls_in_flight)?;
        let address = self.servers[server].address.clone();
        Some(ServerSelection { server: server.clone(), address })
    }

    /// Whether a usable replica of the model can start one more request without queueing.
    pub fn has_capacity(&self, model: &str) -> bool {
        self.tables.model(model).is_some_and(|table| table.with_capacity > 0)
    }

    /// Number of usable replicas of the model.
    pub fn usable_replicas(&self, model: &str) -> usize {
        self.tables.model(model).map_or(0, |table| table.usable.len())
    }

    /// Records that a request was sent to a replica, and that the replica now probably caches its
    /// prefixes.
    pub fn record_sent(&mut self, replica: &ReplicaRef, prefix: &[u64], now: Instant) {
        let Some(index) = self.slot_index(replica) else { return };
        self.tables.update_load(index, |load| load.record_sent(now));
        self.tables.update_prefixes(index, |prefixes, owners| {
            prefix.iter().for_each(|hash| prefixes.insert_hash(*hash, index, owners));
        });
    }

    /// Records that a request sent at `sent_at` ended, whatever its result.
    pub fn record_ended(&mut self, replica: &ReplicaRef, sent_at: Instant, now: Instant) {
        if let Some(index) = self.slot_index(replica) {
            self.tables.update_load(index, |load| load.record_ended(sent_at, now));
        }
    }

    /// Records that a call was sent to a plain service's backend server.
    pub fn record_service_sent(&mut self, server: &str) {
        self.server_entry(server).calls_in_flight += 1;
    }

    /// Records that a call to a plain service's backend server ended.
    pub fn record_service_ended(&mut self, server: &str) {
        if let Some(server) = self.servers.get_mut(server) {
            server.calls_in_flight = server.calls_in_flight.saturating_sub(1);
        }
    }

    /// Returns the held-back demands whose intervals have ended. The caller must send them.
    pub fn due_demands(&mut self, now: Instant) -> Vec<Demand> {
        self.demand_limiter.take_due(now)
    }

    /// Returns when `due_demands` must be called next.
    pub fn next_demand_at(&self) -> Option<Instant> {
        self.demand_limiter.next_due_at()
    }

    /// Returns the best replica of a bounded sample, with its score.
    fn best_candidate(
        &self,
        table: &ModelTable,
        req: &RouteRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<(u64, SlotIndex)> {
        let is_allowed = |index: &SlotIndex| {
            let slot = self.tables.slot(*index);
            slot.is_some_and(|slot| slot.is_usable() && !req.exclude.contains(&slot.replica))
        };
        // Few replicas have a given adapter, whereas a pool may have many adapters, so the replicas
        // are looked up by adapter.
        let matching: &[SlotIndex] = match &req.target.adapter {
            Some(adapter) => table.by_adapter.get(adapter).map_or(&[], Vec::as_slice),
            None => &table.usable,
        };
        let cached = req.prefix.iter().rposition(|hash| table.prefix_owners.contains_key(hash));
        let cached = cached.map(|at| (table.prefix_owners[&req.prefix[at]], at + 1));
        let affinity = cached.map(|(index, _)| index).filter(is_allowed);
        let score = |index: &SlotIndex| {
            let slot = self.tables.slot(*index)?;
            let load = u64::from(slot.load.requests()) * FULL_BATCH_SCORE
                / u64::from(slot.max_batch.max(1));
            let has_adapter = req.target.adapter.is_none() || matching.contains(index);
            let adapter_score = if has_adapter { 0 } else { ADAPTER_LOAD_SCORE };
            let blocks = cached.filter(|(owner, _)| owner == index).map_or(0, |(_, n)| n as u64);
            let bonus = PREFIX_AFFINITY_SCORE * blocks / req.prefix.len().max(1) as u64;
            Some((PREFIX_AFFINITY_SCORE + load + adapter_score - bonus, *index))
        };
        let preferred = sample(matching, is_allowed, rng).copied().chain(affinity);
        let best = preferred.filter_map(|index| score(&index)).min_by_key(|(score, _)| *score);
        // Replicas without the adapter are considered only if those with it have no free capacity.
        let is_full = |index: SlotIndex| self.tables.slot(index).is_none_or(Slot::is_full);
        let needs_fallback = matching.is_empty() || best.is_none_or(|(_, index)| is_full(index));
        let all: &[SlotIndex] = if needs_fallback { &table.usable } else { &[] };
        let fallback = sample(all, is_allowed, rng).filter_map(score);
        let (score, index) = best.into_iter().chain(fallback).min_by_key(|(score, _)| *score)?;
        Some((score.saturating_sub(PREFIX_AFFINITY_SCORE), index))
    }

    fn selection(&self, index: SlotIndex, req: &RouteRequest<'_>) -> Option<ReplicaSelection> {
        let slot = self.tables.slot(index)?;
        Some(ReplicaSelection {
            replica: slot.replica.clone(),
            server: slot.server.clone(),
            address: self.servers.get(&slot.server)?.address.clone(),
            needs_adapter_load: !slot.has_adapter(req.target),
            load: slot.load.requests(),
            max_batch: slot.max_batch,
        })
    }

    fn slot_index(&self, replica: &ReplicaRef) -> Option<SlotIndex> {
        self.groups.get(&replica.group)?.replicas.get(&replica.replica).copied()
    }

    fn server_entry(&mut self, server: &str) -> &mut Server {
        if !self.servers.contains_key(server) {
            self.servers.insert(server.into(), Server::default());
        }
        self.servers.get_mut(server).expect("inserted above")
    }

    /// Updates whether the replicas of a backend server are usable.
    fn update_usability(&mut self, server: &str) {
        let Some(server) = self.servers.get(server) else { return };
        let usable = server.is_usable();
        for (index, ready) in &server.replicas {
            self.tables.set_usable(*index, usable && *ready);
        }
    }

    /// Ends the exclusions that have expired.
    fn expire_exclusions(&mut self, now: Instant) {
        while let Some((until, server)) = self.exclusions.pop_first() {
            if until > now {
                self.exclusions.insert((until, server));
                break;
            }
            if let Some(entry) = self.servers.get_mut(&server)
                && entry.excluded_until.is_some_and(|until| until <= now)
            {
                entry.excluded_until = None;
                self.update_usability(&server);
            }
        }
    }

    /// Removes replicas and servers that are no longer published.
    fn drop_removed(
        &mut self,
        replicas: HashMap<ReplicaId, SlotIndex>,
        servers: BTreeSet<BackendServerId>,
    ) {
        replicas.into_values().for_each(|index| self.tables.remove(index));
        for name in servers {
            if let Some(server) = self.servers.get_mut(&name) {
                server.published = None;
                server.replicas.clear();
            }
        }
        self.servers.retain(|_, server| server.is_known() || server.reported_leaving.is_some());
    }
}
