//! What is known of the backend servers, and how it ages.
//!
//! Two sources tell of a server: the registry, which lags, and the instance that gives the orders,
//! which sees their outcome first. A server's own count of accepted orders tells which is newer.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use routes::{AdapterName, ModelName, ServiceName};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Id of a backend server; a restarted server may have its former id.
pub type ServerId = Box<str>;
/// Revision of the registry at which an entry was written.
pub type Revision = u64;

/// How long an entry is kept that lapsed while the registry was out of order. The platform's
/// pages give live servers about two seconds to register again, and senders two seconds to stop.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1_700);

/// What a server says that it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Holdings {
    /// Unix milliseconds of the server's start; tells runs under one id apart.
    pub born: u64,
    /// Orders accepted since the start.
    pub sequence: u64,
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

    fn age_rank(&self) -> (u64, u64) {
        (self.born, self.sequence)
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
    /// Time left until it is gone, if it is taken away at short notice.
    pub leaves_in: Option<Duration>,
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
    /// Deadline after which a lapsed entry is dropped.
    pub lapses_at: Option<Instant>,
    /// The holdings came from the instance that gives the orders.
    is_observed: bool,
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
    pub fn put(&mut self, mut entry: Entry, revision: Revision) -> bool {
        let mut is_observed = false;
        if let Some(known) = self.servers.get(&entry.id) {
            let held = &known.entry.holdings;
            if entry.holdings.born < held.born || revision < known.revision {
                return false;
            }
            let finishes_load = entry.holdings.age_rank() == held.age_rank()
                && held.loading.as_ref().is_some_and(|m| entry.holdings.models.contains_key(m));
            let is_newer = entry.holdings.age_rank() > held.age_rank();
            if known.is_observed && !is_newer && !finishes_load {
                entry.holdings = held.clone();
                is_observed = true;
            }
        }
        let server = Server { revision, lapses_at: None, is_observed, entry };
        self.servers.insert(server.entry.id.clone(), server);
        true
    }

    /// Takes what the instance that gives the orders saw of a server.
    pub fn observe(&mut self, id: &str, holdings: Holdings) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        if holdings.age_rank() < server.entry.holdings.age_rank() {
            return false;
        }
        server.is_observed = true;
        if server.entry.holdings == holdings {
            return false;
        }
        server.entry.holdings = holdings;
        true
    }

    /// Changes what is held, at the instance that gives the orders.
    pub fn update(&mut self, id: &str, change: impl FnOnce(&mut Holdings)) -> Option<&Holdings> {
        let server = self.servers.get_mut(id)?;
        change(&mut server.entry.holdings);
        server.is_observed = true;
        Some(&server.entry.holdings)
    }

    /// The registry no longer has the entry. After trouble with the registry a live server may
    /// have lapsed; it then keeps serving until `now` plus the grace, unless it was leaving.
    pub fn remove(&mut self, id: &str, now: Instant, after_trouble: bool) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if after_trouble && !server.entry.is_draining {
            server.lapses_at.get_or_insert(now + LAPSE_GRACE);
        } else {
            self.servers.remove(id);
        }
    }

    /// Replaces the list: entries that are not in `listed` are removed.
    pub fn retain_listed(&mut self, listed: &BTreeSet<ServerId>, now: Instant, trouble: bool) {
        let missing: Vec<ServerId> =
            self.servers.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            self.remove(&id, now, trouble);
        }
    }

    /// Drops the entries whose grace has passed and returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerId> {
        let is_over = |server: &Server| server.lapses_at.is_some_and(|at| at <= now);
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
