//! Objects that the group stores in the platform.

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
    /// Fencing number of the owner; never decreases.
    pub fencing: FencingNumber,
    /// Nonce of the last write.
    pub nonce: Nonce,
    /// The next replica number; all lower numbers may be in use.
    pub next_replica: ReplicaId,
    /// The next order number; all lower numbers may be in use.
    pub next_order: OrderId,
    /// Servers with their replicas, orders and permits.
    pub servers: BTreeMap<BackendServerId, ServerRecord>,
    /// Number of replicas that the group may have loaded, by model. Never less than the replicas of
    /// the model that are recorded, that unresolved loads may create and that permits allow.
    pub allowances: BTreeMap<ModelId, u32>,
    /// Transfers to a pool that are not known to have arrived. They are already deducted from
    /// `allowances`.
    pub transfers: Vec<Transfer>,
    /// Receipts for transfers from a pool. They are already added to `allowances`, but the pool may
    /// still list them.
    pub receipts: Vec<Receipt>,
    /// Ended accelerator intervals that are not yet recorded as usage.
    pub intervals: Vec<Interval>,
}

/// Recorded state of one backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerRecord {
    /// Incarnation that the record belongs to; `None` before the first report.
    pub incarnation: Option<Incarnation>,
    /// Whether the server refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Total accelerator memory; zero before the first report.
    pub memory_total: u64,
    /// Replicas that are loaded or may be loaded. The sum of their memory and of the permit's
    /// memory is at most `memory_total`, except after a report has shown unrecorded replicas.
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
    /// Requests that the replica runs at the same time.
    pub max_batch: u32,
    /// Time of the decision to load; start of the accelerator interval.
    pub decided_at: SystemTime,
    /// The last known stage.
    pub stage: ReplicaStage,
}

/// Last known stage of a replica's life.
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
    /// The command.
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
    /// Number of replicas of each model that may be loaded. Counts against the allowance.
    pub models: BTreeMap<ModelId, u32>,
    /// First of the order numbers that the loads use.
    pub first_order: OrderId,
    /// First of the replica numbers that the loads use.
    pub first_replica: ReplicaId,
    /// Fencing number under which the orders are sent.
    pub fencing: FencingNumber,
    /// When the permit was recorded; a successor that finds a replica loaded under it starts the
    /// replica's accelerator interval here.
    pub since: SystemTime,
}

/// A transfer of allowance that is in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transfer {
    /// Identifies the transfer in both objects.
    pub nonce: Nonce,
    /// The model.
    pub model: ModelId,
    /// Number of replicas.
    pub count: u32,
    /// Receiver of the allowance.
    pub to: TransferTarget,
}

/// Receiver of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TransferTarget {
    /// `pool/MODEL`.
    Pool,
    /// `decision/GROUP`.
    Group(GroupId),
}

/// Proof that the receiver has added a transfer; kept until the donor has removed the transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Receipt {
    /// Nonce of the transfer.
    pub nonce: Nonce,
    /// The model.
    pub model: ModelId,
}

/// Proof that a pool has added a transfer from a group; kept until the group has removed the
/// transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolReceipt {
    /// Nonce of the transfer.
    pub nonce: Nonce,
    /// Group that gave the allowance.
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
    /// Time of the decision to load.
    pub from: SystemTime,
    /// Time at which the unload was proved.
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
    /// Replicas not allotted to a group. Negative after the declared count was lowered below the
    /// allotted count; until it is positive again, the pool grants nothing.
    pub free: i64,
    /// Transfers to groups that are not known to have arrived. They are already deducted from
    /// `free`.
    pub transfers: Vec<Transfer>,
    /// Receipts for transfers from groups. They are already added to `free`, but the group may
    /// still list them.
    pub receipts: Vec<PoolReceipt>,
    /// Groups that found the pool empty, so that the owners of other groups return allowance that
    /// they do not use.
    pub wanted: BTreeSet<GroupId>,
    /// Nonce of the last write.
    pub nonce: Nonce,
}
