//! Messages that instances exchange.

use std::sync::Arc;

use admission::shares::{HolderState, ShareGrant, ShareRequest};
use configuration::ConfigurationMessage;
use idempotency::{Answer, ClaimId, EntryState, Fingerprint, KeyHash};
use membership::{Heartbeat, Summary};
use ownership::{Announcement, Handover};
use routing::CacheEvent;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use group::{FullState, GroupChanges};

/// A message to another instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// A summary of a data centre.
    Summary(Summary),
    /// The groups that an instance owns, with their fencing numbers.
    Announcement(Announcement),
    /// Handover of a group that its owner has released.
    Handover(Handover),
    /// Part of the distribution of the configuration.
    Configuration(ConfigurationMessage),
    /// Full state of a group, from its owner.
    GroupState(Arc<FullState>),
    /// Changes to the state of a group, from its owner.
    GroupChanges(Arc<GroupChanges>),
    /// Requests the full state of a group from its owner, after a publication was missed.
    StateWanted(GroupId),
    /// Cache events of a replica, from the owner of its group.
    CacheEvents {
        /// The replica.
        replica: ReplicaRef,
        /// The events, in the order in which the owner received them.
        events: Vec<CacheEvent>,
    },
    /// Counts of requests that arrived since the last message, for the arrival history.
    Arrivals(Vec<ArrivalCount>),
    /// Demand for a target in a group of another owner; answered by `PeerReply::Demand`.
    Demand(DemandMessage),
    /// Claims an idempotency key; answered by `PeerReply::Claim`.
    Claim(ClaimMessage),
    /// Reports how a granted call ended; answered by `Taken` or `NotOwner`.
    Finish(FinishMessage),
    /// Grants of a holder of the limits that stops as planned, sent to its successor.
    ShareState(HolderState),
    /// Requests a share of the limits; answered by `PeerReply::Share`.
    Share(ShareRequest),
    /// Requests parts from the holder of another data centre's limits; answered by
    /// `PeerReply::ShareOffer`.
    ShareWants(PartsRequest),
    /// The share object of the named data centre, which is the sender's, has changed.
    ShareChanged(DataCentreId),
}

/// Answer to a message.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// The message was accepted.
    Taken,
    /// The receiver does not own the group or key range of the message.
    NotOwner,
    /// Answer to `Demand`.
    Demand(DemandReply),
    /// Answer to `Claim`.
    Claim(ClaimAnswer),
    /// Answer to `Share`; `None` if nothing can be granted now.
    Share(Option<ShareGrant>),
    /// Answer to `ShareWants`: lengths that the requester may expect within about 30 s.
    ShareOffer(BTreeMap<ClientAccountId, u64>),
}

/// Request for parts of the limits that a data centre lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartsRequest {
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Unmet lengths by client account; at most `admission::shares::MAX_ACCOUNTS_PER_REQUEST`.
    pub unmet: BTreeMap<ClientAccountId, u64>,
}

/// Requests of one model that arrived at one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ArrivalCount {
    /// The model.
    pub model: ModelId,
    /// Number of requests.
    pub count: u32,
    /// Worth of one request.
    pub worth_milli: u32,
    /// Time left to the earliest first-token deadline of the requests.
    pub remaining_ms: u64,
}

/// Demand for a target in a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemandMessage {
    /// Group that is asked to serve the target.
    pub group: GroupId,
    /// The model, and the adapter if the requests name one.
    pub target: Target,
    /// Requests that wait at the sender.
    pub waiting: u32,
    /// Worth of one request.
    pub worth_milli: u32,
    /// Time left to the earliest deadline.
    pub remaining_ms: u64,
}

/// Estimate of when a target can be ready.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DemandReply {
    /// The target is expected to be ready after this time.
    ReadyIn {
        /// Time from the receipt of the reply.
        ms: u64,
    },
    /// The group cannot load the target.
    Unreachable,
}

/// Claim of an idempotency key.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimMessage {
    /// Hash of the client account's key.
    pub key: KeyHash,
    /// Hash of the call, which must be the same under one key.
    pub fingerprint: Fingerprint,
    /// The claim is refused if it is not stored within this time.
    pub decide_within_ms: u64,
}

/// Answer to a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The key is recorded; the call may be dispatched once.
    Granted(ClaimId),
    /// The call finished earlier.
    Recorded(Arc<Answer>),
    /// The call may not be dispatched.
    Refused {
        /// Whether the earlier call may have run.
        verdict: Verdict,
        /// Reason of the refusal.
        reason: Reason,
    },
}

/// How a granted call ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FinishMessage {
    /// Hash of the client account's key.
    pub key: KeyHash,
    /// The granted claim.
    pub claim: ClaimId,
    /// How the call ended.
    pub state: EntryState,
}

/// Returns the time left until `deadline` in milliseconds, the form that messages use.
pub(crate) fn remaining_ms(deadline: Instant, now: Instant) -> u64 {
    u64::try_from(deadline.saturating_duration_since(now).as_millis()).unwrap_or(u64::MAX)
}

/// Converts a received remaining time to a deadline.
pub(crate) fn deadline_in(ms: u64, now: Instant) -> Instant {
    /// Longer times make no sense and could overflow the clock.
    const MAX_REMAINING: Duration = Duration::from_secs(7 * 24 * 3600);
    now + Duration::from_millis(ms).min(MAX_REMAINING)
}
