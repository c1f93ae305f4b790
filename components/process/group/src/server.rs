//! Volatile state that the owner keeps of a backend server besides the decision object.

use types::prelude::*;

/// Progress of a recorded order of this process. An order of the decision object without an entry
/// was issued by an earlier owner, which may have sent it or may still send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderProgress {
    Unsent,
    /// `restarted`: a report has shown a new incarnation since the order was sent.
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
pub(crate) struct UnrecordedOrder {
    pub(crate) order: OrderId,
    pub(crate) kind: OrderKind,
    /// After this time the order no longer blocks other orders to a server that ignores fencing
    /// numbers, even if no outcome is known. `None` while the order is being sent.
    pub(crate) blocks_until: Option<Instant>,
}

/// Volatile state of one backend server.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) address: Box<str>,
    /// Whether the platform's list says that the server is leaving.
    pub(crate) is_listed_leaving: bool,
    pub(crate) report: Option<ServerReport>,
    /// When the last report was received; reports requested earlier prove nothing.
    pub(crate) received_at: Option<Instant>,
    /// Whether the server refuses all orders with a fencing number below this owner's.
    pub(crate) is_sealed: bool,
    pub(crate) next_seal_at: Option<Instant>,
    pub(crate) progress: BTreeMap<OrderId, OrderProgress>,
    pub(crate) unrecorded: Vec<UnrecordedOrder>,
    /// Whether this process granted the permit and so knows how much of it is used.
    pub(crate) has_own_permit: bool,
}

impl Server {
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_listed_leaving || self.report.as_ref().is_some_and(|report| report.leaving)
    }

    /// The last report of a replica.
    pub(crate) fn reported(&self, replica: ReplicaId) -> Option<&ReplicaReport> {
        self.report.as_ref()?.replicas.iter().find(|reported| reported.replica == replica)
    }

    /// Whether an unrecorded order may still be in flight.
    pub(crate) fn has_unrecorded(&self, now: Instant) -> bool {
        self.unrecorded.iter().any(|order| order.blocks_until.is_none_or(|until| now < until))
    }
}
