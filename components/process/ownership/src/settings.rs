//! Settings of one instance's ownership.

use types::prelude::*;

/// Settings of one instance's ownership.
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
    /// Time between renewals.
    pub renewal_interval: Duration,
    /// How long a lease is valid for its holder.
    pub lease_duration: Duration,
    /// How much longer observers wait; covers differences in clock rates.
    pub margin: Duration,
    /// Bound of the random delay before a group is looked at.
    pub claim_jitter: Duration,
    /// Mean time between two claims. With 40 instances in a data centre, 1 s keeps the claims of a
    /// joint restart near 40 writes a second; with 500 ms the measured peak, renewals included,
    /// was 105.
    pub claim_interval: Duration,
    /// Time between two looks at groups that may need an owner; a look costs up to two reads.
    pub check_interval: Duration,
    /// An announcement older than this no longer keeps an instance from looking at a group.
    pub announcement_lifetime: Duration,
    /// Added per rank before an instance that is not the first choice looks at a group.
    pub rank_delay: Duration,
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

    /// After this time without a new renewal counter an observer treats a lease as expired.
    pub fn observed_lease_duration(&self) -> Duration {
        self.lease_duration + self.margin
    }
}
