//! Grants of a data centre's share to its instances.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::parts::Parts;
use super::standing::Holding;

/// Validity of a grant. It outlasts the takeover of a dead holder's group (about 10 s).
pub const GRANT_TERM: Duration = Duration::from_secs(30);
/// Time by which the holder waits longer than the grantee uses a grant.
pub const GRANT_MARGIN: Duration = Duration::from_secs(2);
/// Interval at which a grantee asks again.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(5);

/// An instance's request to the holder, for all customers at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareRequest {
    /// The instance.
    pub instance: InstanceId,
    /// Its run; a restarted instance holds nothing.
    pub incarnation: Incarnation,
    /// Serial number of the latest grant that it applied from `fencing`; zero for none.
    pub applied: u64,
    /// Fencing number of the holder that gave this grant.
    pub fencing: FencingNumber,
    /// Parts that it holds now.
    pub held: BTreeMap<CustomerId, Parts>,
    /// Length of the parts that it wants.
    pub wanted: BTreeMap<CustomerId, u64>,
}

/// The holder's answer; it replaces everything that the instance held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareGrant {
    /// The instance.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Grows with each grant of one holder.
    pub serial: u64,
    /// The holder's fencing number.
    pub fencing: FencingNumber,
    /// Parts granted.
    pub parts: BTreeMap<CustomerId, Parts>,
    /// Remaining validity, counted from the time at which the request was sent.
    pub term_ms: u64,
}

/// The owner of the group `limits/DATA_CENTRE`.
#[derive(Debug)]
pub struct Holder {
    fencing: FencingNumber,
    holding: Holding,
}

impl Holder {
    /// A holder that has just taken over. Until the grants of its predecessor have ended it only
    /// confirms what instances hold.
    pub fn new(fencing: FencingNumber, holding: Holding, _now: Instant) -> Self {
        Self { fencing, holding }
    }

    /// Replaces the data centre's holding after `share/DATA_CENTRE` was written.
    pub fn set_holding(&mut self, holding: Holding) {
        self.holding = holding;
    }

    /// Stops granting these parts, as the first step of a donation. They may be given away once
    /// `is_free` holds for them.
    pub fn withhold(&mut self, _parts: Holding) {}

    /// Whether no instance can still use any of these parts.
    pub fn is_free(&self, _parts: &Holding, _now: Instant) -> bool {
        false
    }

    /// Answers a request.
    pub fn grant(&mut self, request: &ShareRequest, _now: Instant) -> ShareGrant {
        ShareGrant {
            instance: request.instance.clone(),
            incarnation: request.incarnation,
            serial: 0,
            fencing: self.fencing,
            parts: BTreeMap::new(),
            term_ms: 0,
        }
    }

    /// Customers of whose limits more is wanted than the data centre holds, with the length that
    /// is missing.
    pub fn unmet(&self) -> BTreeMap<CustomerId, u64> {
        BTreeMap::new()
    }
}
