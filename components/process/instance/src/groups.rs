//! Engine groups in the event loop: orders, reports, cache events and publication.

use std::sync::Arc;

use backend_server::{CacheEvents, OrderReply, SendError};
use group::OrderResult;
use rand_chacha::ChaCha8Rng;
use types::object::CallPriority;
use types::prelude::*;

use crate::cache_stream::CacheStream;
use crate::event::{Event, PlatformCaller};
use crate::instance::Instance;
use crate::message::PeerMessage;
use crate::owned_group::{GroupAction, OwnedGroup};
use group::{ChangesResult, FullState, GroupChanges, Publication};

/// Timeout for an engine's answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for reading a report or cache events of a server.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

impl Instance {
    /// Runs `act` on an owned group and carries out the actions that the group queued.
    pub(crate) fn with_group(
        &mut self,
        group: &GroupId,
        now: Instant,
        act: impl FnOnce(&mut OwnedGroup, SystemTime, &mut ChaCha8Rng),
    ) {
        let rng = self.cx.rng.clone();
        let Some(owned) = self.groups.get_mut(group) else { return };
        let elsewhere = self.membership.remote_store_use(now);
        owned.use_by_others = self.store_uses.use_by_others(group, elsewhere, now);
        owned.is_platform_failing = self.cx.platform.is_failing();
        act(owned, SystemTime::now(), &mut rng.borrow_mut());
        let actions = owned.take_actions();
        self.on_group_actions(group, actions, now);
    }

    /// Starts managing an engine group that the instance has gained.
    pub(crate) fn on_engine_group_gained(
        &mut self,
        group: GroupId,
        fencing: FencingNumber,
        now: Instant,
    ) {
        let time_of_day = self.time_of_day();
        let cfg = self.follower.current().clone();
        let owned = self.groups.entry(group.clone()).or_insert_with(|| {
            let settings = group::Settings::new(group.clone(), self.cx.instance.clone());
            let catalogue = Arc::clone(&cfg.catalogue);
            OwnedGroup::new(settings, catalogue, now, time_of_day)
        });
        owned.configure(&cfg);
        let lease_until = self.ownership.lease_until(now).unwrap_or(now);
        let servers = self.directory.engines(&group, &self.cx.data_centre);
        self.with_group(&group, now, |owned, wall, rng| {
            owned.on_gained(fencing, lease_until, now, rng);
            owned.on_list(&servers, now, wall, rng);
        });
    }

    /// Passes the servers of the latest platform list to each owned group.
    pub(crate) fn update_server_lists(&mut self, now: Instant) {
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in groups {
            let servers = self.directory.engines(&group, &self.cx.data_centre);
            self.with_group(&group, now, |owned, wall, rng| {
                owned.on_list(&servers, now, wall, rng);
            });
        }
    }

    /// Runs the due timers of owned groups.
    pub(crate) fn group_timers(&mut self, now: Instant) {
        let due = |group: &&GroupId| self.groups.get(*group).is_some_and(|g| g.next_timer() <= now);
        let groups: Vec<GroupId> = self.owned.keys().filter(due).cloned().collect();
        for group in groups {
            self.with_group(&group, now, |owned, wall, rng| owned.on_timer(now, wall, rng));
        }
    }

    /// Handles a server's report, or the failure to read it.
    pub(crate) fn on_report(
        &mut self,
        group: &GroupId,
        server: &BackendServerId,
        requested: Instant,
        result: Result<Box<ServerReport>, SendError>,
        now: Instant,
    ) {
        let report = match result {
            Ok(report) => Some(report),
            Err(e) => {
                tracing::debug!("group: no report from {server}: {e}");
                None
            }
        };
        if let Some(report) = &report {
            let (server, incarnation) = (&report.server, report.incarnation);
            self.requests.router.apply_server_report(server, incarnation, report.leaving);
            self.read_cache_events(group, server);
        }
        self.with_group(group, now, |owned, wall, rng| {
            owned.on_report(server, requested, report.as_deref(), now, wall, rng);
        });
    }

    /// Applies cache events of a server and broadcasts them in the data centre.
    pub(crate) fn on_cache_events(
        &mut self,
        group: &GroupId,
        server: BackendServerId,
        events: CacheEvents,
    ) {
        let by_replica = self.cache_streams.entry(server).or_default().consume(events);
        for (replica, events) in by_replica {
            let replica = ReplicaRef { group: group.clone(), replica };
            self.requests.router.apply_cache_events(&replica, &events);
            self.broadcast(&PeerMessage::CacheEvents { replica, events });
        }
    }

    /// Applies the published state of a group.
    pub(crate) fn on_group_state(&mut self, full: &FullState, now: Instant) {
        let state = &full.state;
        let position = (state.fencing, state.sequence);
        self.store_uses.apply(&state.group, position, state.store, now);
        if self.requests.router.apply_group_state(state, now) {
            self.demand_routing.apply_state(state);
            self.received_states.apply_full(full);
            self.requests.dispatch_all_queues(&self.cx, now);
        }
    }

    /// Sends the states of all owned groups to an instance that has just become live.
    pub(crate) fn send_states(&self, to: &InstanceId, now: Instant) {
        self.owned.keys().for_each(|group| self.send_state(group, to, now));
    }

    /// Sends the last published state of an owned group to an instance.
    pub(crate) fn send_state(&self, group: &GroupId, to: &InstanceId, now: Instant) {
        let owned = self.owned.get(group).and_then(|_| self.groups.get(group));
        if let Some(full) = owned.and_then(|owned| owned.publishing.last_published(now)) {
            self.send(to, PeerMessage::GroupState(Arc::new(full)));
        }
    }

    /// Applies published changes of a group, or requests the full state if a publication was
    /// missed.
    pub(crate) fn on_group_changes(
        &mut self,
        from: &InstanceId,
        changes: &GroupChanges,
        now: Instant,
    ) {
        let position = (changes.fencing, changes.sequence);
        self.store_uses.apply(&changes.group, position, changes.store, now);
        match self.received_states.apply_changes(changes, now) {
            ChangesResult::Applied(state) => {
                if self.requests.router.apply_group_state(state, now) {
                    if !changes.servers.is_empty() {
                        self.demand_routing.apply_state(state);
                    }
                    self.requests.dispatch_all_queues(&self.cx, now);
                }
            }
            ChangesResult::Gap => self.send(from, PeerMessage::StateWanted(changes.group.clone())),
            ChangesResult::Ignored => {}
        }
    }

    fn on_group_actions(&mut self, group: &GroupId, actions: Vec<GroupAction>, now: Instant) {
        for action in actions {
            match action {
                GroupAction::Call { call, request } => {
                    let caller = PlatformCaller::Group(group.clone());
                    self.cx.call(caller, call, CallPriority::Normal, request);
                }
                GroupAction::Order { server, address, order } => {
                    self.send_order(group.clone(), server, address, order);
                }
                GroupAction::Report { server, address } => {
                    self.read_report(group.clone(), server, address, now);
                }
                GroupAction::RaiseFencing => {
                    let rng = self.cx.rng.clone();
                    let actions = self.ownership.raise_fencing(now, group, &mut *rng.borrow_mut());
                    self.on_ownership_actions(actions, now);
                }
                GroupAction::Superseded => {
                    tracing::warn!("group: {group} has another owner");
                    let rng = self.cx.rng.clone();
                    let actions = self.ownership.raise_fencing(now, group, &mut *rng.borrow_mut());
                    self.on_ownership_actions(actions, now);
                }
                GroupAction::Released => self.on_group_released(group, now),
                GroupAction::Publish(Publication::Full(full)) => {
                    self.broadcast(&PeerMessage::GroupState(Arc::clone(&full)));
                    self.on_group_state(&full, now);
                }
                GroupAction::Publish(Publication::Changes(changes)) => {
                    self.broadcast(&PeerMessage::GroupChanges(Arc::clone(&changes)));
                    self.on_group_changes(&self.cx.instance.clone(), &changes, now);
                }
            }
        }
    }

    fn send_order(&self, group: GroupId, server: BackendServerId, address: Box<str>, order: Order) {
        if let OrderKind::Load { source, .. } = &order.kind {
            self.cx.metrics.loads.get_or_create(&(*source).into()).inc();
        }
        let client = self.cx.client.clone();
        self.cx.spawn(async move {
            let deadline = Instant::now() + ORDER_TIMEOUT;
            let result = match client.order(&address, &order, deadline).await {
                Ok(OrderReply::Accepted) => OrderResult::Accepted,
                Ok(OrderReply::Stale) => OrderResult::StaleFencing,
                Ok(OrderReply::Refused(text)) => {
                    tracing::warn!("group: {server} refused order {}: {text}", order.order);
                    OrderResult::Refused
                }
                Err(e) => {
                    tracing::info!("group: order {} to {server} failed: {e}", order.order);
                    match e.verdict() {
                        Verdict::NotRun => OrderResult::NotSent,
                        Verdict::MayHaveRun => OrderResult::Lost,
                    }
                }
            };
            Event::OrderResult { group, server, order: order.order, result }
        });
    }

    fn read_report(
        &self,
        group: GroupId,
        server: BackendServerId,
        address: Box<str>,
        now: Instant,
    ) {
        let client = self.cx.client.clone();
        self.cx.spawn(async move {
            let result = client.state(&address, now + REPORT_TIMEOUT).await.map(Box::new);
            Event::Report { group, server, requested: now, result }
        });
    }

    fn read_cache_events(&self, group: &GroupId, server: &BackendServerId) {
        let since = self.cache_streams.get(server).map_or(0, CacheStream::position);
        let listed = self.directory.engines(group, &self.cx.data_centre);
        let Some(engine) = listed.into_iter().find(|l| l.name == *server) else { return };
        let (client, group, server) = (self.cx.client.clone(), group.clone(), server.clone());
        self.cx.spawn(async move {
            let deadline = Instant::now() + REPORT_TIMEOUT;
            let events = client.cache_events(&engine.address, since, deadline).await;
            // Cache events are only hints, and missed ones are detected as a gap in the positions.
            let events = events.unwrap_or_else(|_| CacheEvents { next: since, events: Vec::new() });
            Event::CacheEvents { group, server, events }
        });
    }
}
