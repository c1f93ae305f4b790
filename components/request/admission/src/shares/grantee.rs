//! Requests and applies grants on behalf of an instance.

use types::prelude::*;

use super::holder::{RENEW_INTERVAL, ShareGrant, ShareRequest};
use super::interval_set::{IntervalSet, SPAN_LENGTH};
use crate::LocalLimits;

/// Parts of the limits that one instance may use.
#[derive(Debug)]
pub struct Grantee {
    instance: InstanceId,
    incarnation: Incarnation,
    parts: BTreeMap<ClientAccountId, IntervalSet>,
    wanted: BTreeMap<ClientAccountId, u64>,
    fencing: FencingNumber,
    applied: u64,
    expires_at: Option<Instant>,
    last_request: u64,
    /// When the latest request was sent; only the grant that answers this request is applied.
    sent_at: Option<Instant>,
}

impl Grantee {
    /// Creates the state of an instance that holds nothing.
    pub fn new(instance: &str, incarnation: Incarnation) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            parts: BTreeMap::new(),
            wanted: BTreeMap::new(),
            fencing: 0,
            applied: 0,
            expires_at: None,
            last_request: 0,
            sent_at: None,
        }
    }

    /// Sets the units that the instance expects to need for a client account. Recently active
    /// client accounts are to be set even if they need nothing, so that they get a part of the
    /// surplus; for any other client account, the first request has to wait for a grant.
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

    /// Stops requesting parts for a client account that has become inactive. The size of messages
    /// and the holder's work grow with the number of requested client accounts.
    pub fn clear_need(&mut self, client_account: &str) {
        self.wanted.remove(client_account);
    }

    /// Creates the request to send now to the holder with this fencing number.
    pub fn request(&mut self, holder: FencingNumber, now: Instant) -> ShareRequest {
        self.last_request += 1;
        self.sent_at = Some(now);
        let must_report = self.fencing != holder && self.is_valid(now);
        let held = if must_report { self.parts.clone() } else { BTreeMap::new() };
        ShareRequest {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            holder,
            request: self.last_request,
            applied: self.applied,
            fencing: self.fencing,
            held,
            wanted: self.wanted.clone(),
        }
    }

    /// Applies a grant. Returns false if the grant is outdated or answers an earlier request; it is
    /// then ignored.
    pub fn apply(&mut self, grant: ShareGrant) -> bool {
        let is_newer = (grant.fencing, grant.serial) > (self.fencing, self.applied);
        let is_own = grant.instance == self.instance && grant.incarnation == self.incarnation;
        let Some(sent_at) = self.sent_at else { return false };
        if !is_newer || !is_own || grant.request != self.last_request {
            return false;
        }
        self.fencing = grant.fencing;
        self.applied = grant.serial;
        self.parts = grant.parts;
        self.expires_at = Some(sent_at + Duration::from_millis(grant.term_ms));
        true
    }

    /// Part of a client account's limits that this instance may use now.
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

    /// When the next request is due; `None` before the first request.
    pub fn renew_at(&self) -> Option<Instant> {
        self.sent_at.map(|at| at + RENEW_INTERVAL)
    }

    /// When the current grant expires and `limits` drops to zero.
    pub fn expires_at(&self) -> Option<Instant> {
        self.expires_at
    }

    fn is_valid(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }
}
