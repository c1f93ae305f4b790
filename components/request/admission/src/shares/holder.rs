//! Grants of a data centre's share to its instances.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::data_centre_share::Holding;
use super::interval_set::IntervalSet;
use super::requested_totals::{Wants, level};

/// Validity of a grant. With a renewal every 5 s it outlasts the takeover of a dead holder's group
/// (about 10 s), so that instances keep their shares meanwhile.
pub const GRANT_TERM: Duration = Duration::from_secs(20);
/// Time by which the holder waits longer than the grantee uses a grant.
pub const GRANT_MARGIN: Duration = Duration::from_secs(2);
/// Validity of a grant given while the platform is away. Nobody can take over then, so that the
/// death of the holder would otherwise end the service of its data centre after `GRANT_TERM`.
pub const OUTAGE_GRANT_TERM: Duration = Duration::from_secs(4 * 3600);
/// Interval at which a grantee asks again.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(5);

/// An instance's request to the holder, for all client accounts at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareRequest {
    /// The instance.
    pub instance: InstanceId,
    /// Its run; a restarted instance holds nothing.
    pub incarnation: Incarnation,
    /// Fencing number of the holder that is meant. A request that reaches a later holder late is
    /// ignored, because what it says of `held` may no longer be true.
    pub holder: FencingNumber,
    /// Number of this request, echoed in the grant.
    pub request: u64,
    /// Serial number of the latest grant that it applied from `fencing`; zero for none.
    pub applied: u64,
    /// Fencing number of the holder that gave this grant.
    pub fencing: FencingNumber,
    /// IntervalSet that it still holds from an earlier holder.
    pub held: BTreeMap<ClientAccountId, IntervalSet>,
    /// Length of the parts that it wants. A client account that is not listed gets nothing.
    pub wanted: BTreeMap<ClientAccountId, u64>,
}

/// The holder's answer; it replaces everything that the instance held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareGrant {
    /// The instance.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Number of the request that this answers.
    pub request: u64,
    /// Grows with each grant of one holder.
    pub serial: u64,
    /// The holder's fencing number.
    pub fencing: FencingNumber,
    /// IntervalSet granted.
    pub parts: BTreeMap<ClientAccountId, IntervalSet>,
    /// Remaining validity, counted from the time at which the request was sent.
    pub term_ms: u64,
}

/// The owner of the group `limits/DATA_CENTRE`. It may answer only while it owns the group.
///
/// No point of a client account's span is ever in two places out of: free, granted to one instance, and
/// retired (no longer granted, but perhaps still in use by an instance that missed the change).
#[derive(Debug)]
pub struct Holder {
    pub(super) fencing: FencingNumber,
    holding: Holding,
    withheld: Holding,
    pub(super) grants: BTreeMap<InstanceId, Grant>,
    /// What the instances in `grants` want.
    wants: Wants,
    pub(super) retired: Vec<Retired>,
    serial: u64,
    /// Ordinary grants of the predecessor may be in use until then.
    pub(super) predecessor_until: Instant,
    /// Grants that the predecessor gave while the platform was away may be in use until then, by
    /// listed instances that have not asked this holder.
    pub(super) outage_until: Instant,
    /// Instances in the platform's list; `None` before it is known.
    listed: Option<BTreeSet<InstanceId>>,
    /// Instances that have asked this holder, and so told what they hold.
    asked: BTreeSet<InstanceId>,
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
pub(super) struct Retired {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    /// Serial number of the grant that took the parts away.
    pub(super) replaced_by: u64,
    pub(super) parts: BTreeMap<ClientAccountId, IntervalSet>,
    pub(super) until: Instant,
}

impl Holder {
    /// A holder that has just taken over. Until the grants of its predecessor have ended it only
    /// confirms what instances hold. The first holder of all, with fencing number 1, has none.
    pub fn new(fencing: FencingNumber, holding: Holding, now: Instant) -> Self {
        let wait = if fencing <= 1 { Duration::ZERO } else { GRANT_TERM + GRANT_MARGIN };
        Self {
            fencing,
            holding,
            withheld: Holding::default(),
            grants: BTreeMap::new(),
            wants: Wants::default(),
            retired: Vec::new(),
            serial: 0,
            predecessor_until: now + wait,
            outage_until: now + if fencing <= 1 { wait } else { OUTAGE_GRANT_TERM + GRANT_MARGIN },
            listed: None,
            asked: BTreeSet::new(),
            is_outage: false,
            is_lease_lost: false,
        }
    }

    /// Sets whether the platform is away. Grants to listed instances then last `OUTAGE_GRANT_TERM`.
    pub fn set_outage(&mut self, is_outage: bool) {
        self.is_outage = is_outage;
    }

    /// The lease of the holder lapsed, so that another one may exist: from now on only what
    /// instances hold is confirmed.
    pub fn on_lease_lost(&mut self) {
        self.is_lease_lost = true;
    }

    /// Sets the instances of the data centre in the platform's list. From the first call on, parts
    /// that the predecessor may have granted during an outage are free only once every listed
    /// instance has asked this holder or `OUTAGE_GRANT_TERM` has passed.
    pub fn set_listed(&mut self, listed: BTreeSet<InstanceId>) {
        self.listed = Some(listed);
    }

    /// Whether no grant of the predecessor can be in use unknown to this holder.
    fn knows_all_grants(&self, now: Instant) -> bool {
        let all_asked = self.listed.as_ref().is_none_or(|listed| listed.is_subset(&self.asked));
        now >= self.predecessor_until && (all_asked || now >= self.outage_until)
    }

    /// When the last grant of the predecessor has certainly ended.
    fn predecessor_end(&self) -> Instant {
        if self.listed.is_some() { self.outage_until } else { self.predecessor_until }
    }

    /// Validity of a grant to an instance.
    fn term(&self, instance: &InstanceId) -> Duration {
        let is_listed = self.listed.as_ref().is_some_and(|listed| listed.contains(instance));
        if self.is_outage && is_listed { OUTAGE_GRANT_TERM } else { GRANT_TERM }
    }

    /// What the data centre holds.
    pub(super) fn holding(&self) -> &Holding {
        &self.holding
    }

    /// Replaces the data centre's holding after `share/DATA_CENTRE` was written.
    pub fn set_holding(&mut self, holding: Holding) {
        self.withheld = self.withheld.intersection(&holding);
        self.holding = holding;
    }

    /// Stops granting these parts, as the first step of a donation. They may be given away once
    /// `is_free` holds for them.
    pub fn withhold(&mut self, parts: &Holding) {
        self.withheld = self.withheld.union(&parts.intersection(&self.holding));
    }

    /// Gives up a donation. `set_holding` must have been given the value as stored by then, because
    /// a write whose answer was lost may have given the parts away.
    pub fn resume_granting(&mut self, parts: &Holding) {
        self.withheld = self.withheld.difference(parts);
    }

    /// Whether no instance can still use any of these parts.
    pub fn is_free(&self, parts: &Holding, now: Instant) -> bool {
        let granted = self.grants.values().filter(|g| g.expires_at > now).map(|g| &g.parts);
        let retired = self.retired.iter().filter(|r| r.until > now).map(|r| &r.parts);
        self.knows_all_grants(now)
            && granted.chain(retired).flatten().all(|(client_account, used)| {
                used.intersection(parts.parts(client_account)).is_empty()
            })
    }

    /// Answers a request; `None` if another holder is meant.
    pub fn grant(&mut self, request: &ShareRequest, now: Instant) -> Option<ShareGrant> {
        if request.holder != self.fencing {
            return None;
        }
        self.drop_ended(now);
        let previous = self.previous(request, now);
        self.asked.insert(request.instance.clone());
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
        self.wants.add(&grant.wanted);
        let may_add = self.knows_all_grants(now) && !self.is_lease_lost;
        for client_account in client_accounts {
            let parts = self.resize(&client_account, &grant, may_add);
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

    /// Client accounts of whose limits more is wanted than the data centre holds, with the length that
    /// is missing. To be asked of other data centres.
    pub fn unmet(&self) -> BTreeMap<ClientAccountId, u64> {
        let missing = self.wants.totals().map(|(client_account, total)| {
            (client_account.clone(), total.saturating_sub(self.grantable(client_account).length()))
        });
        missing.filter(|(_, length)| *length > 0).collect()
    }

    /// What this data centre can give to one with these unmet wants: at most half of what its own
    /// instances do not want, and preferably parts that none of them holds.
    pub fn donation(&self, unmet: &BTreeMap<ClientAccountId, u64>) -> Holding {
        let mut donation = Holding::default();
        for (client_account, missing) in unmet {
            let grantable = self.grantable(client_account);
            let spare = grantable.length().saturating_sub(self.wants.total(client_account));
            let free = grantable.difference(&self.in_use(client_account));
            let length = (spare / 2).min(*missing);
            let from_free = free.take_length(length.min(free.length()));
            let rest = grantable.difference(&free).take_length(length - from_free.length());
            let parts = from_free.union(&rest);
            if !parts.is_empty() {
                donation.by_client_account.insert(client_account.clone(), parts);
            }
        }
        donation
    }

    /// What the instance may hold before this request is answered.
    fn previous(&mut self, request: &ShareRequest, now: Instant) -> Option<Grant> {
        if let Some(previous) = self.grants.remove(&request.instance) {
            self.wants.remove(&previous.wanted);
            if previous.incarnation != request.incarnation {
                // The earlier process may only be paused, so its parts stay in use to their end.
                self.retire_all(&request.instance, previous);
                return None;
            }
            if request.fencing == self.fencing && request.applied == previous.serial {
                // The instance has replaced its earlier parts, so they are free at once.
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
            parts: self.confirmed(request),
            wanted: BTreeMap::new(),
            expires_at: self.predecessor_end(),
        })
    }

    /// IntervalSet that the instance holds from the predecessor and that nobody else does.
    fn confirmed(&self, request: &ShareRequest) -> BTreeMap<ClientAccountId, IntervalSet> {
        let confirm = |(client_account, held): (&ClientAccountId, &IntervalSet)| {
            let own = held.intersection(self.holding.parts(client_account));
            (client_account.clone(), own.difference(&self.in_use(client_account)))
        };
        request.held.iter().map(confirm).collect()
    }

    /// The parts of one client account's limits that `grant` is to have.
    fn resize(&self, client_account: &str, grant: &Grant, may_add: bool) -> IntervalSet {
        let grantable = self.grantable(client_account);
        let own = grant.parts.get(client_account).map(|own| own.intersection(&grantable));
        let own = own.unwrap_or_default();
        let target = self.target(client_account, grant, grantable.length());
        let length = own.length();
        if !may_add || length == target {
            return own;
        }
        if length > target {
            return own.take_length(target);
        }
        let free = grantable.difference(&self.in_use(client_account)).difference(&own);
        own.union(&free.take_length(target - length))
    }

    /// Length due to `grant`: what it wants as far as max-min fairness allows, and part of what
    /// nobody wants, so that an unexpected first request does not have to wait. Half of that
    /// stays with the holder for sudden wants.
    fn target(&self, client_account: &str, grant: &Grant, total: u64) -> u64 {
        let Some(own) = grant.wanted.get(client_account).copied() else { return 0 };
        if self.wants.total(client_account) > total {
            let others = self.grants.values().filter_map(|grant| grant.wanted.get(client_account));
            return own.min(level(others.copied().chain([own]).collect(), total));
        }
        let left = total - self.wants.total(client_account);
        own + left / (2 * self.wants.instances(client_account).max(1))
    }

    fn grantable(&self, client_account: &str) -> IntervalSet {
        self.holding.parts(client_account).difference(self.withheld.parts(client_account))
    }

    fn in_use(&self, client_account: &str) -> IntervalSet {
        let granted = self.grants.values().map(|grant| &grant.parts);
        let retired = self.retired.iter().map(|retired| &retired.parts);
        IntervalSet::union_all(granted.chain(retired).filter_map(|parts| parts.get(client_account)))
    }

    /// Keeps what `new` takes away from the instance until the instance cannot use it any more.
    fn retire(&mut self, instance: &InstanceId, previous: Grant, new: &Grant) {
        let none = IntervalSet::empty();
        let parts: BTreeMap<_, _> = previous
            .parts
            .iter()
            .map(|(c, parts)| (c.clone(), parts.difference(new.parts.get(c).unwrap_or(&none))))
            .filter(|(_, parts)| !parts.is_empty())
            .collect();
        if !parts.is_empty() {
            self.retired.push(Retired {
                instance: instance.clone(),
                incarnation: previous.incarnation,
                replaced_by: new.serial,
                parts,
                until: previous.expires_at,
            });
        }
    }

    fn retire_all(&mut self, instance: &InstanceId, previous: Grant) {
        self.retired.push(Retired {
            instance: instance.clone(),
            incarnation: previous.incarnation,
            replaced_by: u64::MAX,
            parts: previous.parts,
            until: previous.expires_at,
        });
    }

    pub(super) fn drop_ended(&mut self, now: Instant) {
        self.retired.retain(|retired| retired.until > now);
        let wants = &mut self.wants;
        self.grants.retain(|_, grant| {
            let ended = grant.expires_at <= now;
            if ended {
                wants.remove(&grant.wanted);
            }
            !ended
        });
    }
}
