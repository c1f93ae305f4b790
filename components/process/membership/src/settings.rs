//! Timing and identity of one instance for membership.

use types::prelude::*;

/// Identity of one instance, and the timing and bounds of its heartbeats and summaries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This instance.
    pub instance: InstanceId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Address for peer messages as `IP:PORT`.
    pub address: Box<str>,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Time between heartbeats, and between summaries.
    pub heartbeat_interval: Duration,
    /// Number of peers that receive each heartbeat.
    pub heartbeat_peers: usize,
    /// Silence after which a member is suspected.
    pub suspect_after: Duration,
    /// Silence after which a member is considered failed.
    pub fail_after: Duration,
    /// Number of delegates of a data centre.
    pub delegates: usize,
    /// Maximum number of rumours in one heartbeat. 24 rumours of about 60 bytes keep three
    /// heartbeats a second below 5 KB/s.
    pub rumours_per_heartbeat: usize,
    /// Age from which a summary is no longer used.
    pub summary_lifetime: Duration,
    /// Time between two summaries with a body. At 16 s, an inner member of the tree that forwards a
    /// body of 4 KB for each of 8 data centres to 8 members sends 16 KB/s. A summary with a body
    /// that arrives within half of this time after a forwarded one is not forwarded.
    pub body_interval: Duration,
    /// Number of members to which an inner member of the tree forwards a summary.
    pub summary_fan_out: usize,
    /// Minimum time between two forwarded summaries without a body, which report the use of the
    /// weight store.
    pub store_use_interval: Duration,
    /// Time for which a reported use of the weight store by another data centre counts.
    pub store_use_lifetime: Duration,
    /// Time after which members that failed or left are removed.
    pub prune_after: Duration,
}

impl Settings {
    /// Returns the settings of an instance with the default timing.
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
