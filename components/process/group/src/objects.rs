//! Objects that are kept in the platform.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Value of `decision/GROUP`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionObject {
    /// The group.
    pub group: GroupId,
    /// Instance that wrote the object.
    pub owner: InstanceId,
    /// Its fencing number; never decreases.
    pub fencing: FencingNumber,
    /// Nonce of the last write.
    pub nonce: Nonce,
    /// The next replica number; all numbers below may be in use.
    pub next_replica: ReplicaId,
    /// The next order number; all numbers below may be in use.
    pub next_order: OrderId,
    /// Servers with their replicas, orders and permits.
    pub servers: BTreeMap<BackendServerId, ServerRecord>,
    /// Replicas that the group may have loaded, by model. At least the counted replicas of the
    /// model: those recorded, those of unresolved loads and those under permits.
    pub allowances: BTreeMap<ModelId, u32>,
    /// Transfers to a pool that are not known to have arrived. Already deducted here.
    pub transfers: Vec<Transfer>,
    /// Transfers from a pool that were added here and may still stand in the pool.
    pub receipts: Vec<Receipt>,
    /// Ended accelerator intervals that are not booked yet.
    pub intervals: Vec<Interval>,
}

/// What is recorded of one backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerRecord {
    /// Incarnation that the record belongs to; `None` before the first report.
    pub incarnation: Option<Incarnation>,
    /// Whether the server refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Accelerator memory in all; zero before the first report.
    pub memory_total: u64,
    /// Replicas that are or may be loaded. The sum of their memory and of the permit's memory is
    /// at most `memory_total`, except after stray replicas were found.
    pub replicas: BTreeMap<ReplicaId, ReplicaRecord>,
    /// Unresolved orders; at most one if the server ignores fencing numbers.
    pub orders: BTreeMap<OrderId, OrderRecord>,
    /// The standing permit.
    pub permit: Option<Permit>,
}

/// A replica whose memory is reserved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaRecord {
    /// The model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: Box<str>,
    /// Accelerator memory, the adapter pool included.
    pub memory_bytes: u64,
    /// Accelerators, for the cost split.
    pub accelerators: u32,
    /// Adapters that fit in the pool.
    pub adapter_slots: u32,
    /// Requests that the replica runs at one time.
    pub max_batch: u32,
    /// When the load was decided; start of the accelerator interval.
    pub decided_at: SystemTime,
    /// How far the replica is known to have come.
    pub stage: ReplicaStage,
}

/// How far a replica is known to have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaStage {
    /// The load order is unresolved.
    Ordered,
    /// A report has shown the replica.
    Seen,
    /// The unload order is recorded.
    Unloading,
}

/// An unresolved order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRecord {
    /// Fencing number under which the order is sent.
    pub fencing: FencingNumber,
    /// What the order asks for.
    pub kind: OrderKind,
}

/// A standing permit: load orders that the owner may issue without a further write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Permit {
    /// Reserved memory; the loads under the permit fit in it together.
    pub memory_bytes: u64,
    /// Load orders that may be issued; exactly one if the server ignores fencing numbers.
    pub loads: u32,
    /// Models and how many replicas of each may be loaded. Counted against the allowance.
    pub models: BTreeMap<ModelId, u32>,
    /// The loads use the order numbers from here on.
    pub first_order: OrderId,
    /// The loads use the replica numbers from here on.
    pub first_replica: ReplicaId,
    /// Fencing number under which the orders are sent.
    pub fencing: FencingNumber,
    /// When the permit was recorded; start of the interval of a replica found by a successor.
    pub since: SystemTime,
}

/// An allowance on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transfer {
    /// Identifies the transfer at both ends.
    pub nonce: Nonce,
    /// The model.
    pub model: ModelId,
    /// Number of replicas.
    pub count: u32,
    /// The receiver.
    pub to: TransferEnd,
}

/// An end of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TransferEnd {
    /// `pool/MODEL`.
    Pool,
    /// `decision/GROUP`.
    Group(GroupId),
}

/// Proof that a transfer was added at the receiver; kept until the donor has cleared it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Receipt {
    /// Nonce of the transfer.
    pub nonce: Nonce,
    /// The model.
    pub model: ModelId,
}

/// Proof that a transfer from a group was added to a pool; kept until the group has cleared it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolReceipt {
    /// Nonce of the transfer.
    pub nonce: Nonce,
    /// The donor.
    pub group: GroupId,
}

/// An ended accelerator interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Interval {
    /// The replica; identifies the interval within the group.
    pub replica: ReplicaId,
    /// The model.
    pub model: ModelId,
    /// Accelerators in use.
    pub accelerators: u32,
    /// The decision to load.
    pub from: SystemTime,
    /// The proof of the unload.
    pub until: SystemTime,
}

/// Value of `pool/MODEL`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolObject {
    /// The model.
    pub model: ModelId,
    /// Declared replica count.
    pub declared: u32,
    /// Configuration version of the declared count; a lower one never replaces it.
    pub declared_version: ConfigurationVersion,
    /// Replicas not allotted to a group. Negative after the declared count was lowered below what
    /// is allotted; then nothing is given out.
    pub free: i64,
    /// Transfers to groups that are not known to have arrived. Already deducted from `free`.
    pub transfers: Vec<Transfer>,
    /// Transfers from groups that were added here and may still stand in the group.
    pub receipts: Vec<PoolReceipt>,
    /// Groups that found the pool empty. Another owner returns what it does not use.
    pub wanted: BTreeSet<GroupId>,
    /// Nonce of the last write.
    pub nonce: Nonce,
}
