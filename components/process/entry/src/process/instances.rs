//! The other instances, as their messages show them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model_homes::{HeldLease, InstanceName};
use routes::{AdapterName, ModelName, ServiceName};
use serde::{Deserialize, Serialize};
use server_directory::ServerId;

use super::ModelKey;

/// Silence after which an instance's requests no longer count as in flight.
const IN_FLIGHT_EXPIRY: Duration = Duration::from_millis(1_500);

/// Silence after which an instance has no share of the limits on repeats. Twice the window of the
/// limits, so that a share is not used by two instances within one window.
const RETRY_SHARE_EXPIRY: Duration = Duration::from_secs(20);

/// A message between instances, one datagram each. A lost one is made up for by the next.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// What an instance does; to the order giver.
    Status(Status),
    /// What the order giver knows; to all others.
    #[serde(rename = "Homes")]
    LeaderUpdate(LeaderUpdate),
    /// The order giver released its lease; to the instance that should claim it.
    Released,
}

/// What an instance does.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Status {
    pub(crate) from: InstanceName,
    /// Drawn at each start, so that counts of a former run are not compared.
    #[serde(rename = "run")]
    pub(crate) incarnation: u64,
    pub(crate) is_leaving: bool,
    /// Its machine is too small for the orders if there are larger ones.
    pub(crate) is_small: bool,
    /// Seconds since its start.
    pub(crate) up_for_s: u32,
    /// Requests in flight by server and model.
    pub(crate) in_flight: Vec<(ServerId, Vec<(ModelName, u32)>)>,
    /// Arrivals since the start, of the models that were asked for lately.
    pub(crate) arrivals: Vec<(ModelKey, u64)>,
    /// Servers that the instance could not reach lately.
    pub(crate) unreachable: Vec<ServerId>,
    /// Servers that turned away a request for a model that they should have.
    #[serde(rename = "mistaken")]
    pub(crate) stale_holdings: Vec<ServerId>,
    /// Models that requests wait for: service, model, requests.
    #[serde(rename = "wants")]
    pub(crate) waiting: Vec<(ServiceName, ModelKey, u32)>,
}

/// What a server holds, as far as requests depend on it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct ServerHoldings {
    pub(crate) server: ServerId,
    pub(crate) born: u64,
    pub(crate) models: Vec<(ModelName, Vec<AdapterName>)>,
    pub(crate) loading: Option<ModelName>,
}

/// How far the order giver follows a kind of objects in the store. While its word is fresh, the
/// others call the store only if their own mark differs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct SyncedRevision {
    /// Changes with every change that the others must know of.
    #[serde(rename = "mark")]
    pub(crate) revision: u64,
    /// Milliseconds since the store last confirmed it.
    pub(crate) age_ms: u32,
}

/// What the order giver knows; to all others.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct LeaderUpdate {
    pub(crate) from: InstanceName,
    pub(crate) lease: HeldLease,
    /// Instances that were heard lately, the sender included.
    pub(crate) instances: u32,
    pub(crate) registry: SyncedRevision,
    pub(crate) configuration: SyncedRevision,
    /// Some servers: those that changed, and the others in turn.
    #[serde(rename = "held")]
    pub(crate) holdings: Vec<ServerHoldings>,
    /// Loads from the weight store that should run at once, as learned.
    #[serde(rename = "store_at_once")]
    pub(crate) store_concurrent_loads: u8,
    /// Requests in flight from all instances, of all servers that have any. Left out of messages
    /// that only tell of a change.
    pub(crate) in_flight: Option<Vec<(ServerId, u32)>>,
    /// Milliseconds until models that are waited for should be loaded; all of them.
    pub(crate) ready_in: Vec<(ModelName, u32)>,
}

/// Another instance.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) address: SocketAddr,
    pub(crate) last_seen_at: Option<Instant>,
    pub(crate) status: Option<Status>,
    /// Arrivals that were already taken into the demand.
    pub(crate) counted_arrivals: HashMap<ModelKey, u64>,
}

/// All other instances.
#[derive(Debug, Default)]
pub(crate) struct Instances {
    by_name: HashMap<InstanceName, Instance>,
    /// Instances that the order giver heard lately.
    leader_instance_count: usize,
    /// Loads from the weight store that should run at once, as an order giver learned it.
    leader_store_concurrency: Option<usize>,
    /// Requests in flight from other instances, by server, as the order giver told last.
    in_flight_elsewhere: HashMap<ServerId, u32>,
    /// What the order giver said of the registry and the configuration, and when.
    leader_revisions: Option<(SyncedRevision, SyncedRevision, Instant)>,
}

impl Instances {
    /// Adds an instance or changes its address.
    pub(crate) fn put(&mut self, name: &str, address: SocketAddr) -> bool {
        let is_new = self.by_name.get(name).is_none_or(|known| known.address != address);
        if is_new {
            let instance = Instance {
                address,
                last_seen_at: None,
                status: None,
                counted_arrivals: HashMap::new(),
            };
            self.by_name.insert(name.into(), instance);
        }
        is_new
    }

    /// Takes a status message.
    pub(crate) fn record_status(&mut self, status: Status, address: SocketAddr, now: Instant) {
        let is_new_run = self
            .by_name
            .get(&status.from)
            .and_then(|known| known.status.as_ref())
            .is_some_and(|known| known.incarnation != status.incarnation);
        if is_new_run {
            self.by_name.remove(&status.from);
        }
        self.put(&status.from, address);
        if let Some(instance) = self.by_name.get_mut(&status.from) {
            instance.last_seen_at = Some(now);
            instance.status = Some(status);
        }
    }

    /// Addresses of all other instances.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.by_name.values().map(|instance| instance.address).collect()
    }

    /// Address of one instance.
    pub(crate) fn address(&self, name: &str) -> Option<SocketAddr> {
        Some(self.by_name.get(name)?.address)
    }

    /// Instances that share the limits on repeats, this one included.
    pub(crate) fn count(&self) -> usize {
        let now = Instant::now();
        let shares = |instance: &Instance| {
            instance
                .last_seen_at
                .is_some_and(|at| now.saturating_duration_since(at) < RETRY_SHARE_EXPIRY)
        };
        let heard = 1 + self.by_name.values().filter(|instance| shares(instance)).count();
        // Before the order giver was heard, every registered instance counts.
        let told = if self.leader_instance_count == 0 {
            1 + self.by_name.len()
        } else {
            self.leader_instance_count
        };
        heard.max(told)
    }

    /// Takes what the order giver said; `own` is what this instance has in flight by server.
    pub(crate) fn apply_leader_update(
        &mut self,
        update: &LeaderUpdate,
        own: impl Fn(&str) -> u32,
        now: Instant,
    ) {
        self.leader_instance_count = update.instances as usize;
        self.leader_store_concurrency = Some(usize::from(update.store_concurrent_loads));
        self.leader_revisions = Some((update.registry, update.configuration, now));
        if let Some(in_flight) = &update.in_flight {
            let others =
                |(id, total): &(ServerId, u32)| (id.clone(), total.saturating_sub(own(id)));
            self.in_flight_elsewhere = in_flight.iter().map(others).collect();
        }
    }

    /// Loads from the weight store that should run at once, as the last order giver learned it.
    pub(crate) fn leader_store_concurrency(&self) -> Option<usize> {
        self.leader_store_concurrency.filter(|limit| *limit > 0)
    }

    /// What the order giver said of the registry and the configuration, and when the store
    /// confirmed it, if that was at most `limit` ago.
    pub(crate) fn fresh_leader_revisions(
        &self,
        now: Instant,
        limit: Duration,
    ) -> Option<((u64, u64), Instant)> {
        let (registry, configuration, received_at) = self.leader_revisions?;
        let age = Duration::from_millis(u64::from(registry.age_ms.max(configuration.age_ms)));
        let confirmed_at = received_at.checked_sub(age)?;
        let is_fresh = now.saturating_duration_since(confirmed_at) < limit;
        is_fresh.then_some(((registry.revision, configuration.revision), confirmed_at))
    }

    /// Instances heard lately, with their newest status.
    pub(crate) fn live(&self, now: Instant) -> impl Iterator<Item = &Status> {
        self.by_name.values().filter_map(move |instance| {
            let last_seen_at = instance.last_seen_at?;
            let is_live = now.saturating_duration_since(last_seen_at) < IN_FLIGHT_EXPIRY;
            instance.status.as_ref().filter(|_| is_live)
        })
    }

    /// Instance that should give the orders after this one, which stops. When instances are stopped
    /// in turn, the one that started last has been stopped already.
    pub(crate) fn successor(&self, now: Instant) -> Option<&InstanceName> {
        let candidates = self.live(now).filter(|status| !status.is_leaving);
        let rank = |status: &&Status| (status.is_small, status.up_for_s);
        candidates.min_by_key(rank).map(|status| &status.from)
    }

    /// Requests in flight from the other instances at a server, as far as known.
    pub(crate) fn in_flight_at(&self, server: &str) -> u32 {
        self.in_flight_elsewhere.get(server).copied().unwrap_or(0)
    }

    /// Replaces what is in flight from other instances, at the order giver itself.
    pub(crate) fn set_in_flight(&mut self, others: HashMap<ServerId, u32>) {
        self.in_flight_elsewhere = others;
    }

    /// Servers that at least two instances could not reach lately. One alone may itself be cut off.
    pub(crate) fn unreachable(&self, now: Instant) -> HashSet<&str> {
        let mut seen = HashSet::new();
        let servers = self.live(now).flat_map(|status| &status.unreachable);
        servers.filter(|server| !seen.insert(&***server)).map(|server| &**server).collect()
    }

    /// Servers whose holdings are in doubt, each once.
    pub(crate) fn take_stale_holdings(&mut self) -> HashSet<ServerId> {
        let statuses = self.by_name.values_mut().filter_map(|instance| instance.status.as_mut());
        statuses.flat_map(|status| std::mem::take(&mut status.stale_holdings)).collect()
    }

    /// Addresses of the instances that wait for one of `models`.
    pub(crate) fn addresses_waiting_for(
        &self,
        models: &HashSet<ModelName>,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let names: Vec<&InstanceName> = self
            .live(now)
            .filter(|status| status.waiting.iter().any(|(_, key, _)| models.contains(&key.model)))
            .map(|status| &status.from)
            .collect();
        names.into_iter().filter_map(|name| self.address(name)).collect()
    }

    /// Arrivals at other instances that were not counted before.
    pub(crate) fn take_new_arrivals(&mut self) -> Vec<(ModelKey, u64)> {
        let mut new = Vec::new();
        for instance in self.by_name.values_mut() {
            let Some(status) = &instance.status else { continue };
            for (key, total) in &status.arrivals {
                let counted = instance.counted_arrivals.entry(key.clone()).or_default();
                if total > counted {
                    new.push((key.clone(), total - *counted));
                    *counted = *total;
                }
            }
        }
        new
    }
}
