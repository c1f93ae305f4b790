//! Directory of the backend servers and what they hold.
//!
//! There are two sources of information about a server: the registry, which lags, and the leader,
//! which learns the outcome of its orders first. Recent observations of the leader take precedence.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use routes::{AdapterName, ModelName, ServiceName};
use serde::{Deserialize, Serialize};

mod change_log;
mod outage_detector;

#[cfg(test)]
mod change_log_tests;
#[cfg(test)]
mod tests;

pub use change_log::{ChangeLog, RecentChanges, RegistryChange};
pub use outage_detector::{OUTAGE_GRACE, OutageDetector, SteadyTime};

/// Id of a backend server. A restarted server may reuse its former id.
pub type ServerId = Box<str>;
/// Revision of the registry at which an entry was written.
pub type Revision = u64;

/// How long an observation takes precedence over the registry. Longer than the lag of the registry,
/// and longer than the leader takes to publish the holdings of every server again.
pub const OBSERVATION_TTL: Duration = Duration::from_secs(6);

/// What a server holds according to its own report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Holdings {
    /// Start time of the server in Unix milliseconds, which distinguishes runs with the same id.
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
    /// Whether a request for the model, and for the adapter if one is given, can run.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        let Some(adapters) = self.models.get(model) else { return false };
        adapter.is_none_or(|adapter| adapters.contains(adapter))
    }

    /// Number of loaded adapters over all models.
    pub fn adapter_count(&self) -> usize {
        self.models.values().map(BTreeSet::len).sum()
    }

    /// Names of the loaded models.
    pub fn model_names(&self) -> impl Iterator<Item = &ModelName> {
        self.models.keys()
    }
}

/// A registry entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// Id of the server.
    pub id: ServerId,
    /// Service to which the server belongs.
    pub service: ServiceName,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Data centre in which the server runs.
    pub data_centre: Box<str>,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts no new requests.
    pub is_draining: bool,
    /// Models, adapters and cached copies on the server.
    pub holdings: Holdings,
}

impl Entry {
    /// The entry without the cached copies of weights, which matter to the leader only. It asks each
    /// server for them.
    pub fn without_cached_copies(&self) -> Self {
        let mut entry = self.clone();
        entry.holdings.in_memory.clear();
        entry.holdings.on_disk.clear();
        entry
    }
}

/// A server as known to this instance.
#[derive(Clone, Debug)]
pub struct Server {
    /// Newest registry entry, with the newest `holdings` from either source.
    pub entry: Entry,
    /// Revision of the entry.
    pub revision: Revision,
    /// Revision at which the server was first registered, or registered again after its entry was
    /// removed. Earlier information about it is then discarded, although its run may be the same.
    pub first_revision: Revision,
    /// When the server is dropped, if its entry may have expired in a registry outage.
    pub grace_ends_at: Option<Instant>,
    /// Time of the last observation of the leader.
    observed_at: Option<Instant>,
    /// Models for which the server refused requests since its holdings were last observed. They get
    /// no requests there; `holdings` does not change, because a refusal does not free memory.
    refused: BTreeSet<ModelName>,
}

impl Server {
    /// Whether a request for the model, and for the adapter if one is given, may be sent here.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        self.entry.holdings.serves(model, adapter) && !self.refused.contains(model)
    }
}

/// Most servers that are remembered as leaving.
const MAX_LEAVING: usize = 512;

/// A run of a server that said that it is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingRun {
    born: u64,
    known_since: Instant,
}

/// All known servers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: HashMap<ServerId, Server>,
    /// At most [`MAX_LEAVING`]. Outlasts the entry, which an old list may bring back, and ends with
    /// a later run.
    leaving: HashMap<ServerId, LeavingRun>,
}

impl Directory {
    /// All servers, in arbitrary order.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// The server with this id.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Whether the server is known and accepts new requests.
    pub fn is_usable(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(|server| !server.entry.is_draining)
    }

    /// Records that the run of a server that started at `born` said that it is leaving. Returns
    /// whether that was not known.
    pub fn record_leaving(&mut self, id: &str, born: u64, now: Instant) -> bool {
        if self.leaving.get(id).is_some_and(|run| run.born >= born) {
            return false;
        }
        if self.leaving.len() >= MAX_LEAVING {
            let oldest = self.leaving.iter().min_by_key(|(_, run)| run.known_since);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.leaving.remove(&oldest);
            }
        }
        self.leaving.insert(id.into(), LeavingRun { born, known_since: now });
        match self.servers.get_mut(id) {
            Some(server) if server.entry.holdings.born <= born => {
                !std::mem::replace(&mut server.entry.is_draining, true)
            }
            _ => false,
        }
    }

    /// Servers that said less than `max_age` ago that they are leaving, and the start of their runs.
    pub fn recently_leaving(
        &self,
        now: Instant,
        max_age: Duration,
    ) -> impl Iterator<Item = (&ServerId, u64)> {
        let is_recent =
            move |run: &LeavingRun| now.saturating_duration_since(run.known_since) < max_age;
        self.leaving.iter().filter(move |(_, run)| is_recent(run)).map(|(id, run)| (id, run.born))
    }

    /// Applies a registry entry. Returns false if a newer run or a newer revision of the server is
    /// known.
    pub fn upsert(&mut self, mut entry: Entry, revision: Revision, now: Instant) -> bool {
        let mut observed_at = None;
        let mut refused = BTreeSet::new();
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
                // The registry lags, but a model that it lists as loaded is loaded.
                if let Some(model) = &held.loading
                    && let Some(adapters) = entry.holdings.models.get(model)
                {
                    holdings.models.insert(model.clone(), adapters.clone());
                    holdings.loading = None;
                }
                entry.holdings = holdings;
                observed_at = known.observed_at;
                refused.clone_from(&known.refused);
            }
        }
        match self.leaving.get(&entry.id) {
            Some(run) if run.born >= entry.holdings.born => entry.is_draining = true,
            Some(_) => {
                self.leaving.remove(&entry.id);
            }
            None => {}
        }
        let grace_ends_at = None;
        let server =
            Server { revision, first_revision, grace_ends_at, observed_at, refused, entry };
        self.servers.insert(server.entry.id.clone(), server);
        true
    }

    /// Applies a change that the leader observed at the run that started at `born`. Returns false
    /// if that is not the known run.
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
        server.refused.clear();
        change(&mut server.entry.holdings);
        true
    }

    /// Records that a server refused a request for a model that it should hold. It gets no requests
    /// for the model until the leader observes its holdings again.
    pub fn record_refused_model(&mut self, id: &str, model: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.refused.insert(model.into());
        }
    }

    /// Handles an entry that is no longer in the registry. If it may have expired during an outage,
    /// the server is used until `grace_deadline`, unless it was draining; see [`OutageDetector`].
    pub fn remove(&mut self, id: &str, grace_deadline: Option<Instant>) {
        let Some(server) = self.servers.get_mut(id) else { return };
        match grace_deadline {
            Some(deadline) if !server.entry.is_draining => {
                server.grace_ends_at.get_or_insert(deadline);
            }
            _ => {
                self.servers.remove(id);
            }
        }
    }

    /// Removes all servers that are not in `listed`; see [`Directory::remove`].
    pub fn retain_listed(&mut self, listed: &BTreeSet<ServerId>, grace_deadline: Option<Instant>) {
        let missing: Vec<ServerId> =
            self.servers.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            self.remove(&id, grace_deadline);
        }
    }

    /// Ends all grace periods at `now`, because there was no outage.
    pub fn end_grace_periods(&mut self, now: Instant) {
        let deadlines = self.servers.values_mut().filter_map(|s| s.grace_ends_at.as_mut());
        deadlines.for_each(|deadline| *deadline = now.min(*deadline));
    }

    /// Drops the servers whose grace period has ended and returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerId> {
        let has_expired = |server: &Server| server.grace_ends_at.is_some_and(|at| at <= now);
        let ids: Vec<ServerId> =
            self.servers.values().filter(|s| has_expired(s)).map(|s| s.entry.id.clone()).collect();
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
