//! Events that tasks pass to the loop.

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
    /// A platform call ended.
    Answer { caller: PlatformCaller, call: CallId, answer: ObjectAnswer },
    /// The platform's list was read, or could not be read.
    InstanceList(Option<Vec<ListedInstance>>),
    /// The watched head changed, or its watch was started again.
    HeadChanged,
    /// A backend server's report was read, or could not be read.
    Report {
        group: GroupId,
        server: BackendServerId,
        requested: Instant,
        result: Result<Box<ServerReport>, SendError>,
    },
    /// Sending an order ended.
    OrderResult { group: GroupId, server: BackendServerId, order: OrderId, result: OrderResult },
    /// Cache events of a backend server were read.
    CacheEvents { group: GroupId, server: BackendServerId, events: CacheEvents },
    /// An attempt ended.
    Attempt(Box<AttemptEnd>),
    /// The owner of a group answered a demand, or could not be reached.
    Demand { target: Target, group: GroupId, reply: Option<DemandReply> },
    /// The owner of a key range answered a claim, or could not be reached.
    Claim { ticket: Ticket, answer: Option<ClaimAnswer> },
    /// The owner of a key range was read from the platform for a claim.
    KeyOwner { range: u32, owner: Option<InstanceId>, claim: (Ticket, ClaimMessage, Instant) },
    /// The end of a recorded call is to be told to the owner of its key range again.
    RetryFinish { message: FinishMessage, retries: u32 },
    /// The holder of the limits answered.
    Share(Option<ShareGrant>),
    /// The data centre's standing share was read and written again, or could not be.
    ShareOpened { fencing: FencingNumber, opened: Option<VersionedShare> },
    /// The data centre's standing share was written, or it is not certain that it was.
    ShareWritten { fencing: FencingNumber, version: Option<ObjectVersion> },
    /// The share of another data centre was read, or could not be read.
    OtherShare { fencing: FencingNumber, share: Option<DataCentreShare> },
    /// The holder of another data centre's limits answered, or could not be reached.
    ShareOffer {
        fencing: FencingNumber,
        from: DataCentreId,
        lengths: Option<BTreeMap<ClientAccountId, u64>>,
    },
    /// The deletion of a segment of a key range ended.
    SegmentDeleted { range: u32, number: u64, is_deleted: bool },
    /// Writing counted work ended.
    WorkWritten { generation: u64, written: bool },
    /// Writing a group's ended intervals ended.
    UsageWritten { group: GroupId, replicas: Vec<ReplicaId>, written: bool },
    /// A sweep of old records has its writers and a confirmed time, or must not begin.
    SweepStarted(Option<(SystemTime, Vec<Writer>)>),
    /// A call of a sweep ended.
    SweepCallEnded(SweepAnswer),
    /// The stored segments of a key range were read, or could not be read.
    Segments { range: u32, stored: Option<Vec<(ObjectVersion, Segment)>> },
}

/// Part of the loop that made a platform call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PlatformCaller {
    Ownership,
    Configuration,
    Group(GroupId),
    KeyRange(u32),
}
