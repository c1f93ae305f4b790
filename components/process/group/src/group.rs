//! The state machine of one group: ownership, timers and platform answers.

use std::sync::Arc;

use rand::Rng;
use types::object::{CallId, ObjectAnswer, ObjectCall, ObjectKey, decode};
use types::prelude::*;

use crate::pool::Pools;
use crate::server::{OrderProgress, Server};
use crate::store::DecisionStore;
use crate::{Action, DecisionObject, OrderResult, Settings};

/// Order numbers that each claim of the group reserves for orders that are not recorded.
const UNRECORDED_ORDER_COUNT: u64 = 1 << 32;

/// Time between two rounds of granting permits; each round causes at most one write.
const PERMIT_INTERVAL: Duration = Duration::from_secs(1);

/// What the lease and the group object allow this instance to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Authority {
    None,
    /// Allows all orders until the lease ends. After that, orders need a permit, except for unloads
    /// on servers that check fencing numbers.
    Owner {
        fencing: FencingNumber,
        lease_until: Instant,
    },
}

/// Decision object, orders and servers of one group, as its owner tracks them.
#[derive(Debug)]
pub struct Group {
    pub(crate) cfg: Settings,
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) catalogue_version: ConfigurationVersion,
    pub(crate) authority: Authority,
    /// The decision object with all decisions so far. Orders in it are sent once it is written.
    pub(crate) record: DecisionObject,
    /// The decision object as the platform stores it.
    pub(crate) store: DecisionStore,
    pub(crate) servers: BTreeMap<BackendServerId, Server>,
    pub(crate) pools: Pools,
    /// Models that permits should cover, in order of preference.
    pub(crate) permit_models: Vec<ModelId>,
    /// When the next round of permits is granted.
    pub(crate) next_permits_at: Option<Instant>,
    pub(crate) is_releasing: bool,
    pub(crate) next_raise_at: Option<Instant>,
    pub(crate) next_unrecorded: OrderId,
    /// Unrecorded orders under the current fencing number have higher numbers than this.
    pub(crate) unrecorded_after: OrderId,
    pub(crate) sequence: u64,
    /// The group's use of the weight store, as published.
    pub(crate) store_use: StoreUse,
    /// Wall-clock time of the last event that carried one; used for accounting only.
    pub(crate) last_wall: Option<SystemTime>,
    last_call: CallId,
}

impl Group {
    /// Creates a group that this instance does not own yet.
    pub fn new(cfg: Settings) -> Self {
        Self {
            cfg,
            catalogue: Arc::default(),
            catalogue_version: 0,
            authority: Authority::None,
            record: DecisionObject::default(),
            store: DecisionStore::default(),
            servers: BTreeMap::new(),
            pools: Pools::default(),
            permit_models: Vec::new(),
            next_permits_at: None,
            is_releasing: false,
            next_raise_at: None,
            next_unrecorded: 0,
            unrecorded_after: 0,
            sequence: 0,
            store_use: StoreUse::default(),
            last_wall: None,
            last_call: 0,
        }
    }

    /// When [`on_timer`](Self::on_timer) is due; `None` if only an event can change the state.
    pub fn next_timer(&self) -> Option<Instant> {
        if self.authority == Authority::None {
            return None;
        }
        let seals = self.servers.values().filter_map(|server| server.next_seal_at);
        let unrecorded =
            self.servers.values().flat_map(|s| &s.unrecorded).filter_map(|o| o.blocks_until);
        let timeouts = self.unresolved_since().map(|at| at + self.cfg.order_timeout);
        let raise =
            timeouts.map(|at| self.next_raise_at.map_or(at, |not_before| at.max(not_before)));
        let group_timers =
            [self.store.retry_at(), self.pools.next_timer(), raise, self.next_permits_at];
        seals.chain(unrecorded).chain(group_timers.into_iter().flatten()).min()
    }

    /// Handles that the instance has gained the group under this fencing number: reads the decision
    /// object to recover. If this process owned the group before and no other owner wrote the
    /// object in between, the state in memory is retained.
    pub fn on_gained(
        &mut self,
        now: Instant,
        fencing: FencingNumber,
        lease_until: Instant,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.authority = Authority::Owner { fencing, lease_until };
        self.is_releasing = false;
        // Gives the new fencing number time to resolve orders before a higher one is requested.
        self.next_raise_at = Some(now + self.cfg.order_timeout);
        self.next_permits_at = Some(now + PERMIT_INTERVAL);
        for server in self.servers.values_mut() {
            server.is_sealed = false;
        }
        self.store.begin_recovery(now);
        self.advance(now, rng)
    }

    /// Sets the end of the lease, which is checked before every order.
    pub fn set_lease(&mut self, until: Instant) {
        if let Authority::Owner { lease_until, .. } = &mut self.authority {
            *lease_until = until;
        }
    }

    /// Handles that the lease lapsed: from now on, orders need a permit, except for unloads on
    /// servers that check fencing numbers.
    pub fn on_lapsed(&mut self, now: Instant) {
        if let Authority::Owner { lease_until, .. } = &mut self.authority {
            *lease_until = now.min(*lease_until);
        }
    }

    /// Handles that another instance owns the group: no more orders are sent.
    pub fn on_lost(&mut self, _now: Instant) {
        self.end_ownership();
    }

    /// Ends the ownership. Another owner may write from now on, so this process stops using its
    /// permits.
    pub(crate) fn end_ownership(&mut self) {
        self.authority = Authority::None;
        for server in self.servers.values_mut() {
            server.has_own_permit = false;
        }
    }

    /// Begins a hand-over: rejects decisions, withdraws permits and unsent orders, writes the
    /// decision object and then returns [`Action::Released`].
    pub fn release(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        self.is_releasing = true;
        for (name, server) in &mut self.servers {
            let unsent: Vec<OrderId> = server
                .progress
                .iter()
                .filter(|(_, progress)| **progress == OrderProgress::Unsent)
                .map(|(order, _)| *order)
                .collect();
            for order in unsent {
                server.progress.remove(&order);
                self.record.revert_order(name, order);
            }
            let Some(record) = self.record.servers.get_mut(name) else { continue };
            if server.has_own_permit {
                record.permit = None;
            }
        }
        self.store.mark_dirty();
        if self.authority == Authority::None {
            return vec![Action::Released];
        }
        self.advance(now, rng)
    }

    /// Retries failed calls and seals, grants permits, and requests a higher fencing number when an
    /// order has gone unresolved for too long.
    pub fn on_timer(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        for server in self.servers.values_mut() {
            server.unrecorded.retain(|order| order.blocks_until.is_none_or(|until| now < until));
        }
        let mut actions = Vec::new();
        let timed_out =
            self.unresolved_since().is_some_and(|at| at + self.cfg.order_timeout <= now);
        if timed_out && self.next_raise_at.is_none_or(|at| at <= now) {
            self.next_raise_at = Some(now + self.cfg.order_timeout);
            if self.is_lease_valid(now) {
                actions.push(Action::RaiseFencing);
            }
        }
        if !self.is_lease_valid(now) || !self.is_recovered() {
            self.pools.postpone(now + self.cfg.transfer_interval);
        }
        if self.next_permits_at.is_some_and(|at| at <= now) {
            self.next_permits_at = Some(now + PERMIT_INTERVAL);
            if self.is_writable(now) {
                self.grant_permits();
            }
        }
        actions.extend(self.advance(now, rng));
        actions
    }

    /// Processes the answer to a platform call.
    pub fn on_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.on_store_answer(now, call, &answer, rng, &mut actions) {
            actions.extend(self.on_pool_answer(now, call, answer, rng));
        }
        actions.extend(self.advance(now, rng));
        actions
    }

    /// Applies the platform's list of backend servers. A server of this group that is missing from
    /// it is removed together with its replicas, orders and permit.
    pub fn on_server_list(
        &mut self,
        now: Instant,
        wall: SystemTime,
        servers: &[ListedInstance],
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.last_wall = Some(wall);
        let listed: BTreeMap<&str, &ListedInstance> =
            servers.iter().filter(|s| s.group == self.cfg.group).map(|s| (&*s.name, s)).collect();
        for (name, entry) in &listed {
            let server = self.servers.entry((*name).into()).or_default();
            server.address = entry.address.clone();
            server.is_listed_leaving = entry.state == ListedState::Leaving;
            if self.is_recovered() && !self.record.servers.contains_key(*name) {
                let record = self.record.servers.entry((*name).into()).or_default();
                record.checks_fencing = entry.checks_fencing;
                self.store.mark_dirty();
            }
        }
        if self.is_recovered() {
            let removed = self.record.servers.keys().filter(|name| !listed.contains_key(&***name));
            for name in removed.cloned().collect::<Vec<_>>() {
                self.remove_server(&name, wall);
            }
        }
        let mut actions = vec![Action::Publish];
        actions.extend(self.advance(now, rng));
        actions
    }

    fn remove_server(&mut self, name: &BackendServerId, wall: SystemTime) {
        let Some(record) = self.record.servers.get(name) else { return };
        for replica in record.replicas.keys().copied().collect::<Vec<_>>() {
            self.record.end_replica(name, replica, wall);
        }
        self.record.servers.remove(name);
        self.servers.remove(name);
        self.store.mark_dirty();
    }

    /// Sets the catalogue, which declares the memory, accelerators and replica count of each model.
    /// Ignores an older version.
    pub fn set_catalogue(&mut self, version: ConfigurationVersion, catalogue: Arc<Catalogue>) {
        if version >= self.catalogue_version {
            self.catalogue_version = version;
            self.catalogue = catalogue;
        }
    }

    /// Sets the published use of the weight store; returns whether it differs from the previous
    /// one.
    pub fn set_store_use(&mut self, store_use: StoreUse) -> bool {
        std::mem::replace(&mut self.store_use, store_use) != store_use
    }

    /// Sets the models that permits should cover, in order of preference.
    pub fn set_permit_models(&mut self, models: Vec<ModelId>) {
        self.permit_models = models;
    }

    /// Makes all progress that is possible now: starts platform calls, sends orders and completes a
    /// hand-over.
    pub(crate) fn advance(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.authority == Authority::None {
            return actions;
        }
        if self.is_recovered() && self.is_lease_valid(now) {
            self.start_pool_passes(now, rng, &mut actions);
        }
        self.flush(now, rng, &mut actions);
        self.dispatch(now, &mut actions);
        if self.is_releasing && self.is_recovered() && self.store.is_clean() {
            self.authority = Authority::None;
            actions.push(Action::Released);
        }
        actions
    }

    pub(crate) fn is_lease_valid(&self, now: Instant) -> bool {
        matches!(self.authority, Authority::Owner { lease_until, .. } if now < lease_until)
    }

    /// The fencing number of this owner; zero if this instance does not own the group.
    pub(crate) fn fencing(&self) -> FencingNumber {
        match self.authority {
            Authority::None => 0,
            Authority::Owner { fencing, .. } => fencing,
        }
    }

    /// Whether the stored decision object carries this owner's fencing number.
    pub(crate) fn is_recovered(&self) -> bool {
        let fencing = self.fencing();
        fencing > 0 && self.store.committed.fencing == fencing
    }

    /// Replaces the record by a decision object that another owner wrote, and discards what this
    /// process knew of the servers.
    pub(crate) fn adopt_record(&mut self, now: Instant, record: DecisionObject) {
        self.record = record;
        for name in self.record.servers.keys() {
            self.servers.entry(name.clone()).or_default();
        }
        for server in self.servers.values_mut() {
            server.progress.clear();
            server.unrecorded.clear();
            server.has_own_permit = false;
            server.is_sealed = false;
            server.report = None;
            // Only reports that are requested from now on are newer than the record.
            server.received_at = Some(now);
        }
    }

    /// Marks the record with this owner's fencing number and reserves order numbers. Once this is
    /// written, writes by earlier owners fail.
    pub(crate) fn claim_record(&mut self) {
        let fencing = self.fencing();
        self.record.group = self.cfg.group.clone();
        self.record.owner = self.cfg.instance.clone();
        self.record.fencing = fencing;
        self.record.next_order += 1;
        self.next_unrecorded = self.record.next_order;
        self.unrecorded_after = self.record.next_order;
        self.record.next_order += UNRECORDED_ORDER_COUNT;
        for (name, record) in &mut self.record.servers {
            let Some(server) = self.servers.get(name) else { continue };
            if let Some(permit) = record.permit.as_mut().filter(|_| server.has_own_permit) {
                permit.fencing = fencing;
            }
            for (id, order) in &mut record.orders {
                if server.progress.get(id) == Some(&OrderProgress::Unsent) {
                    order.fencing = fencing;
                }
            }
        }
        self.store.mark_dirty();
    }

    /// Since when the oldest order without an outcome has been accepted or lost, on servers that
    /// check fencing numbers, where a seal can resolve it.
    fn unresolved_since(&self) -> Option<Instant> {
        let sealable = |name: &BackendServerId| {
            self.record.servers.get(name).is_some_and(|record| record.checks_fencing)
        };
        let servers = self.servers.iter().filter(|(name, _)| sealable(name));
        let times =
            servers.flat_map(|(_, server)| server.progress.values()).filter_map(|p| match p {
                OrderProgress::Accepted { at, .. } | OrderProgress::Lost { at } => Some(*at),
                OrderProgress::Unsent | OrderProgress::Sent { .. } => None,
            });
        times.min()
    }

    /// Adds a platform call to the actions and returns its number.
    pub(crate) fn call(&mut self, request: ObjectCall, actions: &mut Vec<Action>) -> CallId {
        self.last_call += 1;
        actions.push(Action::Call { call: self.last_call, request });
        self.last_call
    }

    /// The platform key of the decision object.
    pub(crate) fn key(&self) -> ObjectKey {
        ObjectKey::new("decision", self.cfg.group.clone())
    }

    /// Processes the result of sending an order.
    pub fn on_order_result(
        &mut self,
        now: Instant,
        server: &str,
        order: OrderId,
        result: OrderResult,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.apply_result(now, server, order, result, &mut actions);
        actions.extend(self.advance(now, rng));
        actions
    }

    /// Decodes a decision object; `None` if the value is malformed.
    pub(crate) fn decode(value: &[u8]) -> Option<DecisionObject> {
        decode(value)
    }
}
