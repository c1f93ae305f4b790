//! Lower bounds for a policy that knows all future requests; `docs/decisions/policy-bench.md`
//! derives them.

use crate::site::{SERVER_MEMORY, Site};
use crate::trace::{DAY_MS, MEASURED_FROM_MS, Request, days};
use crate::world::{LOAD_TIME_RATIO, UNLOAD_MS};

pub(crate) struct Bound {
    pub p50: u64,
    pub p99: u64,
    pub(crate) idle_hours: f64,
}

/// Spacing of the points in time at which occupied memory is counted.
const GRID_MS: u64 = 250;
/// Resolution of the bounds on waiting time.
const STEP_MS: u64 = 10;

pub(crate) fn compute(site: &Site, trace: &[Request]) -> Bound {
    let requests: Vec<&Request> =
        trace.iter().filter(|r| r.interactive && r.at >= MEASURED_FROM_MS).collect();
    let p = |q: f64| {
        // The quantile exceeds x if more than `allowed` requests wait longer than x.
        let allowed = requests.len() - (requests.len() as f64 * q).ceil() as usize;
        let (mut low, mut high) = (0, 30_000 / STEP_MS);
        if count_waiting_longer(site, &requests, 0) <= allowed {
            return 0;
        }
        while high - low > 1 {
            let middle = (low + high) / 2;
            let more = count_waiting_longer(site, &requests, middle * STEP_MS) > allowed;
            if more { low = middle } else { high = middle }
        }
        low * STEP_MS
    };
    Bound { p50: p(0.5), p99: p(0.99), idle_hours: idle_hours(site, trace) }
}

/// Returns the shortest possible time to load a model, in milliseconds.
fn min_load_time_ms(site: &Site, model: usize) -> u64 {
    let memory = site.model(model).load_time.memory.as_millis() as f64;
    (memory * LOAD_TIME_RATIO.0) as u64
}

/// Returns a lower bound, under any policy, on the number of requests that wait longer than `x`
/// milliseconds.
fn count_waiting_longer(site: &Site, requests: &[&Request], x: u64) -> usize {
    let smallest =
        site.catalogue.models.values().map(|m| m.memory_bytes).min().expect("has models");
    let slots = site.servers * (SERVER_MEMORY / smallest) as usize;
    // In its mandatory span, a request that waits at most x has its replica loaded, running or
    // being unloaded, whenever it starts.
    let spans: Vec<Option<(u64, u64)>> = requests
        .iter()
        .map(|r| {
            let from = (r.at + x).saturating_sub(min_load_time_ms(site, r.model));
            let to = r.at + r.service + UNLOAD_MS;
            (r.deadline - r.at > x && from < to).then_some((from, to))
        })
        .collect();
    let longest = spans.iter().flatten().map(|(a, b)| b - a).max().unwrap_or(0);
    let excess = excess_over_time(site, requests, &spans, slots);
    max_disjoint_sum(&excess, (longest / GRID_MS + 1) as usize)
}

/// Returns the points of the grid at which more models need a replica than fit into memory, each
/// with the least number of requests that must wait longer.
fn excess_over_time(
    site: &Site,
    requests: &[&Request],
    spans: &[Option<(u64, u64)>],
    slots: usize,
) -> Vec<(usize, u32)> {
    let mut changes: Vec<(u64, usize, bool)> = Vec::new();
    for (r, span) in requests.iter().zip(spans) {
        if let Some((a, b)) = span {
            // The span is half open: memory may be taken again at the instant of its release.
            let (first, last) = (a.div_ceil(GRID_MS), (b - 1) / GRID_MS);
            if first <= last {
                changes.push((first, r.model, true));
                changes.push((last + 1, r.model, false));
            }
        }
    }
    changes.sort_unstable();
    let mut active = vec![0u32; site.names.len()];
    let mut models = 0;
    let mut excess = Vec::new();
    let mut i = 0;
    while i < changes.len() {
        let t = changes[i].0;
        while i < changes.len() && changes[i].0 == t {
            let (_, m, begins) = changes[i];
            if begins {
                models += usize::from(active[m] == 0);
                active[m] += 1;
            } else {
                active[m] -= 1;
                models -= usize::from(active[m] == 0);
            }
            i += 1;
        }
        if models > slots {
            let mut counts: Vec<u32> = active.iter().copied().filter(|&n| n > 0).collect();
            counts.sort_unstable();
            let least: u32 = counts[..models - slots].iter().sum();
            excess.push((t as usize, least));
        }
    }
    excess
}

/// Returns the largest sum over points that are at least `distance` apart, so that no request
/// counts twice.
fn max_disjoint_sum(excess: &[(usize, u32)], distance: usize) -> usize {
    let mut best: Vec<usize> = Vec::with_capacity(excess.len() + 1);
    best.push(0);
    for (i, &(t, n)) in excess.iter().enumerate() {
        let before = excess.partition_point(|&(u, _)| u + distance <= t);
        best.push(best[i].max(best[before] + n as usize));
    }
    best.last().copied().unwrap_or(0)
}

/// Returns a lower bound on the idle accelerator hours of any policy that serves every interactive
/// request. Between two requests of a model that do not overlap even if the first is delayed to its
/// deadline, the replica either stays loaded or is unloaded and loaded again.
fn idle_hours(site: &Site, trace: &[Request]) -> f64 {
    let mut last_end: Vec<Option<u64>> = vec![None; site.names.len()];
    let mut idle_ms = 0;
    for r in trace.iter().filter(|r| r.at >= MEASURED_FROM_MS && r.at < days(site) * DAY_MS) {
        let end = r.deadline + r.service;
        let swap = UNLOAD_MS + min_load_time_ms(site, r.model);
        if let Some(e) = last_end[r.model] {
            idle_ms += r.at.saturating_sub(e).min(swap);
        }
        last_end[r.model] = Some(last_end[r.model].map_or(end, |e| e.max(end)));
    }
    idle_ms as f64 / 3_600_000.0
}
