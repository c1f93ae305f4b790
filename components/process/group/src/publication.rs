//! Publication of group states: the whole state when it changes in substance, otherwise the loads
//! that changed noticeably.
//!
//! A state of 22 replicas takes about 1.2 KB and goes to every instance of the data centre. Loads
//! change with every report, everything else some tens of times an hour.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Changes of a replica's load below this many requests are not published...
const NOTICEABLE_REQUESTS: u32 = 2;
/// ...nor those below this part of the published load.
const NOTICEABLE_PART: u32 = 4;

/// Loads that changed since a whole state was published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupLoads {
    /// The group.
    pub group: GroupId,
    /// The owner's fencing number.
    pub fencing: FencingNumber,
    /// Sequence number of the whole state that the positions refer to.
    pub base: u64,
    /// Sequence number of the state that results.
    pub sequence: u64,
    /// What the group has in progress at the weight store.
    pub store: StoreUse,
    /// Servers with changed loads.
    pub servers: Vec<ServerLoads>,
}

/// Changed loads of one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerLoads {
    /// Position of the server in the whole state.
    pub server: u16,
    /// Age of the load figures in milliseconds at the time of publication.
    pub load_age_ms: u64,
    /// Position of the replica, requests running and requests queued.
    pub replicas: Vec<(u16, u32, u32)>,
}

/// What an owner publishes.
#[derive(Clone, Debug)]
pub enum Publication {
    /// The whole state.
    Whole(Arc<GroupState>),
    /// Loads only.
    Loads(Arc<GroupLoads>),
}

/// The owner's side for one group.
#[derive(Debug, Default)]
pub struct Publisher {
    /// The last whole state.
    base: Option<Arc<GroupState>>,
    /// The loads as the receivers know them, in the order of `base`.
    known: Vec<Vec<(u32, u32)>>,
    /// The use of the weight store as the receivers know it; `None` if it is to be repeated.
    known_store: Option<StoreUse>,
}

impl Publisher {
    /// What to send for a new state; `None` if nothing changed noticeably.
    pub fn publish(&mut self, state: GroupState) -> Option<Publication> {
        let is_same = self.base.as_ref().is_some_and(|base| differs_in_load_only(base, &state));
        if !is_same {
            return Some(self.whole(state));
        }
        let base = self.base.as_ref()?;
        let mut servers = Vec::new();
        for (position, (server, known)) in state.servers.iter().zip(&mut self.known).enumerate() {
            let mut replicas = Vec::new();
            for (index, (replica, known)) in server.replicas.iter().zip(known).enumerate() {
                if is_noticeable(*known, (replica.running, replica.queued)) {
                    *known = (replica.running, replica.queued);
                    replicas.push((index as u16, replica.running, replica.queued));
                }
            }
            if !replicas.is_empty() {
                let (server, load_age_ms) = (position as u16, server.load_age_ms);
                servers.push(ServerLoads { server, load_age_ms, replicas });
            }
        }
        let repeats_store = self.known_store.replace(state.store) != Some(state.store);
        (!servers.is_empty() || repeats_store).then(|| {
            Publication::Loads(Arc::new(GroupLoads {
                group: state.group,
                fencing: state.fencing,
                base: base.sequence,
                sequence: state.sequence,
                store: state.store,
                servers,
            }))
        })
    }

    /// Makes the next publication carry the use of the weight store, changed or not.
    pub fn repeat_store(&mut self) {
        self.known_store = None;
    }

    /// The last whole state.
    pub fn last(&self) -> Option<&Arc<GroupState>> {
        self.base.as_ref()
    }

    /// The whole state, for instances that missed it.
    pub fn whole(&mut self, state: GroupState) -> Publication {
        let loads = |server: &ServerState| {
            server.replicas.iter().map(|replica| (replica.running, replica.queued)).collect()
        };
        self.known = state.servers.iter().map(loads).collect();
        self.known_store = Some(state.store);
        let state = Arc::new(state);
        self.base = Some(Arc::clone(&state));
        Publication::Whole(state)
    }
}

/// The receivers' side for all groups.
#[derive(Debug, Default)]
pub struct Received {
    groups: HashMap<GroupId, GroupState>,
    /// Sequence number of the last whole state by group.
    bases: HashMap<GroupId, u64>,
}

impl Received {
    /// Takes a whole state.
    pub fn whole(&mut self, state: &GroupState) {
        self.bases.insert(state.group.clone(), state.sequence);
        self.groups.insert(state.group.clone(), state.clone());
    }

    /// Takes loads; the resulting state, unless the whole state that they refer to was missed.
    pub fn loads(&mut self, loads: &GroupLoads) -> Option<&GroupState> {
        let base = *self.bases.get(&loads.group)?;
        let state = self.groups.get_mut(&loads.group)?;
        if state.fencing != loads.fencing || base != loads.base || state.sequence >= loads.sequence
        {
            return None;
        }
        for changed in &loads.servers {
            let Some(server) = state.servers.get_mut(usize::from(changed.server)) else { continue };
            server.load_age_ms = changed.load_age_ms;
            for (index, running, queued) in &changed.replicas {
                if let Some(replica) = server.replicas.get_mut(usize::from(*index)) {
                    replica.running = *running;
                    replica.queued = *queued;
                }
            }
        }
        state.sequence = loads.sequence;
        state.store = loads.store;
        Some(state)
    }
}

fn differs_in_load_only(a: &GroupState, b: &GroupState) -> bool {
    let same_replica = |a: &ReplicaState, b: &ReplicaState| {
        let b = ReplicaState { running: a.running, queued: a.queued, ..b.clone() };
        *a == b
    };
    let same_server = |a: &ServerState, b: &ServerState| {
        a.server == b.server
            && a.address == b.address
            && a.incarnation == b.incarnation
            && a.leaving == b.leaving
            && a.reachable == b.reachable
            && a.replicas.len() == b.replicas.len()
            && a.replicas.iter().zip(&b.replicas).all(|(a, b)| same_replica(a, b))
    };
    a.group == b.group
        && a.owner == b.owner
        && a.fencing == b.fencing
        && a.servers.len() == b.servers.len()
        && a.servers.iter().zip(&b.servers).all(|(a, b)| same_server(a, b))
}

fn is_noticeable(known: (u32, u32), now: (u32, u32)) -> bool {
    let (known, now) = (known.0 + known.1, now.0 + now.1);
    let change = known.abs_diff(now);
    // The way to and from idle always counts: placement of the next request depends on it.
    change > 0
        && (known == 0 || now == 0 || change >= NOTICEABLE_REQUESTS.max(known / NOTICEABLE_PART))
}
