//! Events of the simulation and the order in which they happen.

use group::OrderResult;
use peer::Frame;
use types::object::{CallId, CallPriority, ObjectAnswer, ObjectCall};
use types::prelude::*;

use crate::node::Caller;
use crate::server_model::{PendingChange, Report};

/// An event at one point in virtual time.
pub(crate) enum Event {
    Timer {
        node: usize,
    },
    Deliver {
        to: usize,
        frame: Frame,
    },
    Admit {
        node: usize,
        call: PlatformCall,
    },
    Answer {
        node: usize,
        caller: Caller,
        call: CallId,
        answer: ObjectAnswer,
    },
    HeadChanged {
        node: usize,
    },
    List {
        node: usize,
    },
    Report {
        node: usize,
        group: GroupId,
        server: BackendServerId,
        requested: Instant,
        report: Report,
        revision: u64,
    },
    OrderArrives {
        node: usize,
        group: GroupId,
        server: BackendServerId,
        order: Order,
    },
    OrderResult {
        node: usize,
        group: GroupId,
        server: BackendServerId,
        order: OrderId,
        result: OrderResult,
    },
    ServerChange {
        server: usize,
        change: PendingChange,
    },
    ApplyAnswer {
        call: CallId,
        answer: ObjectAnswer,
    },
    ApplyTimer,
    Churn {
        is_model: bool,
    },
    Change,
    Traffic,
}

/// A platform call that waits until the instance's call budget admits it.
pub(crate) struct PlatformCall {
    pub(crate) caller: Caller,
    pub(crate) call: CallId,
    pub(crate) priority: CallPriority,
    pub(crate) request: ObjectCall,
    pub(crate) deadline: Instant,
}

/// An event and its time.
pub(crate) struct Scheduled {
    pub(crate) at: Instant,
    pub(crate) sequence: u64,
    /// Node that the event belongs to and its run number. Events of an earlier run are dropped.
    pub(crate) run: Option<(usize, u64)>,
    pub(crate) event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
