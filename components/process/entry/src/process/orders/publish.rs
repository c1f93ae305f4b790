//! Publishes the leader's state to the other instances.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Instant;

use replica_placement::HeldLease;
use routes::ModelName;
use server_directory::ServerId;

use super::leader::Leader;
use crate::process::messages::{
    HoldingsPart, InFlightFigures, LeaderUpdate, Message, QueuedByAccount, ServerHoldings,
    ServerKey, SyncedRevision, server_key,
};
use crate::process::peers::PeerSocket;
use crate::process::{Entry, boot_now};

/// Number of updates to all instances within which the holdings of every server are published.
const PUBLISH_CYCLE: usize = 15;
/// Most servers whose holdings one message contains.
const MAX_HOLDINGS: usize = 60;
/// Most models whose waiting requests are published by account.
const MAX_QUEUED_MODELS: usize = 200;
/// Most servers of one part of the load figures.
const MAX_FIGURES: usize = 400;

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
    let mut published: HashSet<ServerId> = leader.changed.drain().map(|(id, _)| id).collect();
    for _ in 0..ids.len().div_ceil(PUBLISH_CYCLE) {
        leader.publish_cursor = (leader.publish_cursor + 1) % ids.len();
        published.insert(ids[leader.publish_cursor].clone());
    }
    let mut others: HashMap<ServerKey, u32> = HashMap::new();
    for (server, models) in cx.instances.borrow().live(now).flat_map(|s| &s.in_flight) {
        *others.entry(server_key(server)).or_default() +=
            models.iter().map(|(_, n)| n).sum::<u32>();
    }
    cx.instances.borrow_mut().set_in_flight(others.clone());
    let mut totals = others;
    for (server, count) in cx.own_in_flight() {
        *totals.entry(server).or_default() += count;
    }
    find_slow_servers(cx, now);
    let figures = next_figures(&mut leader.published_figures, totals);
    leader.publish_count = leader.publish_count.wrapping_add(1);
    let delivery =
        cx.instances.borrow().delivery(&cx.settings.data_centre, leader.publish_count, now);
    let mut published: Vec<ServerId> = published.into_iter().collect();
    let rest = published.split_off(published.len().min(MAX_HOLDINGS));
    // Before the update, which makes the waiting requests draw their lots.
    if !leader.queued_groups.is_empty() {
        let queued = leader.queued_groups.iter().take(MAX_QUEUED_MODELS);
        let queues = QueuedByAccount {
            from: cx.settings.name.clone(),
            sent_at: boot_now(),
            lease,
            queued: queued.map(|(model, groups)| (model.clone(), groups.clone())).collect(),
        };
        socket.deliver(&Message::QueuedByAccount(queues), &delivery);
    }
    let message = leader_update(cx, leader, published, Some(figures), lease);
    socket.deliver(&message, &delivery);
    for servers in rest.chunks(MAX_HOLDINGS) {
        let part = HoldingsPart {
            from: cx.settings.name.clone(),
            sent_at: boot_now(),
            lease,
            holdings: holdings_of(cx, servers.iter()),
        };
        socket.deliver(&Message::Holdings(part), &delivery);
    }
}

/// Puts the measurements of all instances together, and logs which servers turned slow or recovered.
fn find_slow_servers(cx: &Entry, now: Instant) {
    let slow: HashMap<ServerKey, f64> = {
        let mut instances = cx.instances.borrow_mut();
        for (server, sum) in cx.paces.borrow_mut().take() {
            instances.pace_board.add(server, sum, now);
        }
        instances.pace_board.slow(now).into_iter().collect()
    };
    let former = cx.slow_servers.replace(slow.clone());
    let directory = cx.directory.borrow();
    for server in directory.servers().map(|server| &server.entry.id) {
        let key = server_key(server);
        match (former.get(&key), slow.get(&key)) {
            (None, Some(factor)) => {
                tracing::info!(%server, factor = (factor * 100.0).round() / 100.0, "servers: turned slow");
            }
            (Some(_), None) => tracing::info!(%server, "servers: not slow any more"),
            _ => {}
        }
    }
}

/// Figures that were published last, and which part of them was complete.
#[derive(Debug, Default)]
pub(super) struct PublishedFigures {
    part: u32,
    counts: HashMap<ServerKey, u32>,
}

/// Returns the figures to publish: the next part, and the changes since the last ones.
fn next_figures(
    published: &mut PublishedFigures,
    totals: HashMap<ServerKey, u32>,
) -> InFlightFigures {
    let parts = totals.len().div_ceil(MAX_FIGURES).max(1) as u32;
    let part = (published.part + 1) % parts;
    let former = std::mem::replace(&mut published.counts, totals);
    let totals = &published.counts;
    let is_due = |key: &ServerKey| key % parts == part || totals.get(key) != former.get(key);
    let mut counts: Vec<(ServerKey, u32)> =
        totals.iter().filter(|(key, _)| is_due(key)).map(|(key, count)| (*key, *count)).collect();
    let ended = former.keys().filter(|key| !totals.contains_key(key) && *key % parts != part);
    counts.extend(ended.map(|key| (*key, 0)));
    published.part = part;
    InFlightFigures { part, parts, counts }
}

/// Sends changes to the instances that have requests waiting for a model that they affect, once
/// each. The other instances receive them with the next update to all.
pub(super) fn publish_to_waiting(
    cx: &Entry,
    socket: &PeerSocket,
    leader: &mut Leader,
    lease: HeldLease,
) {
    let now = Instant::now();
    let mut models: HashMap<ModelName, Instant> = HashMap::new();
    {
        let directory = cx.directory.borrow();
        for (id, at) in &leader.changed {
            let Some(server) = directory.get(id) else { continue };
            for model in server.entry.holdings.model_names() {
                let newest = models.entry(model.clone()).or_insert(*at);
                *newest = (*newest).max(*at);
            }
        }
    }
    let addresses: Vec<SocketAddr> = {
        let instances = cx.instances.borrow();
        let waiting = instances.waiting(now).filter(|waiting| {
            let sent_at = leader.sent_to_waiting.get(&waiting.address).copied();
            has_news(waiting.models(), waiting.reported_at, sent_at, &models, &leader.ready_at)
        });
        waiting.map(|waiting| waiting.address).collect()
    };
    if !addresses.is_empty() {
        leader.sent_to_waiting.extend(addresses.iter().map(|address| (*address, now)));
        let published = leader.changed.keys().take(MAX_HOLDINGS).cloned().collect();
        socket.send(&leader_update(cx, leader, published, None, lease), &addresses);
    }
}

/// Whether an instance, whose requests wait for `models`, does not know yet what the leader knows of
/// these. `reported_at` is when its status arrived, `sent_at` when it was last sent a change, and
/// `changed` when servers with a model last changed.
fn has_news<'a>(
    mut models: impl Iterator<Item = &'a ModelName>,
    reported_at: Instant,
    sent_at: Option<Instant>,
    changed: &HashMap<ModelName, Instant>,
    ready_at: &HashMap<ModelName, Instant>,
) -> bool {
    // Its requests may have begun to wait after the last message.
    let is_newly_reported = sent_at.is_none_or(|sent| reported_at > sent);
    models.any(|model| {
        let is_changed = changed.get(model).is_some_and(|at| sent_at.is_none_or(|sent| *at > sent));
        let is_known = changed.contains_key(model) || ready_at.contains_key(model);
        is_changed || (is_newly_reported && is_known)
    })
}

fn holdings_of<'a>(cx: &Entry, servers: impl Iterator<Item = &'a ServerId>) -> Vec<ServerHoldings> {
    let directory = cx.directory.borrow();
    servers
        .filter_map(|id| {
            let holdings = &directory.get(id)?.entry.holdings;
            let models = holdings.models.iter();
            Some(ServerHoldings {
                born: holdings.born,
                models: models.map(|(m, a)| (m.clone(), a.iter().cloned().collect())).collect(),
                loading: holdings.loading.clone(),
                server: id.clone(),
            })
        })
        .collect()
}

fn leader_update(
    cx: &Entry,
    leader: &Leader,
    published: Vec<ServerId>,
    in_flight: Option<InFlightFigures>,
    lease: HeldLease,
) -> Message {
    let now = Instant::now();
    let holdings = holdings_of(cx, published.iter());
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
    let quota_holders = cx.choose_quota_holders(now);
    Message::LeaderUpdate(LeaderUpdate {
        from: cx.settings.name.clone(),
        address: cx.settings.peers,
        sent_at: boot_now(),
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
        slow: cx
            .slow_servers
            .borrow()
            .iter()
            .map(|(server, factor)| (*server, (factor * 100.0) as u16))
            .collect(),
        queued: leader.queued.iter().map(|(model, count)| (model.clone(), *count)).collect(),
        ready_in,
        leaving: cx.leaving_hints(),
        quarantine: cx.published_quarantine(),
        registry_steady_ms: sync.outage_detector.borrow().steady_time().map_or(0, |steady| {
            steady.until.saturating_duration_since(steady.since).as_millis() as u32
        }),
        quota_holders,
        registered: cx.instances.borrow().registered_count() as u32,
    })
}

#[cfg(test)]
mod tests;
