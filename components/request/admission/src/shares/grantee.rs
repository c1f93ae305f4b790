//! An instance's side of the grants.

use types::prelude::*;

use super::holder::{RENEW_INTERVAL, ShareGrant, ShareRequest};
use super::interval_set::{IntervalSet, SPAN_LENGTH};
use crate::LocalLimits;

/// What one instance may use of the limits.
#[derive(Debug)]
pub struct Grantee {
    instance: InstanceId,
    incarnation: Incarnation,
    parts: BTreeMap<ClientAccountId, IntervalSet>,
    wanted: BTreeMap<ClientAccountId, u64>,
    fencing: FencingNumber,
    applied: u64,
    expires_at: Option<Instant>,
    requests: u64,
    /// The latest request's time of sending; only its grant is applied.
    sent_at: Option<Instant>,
}

impl Grantee {
    /// An instance that holds nothing.
    pub fn new(instance: &str, incarnation: Incarnation) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            parts: BTreeMap::new(),
            wanted: BTreeMap::new(),
            fencing: 0,
            applied: 0,
            expires_at: None,
            requests: 0,
            sent_at: None,
        }
    }

    /// Sets the units of use that the instance expects to need. A client account that was active lately
    /// is to be given even with no need, to get a part of what nobody wants. For any other, the
    /// first request has to wait for a grant.
    pub fn set_need(&mut self, client_account: &str, need: LocalLimits, limits: &Limits) {
        let length = |units: u64, limit: u64| match limit {
            0 => 0,
            limit => (units.min(limit) * SPAN_LENGTH).div_ceil(limit),
        };
        let wanted = length(need.rate_milli, u64::from(limits.requests_per_second) * 1_000)
            .max(length(need.concurrent, limits.concurrent_requests.into()))
            .max(length(need.queued, limits.queued_requests.into()));
        self.wanted.insert(client_account.into(), wanted);
    }

    /// Stops asking for a client account that was not active lately. Messages and the holder's work
    /// grow with the client accounts that are asked for.
    pub fn clear_need(&mut self, client_account: &str) {
        self.wanted.remove(client_account);
    }

    /// The request to send now to the holder with this fencing number.
    pub fn request(&mut self, holder: FencingNumber, now: Instant) -> ShareRequest {
        self.requests += 1;
        self.sent_at = Some(now);
        let is_other = self.fencing != holder && self.is_valid(now);
        let held = if is_other { self.parts.clone() } else { BTreeMap::new() };
        ShareRequest {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            holder,
            request: self.requests,
            applied: self.applied,
            fencing: self.fencing,
            held,
            wanted: self.wanted.clone(),
        }
    }

    /// Applies a grant. Returns false if it is late or crossed and was ignored.
    pub fn apply(&mut self, grant: ShareGrant) -> bool {
        let newer = (grant.fencing, grant.serial) > (self.fencing, self.applied);
        let own = grant.instance == self.instance && grant.incarnation == self.incarnation;
        let Some(sent_at) = self.sent_at else { return false };
        if !newer || !own || grant.request != self.requests {
            return false;
        }
        self.fencing = grant.fencing;
        self.applied = grant.serial;
        self.parts = grant.parts;
        self.expires_at = Some(sent_at + Duration::from_millis(grant.term_ms));
        true
    }

    /// Limits of a client account that this instance may use now.
    pub fn limits(&self, client_account: &str, limits: &Limits, now: Instant) -> LocalLimits {
        let Some(parts) = self.parts.get(client_account).filter(|_| self.is_valid(now)) else {
            return LocalLimits::default();
        };
        LocalLimits {
            rate_milli: parts.units(u64::from(limits.requests_per_second) * 1_000),
            concurrent: parts.units(limits.concurrent_requests.into()),
            queued: parts.units(limits.queued_requests.into()),
        }
    }

    /// When the next request is due; `None` before the first one.
    pub fn renew_at(&self) -> Option<Instant> {
        self.sent_at.map(|at| at + RENEW_INTERVAL)
    }

    /// When the present grant ends and `limits` falls to zero.
    pub fn expires_at(&self) -> Option<Instant> {
        self.expires_at
    }

    fn is_valid(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }
}
