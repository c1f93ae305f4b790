//! Settings of one group's decision object.

use types::prelude::*;

/// Settings of one group's decision object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The group.
    pub group: GroupId,
    /// This instance.
    pub instance: InstanceId,
    /// Delay before the first retry of a failed platform call. Doubles with each failure up to
    /// `retry_max` and is jittered.
    pub retry_min: Duration,
    /// Upper bound of the retry delay.
    pub retry_max: Duration,
    /// Time after which a higher fencing number is requested to resolve an order that has no known
    /// outcome.
    pub order_timeout: Duration,
    /// Time between `seal` orders to a server that is not sealed yet.
    pub seal_interval: Duration,
    /// A server that has not reported for this time is published as unreachable.
    pub unreachable_after: Duration,
    /// Minimum time between two passes over the pool of the same model, before jitter reduces it to
    /// between half and all of it.
    pub transfer_interval: Duration,
    /// Maximum number of loads under one permit at a server that checks fencing numbers.
    pub permit_loads: u32,
    /// Maximum number of models under one permit.
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
