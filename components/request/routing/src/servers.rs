//! Backend servers and whether they may get new work.

use types::prelude::*;

use crate::tables::SlotIndex;

/// What the sources say of one backend server.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) address: Box<str>,
    /// Replicas with whether their phase is `Ready`.
    pub(crate) replicas: Vec<(SlotIndex, bool)>,
    /// Calls of plain services in flight from this instance.
    pub(crate) calls: u32,
    pub(crate) published: Option<Published>,
    /// Incarnation that reported itself as leaving; a restart ends that.
    pub(crate) reported_leaving: Option<Incarnation>,
    pub(crate) listed: Option<ListedState>,
    pub(crate) excluded_until: Option<Instant>,
}

/// What the owner's latest publication says of one backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Published {
    pub(crate) incarnation: Incarnation,
    pub(crate) leaving: bool,
    pub(crate) reachable: bool,
}

impl Server {
    /// Whether new work may be sent. One source that speaks against it is enough, because all of
    /// them lag.
    pub(crate) fn is_usable(&self) -> bool {
        let published = self.published.is_none_or(|p| p.reachable && !p.leaving);
        let listed = self.listed != Some(ListedState::Leaving);
        published && listed && self.reported_leaving.is_none() && self.excluded_until.is_none()
    }

    /// Drops the report of an incarnation that publications have left behind. A publication that
    /// merely lags shows the incarnation that it showed before.
    pub(crate) fn restarted_as(&mut self, incarnation: Incarnation) {
        if self.published.is_some_and(|p| p.incarnation != incarnation) {
            self.reported_leaving = self.reported_leaving.filter(|i| *i == incarnation);
        }
    }

    /// Whether any source still knows the backend server. An exclusion outlives a publication that
    /// leaves the server out for a while.
    pub(crate) fn is_known(&self) -> bool {
        self.published.is_some()
            || self.listed.is_some()
            || self.calls > 0
            || self.excluded_until.is_some()
    }
}
