//! The promises, checked from what callers and servers saw.

use std::collections::HashMap;
use std::time::Duration;

use platform_stand_in::{Outcome, RouteKind, Server};

/// Least time between the orders of two holders, as the settings of the processes say.
const TURN_GAP: Duration = Duration::from_secs(1);

/// A request and what its caller was told.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    pub(crate) id: String,
    pub(crate) kind: RouteKind,
    pub(crate) outcome: Outcome,
    /// Its instance was killed, paused or not running at some time during the request.
    pub(crate) is_excused: bool,
    /// It was sent after all faults were over.
    pub(crate) is_calm: bool,
}

fn events(count: u64) -> String {
    (1..=count).map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect()
}

/// Everything that was promised and not kept.
pub(crate) fn findings(told: &[Told], servers: &[Server]) -> Vec<String> {
    let mut findings = Vec::new();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for server in servers {
        for (id, count) in server.all_runs() {
            *runs.entry(id).or_default() += count;
        }
        if server.over_capacity_loads() > 0 {
            findings.push(format!("{}: ordered beyond its memory", server.cfg.id));
        }
        let orders = server.orders();
        for pair in orders.windows(2).filter(|pair| pair[0].leader != pair[1].leader) {
            if pair[1].received_at - pair[0].received_at < TURN_GAP
                || pair[1].fence <= pair[0].fence
            {
                findings.push(format!("{}: two holders took turns: {pair:?}", server.cfg.id));
            }
        }
    }
    for request in told {
        let Told { id, kind, outcome, .. } = request;
        let ran = runs.get(id).copied().unwrap_or(0);
        let is_once = matches!(kind, RouteKind::NonIdempotent | RouteKind::Stream);
        if is_once && ran > 1 {
            findings.push(format!("{id} {kind:?}: ran {ran} times"));
        }
        if is_once && ran > 0 && matches!(outcome.status, Some(408 | 421 | 429 | 503)) {
            findings.push(format!("{id} {kind:?}: refused as not run, but ran: {outcome:?}"));
        }
        if outcome.status == Some(200) {
            let is_own = outcome.id.as_deref() == Some(id)
                && outcome.signature.as_deref().is_some_and(|s| s.contains(id.as_str()));
            if !is_own {
                findings.push(format!("{id} {kind:?}: answer of another request: {outcome:?}"));
            }
            let is_stream = matches!(kind, RouteKind::Stream | RouteKind::Resumable);
            let is_whole = match is_stream {
                true => outcome.body == events(servers[0].cfg.events),
                false => outcome.body.starts_with(&format!("{id} by ")),
            };
            if outcome.is_complete && !is_whole {
                findings.push(format!("{id} {kind:?}: wrong body: {outcome:?}"));
            }
        }
        if matches!(outcome.status, Some(400 | 401 | 403 | 404)) {
            findings.push(format!("{id} {kind:?}: denied: {outcome:?}"));
        }
        if outcome.status.is_none() && !outcome.has_timed_out && !request.is_excused {
            findings.push(format!("{id} {kind:?}: no answer"));
        }
        if request.is_calm && (outcome.status != Some(200) || !outcome.is_complete) {
            findings.push(format!("{id} {kind:?}: not served after the faults: {outcome:?}"));
        }
    }
    findings
}
