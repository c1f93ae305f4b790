//! An instance's side of the grants.

use types::prelude::*;

use super::holder::{ShareGrant, ShareRequest};
use crate::LocalLimits;

/// What one instance may use of the limits.
#[derive(Debug)]
pub struct Grantee {
    instance: InstanceId,
    incarnation: Incarnation,
}

impl Grantee {
    /// An instance that holds nothing.
    pub fn new(instance: &str, incarnation: Incarnation) -> Self {
        Self { instance: instance.into(), incarnation }
    }

    /// Sets the units of use that the instance expects to need, as counted over the last interval.
    pub fn want(&mut self, _customer: &str, _need: LocalLimits, _limits: &Limits) {}

    /// The request to send to the holder now.
    pub fn request(&mut self, _now: Instant) -> ShareRequest {
        ShareRequest {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            applied: 0,
            fencing: 0,
            held: BTreeMap::new(),
            wanted: BTreeMap::new(),
        }
    }

    /// Applies a grant. Returns false if it is late or crossed and was ignored.
    pub fn apply(&mut self, _grant: ShareGrant, _now: Instant) -> bool {
        false
    }

    /// Limits of a customer that this instance may use now.
    pub fn limits(&self, _customer: &str, _limits: &Limits, _now: Instant) -> LocalLimits {
        LocalLimits::default()
    }

    /// When the next request is due.
    pub fn renew_at(&self) -> Option<Instant> {
        None
    }

    /// When the present grant ends and `limits` falls to zero.
    pub fn ends_at(&self) -> Option<Instant> {
        None
    }
}
