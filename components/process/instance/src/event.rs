//! Events that tasks send to the event loop.

use accounting::Writer;
use admission::Ticket;
use admission::shares::{DataCentreShare, ShareGrant};
use backend_server::{CacheEvents, SendError};
use group::OrderResult;
use idempotency::Segment;
use types::object::{CallId, ObjectAnswer};
use types::prelude::*;

use crate::attempt::AttemptEnd;
use crate::message::{ClaimAnswer, ClaimMessage, DemandReply, FinishMessage};
use crate::retention::SweepAnswer;
use crate::share_objects::VersionedShare;

/// Result of a task.
pub(crate) enum Event {
    /// A platform call has ended.
    Answer { caller: PlatformCaller, call: CallId, answer: ObjectAnswer },
    /// The platform's list was read, or the read failed.
    InstanceList(Option<Vec<ListedInstance>>),
    /// The watched head of the configuration changed, or its watch was restarted.
    HeadChanged,
    /// A server's report was read, or the read failed.
    Report {
        group: GroupId,
        server: BackendServerId,
        requested: Instant,
        result: Result<Box<ServerReport>, SendError>,
    },
    /// An order was sent, or sending it failed.
    OrderResult { group: GroupId, server: BackendServerId, order: OrderId, result: OrderResult },
    /// Cache events of a server were read.
    CacheEvents { group: GroupId, server: BackendServerId, events: CacheEvents },
    /// An attempt has ended.
    Attempt(Box<AttemptEnd>),
    /// The owner of a group answered a demand, or could not be reached.
    Demand { target: Target, group: GroupId, reply: Option<DemandReply> },
    /// The owner of a key range answered a claim, or could not be reached.
    Claim { ticket: Ticket, answer: Option<ClaimAnswer> },
    /// The owner of a key range was read from the platform for a claim.
    KeyOwner { range: u32, owner: Option<InstanceId>, claim: (Ticket, ClaimMessage, Instant) },
    /// The owner of a key range has to be notified again of the end of a recorded call.
    RetryFinish { message: FinishMessage, retries: u32 },
    /// The holder of the limits answered; `None` if it granted nothing or could not be reached.
    Share(Option<ShareGrant>),
    /// The data centre's share was read and rewritten, or that failed.
    ShareOpened { fencing: FencingNumber, opened: Option<VersionedShare> },
    /// A write of the data centre's share ended; `version` is `None` if it is not known to have
    /// succeeded.
    ShareWritten { fencing: FencingNumber, version: Option<ObjectVersion> },
    /// The share of another data centre was read, or the read failed.
    OtherShare { fencing: FencingNumber, share: Option<DataCentreShare> },
    /// The holder of another data centre's limits answered, or could not be reached.
    ShareOffer {
        fencing: FencingNumber,
        from: DataCentreId,
        lengths: Option<BTreeMap<ClientAccountId, u64>>,
    },
    /// The deletion of a key range's segment has ended.
    SegmentDeleted { range: u32, number: u64, is_deleted: bool },
    /// A write of counted work has ended.
    WorkWritten { generation: u64, written: bool },
    /// A write of a group's closed intervals has ended.
    UsageWritten { group: GroupId, replicas: Vec<ReplicaId>, written: bool },
    /// A sweep of old records has determined the writers and confirmed the time, or must not start.
    SweepStarted(Option<(SystemTime, Vec<Writer>)>),
    /// A platform call of a sweep has ended.
    SweepCallEnded(SweepAnswer),
    /// The stored segments of a key range were read, or the read failed.
    Segments { range: u32, stored: Option<Vec<(ObjectVersion, Segment)>> },
}

/// Part of the event loop that made a platform call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PlatformCaller {
    Ownership,
    Configuration,
    Group(GroupId),
    KeyRange(u32),
}
