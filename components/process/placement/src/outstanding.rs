//! Decisions whose outcome is not known yet.

use types::prelude::*;

use crate::event::Decision;
use crate::view::{ServerView, View};

/// An order that the view does not show after this time has been lost.
const ACCEPT_LIMIT: Duration = Duration::from_secs(10);
/// A prefetch without an outcome no longer counts after this time.
const PREFETCH_LIMIT: Duration = Duration::from_secs(120);

/// A load, unload or prefetch that was decided.
#[derive(Clone, Debug)]
pub(crate) struct Issued {
    pub(crate) server: BackendServerId,
    pub(crate) what: What,
    at: Instant,
    /// When the load is expected to end.
    pub(crate) ready_at: Instant,
    /// Whether the view has shown the order.
    seen: bool,
    /// Position of the server in the view when last seen there.
    hint: usize,
}

/// What was decided.
#[derive(Clone, Debug)]
pub(crate) enum What {
    Load { model: ModelId, memory: u64, source: LoadSource, before: Vec<ReplicaId> },
    Unload { replica: ReplicaId },
    Prefetch { model: ModelId, source: LoadSource },
}

/// All decisions whose outcome is not known yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outstanding {
    issued: Vec<Issued>,
    /// Number of loads and unloads in `issued` that the view does not show yet; mostly zero, which
    /// saves the search through `issued`.
    unseen: usize,
}

impl Outstanding {
    pub(crate) fn add(&mut self, server: &ServerView, what: What, now: Instant, ready_at: Instant) {
        self.unseen += usize::from(!matches!(what, What::Prefetch { .. }));
        self.issued.push(Issued {
            server: server.server.clone(),
            what,
            at: now,
            ready_at,
            seen: false,
            hint: 0,
        });
    }

    /// Drops what the view shows as done and what was lost.
    pub(crate) fn resolve(&mut self, view: &View, now: Instant) {
        self.issued.retain_mut(|i| match position(view, &i.server, i.hint) {
            None => false,
            Some(at) => {
                i.hint = at;
                i.keep(&view.servers[at], now)
            }
        });
        self.count_unseen();
    }

    fn count_unseen(&mut self) {
        let unseen = |i: &&Issued| !i.seen && !matches!(i.what, What::Prefetch { .. });
        self.unseen = self.issued.iter().filter(unseen).count();
    }

    /// Drops the load of a model on a server once its outcome was reported.
    pub(crate) fn load_ended(&mut self, server: &str, model: &str) {
        self.issued.retain(|i| {
            !(&*i.server == server
                && matches!(&i.what, What::Load { model: m, .. } if &**m == model))
        });
    }

    /// Drops the prefetch of a model on a server once its outcome was reported.
    pub(crate) fn prefetch_ended(&mut self, server: &str, model: &str) {
        self.issued.retain(|i| {
            !(&*i.server == server
                && matches!(&i.what, What::Prefetch { model: m, .. } if &**m == model))
        });
    }

    /// Drops a decision that was not carried out.
    pub(crate) fn rejected(&mut self, decision: &Decision) {
        match decision {
            Decision::Load { server, model, .. } => self.load_ended(server, model),
            Decision::Prefetch { server, model, .. } => self.prefetch_ended(server, model),
            Decision::Unload { server, replica } => {
                self.issued.retain(|i| {
                    !(i.server == *server
                        && matches!(i.what, What::Unload { replica: r } if r == *replica))
                });
                self.count_unseen();
            }
            Decision::LoadAdapter { .. } | Decision::Unreachable { .. } => {}
        }
    }

    /// Accelerator memory of loads on a server that the view does not show yet.
    pub(crate) fn unseen_memory(&self, server: &str) -> u64 {
        self.unseen(server)
            .map(|i| if let What::Load { memory, .. } = i.what { memory } else { 0 })
            .sum()
    }

    /// Whether the unload of a replica was decided and the view does not show it yet.
    pub(crate) fn unloads(&self, server: &str, replica: ReplicaId) -> bool {
        self.unseen(server).any(|i| matches!(i.what, What::Unload { replica: r } if r == replica))
    }

    fn unseen(&self, server: &str) -> impl Iterator<Item = &Issued> {
        let searched = if self.unseen == 0 { &[][..] } else { &self.issued[..] };
        searched.iter().filter(move |i| !i.seen && &*i.server == server)
    }

    /// Loads of a model in progress.
    pub(crate) fn loads_of<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Issued> {
        self.issued
            .iter()
            .filter(move |i| matches!(&i.what, What::Load { model: m, .. } if &**m == model))
    }

    /// Loads of a model that the view does not show yet, so that its allowance still counts them.
    pub(crate) fn unseen_loads_of(&self, model: &str) -> u32 {
        if self.unseen == 0 {
            return 0;
        }
        self.loads_of(model).filter(|i| !i.seen).count() as u32
    }

    /// Prefetches of a model in progress.
    pub(crate) fn prefetches(&self, model: &str) -> bool {
        self.issued
            .iter()
            .any(|i| matches!(&i.what, What::Prefetch { model: m, .. } if &**m == model))
    }

    /// Loads and prefetches from the weight store in progress.
    pub(crate) fn store_loads(&self) -> u32 {
        self.store_work().count() as u32
    }

    /// When the first load or prefetch from the store in progress is expected to end.
    pub(crate) fn next_store_end(&self) -> Option<Instant> {
        self.store_work().map(|i| i.ready_at).min()
    }

    fn store_work(&self) -> impl Iterator<Item = &Issued> {
        self.issued.iter().filter(|i| {
            matches!(
                i.what,
                What::Load { source: LoadSource::Remote, .. }
                    | What::Prefetch { source: LoadSource::Remote, .. }
            )
        })
    }

    /// Prefetches in progress, whatever the source.
    pub(crate) fn prefetches_on(&self, server: &str) -> usize {
        self.issued
            .iter()
            .filter(|i| &*i.server == server && matches!(i.what, What::Prefetch { .. }))
            .count()
    }
}

impl Issued {
    /// Whether the order is still outstanding, given its server's present state.
    fn keep(&mut self, server: &ServerView, now: Instant) -> bool {
        let lost = now >= self.at + ACCEPT_LIMIT;
        match &self.what {
            What::Load { model, before, .. } => {
                let replica = server
                    .replicas
                    .iter()
                    .find(|r| r.model == *model && !before.contains(&r.replica));
                match replica {
                    Some(r) => {
                        self.seen = true;
                        r.phase == ReplicaPhase::Loading
                    }
                    None => !self.seen && !lost,
                }
            }
            What::Unload { replica } => {
                let shown = server.replicas.iter().find(|r| r.replica == *replica);
                shown.is_some_and(|r| r.phase != ReplicaPhase::Unloading) && !lost
            }
            // The checkpoint may come to host memory by a load while the prefetch still runs.
            What::Prefetch { .. } => now < self.at + PREFETCH_LIMIT,
        }
    }
}

/// Position of a server, looked for at `hint` first.
pub(crate) fn position(view: &View, server: &str, hint: usize) -> Option<usize> {
    if view.servers.get(hint).is_some_and(|s| &*s.server == server) {
        return Some(hint);
    }
    view.servers.iter().position(|s| &*s.server == server)
}
