//! Routing tables of one instance and the choice among replicas.

use rand::Rng;
use types::prelude::*;

use crate::demand::{Demand, Demands};
use crate::prefix::CacheEvent;
use crate::sample::sample;
use crate::selection::{ReplicaSelection, RouteOutcome, RouteRequest, ServerSelection};
use crate::servers::{Published, Server};
use crate::summaries::{DataCentreSummary, Summaries};
use crate::tables::{ModelTable, Slot, SlotIndex, Tables};

/// Score of one full batch of requests; a lower score is better.
const BATCH: u64 = 1_000;
/// Score added for an adapter that must be loaded first. A load takes 5 to 14 ms, so a quarter of
/// a batch outweighs it.
const ADAPTER_LOAD: u64 = BATCH / 4;
/// Score taken off if the whole prompt is probably cached.
const AFFINITY: u64 = BATCH / 2;
/// A replica with this score has a whole batch waiting besides the one that runs.
const SATURATED: u64 = 2 * BATCH;

/// Routing tables of one instance.
#[derive(Debug, Default)]
pub struct Router {
    groups: HashMap<GroupId, Group>,
    servers: HashMap<BackendServerId, Server>,
    services: HashMap<ServiceId, Vec<BackendServerId>>,
    /// Ends of temporary exclusions.
    exclusions: BTreeSet<(Instant, BackendServerId)>,
    tables: Tables,
    summaries: Summaries,
    demands: Demands,
}

#[derive(Debug, Default)]
struct Group {
    fencing: FencingNumber,
    sequence: u64,
    replicas: HashMap<ReplicaId, SlotIndex>,
    servers: BTreeSet<BackendServerId>,
}

impl Router {
    /// Empty tables.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a publication. Returns false if it is not newer than what is known.
    pub fn apply_group_state(&mut self, state: &GroupState, now: Instant) -> bool {
        let known = self.groups.get(&state.group).map(|g| (g.fencing, g.sequence));
        if known.is_some_and(|known| (state.fencing, state.sequence) <= known) {
            return false;
        }
        let mut group = self.groups.remove(&state.group).unwrap_or_default();
        (group.fencing, group.sequence) = (state.fencing, state.sequence);
        let mut gone = std::mem::take(&mut group.replicas);
        let mut gone_servers = std::mem::take(&mut group.servers);
        for server in &state.servers {
            gone_servers.remove(&server.server);
            group.servers.insert(server.server.clone());
            let sampled_at =
                now.checked_sub(Duration::from_millis(server.load_age_ms)).unwrap_or(now);
            let mut replicas = Vec::with_capacity(server.replicas.len());
            for replica in &server.replicas {
                let index = gone
                    .remove(&replica.replica)
                    .unwrap_or_else(|| self.tables.insert(&state.group, &server.server, replica));
                group.replicas.insert(replica.replica, index);
                self.tables.update(index, replica, sampled_at);
                replicas.push((index, replica.phase == ReplicaPhase::Ready));
            }
            let entry = self.servers.entry(server.server.clone()).or_default();
            entry.restarted_as(server.incarnation);
            entry.address.clone_from(&server.address);
            entry.published = Some(Published {
                incarnation: server.incarnation,
                leaving: server.leaving,
                reachable: server.reachable,
            });
            entry.replicas = replicas;
            self.refresh(&server.server);
        }
        self.groups.insert(state.group.clone(), group);
        self.drop_gone(gone, gone_servers);
        true
    }

    /// Drops a group that no longer exists.
    pub fn remove_group(&mut self, group: &str) {
        if let Some(group) = self.groups.remove(group) {
            self.drop_gone(group.replicas, group.servers);
        }
    }

    /// Takes the leaving flag from a backend server's own report.
    pub fn apply_server_report(&mut self, server: &str, incarnation: Incarnation, leaving: bool) {
        let entry = self.server(server);
        match leaving {
            true => entry.reported_leaving = Some(incarnation),
            // A restart that is not leaving any more has a new incarnation.
            false => entry.reported_leaving = entry.reported_leaving.filter(|i| *i == incarnation),
        }
        self.refresh(server);
    }

    /// Takes leaving flags and plain services from the platform's list. Only entries of the own
    /// data centre are to be given.
    pub fn apply_platform_list(&mut self, list: &[ListedInstance]) {
        self.services.clear();
        self.servers.values_mut().for_each(|server| server.listed = None);
        for listed in list.iter().filter(|listed| listed.role != ListedRole::Entry) {
            let entry = self.server(&listed.name);
            entry.listed = Some(listed.state);
            if entry.published.is_none() {
                entry.address.clone_from(&listed.address);
            }
            if let ListedRole::Service(service) = &listed.role {
                self.services.entry(service.clone()).or_default().push(listed.name.clone());
            }
        }
        self.servers.retain(|_, server| server.is_known());
        let names: Vec<_> = self.servers.keys().cloned().collect();
        names.iter().for_each(|server| self.refresh(server));
    }

    /// Excludes a backend server until `until`, for example while its circuit breaker is open.
    pub fn exclude_server(&mut self, server: &str, until: Instant) {
        let entry = self.server(server);
        let until = entry.excluded_until.map_or(until, |earlier| earlier.max(until));
        entry.excluded_until = Some(until);
        self.exclusions.insert((until, server.into()));
        self.refresh(server);
    }

    /// Takes a summary of another data centre.
    pub fn apply_summary(&mut self, summary: DataCentreSummary, now: Instant) {
        self.summaries.set(summary, now);
    }

    /// Takes cache events of one replica, in the order received.
    pub fn apply_cache_events(&mut self, replica: &ReplicaRef, events: &[CacheEvent]) {
        let Some(index) = self.index(replica) else { return };
        self.tables.change_prefixes(index, |prefixes, owners| {
            events.iter().for_each(|event| prefixes.event(*event, index, owners));
        });
    }

    /// Chooses a replica.
    pub fn route(
        &mut self,
        req: &RouteRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> RouteOutcome {
        self.end_exclusions(now);
        let model = &req.target.model;
        let best = self.tables.model(model).and_then(|table| {
            // A replica that failed this request is better than none.
            let second = RouteRequest { exclude: &[], ..req.clone() };
            self.best(table, req, rng).or_else(|| self.best(table, &second, rng))
        });
        if best.is_none_or(|(score, _)| score >= SATURATED)
            && let Some(data_centre) = self.summaries.take(model, now)
        {
            return RouteOutcome::DataCentre(data_centre);
        }
        if let Some(choice) = best.and_then(|(_, index)| self.choice(index, req)) {
            self.demands.satisfied(model);
            return RouteOutcome::Replica(choice);
        }
        let demand = Demand {
            model: model.clone(),
            adapter: req.target.adapter.clone(),
            waiting: req.waiting,
            earliest_deadline: req.earliest_deadline,
            worth_milli: req.worth_milli,
        };
        RouteOutcome::NoReplica(self.demands.offer(demand, now))
    }

    /// Chooses a backend server of a plain service.
    pub fn route_service(
        &mut self,
        service: &str,
        exclude: &[BackendServerId],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<ServerSelection> {
        self.end_exclusions(now);
        let names = self.services.get(service)?;
        let usable = |name: &BackendServerId| {
            !exclude.contains(name) && self.servers.get(name).is_some_and(Server::is_usable)
        };
        let candidates = sample(names, usable, rng);
        let server = candidates.min_by_key(|name| self.servers[*name].calls)?;
        let address = self.servers[server].address.clone();
        Some(ServerSelection { server: server.clone(), address })
    }

    /// Whether a usable replica of the model can start one more request without queueing.
    pub fn has_capacity(&self, model: &str) -> bool {
        self.tables.model(model).is_some_and(|table| table.with_room > 0)
    }

    /// Usable replicas of the model.
    pub fn usable_replicas(&self, model: &str) -> usize {
        self.tables.model(model).map_or(0, |table| table.usable.len())
    }

    /// Counts a request as sent to a replica and remembers its prefixes there.
    pub fn record_sent(&mut self, replica: &ReplicaRef, prefix: &[u64], now: Instant) {
        let Some(index) = self.index(replica) else { return };
        self.tables.change_load(index, |load| load.sent(now));
        self.tables.change_prefixes(index, |prefixes, owners| {
            prefix.iter().for_each(|hash| prefixes.learn(*hash, index, owners));
        });
    }

    /// Counts a request sent at `sent_at` as ended, in whichever way.
    pub fn record_ended(&mut self, replica: &ReplicaRef, sent_at: Instant, now: Instant) {
        if let Some(index) = self.index(replica) {
            self.tables.change_load(index, |load| load.ended(sent_at, now));
        }
    }

    /// Counts a call as sent to a plain service's backend server.
    pub fn record_service_sent(&mut self, server: &str) {
        self.server(server).calls += 1;
    }

    /// Counts such a call as ended.
    pub fn record_service_ended(&mut self, server: &str) {
        if let Some(server) = self.servers.get_mut(server) {
            server.calls = server.calls.saturating_sub(1);
        }
    }

    /// Demands held back by the interval that are due now.
    pub fn due_demands(&mut self, now: Instant) -> Vec<Demand> {
        self.demands.due(now)
    }

    /// When `due_demands` is to be called next.
    pub fn next_demand_at(&self) -> Option<Instant> {
        self.demands.next_at()
    }

    /// The best of a bounded sample, with its score.
    fn best(
        &self,
        table: &ModelTable,
        req: &RouteRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<(u64, SlotIndex)> {
        let allowed = |index: &SlotIndex| {
            let slot = self.tables.slot(*index);
            slot.is_some_and(|slot| slot.is_usable() && !req.exclude.contains(&slot.replica))
        };
        // Few replicas hold the same adapter, whereas a pool may hold many adapters.
        let holders: &[SlotIndex] = match &req.target.adapter {
            Some(adapter) => table.holders.get(adapter).map_or(&[], Vec::as_slice),
            None => &table.usable,
        };
        let cached = req.prefix.iter().rposition(|hash| table.prefix_owners.contains_key(hash));
        let cached = cached.map(|at| (table.prefix_owners[&req.prefix[at]], at + 1));
        let affinity = cached.map(|(index, _)| index).filter(allowed);
        let score = |index: &SlotIndex| {
            let slot = self.tables.slot(*index)?;
            let load = u64::from(slot.load.requests()) * BATCH / u64::from(slot.max_batch.max(1));
            let ready = req.target.adapter.is_none() || holders.contains(index);
            let adapter = if ready { 0 } else { ADAPTER_LOAD };
            let blocks = cached.filter(|(owner, _)| owner == index).map_or(0, |(_, n)| n as u64);
            let bonus = AFFINITY * blocks / req.prefix.len().max(1) as u64;
            Some((AFFINITY + load + adapter - bonus, *index))
        };
        let preferred = sample(holders, allowed, rng).copied().chain(affinity);
        let best = preferred.filter_map(|index| score(&index)).min_by_key(|(score, _)| *score);
        // Replicas without the adapter come into play only if those with it have no room.
        let is_full = |index: SlotIndex| self.tables.slot(index).is_none_or(Slot::is_full);
        let no_room = holders.is_empty() || best.is_none_or(|(_, index)| is_full(index));
        let all: &[SlotIndex] = if no_room { &table.usable } else { &[] };
        let others = sample(all, allowed, rng).filter_map(score);
        let (score, index) = best.into_iter().chain(others).min_by_key(|(score, _)| *score)?;
        Some((score.saturating_sub(AFFINITY), index))
    }

    fn choice(&self, index: SlotIndex, req: &RouteRequest<'_>) -> Option<ReplicaSelection> {
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

    fn index(&self, replica: &ReplicaRef) -> Option<SlotIndex> {
        self.groups.get(&replica.group)?.replicas.get(&replica.replica).copied()
    }

    fn server(&mut self, server: &str) -> &mut Server {
        if !self.servers.contains_key(server) {
            self.servers.insert(server.into(), Server::default());
        }
        self.servers.get_mut(server).expect("inserted above")
    }

    /// Makes the replicas of a backend server usable or not, as its sources now say.
    fn refresh(&mut self, server: &str) {
        let Some(server) = self.servers.get(server) else { return };
        let usable = server.is_usable();
        for (index, ready) in &server.replicas {
            self.tables.set_usable(*index, usable && *ready);
        }
    }

    fn end_exclusions(&mut self, now: Instant) {
        while let Some((until, server)) = self.exclusions.pop_first() {
            if until > now {
                self.exclusions.insert((until, server));
                break;
            }
            if let Some(entry) = self.servers.get_mut(&server)
                && entry.excluded_until.is_some_and(|until| until <= now)
            {
                entry.excluded_until = None;
                self.refresh(&server);
            }
        }
    }

    fn drop_gone(
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
