//! Reports of an engine, whose load figures lag.

use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use tokio::time::Instant;
use types::load_report::{LOADS_ONLY, revision};
use types::prelude::*;

use crate::http_server::{Body, json};

use super::state::{Inner, LoadFigures, State};

/// Builds the response to a request for the report. It holds only the load figures if the reader
/// has the current revision of the rest and accepts a delta.
pub(super) fn response(req: &HeaderMap, report: &ServerReport) -> Response<Body> {
    let revision = format!("\"{}\"", revision(report));
    let has_header = |name: &str, value: &str| req.get(name).is_some_and(|found| found == value);
    let is_loads_only = has_header("if-none-match", &revision) && has_header("a-im", LOADS_ONLY);
    let mut response = match is_loads_only {
        true => json(StatusCode::IM_USED, &LoadReport::from_report(report)),
        false => json(StatusCode::OK, report),
    };
    let headers = response.headers_mut();
    if is_loads_only {
        headers.insert("im", HeaderValue::from_static(LOADS_ONLY));
    }
    let revision = HeaderValue::try_from(revision).expect("hex digits make a header");
    headers.insert(header::ETAG, revision);
    response
}

/// Builds the current report.
pub(super) fn report(inner: &Inner, state: &State) -> ServerReport {
    let lag = inner.cfg.report_lag;
    let figures = state.load_figures_at(Instant::now(), lag);
    let load_age_ms = lag.as_millis() as u64;
    ServerReport {
        server: inner.cfg.name.clone(),
        incarnation: state.incarnation,
        checks_fencing: inner.cfg.checks_fencing,
        highest_fencing: state.highest_fencing,
        memory_total: inner.cfg.memory_total,
        memory_used: state.memory_used(),
        role: state.role,
        leaving: state.leaving_since.is_some(),
        replicas: replica_reports(state, &figures),
        outcomes: state.outcomes.iter().cloned().collect(),
        cached_in_memory: state.memory_cache.list(),
        cached_on_disk: state.disk_cache.list(),
        load_age_ms,
    }
}

fn replica_reports(state: &State, figures: &LoadFigures) -> Vec<ReplicaReport> {
    let replica_report = |(id, replica): (&ReplicaId, &super::state::Replica)| {
        let (running, queued) = figures.get(id).copied().unwrap_or_default();
        ReplicaReport {
            replica: *id,
            model: replica.model.clone(),
            version: replica.version.clone(),
            phase: replica.phase,
            memory_bytes: replica.memory_bytes,
            adapters: replica.adapters.clone(),
            running,
            queued,
        }
    };
    state.replicas.iter().map(replica_report).collect()
}
