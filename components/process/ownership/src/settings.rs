//! Timing and identity of one instance for leases and claims.

use types::prelude::*;

/// Identity of one instance, and the timing of its lease and claims.
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
    /// Time between renewals.
    pub renewal_interval: Duration,
    /// Time for which a renewal is valid for the holder, counted from when it was sent.
    pub lease_duration: Duration,
    /// Additional time that other instances wait before they treat a lease as expired. Covers
    /// differences in clock rates.
    pub margin: Duration,
    /// Upper bound of the jitter added before a group is checked.
    pub claim_jitter: Duration,
    /// Mean time between two claims of this instance. When 40 instances of a data centre restart at
    /// once, 1 s keeps their claims near 40 writes a second; 500 ms led to a peak of 105 writes a
    /// second, renewals included.
    pub claim_interval: Duration,
    /// Time between two checks of groups that may need an owner. A check costs up to two reads.
    pub check_interval: Duration,
    /// Time for which an announcement keeps other instances from checking the announced groups.
    pub announcement_lifetime: Duration,
    /// Delay per rank by which instances that are not the first choice check a group later.
    pub rank_delay: Duration,
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
            renewal_interval: Duration::from_secs(3),
            lease_duration: Duration::from_secs(9),
            margin: Duration::from_secs(1),
            claim_jitter: Duration::from_secs(2),
            claim_interval: Duration::from_secs(1),
            check_interval: Duration::from_millis(500),
            announcement_lifetime: Duration::from_secs(8),
            rank_delay: Duration::from_secs(3),
        }
    }

    /// Time without a new renewal counter after which other instances treat a lease as expired.
    pub fn observed_lease_duration(&self) -> Duration {
        self.lease_duration + self.margin
    }
}
