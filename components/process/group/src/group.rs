//! The state machine of one group: ownership, timers and answers.

use std::sync::Arc;

use rand::Rng;
use types::object::{CallId, ObjectAnswer, ObjectCall, ObjectKey, decode};
use types::prelude::*;

use crate::pool::Pools;
use crate::server::{Progress, Server};
use crate::store::Store;
use crate::{Action, DecisionObject, OrderResult, Settings};

/// Order numbers set aside for orders that are not recorded, per change of owner.
const UNRECORDED_ORDERS: u64 = 1 << 32;

/// Time between two rounds of granting permits; each round is at most one write.
const PERMIT_EVERY: Duration = Duration::from_secs(1);

/// What the lease and the group object allow this instance to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Authority {
    None,
    /// Valid until the lease ends; after that only permits are used.
    Owner {
        fencing: FencingNumber,
        lease_until: Instant,
    },
}

/// Decision object, orders and servers of one group, as its owner keeps them.
#[derive(Debug)]
pub struct Group {
    pub(crate) cfg: Settings,
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) catalogue_version: ConfigurationVersion,
    pub(crate) authority: Authority,
    /// The decision object with all decisions so far. What is not written yet is not sent.
    pub(crate) record: DecisionObject,
    pub(crate) store: Store,
    pub(crate) servers: BTreeMap<BackendServerId, Server>,
    pub(crate) pools: Pools,
    pub(crate) permit_models: Vec<ModelId>,
    /// When permits are granted next.
    pub(crate) permit_at: Option<Instant>,
    pub(crate) releasing: bool,
    pub(crate) raise_at: Option<Instant>,
    pub(crate) next_unrecorded: OrderId,
    /// Unrecorded orders under the present fencing number have higher numbers.
    pub(crate) unrecorded_from: OrderId,
    pub(crate) sequence: u64,
    /// What is published of the group's use of the weight store.
    pub(crate) store_use: StoreUse,
    /// Wall clock of the last event that carried it; for accounting only.
    pub(crate) last_wall: Option<SystemTime>,
    last_call: CallId,
}

impl Group {
    /// Starts without authority.
    pub fn new(cfg: Settings) -> Self {
        Self {
            cfg,
            catalogue: Arc::default(),
            catalogue_version: 0,
            authority: Authority::None,
            record: DecisionObject::default(),
            store: Store::default(),
            servers: BTreeMap::new(),
            pools: Pools::default(),
            permit_models: Vec::new(),
            permit_at: None,
            releasing: false,
            raise_at: None,
            next_unrecorded: 0,
            unrecorded_from: 0,
            sequence: 0,
            store_use: StoreUse::default(),
            last_wall: None,
            last_call: 0,
        }
    }

    /// When [`on_timer`](Self::on_timer) is due; `None` if only an event can change anything.
    pub fn next_timer(&self) -> Option<Instant> {
        if self.authority == Authority::None {
            return None;
        }
        let seals = self.servers.values().filter_map(|server| server.seal_at);
        let unrecorded = self.servers.values().flat_map(|s| &s.unrecorded).filter_map(|o| o.until);
        let timeouts = self.unresolved_since().map(|at| at + self.cfg.order_timeout);
        let raise = timeouts.map(|at| self.raise_at.map_or(at, |again| at.max(again)));
        let own = [self.store.retry_at(), self.pools.next_timer(), raise, self.permit_at];
        seals.chain(unrecorded).chain(own.into_iter().flatten()).min()
    }

    /// The instance owns the group with this fencing number: recovers the decision object. If this
    /// process owned the group before and nobody wrote in between, what it knows is kept.
    pub fn on_gained(
        &mut self,
        now: Instant,
        fencing: FencingNumber,
        lease_until: Instant,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.authority = Authority::Owner { fencing, lease_until };
        self.releasing = false;
        // The new fencing number needs time to resolve orders before a higher one is asked for.
        self.raise_at = Some(now + self.cfg.order_timeout);
        self.permit_at = Some(now + PERMIT_EVERY);
        for server in self.servers.values_mut() {
            server.sealed = false;
        }
        self.store.begin_recovery(now);
        self.progress(now, rng)
    }

    /// The lease is valid until this time. Checked before every order.
    pub fn set_lease(&mut self, until: Instant) {
        if let Authority::Owner { lease_until, .. } = &mut self.authority {
            *lease_until = until;
        }
    }

    /// The lease lapsed: from now on only permits are used.
    pub fn on_lapsed(&mut self, now: Instant) {
        if let Authority::Owner { lease_until, .. } = &mut self.authority {
            *lease_until = now.min(*lease_until);
        }
    }

    /// Another instance owns the group: nothing more is sent.
    pub fn on_lost(&mut self, _now: Instant) {
        self.lose_authority();
    }

    /// Ends the ownership. Another owner may write from now on, so permits are not used any more.
    pub(crate) fn lose_authority(&mut self) {
        self.authority = Authority::None;
        for server in self.servers.values_mut() {
            server.own_permit = false;
        }
    }

    /// Begins a hand-over: takes no decisions, withdraws permits and orders that were not sent,
    /// finishes the running write, then returns [`Action::Released`].
    pub fn release(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        self.releasing = true;
        for (name, server) in &mut self.servers {
            let unsent: Vec<OrderId> = server
                .progress
                .iter()
                .filter(|(_, progress)| **progress == Progress::Unsent)
                .map(|(order, _)| *order)
                .collect();
            for order in unsent {
                server.progress.remove(&order);
                self.record.undo(name, order);
            }
            let Some(record) = self.record.servers.get_mut(name) else { continue };
            if server.own_permit {
                record.permit = None;
            }
        }
        self.store.touch();
        if self.authority == Authority::None {
            return vec![Action::Released];
        }
        self.progress(now, rng)
    }

    /// Repeats failed calls and seals, and resolves orders without a trace.
    pub fn on_timer(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        for server in self.servers.values_mut() {
            server.unrecorded.retain(|order| order.until.is_none_or(|until| now < until));
        }
        let mut actions = Vec::new();
        let timed_out =
            self.unresolved_since().is_some_and(|at| at + self.cfg.order_timeout <= now);
        if timed_out && self.raise_at.is_none_or(|at| at <= now) {
            self.raise_at = Some(now + self.cfg.order_timeout);
            if self.is_valid(now) {
                actions.push(Action::RaiseFencing);
            }
        }
        if !self.is_valid(now) || !self.is_recovered() {
            self.pools.postpone(now + self.cfg.transfer_interval);
        }
        if self.permit_at.is_some_and(|at| at <= now) {
            self.permit_at = Some(now + PERMIT_EVERY);
            if self.is_writable(now) {
                self.grant_permits();
            }
        }
        actions.extend(self.progress(now, rng));
        actions
    }

    /// Takes the answer to a platform call.
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
        actions.extend(self.progress(now, rng));
        actions
    }

    /// Takes the platform's list of this group's backend servers. A server that is missing is
    /// removed with all that it held.
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
            server.listed_leaving = entry.state == ListedState::Leaving;
            if self.is_recovered() && !self.record.servers.contains_key(*name) {
                let record = self.record.servers.entry((*name).into()).or_default();
                record.checks_fencing = entry.checks_fencing;
                self.store.touch();
            }
        }
        if self.is_recovered() {
            let removed = self.record.servers.keys().filter(|name| !listed.contains_key(&***name));
            for name in removed.cloned().collect::<Vec<_>>() {
                self.remove_server(&name, wall);
            }
        }
        let mut actions = vec![Action::Publish];
        actions.extend(self.progress(now, rng));
        actions
    }

    fn remove_server(&mut self, name: &BackendServerId, wall: SystemTime) {
        let Some(record) = self.record.servers.get(name) else { return };
        for replica in record.replicas.keys().copied().collect::<Vec<_>>() {
            self.record.end_replica(name, replica, wall);
        }
        self.record.servers.remove(name);
        self.servers.remove(name);
        self.store.touch();
    }

    /// Sets the configuration: models with memory, accelerators and declared replica counts.
    pub fn set_catalogue(&mut self, version: ConfigurationVersion, catalogue: Arc<Catalogue>) {
        if version >= self.catalogue_version {
            self.catalogue_version = version;
            self.catalogue = catalogue;
        }
    }

    /// Sets what is published of the group's use of the weight store; returns whether it differs
    /// from what was set before.
    pub fn set_store_use(&mut self, store_use: StoreUse) -> bool {
        std::mem::replace(&mut self.store_use, store_use) != store_use
    }

    /// Sets the models that permits should cover, the most wanted first.
    pub fn set_permit_models(&mut self, models: Vec<ModelId>) {
        self.permit_models = models;
    }

    /// Does whatever is possible now: recovers, writes, sends and settles.
    pub(crate) fn progress(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.authority == Authority::None {
            return actions;
        }
        if self.is_recovered() && self.is_valid(now) {
            self.settle_pools(now, rng, &mut actions);
        }
        self.flush(now, rng, &mut actions);
        self.dispatch(now, &mut actions);
        if self.releasing && self.is_recovered() && self.store.is_clean() {
            self.authority = Authority::None;
            actions.push(Action::Released);
        }
        actions
    }

    /// Whether the lease is valid.
    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        matches!(self.authority, Authority::Owner { lease_until, .. } if now < lease_until)
    }

    /// The fencing number of this owner; zero without ownership.
    pub(crate) fn fencing(&self) -> FencingNumber {
        match self.authority {
            Authority::None => 0,
            Authority::Owner { fencing, .. } => fencing,
        }
    }

    /// Whether the decision object carries this owner's fencing number.
    pub(crate) fn is_recovered(&self) -> bool {
        let fencing = self.fencing();
        fencing > 0 && self.store.committed.fencing == fencing
    }

    /// Takes over a decision object that another owner wrote.
    pub(crate) fn adopt(&mut self, now: Instant, record: DecisionObject) {
        self.record = record;
        for name in self.record.servers.keys() {
            self.servers.entry(name.clone()).or_default();
        }
        for server in self.servers.values_mut() {
            server.progress.clear();
            server.unrecorded.clear();
            server.own_permit = false;
            server.sealed = false;
            server.report = None;
            // Only reports that are asked for from now on are newer than the record.
            server.received = Some(now);
        }
    }

    /// Marks the record with this owner's fencing number; from the next write on, a later write by
    /// an earlier owner fails.
    pub(crate) fn take_over(&mut self) {
        let fencing = self.fencing();
        self.record.group = self.cfg.group.clone();
        self.record.owner = self.cfg.instance.clone();
        self.record.fencing = fencing;
        self.record.next_order += 1;
        self.next_unrecorded = self.record.next_order;
        self.unrecorded_from = self.record.next_order;
        self.record.next_order += UNRECORDED_ORDERS;
        for (name, record) in &mut self.record.servers {
            let Some(server) = self.servers.get(name) else { continue };
            if let Some(permit) = record.permit.as_mut().filter(|_| server.own_permit) {
                permit.fencing = fencing;
            }
            for (id, order) in &mut record.orders {
                if server.progress.get(id) == Some(&Progress::Unsent) {
                    order.fencing = fencing;
                }
            }
        }
        self.store.touch();
    }

    /// When the oldest order without a trace was sent, on servers that a seal can clear.
    fn unresolved_since(&self) -> Option<Instant> {
        let sealable = |name: &BackendServerId| {
            self.record.servers.get(name).is_some_and(|record| record.checks_fencing)
        };
        let servers = self.servers.iter().filter(|(name, _)| sealable(name));
        let times =
            servers.flat_map(|(_, server)| server.progress.values()).filter_map(|p| match p {
                Progress::Accepted { at, .. } | Progress::Lost { at } => Some(*at),
                Progress::Unsent | Progress::Sent { .. } => None,
            });
        times.min()
    }

    /// Adds a call to the actions and returns its number.
    pub(crate) fn call(&mut self, request: ObjectCall, actions: &mut Vec<Action>) -> CallId {
        self.last_call += 1;
        actions.push(Action::Call { call: self.last_call, request });
        self.last_call
    }

    /// The platform's name of the decision object.
    pub(crate) fn key(&self) -> ObjectKey {
        ObjectKey::new("decision", self.cfg.group.clone())
    }

    /// Takes the result of sending an order.
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
        actions.extend(self.progress(now, rng));
        actions
    }

    /// Decodes a decision object that was read.
    pub(crate) fn decode(value: &[u8]) -> Option<DecisionObject> {
        decode(value)
    }
}
