//! Publication of group states: first the full state, then only changes.
//!
//! Changes carry the loads that changed noticeably and the servers that changed in anything else. A
//! full state of 22 replicas takes about 1.2 KB and is sent to every instance of the data centre.
//! Loads change with every report, everything else a few dozen times an hour.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Minimum time between two requests for the full state of the same group.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// A change of a replica's load by fewer requests than this is not published.
const NOTICEABLE_REQUESTS: u32 = 2;
/// A change of a replica's load by less than the published load divided by this is not published.
const NOTICEABLE_DIVISOR: u32 = 4;

/// Changes since an earlier publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupChanges {
    /// The group.
    pub group: GroupId,
    /// The owner's fencing number.
    pub fencing: FencingNumber,
    /// Sequence number of the last publication that changed anything but loads. Positions of
    /// servers and replicas refer to the state after that publication.
    pub base: u64,
    /// Sequence number of the resulting state.
    pub sequence: u64,
    /// The group's current use of the weight store.
    pub store: StoreUse,
    /// Servers with changed loads.
    pub loads: Vec<ServerLoads>,
    /// Positions and new states of servers that changed in more than their loads.
    pub servers: Vec<(u16, ServerState)>,
}

/// Changed loads of one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerLoads {
    /// Position of the server in the full state.
    pub server: u16,
    /// Age of the load figures in milliseconds at the time of publication.
    pub load_age_ms: u64,
    /// Position of each replica, its running requests and its queued requests.
    pub replicas: Vec<(u16, u32, u32)>,
}

/// A full state, which later changes refer to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FullState {
    /// The state.
    pub state: GroupState,
    /// Sequence number of the last publication that changed anything but loads.
    pub base: u64,
}

/// A message that the owner of a group publishes.
#[derive(Clone, Debug)]
pub enum Publication {
    /// The full state.
    Full(Arc<FullState>),
    /// Changes to the last published state.
    Changes(Arc<GroupChanges>),
}

/// Produces the publications for one group, on the owner's side.
#[derive(Debug, Default)]
pub struct Publisher {
    /// The last state, with the loads that were last published.
    known: Option<FullState>,
    /// Whether the next publication carries the use of the weight store even if it has not changed.
    resends_store_use: bool,
}

impl Publisher {
    /// Returns the publication for a new state; `None` if nothing changed noticeably.
    pub fn publish(&mut self, state: GroupState) -> Option<Publication> {
        self.changes(state, is_noticeable)
    }

    /// Returns a periodic publication with all loads, for instances that missed some. Instances
    /// that missed other changes detect this by the `base`.
    pub fn refresh(&mut self, state: GroupState) -> Option<Publication> {
        let sequence = state.sequence;
        self.changes(state, |_, _| true).or_else(|| {
            let FullState { state, base } = self.known.as_ref()?;
            Some(Publication::Changes(Arc::new(GroupChanges {
                group: state.group.clone(),
                fencing: state.fencing,
                base: *base,
                sequence,
                store: state.store,
                loads: Vec::new(),
                servers: Vec::new(),
            })))
        })
    }

    fn changes(
        &mut self,
        state: GroupState,
        is_worth_sending: fn((u32, u32), (u32, u32)) -> bool,
    ) -> Option<Publication> {
        let known = self.known.as_mut().filter(|known| has_same_servers(&known.state, &state));
        let Some(FullState { state: known, base }) = known else {
            self.resends_store_use = false;
            let full = FullState { base: state.sequence, state };
            self.known = Some(full.clone());
            return Some(Publication::Full(Arc::new(full)));
        };
        known.sequence = state.sequence;
        let (mut loads, mut servers) = (Vec::new(), Vec::new());
        for (position, (known, server)) in known.servers.iter_mut().zip(state.servers).enumerate() {
            if differs_in_load_only(known, &server) {
                loads.extend(changed_loads(position, known, &server, is_worth_sending));
            } else {
                known.clone_from(&server);
                servers.push((position as u16, server));
            }
        }
        let sends_store_use =
            std::mem::take(&mut self.resends_store_use) || known.store != state.store;
        known.store = state.store;
        if loads.is_empty() && servers.is_empty() && !sends_store_use {
            return None;
        }
        let (store, group, fencing, sequence) =
            (state.store, state.group, state.fencing, state.sequence);
        let changes = GroupChanges { group, fencing, base: *base, sequence, store, loads, servers };
        if !changes.servers.is_empty() {
            *base = sequence;
        }
        Some(Publication::Changes(Arc::new(changes)))
    }

    /// Makes the next publication carry the use of the weight store even if it has not changed.
    pub fn resend_store_use(&mut self) {
        self.resends_store_use = true;
    }

    /// The last state, for instances that missed it, with the loads that were last published.
    pub fn last_published(&self) -> Option<&FullState> {
        self.known.as_ref()
    }
}

/// Result of applying changes.
#[derive(Debug, PartialEq, Eq)]
pub enum ChangesResult<'a> {
    /// The changes were applied; holds the resulting state.
    Applied(&'a GroupState),
    /// An earlier publication was missed; the full state must be requested.
    Gap,
    /// The changes are older than the known state, or the full state was requested a moment ago.
    Ignored,
}

/// The published states of all groups, on the receivers' side.
#[derive(Debug, Default)]
pub struct ReceivedStates {
    groups: HashMap<GroupId, FullState>,
    /// Until when the full state of a group is not requested again.
    requested_until: HashMap<GroupId, Instant>,
}

impl ReceivedStates {
    /// Replaces the known state of a group; the caller checks that the full state is newer.
    pub fn apply_full(&mut self, full: &FullState) {
        self.requested_until.remove(&full.state.group);
        self.groups.insert(full.state.group.clone(), full.clone());
    }

    /// Applies changes to the known state of their group.
    pub fn apply_changes(&mut self, changes: &GroupChanges, now: Instant) -> ChangesResult<'_> {
        let known = self.groups.get_mut(&changes.group);
        let is_old = known.as_ref().is_some_and(|FullState { state, .. }| {
            (changes.fencing, changes.sequence) <= (state.fencing, state.sequence)
        });
        if is_old {
            return ChangesResult::Ignored;
        }
        let fits = |known: &&mut FullState| {
            known.state.fencing == changes.fencing && known.base == changes.base
        };
        let Some(FullState { state, base }) = known.filter(fits) else {
            let requested_until = self.requested_until.entry(changes.group.clone()).or_insert(now);
            if now < *requested_until {
                return ChangesResult::Ignored;
            }
            *requested_until = now + REQUEST_INTERVAL;
            return ChangesResult::Gap;
        };
        for changed in &changes.loads {
            if let Some(server) = state.servers.get_mut(usize::from(changed.server)) {
                apply_loads(server, changed);
            }
        }
        for (position, changed) in &changes.servers {
            if let Some(server) = state.servers.get_mut(usize::from(*position)) {
                server.clone_from(changed);
            }
            *base = changes.sequence;
        }
        state.sequence = changes.sequence;
        state.store = changes.store;
        ChangesResult::Applied(state)
    }
}

fn apply_loads(server: &mut ServerState, changed: &ServerLoads) {
    server.load_age_ms = changed.load_age_ms;
    for (index, running, queued) in &changed.replicas {
        if let Some(replica) = server.replicas.get_mut(usize::from(*index)) {
            replica.running = *running;
            replica.queued = *queued;
        }
    }
}

/// Returns the loads of one server that are worth sending and stores them in `known`.
fn changed_loads(
    position: usize,
    known: &mut ServerState,
    server: &ServerState,
    is_worth_sending: fn((u32, u32), (u32, u32)) -> bool,
) -> Option<ServerLoads> {
    let mut replicas = Vec::new();
    for (index, (known, now)) in known.replicas.iter_mut().zip(&server.replicas).enumerate() {
        if is_worth_sending((known.running, known.queued), (now.running, now.queued)) {
            (known.running, known.queued) = (now.running, now.queued);
            replicas.push((index as u16, now.running, now.queued));
        }
    }
    // The newer sample confirms the loads that are not worth sending.
    known.load_age_ms = server.load_age_ms;
    (!replicas.is_empty()).then_some(ServerLoads {
        server: position as u16,
        load_age_ms: server.load_age_ms,
        replicas,
    })
}

fn has_same_servers(a: &GroupState, b: &GroupState) -> bool {
    a.group == b.group
        && a.owner == b.owner
        && a.fencing == b.fencing
        && a.servers.len() == b.servers.len()
        && a.servers.iter().zip(&b.servers).all(|(a, b)| a.server == b.server)
}

fn differs_in_load_only(a: &ServerState, b: &ServerState) -> bool {
    let same_replica = |a: &ReplicaState, b: &ReplicaState| {
        let b = ReplicaState { running: a.running, queued: a.queued, ..b.clone() };
        *a == b
    };
    a.server == b.server
        && a.address == b.address
        && a.incarnation == b.incarnation
        && a.leaving == b.leaving
        && a.reachable == b.reachable
        && a.replicas.len() == b.replicas.len()
        && a.replicas.iter().zip(&b.replicas).all(|(a, b)| same_replica(a, b))
}

fn is_noticeable(known: (u32, u32), now: (u32, u32)) -> bool {
    let (known, now) = (known.0 + known.1, now.0 + now.1);
    let change = known.abs_diff(now);
    // A change to or from idle always counts, because the placement of the next request depends on
    // it.
    change > 0
        && (known == 0 || now == 0 || change >= NOTICEABLE_REQUESTS.max(known / NOTICEABLE_DIVISOR))
}
