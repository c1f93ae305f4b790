//! Objects that the platform stores.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Value of `lease/INSTANCE`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseObject {
    /// The holder.
    pub instance: InstanceId,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Address for peer messages as `IP:PORT`.
    pub address: Box<str>,
    /// Data centre of the holder.
    pub data_centre: DataCentreId,
    /// Renewal counter; grows with every write of the same incarnation.
    pub counter: u64,
    /// Whether the holder is stopping.
    pub leaving: bool,
    /// Nonce of the last write, by which the holder recognises it after a lost answer.
    pub nonce: Nonce,
}

/// Value of `group/GROUP`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupObject {
    /// The group.
    pub group: GroupId,
    /// The owner; `None` from a handover until the next claim.
    pub owner: Option<InstanceId>,
    /// Incarnation of the owner, or of the instance that made the group vacant.
    pub incarnation: Incarnation,
    /// Fencing number; every claim raises it, and it never decreases.
    pub fencing: FencingNumber,
    /// Nonce of the last write.
    pub nonce: Nonce,
}
