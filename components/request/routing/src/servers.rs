//! Backend servers and whether new requests may be sent to them.

use types::prelude::*;

use crate::tables::SlotIndex;

/// State of one backend server according to all sources.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) address: Box<str>,
    /// Replicas, each with whether its phase is `Ready`.
    pub(crate) replicas: Vec<(SlotIndex, bool)>,
    /// Calls of a plain service in flight from this instance.
    pub(crate) calls_in_flight: u32,
    pub(crate) published: Option<PublishedState>,
    /// Incarnation that reported itself as leaving. The report ends when the server restarts.
    pub(crate) reported_leaving: Option<Incarnation>,
    /// State in the platform's list.
    pub(crate) listed_state: Option<ListedState>,
    /// End of a temporary exclusion.
    pub(crate) excluded_until: Option<Instant>,
}

/// State of one backend server in the owner's latest publication.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PublishedState {
    pub(crate) incarnation: Incarnation,
    pub(crate) leaving: bool,
    pub(crate) reachable: bool,
}

impl Server {
    /// Whether new requests may be sent to the server. A single source that rules this out is
    /// enough, because every source lags.
    pub(crate) fn is_usable(&self) -> bool {
        let published = self.published.is_none_or(|p| p.reachable && !p.leaving);
        let listed = self.listed_state != Some(ListedState::Leaving);
        published && listed && self.reported_leaving.is_none() && self.excluded_until.is_none()
    }

    /// Drops the leaving report of an earlier incarnation once a publication has a new incarnation.
    /// A publication that merely lags has the same incarnation as the one before.
    pub(crate) fn clear_outdated_report(&mut self, incarnation: Incarnation) {
        if self.published.is_some_and(|p| p.incarnation != incarnation) {
            self.reported_leaving = self.reported_leaving.filter(|i| *i == incarnation);
        }
    }

    /// Whether any source still knows the backend server. An exclusion stays in force if a
    /// publication omits the server for a while.
    pub(crate) fn is_known(&self) -> bool {
        self.published.is_some()
            || self.listed_state.is_some()
            || self.calls_in_flight > 0
            || self.excluded_until.is_some()
    }
}
