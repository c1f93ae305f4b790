//! Grants parts of a data centre's share to its instances.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::data_centre_share::Holding;
use super::interval_set::IntervalSet;
use super::requested_totals::{RequestedTotals, max_min_level};

/// Validity of a grant. With a renewal every 5 s it is longer than the takeover from a dead holder
/// (about 10 s), so that instances keep their shares during a takeover.
pub const GRANT_TERM: Duration = Duration::from_secs(20);
/// Time for which the holder treats a grant as in use after it has expired for the grantee.
pub const GRANT_MARGIN: Duration = Duration::from_secs(2);
/// Validity of a grant that is issued while the platform is unreachable. No instance can take over
/// from a dead holder then, so with `GRANT_TERM` its data centre would be out of service after that
/// time.
pub const OUTAGE_GRANT_TERM: Duration = Duration::from_secs(4 * 3600);
/// Interval at which a grantee renews its grant.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(5);

/// Request of an instance to the holder, for all client accounts at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareRequest {
    /// Instance that requests the grant.
    pub instance: InstanceId,
    /// Incarnation of the instance; a restarted instance holds nothing.
    pub incarnation: Incarnation,
    /// Fencing number of the addressed holder. A later holder ignores a delayed request, because
    /// its `held` may be out of date.
    pub holder: FencingNumber,
    /// Sequence number of the request, echoed in the grant.
    pub request: u64,
    /// Serial number of the latest grant that the instance applied; zero for none.
    pub applied: u64,
    /// Fencing number of the holder that issued the grant `applied`.
    pub fencing: FencingNumber,
    /// Parts that the instance still holds from an earlier holder.
    pub held: BTreeMap<ClientAccountId, IntervalSet>,
    /// Length that the instance requests for each client account. An unlisted client account gets
    /// nothing.
    pub wanted: BTreeMap<ClientAccountId, u64>,
}

/// Reply of the holder; it replaces everything that the instance held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareGrant {
    /// Instance that receives the grant.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Sequence number of the request that is answered.
    pub request: u64,
    /// Serial number; increases with each grant of a holder.
    pub serial: u64,
    /// Fencing number of the holder.
    pub fencing: FencingNumber,
    /// Granted parts.
    pub parts: BTreeMap<ClientAccountId, IntervalSet>,
    /// Validity, counted from the time at which the request was sent.
    pub term_ms: u64,
}

/// Grants of the instance that owns the group `limits/DATA_CENTRE`. It may reply to requests only
/// while it owns the group.
///
/// At any time, each point of a client account's span is in at most one of these states: free,
/// granted to one instance, or retired (no longer granted, but possibly in use by an instance that
/// missed the change).
#[derive(Debug)]
pub struct Holder {
    pub(super) fencing: FencingNumber,
    holding: Holding,
    withheld: Holding,
    pub(super) grants: BTreeMap<InstanceId, Grant>,
    /// Sums of the lengths requested by the instances in `grants`.
    requested: RequestedTotals,
    pub(super) retired: Vec<RetiredParts>,
    serial: u64,
    /// Time until which regular grants of the predecessor may be in use.
    pub(super) predecessor_grants_until: Instant,
    /// Time until which grants that the predecessor issued while the platform was unreachable may
    /// be in use, by listed instances that have not sent a request to this holder.
    pub(super) outage_grants_until: Instant,
    /// Instances that are listed on the platform; `None` before the list is known.
    listed: Option<BTreeSet<InstanceId>>,
    /// Instances that have sent a request to this holder, which reports what they hold.
    reported: BTreeSet<InstanceId>,
    is_outage: bool,
    is_lease_lost: bool,
}

#[derive(Debug)]
pub(super) struct Grant {
    pub(super) incarnation: Incarnation,
    pub(super) serial: u64,
    pub(super) parts: BTreeMap<ClientAccountId, IntervalSet>,
    pub(super) wanted: BTreeMap<ClientAccountId, u64>,
    pub(super) expires_at: Instant,
}

#[derive(Debug)]
pub(super) struct RetiredParts {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    /// Serial number of the grant that no longer contains the parts.
    pub(super) replaced_by: u64,
    pub(super) parts: BTreeMap<ClientAccountId, IntervalSet>,
    pub(super) until: Instant,
}

impl Holder {
    /// Creates the holder after a takeover. Until the grants of its predecessor have expired, it
    /// only confirms the parts that instances hold. Fencing number 1 has no predecessor.
    pub fn new(fencing: FencingNumber, holding: Holding, now: Instant) -> Self {
        let wait = if fencing <= 1 { Duration::ZERO } else { GRANT_TERM + GRANT_MARGIN };
        Self {
            fencing,
            holding,
            withheld: Holding::default(),
            grants: BTreeMap::new(),
            requested: RequestedTotals::default(),
            retired: Vec::new(),
            serial: 0,
            predecessor_grants_until: now + wait,
            outage_grants_until: now
                + if fencing <= 1 { wait } else { OUTAGE_GRANT_TERM + GRANT_MARGIN },
            listed: None,
            reported: BTreeSet::new(),
            is_outage: false,
            is_lease_lost: false,
        }
    }

    /// Sets whether the platform is unreachable. Grants to listed instances then last
    /// `OUTAGE_GRANT_TERM`.
    pub fn set_outage(&mut self, is_outage: bool) {
        self.is_outage = is_outage;
    }

    /// Handles the loss of the holder's lease. As another holder may exist, this one only confirms
    /// the parts that instances hold from now on.
    pub fn on_lease_lost(&mut self) {
        self.is_lease_lost = true;
    }

    /// Sets the instances of the data centre that are listed on the platform. From the first call
    /// on, parts that the predecessor may have granted during an outage become free only when every
    /// listed instance has sent a request to this holder or `OUTAGE_GRANT_TERM` has passed.
    pub fn set_listed(&mut self, listed: BTreeSet<InstanceId>) {
        self.listed = Some(listed);
    }

    /// Whether this holder knows all grants of the predecessor that can still be in use.
    fn knows_all_grants(&self, now: Instant) -> bool {
        let all_reported =
            self.listed.as_ref().is_none_or(|listed| listed.is_subset(&self.reported));
        now >= self.predecessor_grants_until && (all_reported || now >= self.outage_grants_until)
    }

    /// Time by which all grants of the predecessor have expired.
    fn predecessor_grants_end(&self) -> Instant {
        if self.listed.is_some() { self.outage_grants_until } else { self.predecessor_grants_until }
    }

    /// Validity of a new grant to an instance.
    fn term(&self, instance: &InstanceId) -> Duration {
        let is_listed = self.listed.as_ref().is_some_and(|listed| listed.contains(instance));
        if self.is_outage && is_listed { OUTAGE_GRANT_TERM } else { GRANT_TERM }
    }

    /// Parts that the data centre holds.
    pub(super) fn holding(&self) -> &Holding {
        &self.holding
    }

    /// Replaces the data centre's holding after `share/DATA_CENTRE` was written.
    pub fn set_holding(&mut self, holding: Holding) {
        self.withheld = self.withheld.intersection(&holding);
        self.holding = holding;
    }

    /// Stops granting these parts, as the first step of a donation. They may be transferred once
    /// `is_free` returns true for them.
    pub fn withhold(&mut self, parts: &Holding) {
        self.withheld = self.withheld.union(&parts.intersection(&self.holding));
    }

    /// Reverts `withhold` when a donation is completed or cancelled. The caller must have passed the
    /// stored holding to `set_holding` before, because a write whose reply was lost may have
    /// transferred the parts.
    pub fn resume_granting(&mut self, parts: &Holding) {
        self.withheld = self.withheld.difference(parts);
    }

    /// Whether no instance can be using any of these parts.
    pub fn is_free(&self, parts: &Holding, now: Instant) -> bool {
        let granted = self.grants.values().filter(|g| g.expires_at > now).map(|g| &g.parts);
        let retired = self.retired.iter().filter(|r| r.until > now).map(|r| &r.parts);
        self.knows_all_grants(now)
            && granted.chain(retired).flatten().all(|(client_account, used)| {
                used.intersection(parts.parts(client_account)).is_empty()
            })
    }

    /// Issues a grant in reply to a request; `None` if the request is for another holder.
    pub fn grant(&mut self, request: &ShareRequest, now: Instant) -> Option<ShareGrant> {
        if request.holder != self.fencing {
            return None;
        }
        self.drop_expired(now);
        let previous = self.take_previous(request, now);
        self.reported.insert(request.instance.clone());
        let term = self.term(&request.instance);
        self.serial += 1;
        let mut grant = Grant {
            incarnation: request.incarnation,
            serial: self.serial,
            parts: previous.as_ref().map(|p| p.parts.clone()).unwrap_or_default(),
            wanted: request.wanted.clone(),
            expires_at: now + term + GRANT_MARGIN,
        };
        let client_accounts: BTreeSet<ClientAccountId> =
            grant.parts.keys().chain(grant.wanted.keys()).cloned().collect();
        self.requested.add(&grant.wanted);
        let can_grow = self.knows_all_grants(now) && !self.is_lease_lost;
        for client_account in client_accounts {
            let parts = self.resized_parts(&client_account, &grant, can_grow);
            if parts.is_empty() {
                grant.parts.remove(&client_account);
            } else {
                grant.parts.insert(client_account, parts);
            }
        }
        if let Some(previous) = previous {
            self.retire(&request.instance, previous, &grant);
        }
        let reply = ShareGrant {
            instance: request.instance.clone(),
            incarnation: request.incarnation,
            request: request.request,
            serial: grant.serial,
            fencing: self.fencing,
            parts: grant.parts.clone(),
            term_ms: term.as_millis() as u64,
        };
        self.grants.insert(request.instance.clone(), grant);
        Some(reply)
    }

    /// Lengths by which the instances' requests exceed what the data centre holds, by client
    /// account. They are requested from other data centres.
    pub fn unmet(&self) -> BTreeMap<ClientAccountId, u64> {
        let missing = self.requested.totals().map(|(client_account, total)| {
            (client_account.clone(), total.saturating_sub(self.grantable(client_account).length()))
        });
        missing.filter(|(_, length)| *length > 0).collect()
    }

    /// Parts that this data centre can give to one with this unmet demand: at most half of the
    /// surplus over its own instances' requests, preferably parts that none of them holds.
    pub fn donation(&self, unmet: &BTreeMap<ClientAccountId, u64>) -> Holding {
        let mut donation = Holding::default();
        for (client_account, missing) in unmet {
            let grantable = self.grantable(client_account);
            let surplus = grantable.length().saturating_sub(self.requested.total(client_account));
            let free = grantable.difference(&self.in_use(client_account));
            let length = (surplus / 2).min(*missing);
            let from_free = free.take_length(length.min(free.length()));
            let rest = grantable.difference(&free).take_length(length - from_free.length());
            let parts = from_free.union(&rest);
            if !parts.is_empty() {
                donation.by_client_account.insert(client_account.clone(), parts);
            }
        }
        donation
    }

    /// Removes the instance's grant and returns what the instance may hold before this request is
    /// answered, or `None` if it holds nothing.
    fn take_previous(&mut self, request: &ShareRequest, now: Instant) -> Option<Grant> {
        if let Some(previous) = self.grants.remove(&request.instance) {
            self.requested.remove(&previous.wanted);
            if previous.incarnation != request.incarnation {
                // The earlier process may only be paused and still use its parts until they expire.
                self.retire_all(&request.instance, previous);
                return None;
            }
            if request.fencing == self.fencing && request.applied == previous.serial {
                // The instance has applied the latest grant, so parts of earlier grants are free.
                self.retired.retain(|retired| {
                    retired.instance != request.instance
                        || retired.incarnation != request.incarnation
                        || retired.replaced_by > previous.serial
                });
            }
            return Some(previous);
        }
        let confirmable = request.fencing < self.fencing && !self.knows_all_grants(now);
        confirmable.then(|| Grant {
            incarnation: request.incarnation,
            serial: 0,
            parts: self.confirmed_parts(request),
            wanted: BTreeMap::new(),
            expires_at: self.predecessor_grants_end(),
        })
    }

    /// Parts that the instance holds from the predecessor and no other instance uses.
    fn confirmed_parts(&self, request: &ShareRequest) -> BTreeMap<ClientAccountId, IntervalSet> {
        let confirm = |(client_account, held): (&ClientAccountId, &IntervalSet)| {
            let held_here = held.intersection(self.holding.parts(client_account));
            (client_account.clone(), held_here.difference(&self.in_use(client_account)))
        };
        request.held.iter().map(confirm).collect()
    }

    /// Parts of one client account's limits that `grant` is to contain.
    fn resized_parts(&self, client_account: &str, grant: &Grant, can_grow: bool) -> IntervalSet {
        let grantable = self.grantable(client_account);
        let current =
            grant.parts.get(client_account).map(|current| current.intersection(&grantable));
        let current = current.unwrap_or_default();
        let target = self.target_length(client_account, grant, grantable.length());
        let length = current.length();
        if !can_grow || length == target {
            return current;
        }
        if length > target {
            return current.take_length(target);
        }
        let free = grantable.difference(&self.in_use(client_account)).difference(&current);
        current.union(&free.take_length(target - length))
    }

    /// Length that `grant` is to have: what its instance requests as far as max-min fairness
    /// allows, and part of the surplus, so that an unexpected first request does not have to wait.
    /// Half of the surplus stays with the holder for sudden demand.
    fn target_length(&self, client_account: &str, grant: &Grant, total: u64) -> u64 {
        let Some(wanted) = grant.wanted.get(client_account).copied() else { return 0 };
        if self.requested.total(client_account) > total {
            let others = self.grants.values().filter_map(|grant| grant.wanted.get(client_account));
            return wanted.min(max_min_level(others.copied().chain([wanted]).collect(), total));
        }
        let surplus = total - self.requested.total(client_account);
        wanted + surplus / (2 * self.requested.instances(client_account).max(1))
    }

    fn grantable(&self, client_account: &str) -> IntervalSet {
        self.holding.parts(client_account).difference(self.withheld.parts(client_account))
    }

    fn in_use(&self, client_account: &str) -> IntervalSet {
        let granted = self.grants.values().map(|grant| &grant.parts);
        let retired = self.retired.iter().map(|retired| &retired.parts);
        IntervalSet::union_all(granted.chain(retired).filter_map(|parts| parts.get(client_account)))
    }

    /// Retires the parts that `new` no longer contains until the instance cannot use them any more.
    fn retire(&mut self, instance: &InstanceId, previous: Grant, new: &Grant) {
        let none = IntervalSet::empty();
        let parts: BTreeMap<_, _> = previous
            .parts
            .iter()
            .map(|(c, parts)| (c.clone(), parts.difference(new.parts.get(c).unwrap_or(&none))))
            .filter(|(_, parts)| !parts.is_empty())
            .collect();
        if !parts.is_empty() {
            self.retired.push(RetiredParts {
                instance: instance.clone(),
                incarnation: previous.incarnation,
                replaced_by: new.serial,
                parts,
                until: previous.expires_at,
            });
        }
    }

    fn retire_all(&mut self, instance: &InstanceId, previous: Grant) {
        self.retired.push(RetiredParts {
            instance: instance.clone(),
            incarnation: previous.incarnation,
            replaced_by: u64::MAX,
            parts: previous.parts,
            until: previous.expires_at,
        });
    }

    pub(super) fn drop_expired(&mut self, now: Instant) {
        self.retired.retain(|retired| retired.until > now);
        let requested = &mut self.requested;
        self.grants.retain(|_, grant| {
            let is_expired = grant.expires_at <= now;
            if is_expired {
                requested.remove(&grant.wanted);
            }
            !is_expired
        });
    }
}
