//! The state of the other instances, as their messages report it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use replica_placement::{BootTime, HeldLease, InstanceName};
use routes::ModelName;
use server_choice::PaceBoard;
use server_directory::{RecentChanges, ServerId};

use super::ModelKey;
use super::message_delay::MessageDelay;
use super::messages::{
    InFlightFigures, LeaderUpdate, ServerKey, Status, SyncedRevision, server_key,
};

/// Time without a message after which an instance's requests no longer count as in flight.
const IN_FLIGHT_EXPIRY: Duration = Duration::from_millis(1_500);

/// Time without a message after which an instance has no share of the retry limits. Twice the
/// window of the limits, so that two instances do not use the same share within one window.
const RETRY_SHARE_EXPIRY: Duration = Duration::from_secs(20);

/// Number of instances of another data centre up to which each gets the leader's messages directly.
const MAX_DIRECT: usize = 3;
/// Number of instances of a data centre that take turns in passing messages on.
const RELAYS: usize = 2;

/// Recipients of a message to all instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Delivery {
    pub(crate) direct: Vec<SocketAddr>,
    /// Instances that pass the message on, and to whom.
    pub(crate) relayed: Vec<(SocketAddr, Vec<SocketAddr>)>,
}

/// Order in which instances are chosen to pass messages on.
fn relay_rank(status: &Status) -> (bool, bool, &str) {
    (status.is_leaving, status.is_small, &status.from)
}

/// Another instance.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) address: SocketAddr,
    pub(crate) last_seen_at: Option<Instant>,
    pub(crate) status: Option<Status>,
    /// Arrivals that are already counted in the demand.
    pub(crate) counted_arrivals: HashMap<ModelKey, u64>,
}

/// Another instance with waiting requests.
pub(crate) struct WaitingInstance<'a> {
    pub(crate) address: SocketAddr,
    /// When its status arrived.
    pub(crate) reported_at: Instant,
    status: &'a Status,
}

impl WaitingInstance<'_> {
    /// Models that its requests wait for.
    pub(crate) fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.status.waiting.iter().map(|(_, key, _)| &key.model)
    }
}

/// All other instances.
#[derive(Debug, Default)]
pub(crate) struct Instances {
    by_name: HashMap<InstanceName, Instance>,
    /// Number of instances in the leader's last update; 0 before the first one.
    leader_instance_count: usize,
    /// Largest number of registered instances that was listed or reported by a leader, this one
    /// included; 0 before the first.
    reported_count: usize,
    /// Concurrency limit of loads from the weight store in the leader's last update.
    leader_store_concurrency: Option<usize>,
    /// Requests in flight from other instances, by server, as of the leader's last update.
    in_flight_elsewhere: HashMap<ServerKey, u32>,
    /// Pace of the servers as measured by all instances. Used by the leader.
    pub(crate) pace_board: PaceBoard<ServerKey>,
    /// Delay of the leader's messages.
    message_delay: MessageDelay,
    /// The leader's revisions of the registry and the configuration, and when they were sent.
    leader_revisions: Option<(SyncedRevision, SyncedRevision, Instant)>,
    /// Recent changes of the registry in the leader's last update.
    pub(crate) registry_changes: RecentChanges,
    /// Instances that hold shares in the quotas if the leader fails, as of its last update.
    quota_holders: Vec<InstanceName>,
}

impl Instances {
    /// Adds an instance or replaces its address, and returns whether anything changed.
    pub(crate) fn put(&mut self, name: &str, address: SocketAddr) -> bool {
        let is_new = self.by_name.get(name).is_none_or(|known| known.address != address);
        if is_new {
            let instance = Instance {
                address,
                last_seen_at: None,
                status: None,
                counted_arrivals: HashMap::new(),
            };
            self.by_name.insert(name.into(), instance);
        }
        is_new
    }

    /// Records a status message. If the instance restarted, its counts start afresh.
    pub(crate) fn record_status(&mut self, status: Status, address: SocketAddr, now: Instant) {
        let is_new_run = self
            .by_name
            .get(&status.from)
            .and_then(|known| known.status.as_ref())
            .is_some_and(|known| known.incarnation != status.incarnation);
        if is_new_run {
            self.by_name.remove(&status.from);
        }
        self.put(&status.from, address);
        for (server, sum) in &status.paces {
            self.pace_board.add(*server, *sum, now);
        }
        if let Some(instance) = self.by_name.get_mut(&status.from) {
            instance.last_seen_at = Some(now);
            instance.status = Some(status);
        }
    }

    /// How to send a message to all other instances: directly to those of the leader's data centre
    /// and to those that it does not hear, and through one instance to the others of each other
    /// data centre. Two instances of a data centre take turns, so that the loss of one delays the
    /// others by one message only.
    pub(crate) fn delivery(&self, data_centre: &str, turn: usize, now: Instant) -> Delivery {
        let mut delivery = Delivery::default();
        let mut remote: BTreeMap<&str, Vec<(&Status, SocketAddr)>> = BTreeMap::new();
        for instance in self.by_name.values() {
            let is_live = instance
                .last_seen_at
                .is_some_and(|at| now.saturating_duration_since(at) < IN_FLIGHT_EXPIRY);
            match instance.status.as_ref().filter(|_| is_live) {
                Some(status) if *status.data_centre != *data_centre => {
                    remote.entry(&status.data_centre).or_default().push((status, instance.address));
                }
                _ => delivery.direct.push(instance.address),
            }
        }
        for mut members in remote.into_values() {
            if members.len() <= MAX_DIRECT {
                delivery.direct.extend(members.into_iter().map(|(_, address)| address));
                continue;
            }
            members.sort_by(|(a, _), (b, _)| relay_rank(a).cmp(&relay_rank(b)));
            let (_, relay) = members.remove(turn % RELAYS);
            let to = members.into_iter().map(|(_, address)| address).collect();
            delivery.relayed.push((relay, to));
        }
        delivery
    }

    /// Addresses of all other instances.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.by_name.values().map(|instance| instance.address).collect()
    }

    /// Address of one instance.
    pub(crate) fn address(&self, name: &str) -> Option<SocketAddr> {
        Some(self.by_name.get(name)?.address)
    }

    /// Number of instances that share the retry limits, including this one.
    pub(crate) fn count(&self) -> usize {
        let now = Instant::now();
        let shares = |instance: &Instance| {
            instance
                .last_seen_at
                .is_some_and(|at| now.saturating_duration_since(at) < RETRY_SHARE_EXPIRY)
        };
        let recent = 1 + self.by_name.values().filter(|instance| shares(instance)).count();
        // Before the first update of the leader, every registered instance counts.
        let reported = if self.leader_instance_count == 0 {
            1 + self.by_name.len()
        } else {
            self.leader_instance_count
        };
        recent.max(reported)
    }

    /// Corrects a lease that the leader published at `sent_at`, by its clock, for the time that the
    /// message took. Returns the lease and that time, or `None` if the message is an old one.
    pub(crate) fn correct_delay(
        &mut self,
        lease: HeldLease,
        sent_at: BootTime,
        now: BootTime,
    ) -> Option<(HeldLease, Duration)> {
        let delay = self.message_delay.record(lease.fence, sent_at, now)?;
        Some((HeldLease { left: lease.left.saturating_sub(delay), ..lease }, delay))
    }

    /// Applies an update of the leader. `own` are the requests that this instance has in flight.
    pub(crate) fn apply_leader_update(
        &mut self,
        update: &LeaderUpdate,
        own: &HashMap<ServerKey, u32>,
        sent_at: Instant,
    ) {
        self.leader_instance_count = update.instances as usize;
        self.leader_store_concurrency = Some(usize::from(update.store_concurrent_loads));
        self.leader_revisions = Some((update.registry, update.configuration, sent_at));
        self.registry_changes = update.registry_changes.clone();
        self.set_quota_holders(&update.quota_holders);
        self.record_registered(update.registered as usize);
        let Some(InFlightFigures { part, parts, counts }) = &update.in_flight else { return };
        self.in_flight_elsewhere.retain(|key, _| key % parts.max(&1) != *part);
        for (key, total) in counts {
            let own = own.get(key).copied().unwrap_or(0);
            self.in_flight_elsewhere.insert(*key, total.saturating_sub(own));
        }
    }

    /// Concurrency limit of loads from the weight store that the last leader had reached.
    pub(crate) fn leader_store_concurrency(&self) -> Option<usize> {
        self.leader_store_concurrency.filter(|limit| *limit > 0)
    }

    /// The leader's revisions of the registry and the configuration, however old.
    pub(crate) fn leader_revisions(&self) -> Option<(u64, u64)> {
        let (registry, configuration, _) = self.leader_revisions?;
        Some((registry.revision, configuration.revision))
    }

    /// The leader's revisions of the registry and the configuration, and when the store confirmed
    /// them, if that was less than `limit` ago.
    pub(crate) fn fresh_leader_revisions(
        &self,
        now: Instant,
        limit: Duration,
    ) -> Option<((u64, u64), Instant)> {
        let (registry, configuration, sent_at) = self.leader_revisions?;
        let age = Duration::from_millis(u64::from(registry.age_ms.max(configuration.age_ms)));
        let confirmed_at = sent_at.checked_sub(age)?;
        let is_fresh = now.saturating_duration_since(confirmed_at) < limit;
        is_fresh.then_some(((registry.revision, configuration.revision), confirmed_at))
    }

    /// Newest status of each instance that recently sent one.
    pub(crate) fn live(&self, now: Instant) -> impl Iterator<Item = &Status> {
        self.by_name.values().filter_map(move |instance| {
            let last_seen_at = instance.last_seen_at?;
            let is_live = now.saturating_duration_since(last_seen_at) < IN_FLIGHT_EXPIRY;
            instance.status.as_ref().filter(|_| is_live)
        })
    }

    /// Peer address of a random instance through which the leader may call the store, other than
    /// the one that just failed.
    pub(crate) fn store_relay(
        &self,
        failed: Option<SocketAddr>,
        now: Instant,
    ) -> Option<SocketAddr> {
        let candidates = self.live(now).filter(|status| !status.is_leaving);
        candidates
            .filter_map(|status| self.address(&status.from))
            .filter(|address| Some(*address) != failed)
            .choose(&mut rand::rng())
    }

    /// Instance that should lead after this one, which is stopping. When instances are stopped one
    /// after the other, the one that started last has already been stopped.
    pub(crate) fn successor(&self, now: Instant) -> Option<&InstanceName> {
        let candidates = self.live(now).filter(|status| !status.is_leaving);
        let rank = |status: &&Status| (status.is_small, status.up_for_s);
        candidates.min_by_key(rank).map(|status| &status.from)
    }

    /// Number of registered instances, including this one. An instance that failed stays registered.
    pub(crate) fn registered_count(&self) -> usize {
        match self.reported_count {
            0 => 0,
            reported => reported.max(1 + self.by_name.len()),
        }
    }

    /// Records that at least `count` instances are registered, by a list or by the leader's word.
    pub(crate) fn record_registered(&mut self, count: usize) {
        self.reported_count = self.reported_count.max(count);
    }

    /// Instances that should hold shares in the quotas if the leader fails: one of each data centre,
    /// that of the leader last, because it may fail together with the leader.
    pub(crate) fn choose_quota_holders(&self, own_centre: &str, now: Instant) -> Vec<InstanceName> {
        let mut best: BTreeMap<(bool, &str), &Status> = BTreeMap::new();
        for status in self.live(now).filter(|status| !status.is_leaving) {
            let centre = (*status.data_centre == *own_centre, &*status.data_centre);
            let known = best.entry(centre).or_insert(status);
            if relay_rank(status) < relay_rank(known) {
                *known = status;
            }
        }
        best.into_values().map(|status| status.from.clone()).collect()
    }

    /// Sets the instances that hold shares in the quotas if the leader fails. A leader that knows no
    /// other instance yet leaves them as they are.
    pub(crate) fn set_quota_holders(&mut self, holders: &[InstanceName]) {
        if !holders.is_empty() && *holders != *self.quota_holders {
            self.quota_holders = holders.to_vec();
        }
    }

    pub(crate) fn quota_holders(&self) -> &[InstanceName] {
        &self.quota_holders
    }

    /// Requests in flight from the other instances at a server, as of the leader's last update.
    pub(crate) fn in_flight_at(&self, server: &str) -> u32 {
        self.in_flight_elsewhere.get(&server_key(server)).copied().unwrap_or(0)
    }

    /// Sets the requests in flight from other instances. The leader calls this for itself.
    pub(crate) fn set_in_flight(&mut self, others: HashMap<ServerKey, u32>) {
        self.in_flight_elsewhere = others;
    }

    /// Servers that at least two instances recently failed to reach. A single instance may itself
    /// be cut off.
    pub(crate) fn unreachable(&self, now: Instant) -> HashSet<&str> {
        let mut seen = HashSet::new();
        let servers = self.live(now).flat_map(|status| &status.unreachable);
        servers.filter(|server| !seen.insert(&***server)).map(|server| &**server).collect()
    }

    /// Removes and returns the servers whose holdings other instances reported as stale.
    pub(crate) fn take_stale_holdings(&mut self) -> HashSet<ServerId> {
        let statuses = self.by_name.values_mut().filter_map(|instance| instance.status.as_mut());
        statuses.flat_map(|status| std::mem::take(&mut status.stale_holdings)).collect()
    }

    /// Instances that have waiting requests.
    pub(crate) fn waiting(&self, now: Instant) -> impl Iterator<Item = WaitingInstance<'_>> {
        self.live(now).filter(|status| !status.waiting.is_empty()).filter_map(|status| {
            let instance = self.by_name.get(&status.from)?;
            let (address, reported_at) = (instance.address, instance.last_seen_at?);
            Some(WaitingInstance { address, reported_at, status })
        })
    }

    /// Returns arrivals at other instances since the last call, and marks them as counted.
    pub(crate) fn take_new_arrivals(&mut self) -> Vec<(ModelKey, u64)> {
        let mut new = Vec::new();
        for instance in self.by_name.values_mut() {
            let Some(status) = &instance.status else { continue };
            for (key, total) in &status.arrivals {
                let counted = instance.counted_arrivals.entry(key.clone()).or_default();
                if total > counted {
                    new.push((key.clone(), total - *counted));
                    *counted = *total;
                }
            }
        }
        new
    }
}

#[cfg(test)]
mod tests;
