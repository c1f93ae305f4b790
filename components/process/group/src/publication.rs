//! Publication of group states: once as a whole, afterwards the servers that changed in substance
//! and the loads that changed noticeably.
//!
//! A state of 22 replicas takes about 1.2 KB and goes to every instance of the data centre. Loads
//! change with every report, everything else some tens of times an hour.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Time between two requests for the same whole state.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Changes of a replica's load below this many requests are not published...
const NOTICEABLE_REQUESTS: u32 = 2;
/// ...nor those below this part of the published load.
const NOTICEABLE_PART: u32 = 4;

/// What changed since an earlier publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupChanges {
    /// The group.
    pub group: GroupId,
    /// The owner's fencing number.
    pub fencing: FencingNumber,
    /// Sequence number of the last publication that changed anything but loads. The positions of
    /// servers and replicas refer to the state that it left.
    pub base: u64,
    /// Sequence number of the state that results.
    pub sequence: u64,
    /// What the group has in progress at the weight store.
    pub store: StoreUse,
    /// Servers with changed loads.
    pub loads: Vec<ServerLoads>,
    /// Servers that changed in more than their loads, with their positions.
    pub servers: Vec<(u16, ServerState)>,
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

/// A whole state, to which changes refer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FullState {
    /// The state.
    pub state: GroupState,
    /// Sequence number of the last publication that changed anything but loads.
    pub base: u64,
}

/// What an owner publishes.
#[derive(Clone, Debug)]
pub enum Publication {
    /// The whole state.
    Full(Arc<FullState>),
    /// What changed.
    Changes(Arc<GroupChanges>),
}

/// The owner's side for one group.
#[derive(Debug, Default)]
pub struct Publisher {
    /// The last state, with the loads as the receivers know them.
    known: Option<FullState>,
    /// The use of the weight store is sent in any case.
    repeats_store: bool,
}

impl Publisher {
    /// What to send for a new state; `None` if nothing changed noticeably.
    pub fn publish(&mut self, state: GroupState) -> Option<Publication> {
        self.changes(state, is_noticeable)
    }

    /// What to send from time to time: all loads, for instances that missed some. Those that missed
    /// more learn of it by the base.
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
            self.repeats_store = false;
            let whole = FullState { base: state.sequence, state };
            self.known = Some(whole.clone());
            return Some(Publication::Full(Arc::new(whole)));
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
        let is_store_sent = std::mem::take(&mut self.repeats_store) || known.store != state.store;
        known.store = state.store;
        if loads.is_empty() && servers.is_empty() && !is_store_sent {
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

    /// Makes the next publication carry the use of the weight store, changed or not.
    pub fn resend_store_use(&mut self) {
        self.repeats_store = true;
    }

    /// The last state, for instances that missed it. Its loads are those last published.
    pub fn last_published(&self) -> Option<&FullState> {
        self.known.as_ref()
    }
}

/// What a receiver makes of changes.
#[derive(Debug, PartialEq, Eq)]
pub enum ChangesResult<'a> {
    /// The state that results.
    Applied(&'a GroupState),
    /// The whole state is missing and is to be asked for.
    Gap,
    /// They are older than what is known, or the whole state was asked for a moment ago.
    Ignored,
}

/// The receivers' side for all groups.
#[derive(Debug, Default)]
pub struct ReceivedStates {
    groups: HashMap<GroupId, FullState>,
    /// Until when whole states are not asked for again.
    asked_until: HashMap<GroupId, Instant>,
}

impl ReceivedStates {
    /// Takes a whole state that is newer than what is known.
    pub fn apply_full(&mut self, whole: &FullState) {
        self.asked_until.remove(&whole.state.group);
        self.groups.insert(whole.state.group.clone(), whole.clone());
    }

    /// Takes changes.
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
            let asked_until = self.asked_until.entry(changes.group.clone()).or_insert(now);
            if now < *asked_until {
                return ChangesResult::Ignored;
            }
            *asked_until = now + ASK_INTERVAL;
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

/// The loads of one server that are worth sending; `known` takes them over.
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
    // Loads that are not worth sending are confirmed by the newer sample.
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
    // The way to and from idle always counts: placement of the next request depends on it.
    change > 0
        && (known == 0 || now == 0 || change >= NOTICEABLE_REQUESTS.max(known / NOTICEABLE_PART))
}
