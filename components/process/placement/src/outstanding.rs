//! Decisions whose outcome is not known yet.

use types::prelude::*;

use crate::event::Decision;
use crate::view::{ServerView, View};

/// An order that the view does not show after this time counts as lost.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// A prefetch without an outcome counts as ended after this time.
const PREFETCH_TIMEOUT: Duration = Duration::from_secs(120);

/// A load, unload or prefetch whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingDecision {
    pub(crate) server: BackendServerId,
    pub(crate) action: Action,
    decided_at: Instant,
    /// When the load is expected to end.
    pub(crate) expected_end: Instant,
    /// Whether the view has shown the order.
    is_confirmed: bool,
    /// Index of the server in the view when last looked up.
    index_hint: usize,
}

/// The action that was decided. `existing` are the replicas of the model that the server had before
/// the load.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Load { model: ModelId, memory: u64, source: LoadSource, existing: Vec<ReplicaId> },
    Unload { replica: ReplicaId },
    Prefetch { model: ModelId, source: LoadSource },
}

/// All decisions whose outcome is not known yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outstanding {
    decisions: Vec<OutstandingDecision>,
    /// Number of loads and unloads in `decisions` that the view does not show yet. It is mostly
    /// zero, which saves the search through `decisions`.
    unconfirmed: usize,
}

impl Outstanding {
    pub(crate) fn add(
        &mut self,
        server: &ServerView,
        action: Action,
        now: Instant,
        expected_end: Instant,
    ) {
        self.unconfirmed += usize::from(!matches!(action, Action::Prefetch { .. }));
        self.decisions.push(OutstandingDecision {
            server: server.server.clone(),
            action,
            decided_at: now,
            expected_end,
            is_confirmed: false,
            index_hint: 0,
        });
    }

    /// Removes decisions that the view shows as carried out, and lost ones.
    pub(crate) fn resolve(&mut self, view: &View, now: Instant) {
        self.decisions.retain_mut(|d| match server_index(view, &d.server, d.index_hint) {
            None => false,
            Some(index) => {
                d.index_hint = index;
                d.update(&view.servers[index], now)
            }
        });
        self.count_unconfirmed();
    }

    fn count_unconfirmed(&mut self) {
        let unconfirmed = |d: &&OutstandingDecision| {
            !d.is_confirmed && !matches!(d.action, Action::Prefetch { .. })
        };
        self.unconfirmed = self.decisions.iter().filter(unconfirmed).count();
    }

    /// Removes the load of a model on a server once its outcome was reported.
    pub(crate) fn load_ended(&mut self, server: &str, model: &str) {
        self.decisions.retain(|d| {
            !(&*d.server == server
                && matches!(&d.action, Action::Load { model: m, .. } if &**m == model))
        });
    }

    /// Removes the prefetch of a model on a server once its outcome was reported.
    pub(crate) fn prefetch_ended(&mut self, server: &str, model: &str) {
        self.decisions.retain(|d| {
            !(&*d.server == server
                && matches!(&d.action, Action::Prefetch { model: m, .. } if &**m == model))
        });
    }

    /// Removes a decision that was not carried out.
    pub(crate) fn rejected(&mut self, decision: &Decision) {
        match decision {
            Decision::Load { server, model, .. } => self.load_ended(server, model),
            Decision::Prefetch { server, model, .. } => self.prefetch_ended(server, model),
            Decision::Unload { server, replica } => {
                self.decisions.retain(|d| {
                    !(d.server == *server
                        && matches!(d.action, Action::Unload { replica: r } if r == *replica))
                });
                self.count_unconfirmed();
            }
            Decision::LoadAdapter { .. } | Decision::Unreachable { .. } => {}
        }
    }

    /// Accelerator memory of loads on a server that the view does not show yet.
    pub(crate) fn unconfirmed_memory(&self, server: &str) -> u64 {
        self.unconfirmed(server)
            .map(|d| if let Action::Load { memory, .. } = d.action { memory } else { 0 })
            .sum()
    }

    /// Whether the unload of a replica was decided and the view does not show it yet.
    pub(crate) fn is_unloading(&self, server: &str, replica: ReplicaId) -> bool {
        self.unconfirmed(server)
            .any(|d| matches!(d.action, Action::Unload { replica: r } if r == replica))
    }

    fn unconfirmed(&self, server: &str) -> impl Iterator<Item = &OutstandingDecision> {
        let searched = if self.unconfirmed == 0 { &[][..] } else { &self.decisions[..] };
        searched.iter().filter(move |d| !d.is_confirmed && &*d.server == server)
    }

    /// Loads of a model in progress.
    pub(crate) fn loads_of<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = &'a OutstandingDecision> {
        self.decisions
            .iter()
            .filter(move |d| matches!(&d.action, Action::Load { model: m, .. } if &**m == model))
    }

    /// Number of loads of a model that the view does not show yet, so that its remaining allowance
    /// still includes them.
    pub(crate) fn unconfirmed_loads_of(&self, model: &str) -> u32 {
        if self.unconfirmed == 0 {
            return 0;
        }
        self.loads_of(model).filter(|d| !d.is_confirmed).count() as u32
    }

    /// Whether a prefetch of a model is in progress.
    pub(crate) fn is_prefetching(&self, model: &str) -> bool {
        self.decisions
            .iter()
            .any(|d| matches!(&d.action, Action::Prefetch { model: m, .. } if &**m == model))
    }

    /// Number of loads and prefetches from the weight store in progress.
    pub(crate) fn store_load_count(&self) -> u32 {
        self.store_transfers().count() as u32
    }

    /// When the first load or prefetch from the store in progress is expected to end.
    pub(crate) fn next_store_end(&self) -> Option<Instant> {
        self.store_transfers().map(|d| d.expected_end).min()
    }

    fn store_transfers(&self) -> impl Iterator<Item = &OutstandingDecision> {
        self.decisions.iter().filter(|d| {
            matches!(
                d.action,
                Action::Load { source: LoadSource::Remote, .. }
                    | Action::Prefetch { source: LoadSource::Remote, .. }
            )
        })
    }

    /// Number of prefetches in progress on a server, whatever the source.
    pub(crate) fn prefetch_count(&self, server: &str) -> usize {
        self.decisions
            .iter()
            .filter(|d| &*d.server == server && matches!(d.action, Action::Prefetch { .. }))
            .count()
    }
}

impl OutstandingDecision {
    /// Updates `is_confirmed` from the present state of the server; returns whether the decision is
    /// still outstanding.
    fn update(&mut self, server: &ServerView, now: Instant) -> bool {
        let is_overdue = now >= self.decided_at + ORDER_TIMEOUT;
        match &self.action {
            Action::Load { model, existing, .. } => {
                let replica = server
                    .replicas
                    .iter()
                    .find(|r| r.model == *model && !existing.contains(&r.replica));
                match replica {
                    Some(r) => {
                        self.is_confirmed = true;
                        r.phase == ReplicaPhase::Loading
                    }
                    None => !self.is_confirmed && !is_overdue,
                }
            }
            Action::Unload { replica } => {
                let shown = server.replicas.iter().find(|r| r.replica == *replica);
                shown.is_some_and(|r| r.phase != ReplicaPhase::Unloading) && !is_overdue
            }
            // A load may bring the checkpoint to host memory while the prefetch still runs.
            Action::Prefetch { .. } => now < self.decided_at + PREFETCH_TIMEOUT,
        }
    }
}

/// Index of a server in the view; tries `index_hint` first.
pub(crate) fn server_index(view: &View, server: &str, index_hint: usize) -> Option<usize> {
    if view.servers.get(index_hint).is_some_and(|s| &*s.server == server) {
        return Some(index_hint);
    }
    view.servers.iter().position(|s| &*s.server == server)
}
