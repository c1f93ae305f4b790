//! Messages between instances.

use std::net::SocketAddr;

use admission::quota::{QuotaGrant, QuotaRequest};
use admission::waiting::WaitingGroup;
use quarantine::PublishedBan;
use replica_placement::{BootTime, HeldLease, InstanceName};
use routes::{AdapterName, ModelName, ServiceName};
use serde::{Deserialize, Serialize};
use server_choice::PaceSum;
use server_directory::{RecentChanges, ServerId};

use super::ModelKey;
use super::crashes::{PublishedQuarantine, QuarantineReport};
use super::long_prompts::LongPromptsNotice;

/// A message between instances, sent as one datagram. The next message makes up for a lost one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// State of an instance, sent to the leader.
    Status(Status),
    /// State of the leader, sent to all other instances.
    #[serde(rename = "Homes")]
    LeaderUpdate(LeaderUpdate),
    /// The leader released its lease. Sent to the instance that should claim it.
    Released,
    /// A message that the receiver passes on to other instances and then handles itself.
    PassOn(PassOn),
    /// Holdings that did not fit into a [`LeaderUpdate`].
    Holdings(HoldingsPart),
    /// New bans of an instance, sent to all others.
    Bans(BanNotice),
    /// Asks the holder of the sender's share in the quotas for tokens.
    QuotaRequest(QuotaRequest),
    /// Answers a [`QuotaRequest`].
    QuotaGrant(QuotaGrant),
    /// Long prompts that servers are reading.
    LongPrompts(LongPromptsNotice),
    /// A [`Message::Status`] with its `waiting_groups`. Sent only where the configuration has client
    /// accounts or several ranks.
    StatusByAccount(Status, Vec<Vec<WaitingGroup>>),
    /// Supplements [`LeaderUpdate::queued`]. Sent only where the configuration has client accounts.
    QueuedByAccount(QueuedByAccount),
}

/// Requests that an instance found to end servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct BanNotice {
    pub(crate) from: InstanceName,
    pub(crate) bans: Vec<PublishedBan>,
}

/// A message of the leader for the instances of another data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct PassOn {
    pub(crate) to: Vec<SocketAddr>,
    /// An encoded [`Message`].
    pub(crate) message: Vec<u8>,
}

/// Holdings of some servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct HoldingsPart {
    pub(crate) from: InstanceName,
    /// When the leader sent this, by its own clock.
    pub(crate) sent_at: BootTime,
    pub(crate) lease: HeldLease,
    pub(crate) holdings: Vec<ServerHoldings>,
}

/// Requests that wait although a server has their model, by rank and client account.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct QueuedByAccount {
    pub(crate) from: InstanceName,
    /// When the leader sent this, by its own clock.
    pub(crate) sent_at: BootTime,
    pub(crate) lease: HeldLease,
    pub(crate) queued: Vec<(ModelName, Vec<WaitingGroup>)>,
}

/// Hash of a server's id, which is shorter. Two servers with the same hash, which is unlikely, get
/// the sum of their figures.
pub(crate) type ServerKey = u32;

/// The key of a server.
pub(crate) fn server_key(server: &str) -> ServerKey {
    xxhash_rust::xxh3::xxh3_64(server.as_bytes()) as ServerKey
}

/// Requests in flight at the servers. One of `parts` is complete; of the other servers, which it
/// does not name with a remainder of `part`, it holds those whose figure changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct InFlightFigures {
    pub(crate) part: u32,
    pub(crate) parts: u32,
    pub(crate) counts: Vec<(ServerKey, u32)>,
}

/// State of an instance, sent to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Status {
    pub(crate) from: InstanceName,
    pub(crate) data_centre: Box<str>,
    /// Random number drawn at each start. If it differs, the counts of the previous run do not
    /// apply.
    #[serde(rename = "run")]
    pub(crate) incarnation: u64,
    pub(crate) is_leaving: bool,
    /// The machine is small: the instance should lead only if no larger one can.
    pub(crate) is_small: bool,
    /// Seconds since its start.
    pub(crate) up_for_s: u32,
    /// Requests in flight by server and model.
    pub(crate) in_flight: Vec<(ServerId, Vec<(ModelName, u32)>)>,
    /// Arrivals since the start, for models with recent requests.
    pub(crate) arrivals: Vec<(ModelKey, u64)>,
    /// Servers that the instance recently failed to reach.
    pub(crate) unreachable: Vec<ServerId>,
    /// Servers that refused a request for a model that they should hold.
    #[serde(rename = "mistaken")]
    pub(crate) stale_holdings: Vec<ServerId>,
    /// Pace of servers as measured since the last status.
    pub(crate) paces: Vec<(ServerKey, PaceSum)>,
    /// Waiting requests: service, model, number of requests.
    #[serde(rename = "wants")]
    pub(crate) waiting: Vec<(ServiceName, ModelKey, u32)>,
    /// Groups of each entry of `waiting`, in the same order. Empty where the configuration has
    /// neither client accounts nor several ranks; a message of its own carries them.
    #[serde(skip)]
    pub(crate) waiting_groups: Vec<Vec<WaitingGroup>>,
    /// Servers that said lately that they are leaving, and the start of their runs.
    pub(crate) leaving: Vec<(ServerId, u64)>,
    pub(crate) quarantine: QuarantineReport,
}

/// The part of a server's holdings that matters for routing requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct ServerHoldings {
    pub(crate) server: ServerId,
    pub(crate) born: u64,
    pub(crate) models: Vec<(ModelName, Vec<AdapterName>)>,
    pub(crate) loading: Option<ModelName>,
}

/// Revision of one kind of objects in the store up to which the leader is in sync. While this is
/// recent, the other instances call the store only if their own revision differs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct SyncedRevision {
    /// Revision of the last change that the other instances must know of.
    #[serde(rename = "mark")]
    pub(crate) revision: u64,
    /// Milliseconds since the store last confirmed this revision.
    pub(crate) age_ms: u32,
}

/// State of the leader, sent to all other instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct LeaderUpdate {
    pub(crate) from: InstanceName,
    /// Address for messages to the leader.
    pub(crate) address: SocketAddr,
    /// When the leader sent this, by its own clock.
    pub(crate) sent_at: BootTime,
    pub(crate) lease: HeldLease,
    /// Number of instances that recently sent a message, including the sender.
    pub(crate) instances: u32,
    pub(crate) registry: SyncedRevision,
    pub(crate) configuration: SyncedRevision,
    /// Recent changes of the registry.
    pub(crate) registry_changes: RecentChanges,
    /// Holdings of some servers: those that changed, and the others in rotation.
    #[serde(rename = "held")]
    pub(crate) holdings: Vec<ServerHoldings>,
    /// Concurrency limit of loads from the weight store, as the leader has adapted it.
    #[serde(rename = "store_at_once")]
    pub(crate) store_concurrent_loads: u8,
    /// Requests in flight from all instances. `None` in messages that only report a change.
    pub(crate) in_flight: Option<InFlightFigures>,
    /// Slow servers, and by which factor they are slower than usual, in percent.
    pub(crate) slow: Vec<(ServerKey, u16)>,
    /// Requests of all instances that wait for room at the servers of a model, for models with
    /// more than one such request.
    pub(crate) queued: Vec<(ModelName, u32)>,
    /// Expected milliseconds until each model with waiting requests is loaded; a complete list.
    pub(crate) ready_in: Vec<(ModelName, u32)>,
    /// Servers that said lately that they are leaving, and the start of their runs.
    pub(crate) leaving: Vec<(ServerId, u64)>,
    pub(crate) quarantine: PublishedQuarantine,
    /// Milliseconds for which the leader has followed the registry without an outage, up to its last
    /// confirmation.
    pub(crate) registry_steady_ms: u32,
    /// Instances that hold shares in the quotas if the leader fails, the next one first. Empty
    /// where no account has a quota.
    pub(crate) quota_holders: Vec<InstanceName>,
    /// Number of registered instances, the sender included; 0 if it is not known.
    pub(crate) registered: u32,
}
