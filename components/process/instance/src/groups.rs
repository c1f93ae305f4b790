//! Groups of backend servers: orders, reports, publication, demand and summaries.

use std::sync::Arc;

use backend_server::{CacheEvents, OrderReply, SendError};
use group::OrderResult;
use idempotency::range_of;
use membership::SummaryBody;
use rand_chacha::ChaCha8Rng;
use routing::DataCentreSummary;
use types::object::CallPriority;
use types::prelude::*;

use crate::cache_stream::CacheStream;
use crate::directory::{key_group, limits_group};
use crate::event::{Caller, Event};
use crate::instance::{Drain, Instance};
use crate::keys::Claimant;
use crate::message::{
    ArrivalCount, ClaimMessage, DemandMessage, DemandReply, FinishMessage, PeerMessage, PeerReply,
    deadline_in, remaining_ms,
};
use crate::owned_group::{GroupWants, OwnedGroup};
use crate::requests::Wanted;

/// Time for a backend server to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a backend server to send a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the owner of a group to answer a demand.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that an owner of a key range keeps for the answer after it must have decided.
const CLAIM_ANSWER_TIME: Duration = Duration::from_millis(50);
/// Longest time that a claim waits for the platform.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for the holder of the limits to answer.
const SHARE_TIMEOUT: Duration = Duration::from_secs(1);

impl Instance {
    /// Runs `act` on an owned group and carries out what the group then wants.
    pub(crate) fn with_group(
        &mut self,
        group: &GroupId,
        now: Instant,
        act: impl FnOnce(&mut OwnedGroup, SystemTime, &mut ChaCha8Rng),
    ) {
        let rng = self.cx.rng.clone();
        let Some(owned) = self.groups.get_mut(group) else { return };
        act(owned, SystemTime::now(), &mut rng.borrow_mut());
        let wants = owned.take_wants();
        self.on_group_wants(group, wants, now);
    }

    /// The instance owns a group of servers from now on.
    pub(crate) fn gain_server_group(
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

    /// Passes a newer platform list to the owned groups.
    pub(crate) fn update_group_lists(&mut self, now: Instant) {
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in groups {
            let servers = self.directory.engines(&group, &self.cx.data_centre);
            self.with_group(&group, now, |owned, wall, rng| {
                owned.on_list(&servers, now, wall, rng);
            });
        }
    }

    /// Runs what is due in owned groups.
    pub(crate) fn group_timers(&mut self, now: Instant) {
        let due = |group: &&GroupId| self.groups.get(*group).is_some_and(|g| g.next_timer() <= now);
        let groups: Vec<GroupId> = self.owned.keys().filter(due).cloned().collect();
        for group in groups {
            self.with_group(&group, now, |owned, wall, rng| owned.on_timer(now, wall, rng));
        }
    }

    /// Takes a backend server's report.
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
                tracing::debug!("group: no report of {server}: {e}");
                None
            }
        };
        if let Some(report) = &report {
            let (server, incarnation) = (&report.server, report.incarnation);
            self.requests.router.server_report(server, incarnation, report.leaving);
            self.read_cache_events(group, server);
        }
        self.with_group(group, now, |owned, wall, rng| {
            owned.on_report(server, requested, report.as_deref(), now, wall, rng);
        });
    }

    /// Takes cache events of a backend server and passes them to the data centre.
    pub(crate) fn on_cache_events(
        &mut self,
        group: &GroupId,
        server: BackendServerId,
        events: CacheEvents,
    ) {
        let by_replica = self.cache_streams.entry(server).or_default().take(events);
        for (replica, events) in by_replica {
            let replica = ReplicaRef { group: group.clone(), replica };
            self.requests.router.cache_events(&replica, &events);
            self.broadcast(&PeerMessage::CacheEvents { replica, events });
        }
    }

    /// Takes the published state of a group.
    pub(crate) fn on_group_state(&mut self, state: &GroupState, now: Instant) {
        if self.requests.router.publish(state, now) {
            self.demand.publish(state);
            self.requests.pump_all(&self.cx, now);
        }
    }

    /// Answers demand as the owner of a group; `None` if this instance does not own it.
    pub(crate) fn on_demand(
        &mut self,
        from: InstanceId,
        demand: DemandMessage,
        now: Instant,
    ) -> Option<DemandReply> {
        if !self.owned.contains_key(&demand.group) {
            return None;
        }
        let deadline = deadline_in(demand.remaining_ms, now);
        let wanted = placement::Demand {
            from,
            target: demand.target,
            waiting: demand.waiting,
            worth_milli: demand.worth_milli,
            deadline,
        };
        let mut reply = None;
        self.with_group(&demand.group, now, |owned, wall, rng| {
            reply = Some(owned.on_demand(wanted, now, wall, rng));
        });
        reply
    }

    /// Takes an owner's answer to a demand.
    pub(crate) fn on_demand_reply(
        &mut self,
        target: Target,
        group: GroupId,
        reply: Option<DemandReply>,
        now: Instant,
    ) {
        match reply {
            Some(DemandReply::ReadyIn { ms }) => {
                let ready_at = deadline_in(ms, now);
                self.requests.on_expected(&target, Some(ready_at), now);
            }
            Some(DemandReply::Unreachable) => {
                self.demand.refused(&target.model, &group, now);
                let order = self.directory.groups_for(&target.model);
                if self.demand.group_for(&target.model, &order, now).is_none() {
                    self.requests.on_expected(&target, None, now);
                }
            }
            // The owner is away; the demand is repeated while requests wait.
            None => {}
        }
    }

    /// Takes arrival counts as the owner of the models' groups.
    pub(crate) fn on_arrival_counts(&mut self, counts: Vec<ArrivalCount>, now: Instant) {
        for count in counts {
            let order = self.directory.groups_for(&count.model);
            let Some(group) = self.demand.group_for(&count.model, &order, now) else { continue };
            if !self.owned.contains_key(&group) {
                continue;
            }
            let arrival = placement::Arrival {
                model: count.model,
                count: count.count,
                worth_milli: count.worth_milli,
                deadline: deadline_in(count.remaining_ms, now),
            };
            self.with_group(&group, now, |owned, wall, rng| {
                owned.on_arrivals(arrival, now, wall, rng);
            });
        }
    }

    /// Tells the owners of groups which models were asked for.
    pub(crate) fn report_arrivals(&mut self, now: Instant) {
        let mut by_owner: BTreeMap<InstanceId, Vec<ArrivalCount>> = BTreeMap::new();
        for (model, count) in std::mem::take(&mut self.requests.arrivals) {
            let order = self.directory.groups_for(&model);
            let group = self.demand.group_for(&model, &order, now);
            let owner = group.and_then(|group| self.ownership.owner_hint(&group).cloned());
            if let Some(owner) = owner {
                by_owner.entry(owner).or_default().push(count);
            }
        }
        for (owner, counts) in by_owner {
            if owner == self.cx.instance {
                self.on_arrival_counts(counts, now);
            } else {
                self.send(&owner, PeerMessage::Arrivals(counts));
            }
        }
    }

    /// Carries out what the requests want.
    pub(crate) fn on_wanted(&mut self, wanted: Wanted, now: Instant) {
        match wanted {
            Wanted::Target { target, waiting, worth_milli, deadline } => {
                self.send_demand(target, waiting, worth_milli, deadline, now);
            }
            Wanted::Key { ticket, key, fingerprint, decide_by } => {
                let decide_by = decide_by.min(now + CLAIM_TIMEOUT);
                let within = remaining_ms(decide_by, now);
                let message = ClaimMessage { key, fingerprint, decide_within_ms: within };
                self.send_claim(ticket, message, decide_by, now);
            }
            Wanted::KeyEnded { key, fingerprint, state } => {
                let message = FinishMessage { key, fingerprint, state };
                if self.keys.owns(&message.key) {
                    self.keys.finish(message);
                } else if let Some(owner) = self.key_owner(range_of(&message.key), now) {
                    self.send(&owner, PeerMessage::Finish(message));
                }
            }
        }
    }

    /// Asks for grants and reads the standing share when due.
    pub(crate) fn share_timers(&mut self, now: Instant) {
        if let Some(fencing) = self.shares.wants_holding(now) {
            let data_centres = self.directory.data_centres().clone();
            let nonces = (self.nonce(), self.nonce());
            crate::shares::read_holding(&self.cx, fencing, data_centres, nonces);
        }
        let group = limits_group(&self.cx.data_centre);
        let Some(owner) = self.ownership.owner_hint(&group).cloned() else { return };
        let own = self.owned.get(&group).copied();
        let Some(fencing) = own.or_else(|| self.announced.get(&group).copied()) else { return };
        let cfg = self.follower.current().clone();
        let Some(request) = self.shares.due_request(&self.requests, &cfg, fencing, now) else {
            return;
        };
        if owner == self.cx.instance {
            let grant = self.shares.grant(&request, now);
            return self.on_event(Event::Share(grant), now);
        }
        let Some(address) = self.address_of(&owner) else { return };
        let exchange = self.cx.exchange(address, PeerMessage::Share(request), now + SHARE_TIMEOUT);
        self.cx.spawn(async move {
            match exchange.await {
                Some(PeerReply::Share(grant)) => Event::Share(grant),
                _ => Event::Share(None),
            }
        });
    }

    /// Writes counted work and accelerator intervals when due.
    pub(crate) fn booking_timers(&mut self, now: Instant) {
        let closing = self.drain != Drain::Serving && self.requests.is_idle();
        if self.bookings.usage.next_timer() > now && !(closing && self.bookings.usage.may_close()) {
            return;
        }
        let wall = SystemTime::now();
        self.bookings.usage.flush(&self.cx, closing, now, wall);
        for group in self.owned.keys() {
            if let Some(owned) = self.groups.get(group) {
                let closed = owned.group.closed_intervals();
                let open = owned.group.open_intervals(wall);
                crate::usage::write_intervals(&self.cx, group, closed, open, wall);
            }
        }
    }

    /// What other data centres are told.
    pub(crate) fn summary_body(&self) -> SummaryBody {
        let owners = self.directory.candidate_groups(&self.cx.data_centre);
        let key_ranges = (0..idempotency::KEY_RANGES).map(key_group).filter_map(|group| {
            let owner = owners.contains(&group).then(|| self.ownership.owner_hint(&group))??;
            Some((group, owner.clone()))
        });
        SummaryBody {
            models_ready: self.demand.ready_models(),
            memory_free: 0,
            key_ranges: key_ranges.collect(),
            entry_points: vec![self.callers_address.clone()],
        }
    }

    /// Takes what is known of another data centre.
    pub(crate) fn on_summary_changed(&mut self, data_centre: &DataCentreId, now: Instant) {
        let Some(body) = self.membership.summary(now, data_centre).and_then(|s| s.body.clone())
        else {
            return;
        };
        if let Some(entry_point) = body.entry_points.first() {
            self.requests.entry_points.insert(data_centre.clone(), entry_point.clone());
        }
        let free = body.models_ready.iter().map(|model| (model.clone(), 1)).collect();
        let summary = DataCentreSummary { data_centre: data_centre.clone(), free };
        self.requests.router.summary(summary, now);
    }

    fn on_group_wants(&mut self, group: &GroupId, wants: Vec<GroupWants>, now: Instant) {
        for want in wants {
            match want {
                GroupWants::Call { call, request } => {
                    let caller = Caller::Group(group.clone());
                    self.cx.call(caller, call, CallPriority::Ordinary, request);
                }
                GroupWants::Order { server, address, order } => {
                    self.send_order(group.clone(), server, address, order);
                }
                GroupWants::Report { server, address } => {
                    self.read_report(group.clone(), server, address, now);
                }
                GroupWants::RaiseFencing => {
                    let rng = self.cx.rng.clone();
                    let actions = self.ownership.raise_fencing(now, group, &mut *rng.borrow_mut());
                    self.on_ownership_actions(actions, now);
                }
                GroupWants::Superseded => {
                    tracing::warn!("group: {group} has another owner");
                    let rng = self.cx.rng.clone();
                    let actions = self.ownership.raise_fencing(now, group, &mut *rng.borrow_mut());
                    self.on_ownership_actions(actions, now);
                }
                GroupWants::Released => self.released(group, now),
                GroupWants::Publish(state) => {
                    self.broadcast(&PeerMessage::GroupState(Arc::clone(&state)));
                    self.on_group_state(&state, now);
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
        let Some(entry) = listed.into_iter().find(|l| l.name == *server) else { return };
        let (client, group, server) = (self.cx.client.clone(), group.clone(), server.clone());
        self.cx.spawn(async move {
            let deadline = Instant::now() + REPORT_TIMEOUT;
            let events = client.cache_events(&entry.address, since, deadline).await;
            // A hint only: what is missed shows as a gap.
            let events = events.unwrap_or_else(|_| CacheEvents { next: since, events: Vec::new() });
            Event::CacheEvents { group, server, events }
        });
    }

    fn send_demand(
        &mut self,
        target: Target,
        waiting: u32,
        worth_milli: u32,
        deadline: Instant,
        now: Instant,
    ) {
        let order = self.directory.groups_for(&target.model);
        let Some(group) = self.demand.group_for(&target.model, &order, now) else {
            return self.requests.on_expected(&target, None, now);
        };
        let message = DemandMessage {
            group: group.clone(),
            target: target.clone(),
            waiting,
            worth_milli,
            remaining_ms: remaining_ms(deadline, now),
        };
        if self.owned.contains_key(&group) {
            let reply = self.on_demand(self.cx.instance.clone(), message, now);
            return self.on_demand_reply(target, group, reply, now);
        }
        let Some(owner) = self.ownership.owner_hint(&group) else { return };
        let Some(address) = self.address_of(owner) else { return };
        let exchange =
            self.cx.exchange(address, PeerMessage::Demand(message), now + DEMAND_TIMEOUT);
        self.cx.spawn(async move {
            let reply = match exchange.await {
                Some(PeerReply::Demand(reply)) => Some(reply),
                _ => None,
            };
            Event::Demand { target, group, reply }
        });
    }

    fn send_claim(
        &mut self,
        ticket: admission::Ticket,
        message: ClaimMessage,
        decide_by: Instant,
        now: Instant,
    ) {
        if self.keys.owns(&message.key) {
            let wall = SystemTime::now();
            return self.keys.claim(message, Claimant::Own(ticket), now, wall);
        }
        let owner = self.key_owner(range_of(&message.key), now);
        let Some(address) = owner.and_then(|owner| self.address_of(&owner)) else {
            return self.requests.on_claim(&self.cx, ticket, None, now);
        };
        let deadline = decide_by + CLAIM_ANSWER_TIME;
        let exchange = self.cx.exchange(address, PeerMessage::Claim(message), deadline);
        self.cx.spawn(async move {
            let answer = match exchange.await {
                Some(PeerReply::Claim(answer)) => Some(answer),
                _ => None,
            };
            Event::Claim { ticket, answer }
        });
    }
}
