//! Finds a server for a request, and waits for one if the model has to be loaded first.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use server_choice::{Candidate, affinity, choose, queue_limit, queue_patience};
use server_directory::{Server, ServerId};

use super::Job;
use super::verdict::Failure;
use crate::process::{Entry, ModelKey, Phase, Want};

/// Time left below which no server can answer; the way there and back and a first step.
const LEAST_TIME: Duration = Duration::from_millis(60);
/// Longest wait for a plain service without any reachable server.
const SERVICE_WAIT: Duration = Duration::from_millis(400);
/// Time between two looks whether a full server has a place.
const PLACE_POLL: Duration = Duration::from_millis(40);
/// Time between two looks whether an unreachable server should be tried again.
const UNREACHABLE_POLL: Duration = Duration::from_millis(300);
/// Time after which a full queue should have moved: about the run of one request.
const FULL_RETURN: Duration = Duration::from_millis(1_200);
/// Time after which servers that turned the request away are tried again.
const TRY_AGAIN_AFTER: Duration = Duration::from_millis(120);

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

/// Why no server was chosen.
pub(crate) struct NotPicked {
    pub(crate) failure: Failure,
    /// When the cause should be over.
    pub(crate) return_in: Duration,
}

/// What kind of servers are left for a request.
enum Choice {
    Picked(Picked),
    /// Servers that could run it have turned it away.
    AllTried,
    /// Servers that could run it have a full queue.
    Full,
    /// Servers that could run it cannot be reached now.
    Unreachable,
    /// No server has the model.
    NotLoaded,
    /// The service has no server.
    NoServer,
}

fn key(job: &Job) -> Option<ModelKey> {
    let prompt = job.facts.prompt.as_ref()?;
    Some(ModelKey { model: prompt.model.clone(), adapter: prompt.adapter.clone() })
}

fn has_model(cx: &Entry, job: &Job) -> bool {
    let Some(prompt) = &job.facts.prompt else { return false };
    cx.directory.borrow().servers().any(|server| {
        server.entry.service == job.service
            && !server.entry.is_draining
            && server.entry.holdings.serves(&prompt.model, None)
    })
}

fn try_pick(cx: &Entry, job: &Job) -> Choice {
    let now = Instant::now();
    let directory = cx.directory.borrow();
    let prompt = job.facts.prompt.as_ref().filter(|_| job.has_engine);
    let of_service = directory
        .servers()
        .filter(|server| server.entry.service == job.service && !server.entry.is_draining);
    let mut has_servers = false;
    let mut able: Vec<&Server> = Vec::new();
    for server in of_service {
        has_servers = true;
        let serves =
            prompt.is_none_or(|p| server.entry.holdings.serves(&p.model, p.adapter.as_deref()));
        if serves {
            able.push(server);
        }
    }
    if able.is_empty() {
        return if has_servers { Choice::NotLoaded } else { Choice::NoServer };
    }
    let health = cx.health.borrow();
    let of = |server: &Server| health.get(&server.entry.id).copied().unwrap_or_default();
    let untried = |server: &&&Server| !job.tried.contains(&server.entry.id);
    let mut open: Vec<&Server> =
        able.iter().filter(untried).filter(|s| !of(s).is_paused(now)).copied().collect();
    if open.is_empty() {
        let has_paused = able.iter().any(|s| of(s).is_paused(now));
        if !has_paused {
            return Choice::AllTried;
        }
        // Nothing but servers that could not be reached: trying one is better than failing, unless
        // this request has tried it already.
        open = able.iter().filter(untried).copied().collect();
        if open.is_empty() {
            return Choice::Unreachable;
        }
    }
    open.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
    let loads = cx.loads.borrow();
    let instances = cx.instances.borrow();
    let candidates: Vec<Candidate<'_>> = open
        .iter()
        .map(|server| Candidate {
            id: &server.entry.id,
            is_near: server.entry.data_centre == cx.settings.data_centre,
            in_flight: loads.at(&server.entry.id) + instances.in_flight_at(&server.entry.id),
            slots: server.entry.slots,
            failures: of(server).failures(now),
        })
        .collect();
    let limit = |c: &Candidate<'_>| queue_limit(c.slots, job.route.priority);
    if job.has_engine && candidates.iter().all(|c| c.in_flight >= limit(c)) {
        return Choice::Full;
    }
    let shared = prompt.and_then(|p| Some(affinity(&p.model, p.shared_part.as_deref()?)));
    match choose(&candidates, shared, rand::rng().random()) {
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

/// Whether another server than `server` could run the request now without a queue.
pub(crate) fn has_room_elsewhere(cx: &Entry, job: &Job, server: &str) -> bool {
    let now = Instant::now();
    let health = cx.health.borrow();
    let loads = cx.loads.borrow();
    let instances = cx.instances.borrow();
    let prompt = job.facts.prompt.as_ref().filter(|_| job.has_engine);
    cx.directory.borrow().servers().any(|other| {
        let id = &other.entry.id;
        let serves =
            prompt.is_none_or(|p| other.entry.holdings.serves(&p.model, p.adapter.as_deref()));
        other.entry.service == job.service
            && !other.entry.is_draining
            && **id != *server
            && !job.tried.contains(id)
            && serves
            && !health.get(id).is_some_and(|health| health.is_paused(now))
            && loads.at(id) + instances.in_flight_at(id) < other.entry.slots
    })
}

/// Chooses a server, waiting for one until the request could no longer be answered.
pub(crate) async fn pick(cx: &Rc<Entry>, job: &mut Job) -> Result<Picked, NotPicked> {
    let mut want: Option<Want> = None;
    let mut service_wait_ends: Option<Instant> = None;
    let mut place_wait_ends: Option<Instant> = None;
    loop {
        // Registered before the look at the servers, so that no change is missed.
        let changed = cx.servers_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let now = Instant::now();
        let latest = job.deadline - LEAST_TIME.min(job.deadline.saturating_duration_since(now));
        let choice = try_pick(cx, job);
        if !matches!(choice, Choice::NoServer | Choice::Unreachable) {
            service_wait_ends = None;
        }
        let until = match choice {
            Choice::Picked(picked) => return Ok(picked),
            Choice::AllTried => {
                job.tried.clear();
                now + TRY_AGAIN_AFTER
            }
            Choice::NotLoaded => {
                let Some(key) = key(job) else {
                    return Err(NotPicked { failure: Failure::NoServer, return_in: SERVICE_WAIT });
                };
                // While the model itself is loaded, only the adapter is missing, which is quick.
                let is_loaded = has_model(cx, job);
                let ready_at = cx.ready_at.borrow().get(&key.model).copied();
                let ready_at = ready_at.filter(|_| !is_loaded);
                if let Some(ready_at) = ready_at.filter(|at| *at > latest) {
                    let return_in = ready_at.saturating_duration_since(now);
                    job.trace.note(format_args!(
                        "model not loaded, expected in {} ms, {} ms left",
                        return_in.as_millis(),
                        latest.saturating_duration_since(now).as_millis()
                    ));
                    return Err(NotPicked { failure: Failure::ModelNotInTime, return_in });
                }
                if want.is_none() {
                    job.trace.note(format_args!(
                        "waits for the {}, expected in {:?} ms",
                        if is_loaded { "adapter" } else { "model" },
                        ready_at.map(|at| at.saturating_duration_since(now).as_millis())
                    ));
                    want = Some(Want::new(cx, &job.service, key));
                }
                latest
            }
            Choice::Full => {
                let ends = *place_wait_ends.get_or_insert_with(|| {
                    let left = latest.saturating_duration_since(now);
                    now + queue_patience(job.route.priority, job.route.latency_target, left)
                });
                if now >= ends {
                    job.trace.note("all servers with the model have a full queue");
                    return Err(NotPicked { failure: Failure::Full, return_in: FULL_RETURN });
                }
                ends.min(now + PLACE_POLL)
            }
            Choice::Unreachable if job.has_engine => {
                // The order giver brings the model to another server.
                if let Some(key) = key(job) {
                    want.get_or_insert_with(|| Want::new(cx, &job.service, key));
                }
                latest.min(now + UNREACHABLE_POLL)
            }
            Choice::Unreachable | Choice::NoServer => {
                *service_wait_ends.get_or_insert(latest.min(now + SERVICE_WAIT))
            }
        };
        if *cx.phase.borrow() >= Phase::Closing {
            return Err(NotPicked { failure: Failure::NotServing, return_in: Duration::ZERO });
        }
        if now >= latest {
            let failure = if want.is_some() { Failure::ModelNotInTime } else { Failure::TimeOver };
            return Err(NotPicked { failure, return_in: SERVICE_WAIT });
        }
        if service_wait_ends.is_some_and(|ends| ends <= now) {
            job.trace.note("no server of the service can be reached");
            return Err(NotPicked { failure: Failure::NoServer, return_in: SERVICE_WAIT });
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(until.min(latest).into()) => {}
        }
    }
}
