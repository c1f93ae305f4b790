//! Demand that waits for a load to start.

use types::prelude::*;

use crate::event::Demand;
use crate::view::View;

/// Slack below which demand is as urgent as it gets.
const LEAST_SLACK: Duration = Duration::from_secs(1);

/// Copies are looked up again after this time; the load itself always checks.
const COPIES_RECENT: Duration = Duration::from_secs(1);

/// The demand of all instances for one model.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    /// Waiting requests and worth of one of them, by instance.
    waiting: BTreeMap<InstanceId, (u32, u32)>,
    /// When the demand came first.
    pub(crate) since: Instant,
    /// Earliest deadline.
    pub(crate) deadline: Instant,
    /// Latest deadline; the demand lapses then.
    pub(crate) last_deadline: Instant,
    /// Server where memory is being freed for this load.
    pub(crate) claim: Option<Claim>,
    /// Nearest copy for each server of the view, looked up again after `copies_until`.
    pub(crate) copies: Vec<LoadSource>,
    copies_until: Instant,
}

/// Memory on a server that is being freed for one load.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) server: BackendServerId,
    pub(crate) memory: u64,
    pub(crate) until: Instant,
    /// Position of the server in the view when the memory was claimed.
    pub(crate) hint: usize,
}

impl Pending {
    pub(crate) fn new(demand: &Demand, now: Instant) -> Self {
        let mut p = Self {
            waiting: BTreeMap::new(),
            since: now,
            deadline: demand.deadline,
            last_deadline: demand.deadline,
            claim: None,
            copies: Vec::new(),
            copies_until: now,
        };
        p.merge(demand);
        p
    }

    /// Adds the demand of one instance, replacing what it said before.
    pub(crate) fn merge(&mut self, demand: &Demand) {
        self.waiting.insert(demand.from.clone(), (demand.waiting.max(1), demand.worth_milli));
        self.deadline = self.deadline.min(demand.deadline);
        self.last_deadline = self.last_deadline.max(demand.deadline);
    }

    /// Looks up the nearest copies if they are not known or not recent.
    pub(crate) fn find_copies(&mut self, model: &str, view: &View, now: Instant) {
        if self.copies.len() != view.servers.len() || self.copies_until <= now {
            self.copies = view.servers.iter().map(|s| s.nearest_source(model)).collect();
            self.copies_until = now + COPIES_RECENT;
        }
    }

    /// Makes the next search look up the copies again.
    pub(crate) fn forget_copies(&mut self) {
        self.copies.clear();
    }

    /// Worth of all waiting requests, in thousandths.
    pub(crate) fn worth(&self) -> f32 {
        self.waiting.values().map(|&(n, worth)| n as f32 * worth as f32).sum()
    }

    /// Worth at stake for each second of slack; demand with more of it is served first.
    pub(crate) fn urgency(&self, now: Instant) -> f32 {
        let slack = self.deadline.saturating_duration_since(now).max(LEAST_SLACK);
        self.worth().max(1.0) / slack.as_secs_f32()
    }
}
