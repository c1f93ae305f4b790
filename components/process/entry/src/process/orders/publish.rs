//! Publishes the leader's state to the other instances.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use replica_placement::HeldLease;
use routes::ModelName;
use server_directory::ServerId;

use super::leader::Leader;
use crate::process::Entry;
use crate::process::instances::{LeaderUpdate, Message, ServerHoldings, SyncedRevision};
use crate::process::peers::PeerSocket;

/// Number of updates to all instances within which the holdings of every server are published.
const PUBLISH_CYCLE: usize = 15;

/// Publishes to all instances the changed servers, some of the others in rotation, and the requests
/// in flight.
pub(super) fn publish_to_all(
    cx: &Entry,
    socket: &PeerSocket,
    leader: &mut Leader,
    lease: HeldLease,
) {
    let now = Instant::now();
    let mut ids: Vec<ServerId> = {
        let directory = cx.directory.borrow();
        let engines = directory.servers().filter(|s| !s.entry.holdings.models.is_empty());
        engines.map(|server| server.entry.id.clone()).collect()
    };
    ids.sort();
    let mut published: HashSet<ServerId> = leader.changed.drain().collect();
    for _ in 0..ids.len().div_ceil(PUBLISH_CYCLE) {
        leader.publish_cursor = (leader.publish_cursor + 1) % ids.len();
        published.insert(ids[leader.publish_cursor].clone());
    }
    let mut others: HashMap<ServerId, u32> = HashMap::new();
    for (server, models) in cx.instances.borrow().live(now).flat_map(|s| &s.in_flight) {
        *others.entry(server.clone()).or_default() += models.iter().map(|(_, n)| n).sum::<u32>();
    }
    cx.instances.borrow_mut().set_in_flight(others.clone());
    let mut totals = others;
    for (server, models) in &cx.request_counts.borrow().in_flight {
        *totals.entry(server.clone()).or_default() += models.values().sum::<u32>();
    }
    let in_flight = Some(totals.into_iter().collect());
    let message = leader_update(cx, leader, published, in_flight, lease);
    socket.send(&message, &cx.instances.borrow().addresses());
}

/// Sends changes to the instances that have requests waiting for a model that they affect. The
/// other instances receive them with the next update to all.
pub(super) fn publish_to_waiting(
    cx: &Entry,
    socket: &PeerSocket,
    leader: &mut Leader,
    lease: HeldLease,
) {
    let now = Instant::now();
    let mut models: HashSet<ModelName> = leader.ready_at.keys().cloned().collect();
    {
        let directory = cx.directory.borrow();
        for server in leader.changed.iter().filter_map(|id| directory.get(id)) {
            models.extend(server.entry.holdings.model_names().cloned());
        }
    }
    let addresses = cx.instances.borrow().addresses_waiting_for(&models, now);
    if !addresses.is_empty() {
        let published = leader.changed.clone();
        socket.send(&leader_update(cx, leader, published, None, lease), &addresses);
    }
}

fn leader_update(
    cx: &Entry,
    leader: &Leader,
    published: HashSet<ServerId>,
    in_flight: Option<Vec<(ServerId, u32)>>,
    lease: HeldLease,
) -> Message {
    let now = Instant::now();
    let directory = cx.directory.borrow();
    let holdings = published
        .into_iter()
        .filter_map(|id| {
            let holdings = &directory.get(&id)?.entry.holdings;
            let models = holdings.models.iter();
            Some(ServerHoldings {
                born: holdings.born,
                models: models.map(|(m, a)| (m.clone(), a.iter().cloned().collect())).collect(),
                loading: holdings.loading.clone(),
                server: id,
            })
        })
        .collect();
    let ready_in = leader
        .ready_at
        .iter()
        .map(|(model, at)| (model.clone(), at.saturating_duration_since(now).as_millis() as u32))
        .collect();
    let synced = |revision: u64, at: Option<Instant>| SyncedRevision {
        revision,
        age_ms: at.map_or(u32::MAX / 2, |at| at.elapsed().as_millis() as u32),
    };
    let sync = &cx.sync;
    Message::LeaderUpdate(LeaderUpdate {
        from: cx.settings.name.clone(),
        lease,
        instances: cx.instances.borrow().count() as u32,
        registry: synced(sync.registry_revision.get(), sync.registry_confirmed_at.get()),
        configuration: synced(
            sync.configuration_revision.get(),
            sync.configuration_confirmed_at.get(),
        ),
        registry_changes: sync.registry_changes.borrow_mut().recent(now),
        holdings,
        store_concurrent_loads: leader.store_concurrency.limit() as u8,
        in_flight,
        queued: leader.queued.iter().map(|(model, count)| (model.clone(), *count)).collect(),
        ready_in,
    })
}
