//! What is known of the backend servers, and how it ages.
//!
//! Two sources tell of a server: the registry, which lags, and the instance that gives the orders,
//! which sees their outcome first. While that instance is heard, its word goes first.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use routes::{AdapterName, ModelName, ServiceName};
use serde::{Deserialize, Serialize};

mod outage_detector;
#[cfg(test)]
mod tests;

pub use outage_detector::{OUTAGE_GRACE, OutageDetector};

/// Id of a backend server; a restarted server may have its former id.
pub type ServerId = Box<str>;
/// Revision of the registry at which an entry was written.
pub type Revision = u64;

/// How long an observation goes before the registry. Longer than the registry lags behind, and
/// longer than the giver of orders takes to tell of every server again.
pub const OBSERVATION_TTL: Duration = Duration::from_secs(6);

/// What a server says that it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Holdings {
    /// Unix milliseconds of the server's start; tells runs under one id apart.
    pub born: u64,
    /// Loaded models and their loaded adapters.
    pub models: BTreeMap<ModelName, BTreeSet<AdapterName>>,
    /// Models whose weights are in the server's memory.
    pub in_memory: BTreeSet<ModelName>,
    /// Models whose weights are on the server's disk.
    pub on_disk: BTreeSet<ModelName>,
    /// Model that is being loaded.
    pub loading: Option<ModelName>,
}

impl Holdings {
    /// Whether a request for the model, and the adapter if one is named, can run.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        let Some(adapters) = self.models.get(model) else { return false };
        adapter.is_none_or(|adapter| adapters.contains(adapter))
    }

    /// Loaded adapters of all models.
    pub fn adapter_count(&self) -> usize {
        self.models.values().map(BTreeSet::len).sum()
    }

    /// Names of the loaded models.
    pub fn model_names(&self) -> impl Iterator<Item = &ModelName> {
        self.models.keys()
    }
}

/// A registry entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Id of the server.
    pub id: ServerId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It takes no new requests.
    pub is_draining: bool,
    /// What it holds.
    pub holdings: Holdings,
}

/// A server as this instance knows it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Newest registry entry; its `holdings` are the newest from either source.
    pub entry: Entry,
    /// Revision of the entry.
    pub revision: Revision,
    /// Revision at which the server appeared, or appeared again after its entry was removed. What
    /// was known of it before is lost then, although its run may be the same.
    pub first_revision: Revision,
    /// Deadline after which a lapsed entry is dropped.
    pub grace_ends_at: Option<Instant>,
    /// When the instance that gives the orders last told what the server holds.
    observed_at: Option<Instant>,
}

/// All known servers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: HashMap<ServerId, Server>,
}

impl Directory {
    /// All servers by id.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// One server.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Whether new requests may be sent to the server now.
    pub fn is_usable(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(|server| !server.entry.is_draining)
    }

    /// Takes a registry entry. Returns false if a newer run of the server is known.
    pub fn upsert(&mut self, mut entry: Entry, revision: Revision, now: Instant) -> bool {
        let mut observed_at = None;
        let mut first_revision = revision;
        if let Some(known) = self.servers.get(&entry.id) {
            let held = &known.entry.holdings;
            if entry.holdings.born < held.born || revision < known.revision {
                return false;
            }
            first_revision = known.first_revision;
            let is_same_run = entry.holdings.born == held.born;
            let is_recent = known
                .observed_at
                .is_some_and(|at| now.saturating_duration_since(at) < OBSERVATION_TTL);
            if is_same_run && is_recent {
                let mut holdings = held.clone();
                // The registry lags, but what it shows as loaded is loaded.
                if let Some(model) = &held.loading
                    && let Some(adapters) = entry.holdings.models.get(model)
                {
                    holdings.models.insert(model.clone(), adapters.clone());
                    holdings.loading = None;
                }
                entry.holdings = holdings;
                observed_at = known.observed_at;
            }
        }
        let server = Server { revision, first_revision, grace_ends_at: None, observed_at, entry };
        self.servers.insert(server.entry.id.clone(), server);
        true
    }

    /// Takes what the instance that gives the orders saw of the run that began at `born`.
    pub fn observe(
        &mut self,
        id: &str,
        born: u64,
        now: Instant,
        change: impl FnOnce(&mut Holdings),
    ) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        if born != server.entry.holdings.born {
            return false;
        }
        server.observed_at = Some(now);
        change(&mut server.entry.holdings);
        true
    }

    /// The registry no longer has the entry. If the entry may have lapsed, the server is used until
    /// `grace_deadline`, unless it was leaving; see [`OutageDetector`].
    pub fn remove(&mut self, id: &str, grace_deadline: Option<Instant>) {
        let Some(server) = self.servers.get_mut(id) else { return };
        match grace_deadline {
            Some(until) if !server.entry.is_draining => {
                server.grace_ends_at.get_or_insert(until);
            }
            _ => {
                self.servers.remove(id);
            }
        }
    }

    /// Replaces the list: entries that are not in `listed` are removed.
    pub fn retain_listed(&mut self, listed: &BTreeSet<ServerId>, grace_deadline: Option<Instant>) {
        let missing: Vec<ServerId> =
            self.servers.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            self.remove(&id, grace_deadline);
        }
    }

    /// Drops the entries whose grace has passed and returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerId> {
        let is_over = |server: &Server| server.grace_ends_at.is_some_and(|at| at <= now);
        let ids: Vec<ServerId> =
            self.servers.values().filter(|s| is_over(s)).map(|s| s.entry.id.clone()).collect();
        for id in &ids {
            self.servers.remove(id);
        }
        ids
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
