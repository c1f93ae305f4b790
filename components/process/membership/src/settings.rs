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
    pub heartbeat_every: Duration,
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
    pub summary_time: Duration,
    /// Least time between two summary bodies to the same receiver.
    pub body_every: Duration,
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
            heartbeat_every: Duration::from_secs(1),
            heartbeat_peers: 3,
            suspect_after: Duration::from_secs(3),
            fail_after: Duration::from_secs(5),
            delegates: 2,
            rumours_per_heartbeat: 24,
            summary_time: Duration::from_secs(30),
            body_every: Duration::from_secs(5),
        }
    }
}
