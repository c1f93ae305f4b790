//! Objects that are kept in the platform.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Value of `lease/INSTANCE`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseObject {
    /// The holder.
    pub instance: InstanceId,
    /// The run of the holder's process.
    pub incarnation: Incarnation,
    /// Address for peer messages as `IP:PORT`.
    pub address: Box<str>,
    /// Data centre of the holder.
    pub data_centre: DataCentreId,
    /// Grows with every renewal of one incarnation.
    pub counter: u64,
    /// Set once the holder is stopping.
    pub leaving: bool,
    /// Nonce of the last write.
    pub nonce: Nonce,
}

/// Value of `group/GROUP`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupObject {
    /// The group.
    pub group: GroupId,
    /// The owner; `None` after a hand-over until a successor claims the group.
    pub owner: Option<InstanceId>,
    /// Incarnation of the owner.
    pub incarnation: Incarnation,
    /// Grows with every claim and never decreases.
    pub fencing: FencingNumber,
    /// Nonce of the last write.
    pub nonce: Nonce,
}
