//! Tells the other instances what the order giver knows.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use replica_placement::HeldLease;
use routes::ModelName;
use server_directory::ServerId;

use super::giver::Giver;
use crate::process::Entry;
use crate::process::instances::{Held, Homes, Message, SyncMark};
use crate::process::peers::PeerSocket;

/// All servers are told again within this many of these messages, in turn.
const TOLD_WITHIN: usize = 15;

/// Tells all instances what changed, some of the servers again, and what is in flight.
pub(super) fn tell_all(cx: &Entry, socket: &PeerSocket, giver: &mut Giver, lease: HeldLease) {
    let now = Instant::now();
    let mut ids: Vec<ServerId> = {
        let directory = cx.directory.borrow();
        let engines = directory.servers().filter(|s| !s.entry.holdings.models.is_empty());
        engines.map(|server| server.entry.id.clone()).collect()
    };
    ids.sort();
    let mut told: HashSet<ServerId> = giver.changed.drain().collect();
    for _ in 0..ids.len().div_ceil(TOLD_WITHIN) {
        giver.told = (giver.told + 1) % ids.len();
        told.insert(ids[giver.told].clone());
    }
    let mut others: HashMap<ServerId, u32> = HashMap::new();
    for (server, models) in cx.instances.borrow().live(now).flat_map(|s| &s.in_flight) {
        *others.entry(server.clone()).or_default() += models.iter().map(|(_, n)| n).sum::<u32>();
    }
    cx.instances.borrow_mut().set_in_flight(others.clone());
    let mut totals = others;
    for (server, models) in &cx.loads.borrow().in_flight {
        *totals.entry(server.clone()).or_default() += models.values().sum::<u32>();
    }
    let in_flight = Some(totals.into_iter().collect());
    let message = homes(cx, giver, told, in_flight, lease);
    socket.send(&message, &cx.instances.borrow().addresses());
}

/// Tells the instances that wait for a model what changed for it; the others hear it with the
/// next message to all.
pub(super) fn tell_waiting(cx: &Entry, socket: &PeerSocket, giver: &mut Giver, lease: HeldLease) {
    let now = Instant::now();
    let mut models: HashSet<ModelName> = giver.ready_at.keys().cloned().collect();
    {
        let directory = cx.directory.borrow();
        for server in giver.changed.iter().filter_map(|id| directory.get(id)) {
            models.extend(server.entry.holdings.model_names().cloned());
        }
    }
    let to = cx.instances.borrow().waiting_for(&models, now);
    if !to.is_empty() {
        let told = giver.changed.clone();
        socket.send(&homes(cx, giver, told, None, lease), &to);
    }
}

fn homes(
    cx: &Entry,
    giver: &Giver,
    told: HashSet<ServerId>,
    in_flight: Option<Vec<(ServerId, u32)>>,
    lease: HeldLease,
) -> Message {
    let now = Instant::now();
    let directory = cx.directory.borrow();
    let held = told
        .into_iter()
        .filter_map(|id| {
            let holdings = &directory.get(&id)?.entry.holdings;
            let models = holdings.models.iter();
            Some(Held {
                born: holdings.born,
                models: models.map(|(m, a)| (m.clone(), a.iter().cloned().collect())).collect(),
                loading: holdings.loading.clone(),
                server: id,
            })
        })
        .collect();
    let ready_in = giver
        .ready_at
        .iter()
        .map(|(model, at)| (model.clone(), at.saturating_duration_since(now).as_millis() as u32))
        .collect();
    let mark = |mark: u64, at: Option<Instant>| SyncMark {
        mark,
        age_ms: at.map_or(u32::MAX / 2, |at| at.elapsed().as_millis() as u32),
    };
    let sync = &cx.sync;
    Message::Homes(Homes {
        from: cx.settings.name.clone(),
        lease,
        instances: cx.instances.borrow().count() as u32,
        registry: mark(sync.registry_mark.get(), sync.registry_at.get()),
        configuration: mark(sync.configuration_mark.get(), sync.configuration_at.get()),
        held,
        store_at_once: giver.pace.limit() as u8,
        in_flight,
        ready_in,
    })
}
