//! Demand that waits for a load to start.

use types::prelude::*;

use crate::event::Demand;
use crate::view::View;

/// Urgency is computed with at least this much slack.
const MIN_SLACK: Duration = Duration::from_secs(1);

/// Time after which the nearest sources are looked up again. Each load checks its source itself.
const SOURCES_TTL: Duration = Duration::from_secs(1);

/// The demand of all instances for one model.
#[derive(Clone, Debug)]
pub(crate) struct PendingDemand {
    /// Number of waiting requests and value of one of them, by instance.
    waiting: BTreeMap<InstanceId, (u32, u32)>,
    /// When the first demand arrived.
    pub(crate) since: Instant,
    /// Earliest deadline.
    pub(crate) deadline: Instant,
    /// Latest deadline, at which the demand expires.
    pub(crate) latest_deadline: Instant,
    /// Memory that is being freed for this load.
    pub(crate) reservation: Option<Reservation>,
    /// Nearest source for each server of the view, looked up again after `sources_valid_until`.
    pub(crate) sources: Vec<LoadSource>,
    sources_valid_until: Instant,
}

/// Memory on a server that is being freed for one load.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) server: BackendServerId,
    pub(crate) memory: u64,
    pub(crate) until: Instant,
    /// Index of the server in the view when the memory was reserved.
    pub(crate) index_hint: usize,
}

impl PendingDemand {
    pub(crate) fn new(demand: &Demand, now: Instant) -> Self {
        let mut p = Self {
            waiting: BTreeMap::new(),
            since: now,
            deadline: demand.deadline,
            latest_deadline: demand.deadline,
            reservation: None,
            sources: Vec::new(),
            sources_valid_until: now,
        };
        p.merge(demand);
        p
    }

    /// Adds the demand of one instance, replacing the waiting requests that it reported before.
    pub(crate) fn merge(&mut self, demand: &Demand) {
        self.waiting.insert(demand.from.clone(), (demand.waiting.max(1), demand.worth_milli));
        self.deadline = self.deadline.min(demand.deadline);
        self.latest_deadline = self.latest_deadline.max(demand.deadline);
    }

    /// Looks up the nearest sources if they are unknown or outdated.
    pub(crate) fn refresh_sources(&mut self, model: &str, view: &View, now: Instant) {
        if self.sources.len() != view.servers.len() || self.sources_valid_until <= now {
            self.sources = view.servers.iter().map(|s| s.nearest_source(model)).collect();
            self.sources_valid_until = now + SOURCES_TTL;
        }
    }

    /// Makes the next `refresh_sources` look up the sources again.
    pub(crate) fn invalidate_sources(&mut self) {
        self.sources.clear();
    }

    /// Value of all waiting requests, in thousandths.
    pub(crate) fn value(&self) -> f32 {
        self.waiting.values().map(|&(n, value)| n as f32 * value as f32).sum()
    }

    /// Value at stake per second of slack; demand with more of it is served first.
    pub(crate) fn urgency(&self, now: Instant) -> f32 {
        let slack = self.deadline.saturating_duration_since(now).max(MIN_SLACK);
        self.value().max(1.0) / slack.as_secs_f32()
    }
}
