//! Finds a server for a request among those that can run it now.

use std::time::Instant;

use rand::Rng;
use server_choice::{Candidate, affinity_key, choose_server, in_flight_limit};
use server_directory::{Directory, Server, ServerId};

use super::Job;
use crate::process::Entry;

/// A server that was chosen.
#[derive(Clone, Debug)]
pub(crate) struct Picked {
    pub(crate) id: ServerId,
    pub(crate) address: std::net::SocketAddr,
    /// Revision of the registry entry that the choice is based on.
    pub(crate) revision: u64,
    /// Requests in flight there, as far as known.
    pub(crate) in_flight: u32,
    /// Servers that could have been chosen.
    pub(crate) among: usize,
}

/// What kind of servers are left for a request.
pub(super) enum Choice {
    Picked(Picked),
    /// Servers that could run it have turned it away.
    AllTried,
    /// Servers that could run it have a full queue.
    Full,
    /// Servers that could run it cannot be reached now.
    Unreachable,
    /// No server has the model, or none that has it has the adapter.
    NotLoaded,
    /// The service has no server.
    NoServer,
}

/// Servers of the request's service that take new requests.
fn open_servers<'a>(directory: &'a Directory, job: &'a Job) -> impl Iterator<Item = &'a Server> {
    directory
        .servers()
        .filter(|server| server.entry.service == job.service && !server.entry.is_draining)
}

/// Those of them that can run the request: that have its model and adapter, if it names one.
fn able_servers<'a>(directory: &'a Directory, job: &'a Job) -> impl Iterator<Item = &'a Server> {
    let prompt = job.prompt();
    open_servers(directory, job).filter(move |server| {
        prompt.is_none_or(|p| server.entry.holdings.serves(&p.model, p.adapter.as_deref()))
    })
}

/// Whether a server has the request's model, with or without the adapter.
pub(super) fn has_model(cx: &Entry, job: &Job) -> bool {
    let Some(prompt) = job.prompt() else { return false };
    open_servers(&cx.directory.borrow(), job)
        .any(|server| server.entry.holdings.serves(&prompt.model, None))
}

/// Whether another server than `server` could run the request now without a queue.
pub(crate) fn has_room_elsewhere(cx: &Entry, job: &Job, server: &str) -> bool {
    let now = Instant::now();
    let health = cx.health.borrow();
    able_servers(&cx.directory.borrow(), job).any(|other| {
        let id = &other.entry.id;
        **id != *server
            && !job.tried.contains(id)
            && !health.get(id).is_some_and(|health| health.is_backing_off(now))
            && cx.in_flight_at(id) < other.entry.slots
    })
}

/// Servers to choose among: those that were not tried and can be reached. If none can be reached,
/// trying one is better than failing, unless this request has tried it already.
fn candidates<'a>(cx: &Entry, job: &Job, able: &[&'a Server]) -> Result<Vec<&'a Server>, Choice> {
    let now = Instant::now();
    let health = cx.health.borrow();
    let is_paused = |server: &&&Server| {
        health.get(&server.entry.id).is_some_and(|health| health.is_backing_off(now))
    };
    let untried = || able.iter().filter(|server| !job.tried.contains(&server.entry.id));
    let mut open: Vec<&Server> = untried().filter(|s| !is_paused(s)).copied().collect();
    if open.is_empty() {
        if !able.iter().any(|server| is_paused(&server)) {
            return Err(Choice::AllTried);
        }
        open = untried().copied().collect();
    }
    if open.is_empty() {
        return Err(Choice::Unreachable);
    }
    open.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
    Ok(open)
}

pub(super) fn try_pick(cx: &Entry, job: &Job) -> Choice {
    let now = Instant::now();
    let directory = cx.directory.borrow();
    let able: Vec<&Server> = able_servers(&directory, job).collect();
    if able.is_empty() {
        let has_servers = open_servers(&directory, job).next().is_some();
        return if has_servers { Choice::NotLoaded } else { Choice::NoServer };
    }
    let open = match candidates(cx, job, &able) {
        Ok(open) => open,
        Err(choice) => return choice,
    };
    let health = cx.health.borrow();
    let candidates: Vec<Candidate<'_>> = open
        .iter()
        .map(|server| Candidate {
            id: &server.entry.id,
            is_local: server.entry.data_centre == cx.settings.data_centre,
            in_flight: cx.in_flight_at(&server.entry.id),
            slots: server.entry.slots,
            failures: health.get(&server.entry.id).map_or(0.0, |health| health.failures(now)),
        })
        .collect();
    let limit = |c: &Candidate<'_>| in_flight_limit(c.slots, job.route.priority);
    if job.has_engine && candidates.iter().all(|c| c.in_flight >= limit(c)) {
        return Choice::Full;
    }
    let shared = job.prompt().and_then(|p| Some(affinity_key(&p.model, p.shared_part.as_deref()?)));
    match choose_server(&candidates, shared, rand::rng().random()) {
        Some(at) => Choice::Picked(Picked {
            id: open[at].entry.id.clone(),
            address: open[at].entry.address,
            revision: open[at].revision,
            in_flight: candidates[at].in_flight,
            among: candidates.len(),
        }),
        None => Choice::NoServer,
    }
}
