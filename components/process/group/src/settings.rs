//! Settings of one group's decision object.

use types::prelude::*;

/// Settings of one group's decision object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The group.
    pub group: GroupId,
    /// This instance.
    pub instance: InstanceId,
    /// Delay before a failed call is repeated; doubled up to `retry_max` and jittered.
    pub retry_min: Duration,
    /// Upper bound of that delay.
    pub retry_max: Duration,
    /// An order without a trace is resolved by a higher fencing number after this time.
    pub order_timeout: Duration,
    /// Time between repeats of `seal` orders.
    pub seal_interval: Duration,
    /// A server that has not reported for this time is published as unreachable.
    pub unreachable_after: Duration,
    /// Least time between two returns or requests of allowance for the same model.
    pub transfer_interval: Duration,
    /// Loads under one permit of a server that checks fencing numbers.
    pub permit_loads: u32,
    /// Models under one permit.
    pub permit_models: usize,
}

impl Settings {
    /// The default settings for a group.
    pub fn new(group: impl Into<GroupId>, instance: impl Into<InstanceId>) -> Self {
        Self {
            group: group.into(),
            instance: instance.into(),
            retry_min: Duration::from_millis(100),
            retry_max: Duration::from_secs(3),
            order_timeout: Duration::from_secs(10),
            seal_interval: Duration::from_secs(1),
            unreachable_after: Duration::from_secs(5),
            transfer_interval: Duration::from_secs(1),
            permit_loads: 2,
            permit_models: 8,
        }
    }
}
