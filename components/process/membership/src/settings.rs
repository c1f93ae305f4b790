//! Settings of one instance's membership.

use types::prelude::*;

/// Settings of one instance's membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This instance.
    pub instance: InstanceId,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Address for peer messages as `IP:PORT`.
    pub address: Box<str>,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Time between heartbeats, and between summaries.
    pub heartbeat_interval: Duration,
    /// Peers that get each heartbeat.
    pub heartbeat_peers: usize,
    /// Silence after which a member is suspected.
    pub suspect_after: Duration,
    /// Silence after which a member is considered failed.
    pub fail_after: Duration,
    /// Delegates of a data centre.
    pub delegates: usize,
    /// Rumours in one heartbeat. 24 rumours of about 60 bytes keep three heartbeats a second
    /// below 5 KB/s.
    pub rumours_per_heartbeat: usize,
    /// A summary older than this is no longer shown.
    pub summary_lifetime: Duration,
    /// Time between two summaries with a body, and between two that are passed on in the data
    /// centre. At 16 s, a body of 4 KB for each of 8 data centres passed on to 8 members takes
    /// 16 KB/s of an inner member of the tree.
    pub body_interval: Duration,
    /// Members to which an inner member of the tree passes a summary on.
    pub summary_fan_out: usize,
    /// Least time after which a summary without a body is passed on for its use of the weight
    /// store.
    pub store_use_interval: Duration,
    /// Time for which the use of the weight store by another data centre counts.
    pub store_use_lifetime: Duration,
    /// Time after which members that failed or left are forgotten.
    pub prune_after: Duration,
}

impl Settings {
    /// The default timing for an instance.
    pub fn new(
        instance: impl Into<InstanceId>,
        incarnation: Incarnation,
        address: impl Into<Box<str>>,
        data_centre: impl Into<DataCentreId>,
    ) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            address: address.into(),
            data_centre: data_centre.into(),
            heartbeat_interval: Duration::from_secs(1),
            heartbeat_peers: 3,
            suspect_after: Duration::from_secs(3),
            fail_after: Duration::from_secs(5),
            delegates: 2,
            rumours_per_heartbeat: 24,
            summary_lifetime: Duration::from_secs(40),
            body_interval: Duration::from_secs(16),
            summary_fan_out: 8,
            store_use_interval: Duration::from_secs(2),
            store_use_lifetime: Duration::from_secs(5),
            prune_after: Duration::from_secs(600),
        }
    }
}
