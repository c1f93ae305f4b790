//! Grants of a data centre's share to its instances.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::parts::Parts;
use super::standing::Holding;

/// Validity of a grant. With a renewal every 5 s it outlasts the takeover of a dead holder's group
/// (about 10 s), so that instances keep their shares meanwhile.
pub const GRANT_TERM: Duration = Duration::from_secs(20);
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
    /// Fencing number of the holder that is meant. A request that reaches a later holder late is
    /// ignored, because what it says of `held` may no longer be true.
    pub holder: FencingNumber,
    /// Number of this request, echoed in the grant.
    pub request: u64,
    /// Serial number of the latest grant that it applied from `fencing`; zero for none.
    pub applied: u64,
    /// Fencing number of the holder that gave this grant.
    pub fencing: FencingNumber,
    /// Parts that it holds now; empty once its grant has ended.
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
    /// Number of the request that this answers.
    pub request: u64,
    /// Grows with each grant of one holder.
    pub serial: u64,
    /// The holder's fencing number.
    pub fencing: FencingNumber,
    /// Parts granted.
    pub parts: BTreeMap<CustomerId, Parts>,
    /// Remaining validity, counted from the time at which the request was sent.
    pub term_ms: u64,
}

/// The owner of the group `limits/DATA_CENTRE`. It may answer only while it owns the group.
///
/// No point of a customer's span is ever in two places out of: free, granted to one instance, and
/// retired (no longer granted, but perhaps still in use by an instance that missed the change).
#[derive(Debug)]
pub struct Holder {
    fencing: FencingNumber,
    holding: Holding,
    withheld: Holding,
    grants: BTreeMap<InstanceId, Grant>,
    retired: Vec<Retired>,
    unmet: BTreeMap<CustomerId, u64>,
    serial: u64,
    /// Grants of the predecessor may be in use until then.
    predecessor_until: Instant,
}

#[derive(Debug)]
struct Grant {
    incarnation: Incarnation,
    serial: u64,
    parts: BTreeMap<CustomerId, Parts>,
    wanted: BTreeMap<CustomerId, u64>,
    ends_at: Instant,
}

#[derive(Debug)]
struct Retired {
    instance: InstanceId,
    incarnation: Incarnation,
    /// Serial number of the grant that took the parts away.
    replaced_by: u64,
    parts: BTreeMap<CustomerId, Parts>,
    until: Instant,
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
            retired: Vec::new(),
            unmet: BTreeMap::new(),
            serial: 0,
            predecessor_until: now + wait,
        }
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
    pub fn resume(&mut self, parts: &Holding) {
        self.withheld = self.withheld.minus(parts);
    }

    /// Whether no instance can still use any of these parts.
    pub fn is_free(&self, parts: &Holding, now: Instant) -> bool {
        let granted = self.grants.values().filter(|g| g.ends_at > now).map(|g| &g.parts);
        let retired = self.retired.iter().filter(|r| r.until > now).map(|r| &r.parts);
        now >= self.predecessor_until
            && granted
                .chain(retired)
                .flatten()
                .all(|(customer, used)| used.intersection(parts.parts(customer)).is_empty())
    }

    /// Answers a request; `None` if another holder is meant.
    pub fn grant(&mut self, request: &ShareRequest, now: Instant) -> Option<ShareGrant> {
        if request.holder != self.fencing {
            return None;
        }
        self.drop_ended(now);
        let previous = self.previous(request, now);
        self.serial += 1;
        let mut grant = Grant {
            incarnation: request.incarnation,
            serial: self.serial,
            parts: previous.as_ref().map(|p| p.parts.clone()).unwrap_or_default(),
            wanted: request.wanted.clone(),
            ends_at: now + GRANT_TERM + GRANT_MARGIN,
        };
        let customers: BTreeSet<CustomerId> =
            grant.parts.keys().chain(grant.wanted.keys()).cloned().collect();
        let may_add = now >= self.predecessor_until;
        for customer in customers {
            let parts = self.resize(&customer, &grant, may_add);
            grant.parts.insert(customer, parts);
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
            term_ms: GRANT_TERM.as_millis() as u64,
        };
        self.grants.insert(request.instance.clone(), grant);
        Some(reply)
    }

    /// Customers of whose limits more is wanted than the data centre holds, with the length that
    /// is missing.
    pub fn unmet(&self) -> &BTreeMap<CustomerId, u64> {
        &self.unmet
    }

    /// What the instance may hold before this request is answered.
    fn previous(&mut self, request: &ShareRequest, now: Instant) -> Option<Grant> {
        if let Some(previous) = self.grants.remove(&request.instance) {
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
        let confirmable = request.fencing < self.fencing && now < self.predecessor_until;
        confirmable.then(|| Grant {
            incarnation: request.incarnation,
            serial: 0,
            parts: self.confirmed(request),
            wanted: BTreeMap::new(),
            ends_at: self.predecessor_until,
        })
    }

    /// Parts that the instance holds from the predecessor and that nobody else does.
    fn confirmed(&self, request: &ShareRequest) -> BTreeMap<CustomerId, Parts> {
        let confirm = |(customer, held): (&CustomerId, &Parts)| {
            let own = held.intersection(self.holding.parts(customer));
            (customer.clone(), own.minus(&self.in_use(customer)))
        };
        request.held.iter().map(confirm).collect()
    }

    /// The parts of one customer's limits that `grant` is to have.
    fn resize(&self, customer: &str, grant: &Grant, may_add: bool) -> Parts {
        let grantable = self.holding.parts(customer).minus(self.withheld.parts(customer));
        let own = grant.parts.get(customer).cloned().unwrap_or_default().intersection(&grantable);
        let target = self.target(customer, grant, grantable.length());
        let length = own.length();
        if !may_add || length == target {
            return own;
        }
        if length > target {
            return own.take(target);
        }
        let free = grantable.minus(&self.in_use(customer)).minus(&own);
        own.union(&free.take(target - length))
    }

    /// Length due to `grant`: what it wants as far as max-min fairness allows, and part of what
    /// nobody wants, so that an unexpected first request does not have to wait. Half of that
    /// stays with the holder for sudden wants.
    fn target(&self, customer: &str, grant: &Grant, total: u64) -> u64 {
        let want = |grant: &Grant| grant.wanted.get(customer).copied().unwrap_or(0);
        let mut wants: Vec<u64> = self.grants.values().map(want).collect();
        wants.push(want(grant));
        wants.sort_unstable();
        let mut left = total;
        let mut level = 0;
        for (index, &wanted) in wants.iter().enumerate() {
            let even = left / (wants.len() - index) as u64;
            level = wanted.min(even);
            left -= level;
        }
        want(grant).min(level) + left / (2 * wants.len() as u64)
    }

    fn in_use(&self, customer: &str) -> Parts {
        let granted = self.grants.values().map(|grant| &grant.parts);
        let retired = self.retired.iter().map(|retired| &retired.parts);
        granted
            .chain(retired)
            .filter_map(|parts| parts.get(customer))
            .fold(Parts::none(), |all, parts| all.union(parts))
    }

    /// Keeps what `new` takes away from the instance until the instance cannot use it any more.
    fn retire(&mut self, instance: &InstanceId, previous: Grant, new: &Grant) {
        let none = Parts::none();
        let parts: BTreeMap<_, _> = previous
            .parts
            .iter()
            .map(|(c, parts)| (c.clone(), parts.minus(new.parts.get(c).unwrap_or(&none))))
            .filter(|(_, parts)| !parts.is_empty())
            .collect();
        if !parts.is_empty() {
            self.retired.push(Retired {
                instance: instance.clone(),
                incarnation: previous.incarnation,
                replaced_by: new.serial,
                parts,
                until: previous.ends_at,
            });
        }
    }

    fn retire_all(&mut self, instance: &InstanceId, previous: Grant) {
        self.retired.push(Retired {
            instance: instance.clone(),
            incarnation: previous.incarnation,
            replaced_by: u64::MAX,
            parts: previous.parts,
            until: previous.ends_at,
        });
    }

    fn drop_ended(&mut self, now: Instant) {
        self.retired.retain(|retired| retired.until > now);
        self.grants.retain(|_, grant| grant.ends_at > now);
    }
}
