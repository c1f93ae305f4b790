//! What the owner knows of a backend server beyond the decision object. Soft state.

use types::prelude::*;

/// How far an order of this process has come. An order of the decision object without an entry
/// was given by an earlier owner and may have been sent or be sent still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    Unsent,
    /// `restarted`: a new incarnation was seen since the order was sent.
    Sent {
        at: Instant,
        restarted: bool,
    },
    Accepted {
        at: Instant,
        restarted: bool,
    },
    Lost {
        at: Instant,
    },
}

/// An order that reserves nothing and is not recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Unrecorded {
    pub(crate) order: OrderId,
    pub(crate) kind: OrderKind,
    /// From then on the order no longer keeps others from a server that ignores fencing numbers,
    /// if its result was lost.
    pub(crate) until: Option<Instant>,
}

/// Soft state of one backend server.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) address: Box<str>,
    /// Leaving by the platform's list.
    pub(crate) listed_leaving: bool,
    pub(crate) report: Option<ServerReport>,
    /// When the last report was received; older requests prove nothing.
    pub(crate) received: Option<Instant>,
    /// Whether the server refuses all orders below this owner's fencing number.
    pub(crate) sealed: bool,
    pub(crate) seal_at: Option<Instant>,
    pub(crate) progress: BTreeMap<OrderId, Progress>,
    pub(crate) unrecorded: Vec<Unrecorded>,
    /// Whether the permit was given by this process, which knows how much of it is used.
    pub(crate) own_permit: bool,
}

impl Server {
    pub(crate) fn is_leaving(&self) -> bool {
        self.listed_leaving || self.report.as_ref().is_some_and(|report| report.leaving)
    }

    /// The replica as last reported.
    pub(crate) fn reported(&self, replica: ReplicaId) -> Option<&ReplicaReport> {
        self.report.as_ref()?.replicas.iter().find(|reported| reported.replica == replica)
    }

    /// Whether an unrecorded order may still be on its way.
    pub(crate) fn has_unrecorded(&self, now: Instant) -> bool {
        self.unrecorded.iter().any(|order| order.until.is_none_or(|until| now < until))
    }
}
