//! Checks the guarantees of the system against what callers and servers saw.

use std::collections::HashMap;
use std::time::Duration;

use platform_stand_in::{Outcome, RouteKind, Server};

/// Minimum time between the orders of two leaders, as in the settings of the processes.
const MIN_LEADER_GAP: Duration = Duration::from_secs(1);

/// A request and its outcome at the caller.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) id: String,
    pub(crate) kind: RouteKind,
    pub(crate) outcome: Outcome,
    /// Whether its instance was killed, paused or not running at some time during the request.
    pub(crate) overlaps_fault: bool,
    /// Whether it was sent after all faults had ended.
    pub(crate) is_after_faults: bool,
}

fn event_stream(count: u64) -> String {
    (1..=count).map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect()
}

/// Returns a line for each violated guarantee.
pub(crate) fn violations(requests: &[RequestRecord], servers: &[Server]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for server in servers {
        for (id, count) in server.all_runs() {
            *runs.entry(id).or_default() += count;
        }
        if server.over_capacity_loads() > 0 {
            violations.push(format!("{}: orders exceed its memory", server.cfg.id));
        }
        let orders = server.orders();
        for pair in orders.windows(2).filter(|pair| pair[0].leader != pair[1].leader) {
            if pair[1].received_at - pair[0].received_at < MIN_LEADER_GAP
                || pair[1].fence <= pair[0].fence
            {
                violations.push(format!(
                    "{}: orders of two leaders too close or without a rising fence: {pair:?}",
                    server.cfg.id
                ));
            }
        }
    }
    for request in requests {
        let RequestRecord { id, kind, outcome, .. } = request;
        let run_count = runs.get(id).copied().unwrap_or(0);
        let is_at_most_once = matches!(kind, RouteKind::NonIdempotent | RouteKind::Stream);
        if is_at_most_once && run_count > 1 {
            violations.push(format!("{id} {kind:?}: ran {run_count} times"));
        }
        if is_at_most_once && run_count > 0 && matches!(outcome.status, Some(408 | 421 | 429 | 503))
        {
            violations.push(format!("{id} {kind:?}: refused as not run, but ran: {outcome:?}"));
        }
        if outcome.status == Some(200) {
            let is_own_response = outcome.id.as_deref() == Some(id)
                && outcome.signature.as_deref().is_some_and(|s| s.contains(id.as_str()));
            if !is_own_response {
                violations.push(format!("{id} {kind:?}: response of another request: {outcome:?}"));
            }
            let is_stream = matches!(kind, RouteKind::Stream | RouteKind::Resumable);
            let has_expected_body = match is_stream {
                true => outcome.body == event_stream(servers[0].cfg.events),
                false => outcome.body.starts_with(&format!("{id} by ")),
            };
            if outcome.is_complete && !has_expected_body {
                violations.push(format!("{id} {kind:?}: wrong body: {outcome:?}"));
            }
        }
        if matches!(outcome.status, Some(400 | 401 | 403 | 404)) {
            violations.push(format!("{id} {kind:?}: denied: {outcome:?}"));
        }
        if outcome.status.is_none() && !outcome.has_timed_out && !request.overlaps_fault {
            violations.push(format!("{id} {kind:?}: no response"));
        }
        if request.is_after_faults && (outcome.status != Some(200) || !outcome.is_complete) {
            violations.push(format!("{id} {kind:?}: not served after the faults: {outcome:?}"));
        }
    }
    violations
}
