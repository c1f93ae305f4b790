//! Selects a server for a request among those that can run it now.

use std::rc::Rc;
use std::time::{Duration, Instant};

use platform_adapter::Prompt;
use rand::Rng;
use server_choice::{
    Affinity, Candidate, PromptMix, affinity_key, choose_server, in_flight_limit, turn_probability,
};
use server_directory::{Directory, Server, ServerId};

use super::Job;
use crate::metrics::PromptLabel;
use crate::process::{Entry, PUBLISH_INTERVAL, takes_place};

/// The server selected for a request.
#[derive(Clone, Debug)]
pub(crate) struct Selection {
    pub(crate) id: ServerId,
    pub(crate) address: std::net::SocketAddr,
    /// Revision of the registry entry that the selection is based on.
    pub(crate) revision: u64,
    /// Requests in flight at the server from all instances, as far as known.
    pub(crate) in_flight: u32,
    /// Requests that the server runs concurrently.
    pub(crate) slots: u32,
    /// Data centre of the server.
    pub(crate) data_centre: Box<str>,
    /// Number of servers that could have been selected.
    pub(crate) candidate_count: usize,
    /// What the server has to read before the first event; `None` if it is no engine.
    pub(crate) reading: Option<ReadingForecast>,
}

/// Prompts that a server has to read before the first event of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadingForecast {
    /// Unread tokens of the long prompts that it was sent before.
    pub(crate) tokens_ahead: u64,
    /// Tokens of the request's prompt that the server likely does not keep.
    pub(crate) unread: u64,
    /// How long the server reads them, if the prompt is long.
    pub(crate) long_read: Option<Duration>,
    /// Predicted time from the send to the first event.
    pub(crate) first_event: Duration,
    /// Whether the time to the first event shows how fast the server reads: it has a free slot and
    /// is not slow, and what it keeps of the prompt matters little.
    pub(crate) shows_pace: bool,
}

/// Result of one try to select a server.
pub(super) enum SelectResult {
    Selected(Box<Selection>),
    /// Every server that can run the request was already tried, and none of them is unreachable.
    AllTried,
    /// Every server that is left to try has a full queue.
    Full,
    /// Requests like it may end servers; this is known by the given time.
    Suspected(Instant),
    /// Every server that is left to try asked for a pause; the first one ends at this time.
    Paused(Instant),
    /// Every server that can run the request was already tried, and some are unreachable now.
    Unreachable,
    /// No server has both the model and the adapter.
    NotLoaded,
    /// No server of the service accepts new requests.
    NoServer,
}

/// Servers of the request's service that accept new requests.
fn accepting_servers<'a>(
    directory: &'a Directory,
    job: &'a Job,
) -> impl Iterator<Item = &'a Server> {
    directory
        .servers()
        .filter(|server| server.entry.service == job.service && !server.entry.is_draining)
}

/// Accepting servers that can run the request, because they have its model and adapter or it
/// needs none.
fn eligible_servers<'a>(
    directory: &'a Directory,
    job: &'a Job,
) -> impl Iterator<Item = &'a Server> {
    let prompt = job.prompt();
    accepting_servers(directory, job)
        .filter(move |server| prompt.is_none_or(|p| server.serves(&p.model, p.adapter.as_deref())))
}

/// Whether an accepting server has the request's model, with or without the adapter.
pub(super) fn has_model(cx: &Entry, job: &Job) -> bool {
    let Some(prompt) = job.prompt() else { return false };
    accepting_servers(&cx.directory.borrow(), job).any(|server| server.serves(&prompt.model, None))
}

/// Whether a server other than `server` has a free slot for the request now.
pub(crate) fn has_free_slot_elsewhere(cx: &Entry, job: &Job, server: &str) -> bool {
    let now = Instant::now();
    let health = cx.health.borrow();
    let reach = cx.reach.borrow();
    eligible_servers(&cx.directory.borrow(), job).any(|other| {
        let id = &other.entry.id;
        **id != *server
            && !reach.is_cut_off(&other.entry.data_centre)
            && !job.tried.contains(id)
            && !health.get(id).is_some_and(|health| health.is_backing_off(now))
            && cx.admits_request(id)
            && cx.in_flight_at(id) < other.entry.slots
    })
}

/// Servers to select from, sorted by id: those that this request has not tried and that are
/// reachable. If none of them is reachable, the untried ones, since trying one is better than
/// failing; but none of a data centre that is cut off, which is probed without requests.
fn untried_servers<'a>(
    cx: &Entry,
    job: &Job,
    eligible: &[&'a Server],
) -> Result<Vec<&'a Server>, SelectResult> {
    let now = Instant::now();
    let health = cx.health.borrow();
    let is_backing_off = |server: &&&Server| {
        health.get(&server.entry.id).is_some_and(|health| health.is_backing_off(now))
    };
    let reach = cx.reach.borrow();
    let is_cut_off = |server: &Server| reach.is_cut_off(&server.entry.data_centre);
    let untried = || {
        let untried = eligible.iter().filter(|server| !job.tried.contains(&server.entry.id));
        untried.filter(|server| !is_cut_off(server))
    };
    let mut servers: Vec<&Server> = untried().filter(|s| !is_backing_off(s)).copied().collect();
    if servers.is_empty() {
        if !eligible.iter().any(|server| is_backing_off(&server) || is_cut_off(server)) {
            return Err(SelectResult::AllTried);
        }
        servers = untried().copied().collect();
    }
    if servers.is_empty() {
        return Err(SelectResult::Unreachable);
    }
    let pauses: Vec<Instant> =
        servers.iter().filter_map(|server| cx.paused_until(&server.entry.id)).collect();
    let are_all_paused = pauses.len() == servers.len();
    servers.retain(|server| cx.admits_request(&server.entry.id));
    if servers.is_empty() {
        let first_end = pauses.into_iter().min().filter(|_| are_all_paused);
        return Err(first_end.map_or(SelectResult::Full, SelectResult::Paused));
    }
    servers.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
    Ok(servers)
}

/// Whether a candidate has room for the request, and the request gets a turn among those that wait
/// for the same room at all instances.
fn gets_turn(cx: &Rc<Entry>, job: &Job, candidates: &[Candidate<'_>], now: Instant) -> bool {
    let run_time = cx.run_times.borrow().get(&job.service).copied().unwrap_or_default();
    let (rank, target) = (job.rank(), job.route.latency_target);
    let room = |c: &Candidate<'_>| {
        // A slow server gets as much as it can run in the time of a usual one.
        let slots = (f64::from(c.slots) / c.slowness).max(1.0) as u32;
        in_flight_limit(slots, rank, target, run_time).saturating_sub(c.in_flight)
    };
    let room: u32 = candidates.iter().map(room).sum();
    if cx.has_accounts() {
        return takes_place(cx, job, room, now);
    }
    if room == 0 || job.lost_turn_until.get().is_some_and(|until| until > now) {
        return false;
    }
    let queued = job.prompt().and_then(|p| cx.queued.borrow().get(&p.model).copied());
    let has_turn = rand::rng().random::<f64>() < turn_probability(room, queued.unwrap_or(0));
    job.lost_turn_until.set((!has_turn).then(|| now + PUBLISH_INTERVAL));
    has_turn
}

pub(super) fn try_select(cx: &Rc<Entry>, job: &Job) -> SelectResult {
    let now = Instant::now();
    let directory = cx.directory.borrow();
    let eligible: Vec<&Server> = eligible_servers(&directory, job).collect();
    if eligible.is_empty() {
        let has_servers = accepting_servers(&directory, job).next().is_some();
        return if has_servers { SelectResult::NotLoaded } else { SelectResult::NoServer };
    }
    let servers = match untried_servers(cx, job, &eligible) {
        Ok(servers) => servers,
        Err(result) => {
            // The others in its queue do not wait for a request that can use no place.
            job.place.take();
            return result;
        }
    };
    let health = cx.health.borrow();
    let mix = cx.prompt_mixes.borrow().get(&job.service).copied().unwrap_or_default();
    let mut long_prompts = cx.long_prompts.borrow_mut();
    let unread = long_prompts.unread(now);
    let ahead = |server: &Server| unread.at(&server.entry.id);
    let candidates: Vec<Candidate<'_>> = servers
        .iter()
        .map(|server| Candidate {
            id: &server.entry.id,
            is_local: server.entry.data_centre == cx.settings.data_centre,
            in_flight: cx.in_flight_at(&server.entry.id),
            slots: server.entry.slots,
            failures: health.get(&server.entry.id).map_or(0.0, |health| health.failures(now)),
            slowness: cx.slowness(&server.entry.id),
            reading: mix.reading_cost(ahead(server)),
        })
        .collect();
    if job.has_engine && !gets_turn(cx, job, &candidates, now) {
        return SelectResult::Full;
    }
    let prefix_affinity = job.prompt().and_then(|p| prefix_affinity(job, p, &mix));
    let Some(choice) = choose_server(&candidates, prefix_affinity, rand::rng().random()) else {
        return SelectResult::NoServer;
    };
    let (candidate, server) = (&candidates[choice.index], servers[choice.index]);
    let reading = job.prompt().map(|prompt| {
        let kept = if choice.is_preferred { prompt.shared_tokens } else { 0 };
        forecast(job, prompt, kept, &mix, candidate, ahead(server))
    });
    if choice.avoids_reading {
        let is_long = reading.is_some_and(|reading| reading.long_read.is_some());
        let prompt = if is_long { "long" } else { "short" };
        cx.metrics.reading_servers_avoided.get_or_create(&PromptLabel { prompt }).inc();
    }
    SelectResult::Selected(Box::new(Selection {
        id: server.entry.id.clone(),
        address: server.entry.address,
        revision: server.revision,
        in_flight: candidate.in_flight,
        slots: server.entry.slots,
        data_centre: server.entry.data_centre.clone(),
        candidate_count: candidates.len(),
        reading,
    }))
}

/// Whether the request holds up others at a server that reads this many tokens of its prompt.
fn is_long(job: &Job, tokens: u64, mix: &PromptMix) -> bool {
    job.stream_target.is_some_and(|target| mix.is_long(tokens, target))
}

/// Preference for the server that caches the longest shared prefix of the prompt. For a long prompt
/// it is as strong as reading the prefix takes.
fn prefix_affinity(job: &Job, prompt: &Prompt, mix: &PromptMix) -> Option<Affinity> {
    let affinity = affinity_key(&prompt.model, prompt.shared_prefix()?);
    if !is_long(job, prompt.prompt_tokens, mix) {
        return Some(affinity);
    }
    Some(affinity.with_reading_cost(mix.reading_cost(mix.read_time(prompt.shared_tokens))))
}

/// What a server that keeps `kept` tokens of the prompt has to read before the first event of the
/// request, if its unread long prompts take `ahead` to read.
fn forecast(
    job: &Job,
    prompt: &Prompt,
    kept: u64,
    mix: &PromptMix,
    server: &Candidate<'_>,
    ahead: Duration,
) -> ReadingForecast {
    let unread = prompt.prompt_tokens.saturating_sub(kept);
    ReadingForecast {
        tokens_ahead: mix.tokens_in(ahead),
        unread,
        long_read: is_long(job, unread, mix).then(|| mix.read_time(unread)),
        first_event: mix.first_event(ahead, unread, server.slowness),
        shows_pace: ahead.is_zero()
            && server.in_flight < server.slots
            && server.slowness <= 1.0
            && prompt.shared_tokens * 2 <= prompt.prompt_tokens,
    }
}
