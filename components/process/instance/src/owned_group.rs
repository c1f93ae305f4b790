//! A group of engines that this instance owns.

use std::sync::Arc;

use group::{Action, Decision, Group, OrderResult, Publication, PublishSchedule, ReportPolls};
use placement::{Event, OtherGroups, Placement};
use rand::Rng;
use types::object::{CallId, ObjectAnswer, ObjectCall};
use types::prelude::*;

use crate::allowances::AllowanceState;
use crate::group_view::LastUsed;
use crate::in_flight_loads::InFlightLoads;
use crate::message::DemandReply;

/// Time without use after which a replica is known to be idle. Reports and the arrival counts of
/// other instances are each up to 1 s old.
const MIN_IDLE_TIME: Duration = Duration::from_millis(2_500);
/// Expected time until a newly gained group can take decisions: two platform calls and a report.
const EXPECTED_RECOVERY_MS: u64 = 200;
/// Maximum time that demand waits for recovery before it is refused.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Work that an owned group requests from the event loop.
#[derive(Debug)]
pub(crate) enum GroupAction {
    /// Make a platform call.
    Call { call: CallId, request: ObjectCall },
    /// Send an order, without retries.
    Order { server: BackendServerId, address: Box<str>, order: Order },
    /// Read the report of a server.
    Report { server: BackendServerId, address: Box<str> },
    /// Obtain a higher fencing number.
    RaiseFencing,
    /// Another instance has written the decision object.
    Superseded,
    /// The group has stopped, so that its handover can continue.
    Released,
    /// Publish the state or the changes.
    Publish(Publication),
}

/// State of an owned group. It lives as long as the process, also while another instance owns the
/// group.
pub(crate) struct OwnedGroup {
    pub(crate) group: Group,
    pub(crate) placement: Placement,
    /// Whether platform calls fail. The event loop sets it before every call.
    pub(crate) is_platform_failing: bool,
    /// Use of the weight store by other groups. The event loop sets it before every call.
    pub(crate) use_by_others: OtherGroups,
    /// When placement runs again for demand that waits for the weight store.
    pub(crate) store_retry_at: Option<Instant>,
    /// When the group republishes its use of the weight store.
    pub(crate) store_republish_at: Option<Instant>,
    catalogue: Arc<Catalogue>,
    pub(crate) last_used: LastUsed,
    polls: ReportPolls,
    pub(crate) in_flight_loads: InFlightLoads,
    /// State of allowance requests and permits.
    pub(crate) allowances: AllowanceState,
    /// Until this time a group that takes no decisions counts as recovering.
    recovering_until: Instant,
    pub(crate) publishing: PublishSchedule,
    next_tick_at: Instant,
    actions: Vec<GroupAction>,
}

impl OwnedGroup {
    /// Creates a group that this instance does not own yet.
    pub(crate) fn new(
        cfg: group::Settings,
        catalogue: Arc<Catalogue>,
        now: Instant,
        time_of_day: Duration,
    ) -> Self {
        let settings = placement::Settings::from(&catalogue.deployment);
        Self {
            group: Group::new(cfg),
            placement: Placement::new(Arc::clone(&catalogue), settings, now, time_of_day),
            is_platform_failing: false,
            use_by_others: OtherGroups::default(),
            store_retry_at: None,
            store_republish_at: None,
            catalogue,
            last_used: LastUsed::default(),
            polls: ReportPolls::default(),
            in_flight_loads: InFlightLoads::default(),
            allowances: AllowanceState::new(now),
            recovering_until: now,
            publishing: PublishSchedule::new(now),
            next_tick_at: now,
            actions: Vec::new(),
        }
    }

    /// Removes and returns the queued actions.
    pub(crate) fn take_actions(&mut self) -> Vec<GroupAction> {
        std::mem::take(&mut self.actions)
    }

    /// Applies a configuration.
    pub(crate) fn configure(&mut self, cfg: &Configuration) {
        self.catalogue = Arc::clone(&cfg.catalogue);
        let settings = placement::Settings::from(&cfg.catalogue.deployment);
        self.placement.configure(Arc::clone(&cfg.catalogue), settings);
        self.group.set_catalogue(cfg.version, Arc::clone(&cfg.catalogue));
    }

    /// Starts recovery after the instance has become the owner.
    pub(crate) fn on_gained(
        &mut self,
        fencing: FencingNumber,
        lease_until: Instant,
        now: Instant,
        rng: &mut impl Rng,
    ) {
        self.recovering_until = now + MAX_RECOVERY_TIME;
        let actions = self.group.on_gained(now, fencing, lease_until, rng);
        self.queue_actions(actions, now);
        self.polls.poll_all_soon(now);
    }

    /// Applies the servers of this group in the platform's list.
    pub(crate) fn on_list(
        &mut self,
        servers: &[ListedInstance],
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) {
        self.polls.set_servers(servers, now);
        let actions = self.group.on_server_list(now, wall, servers, rng);
        self.queue_actions(actions, now);
    }

    /// Handles the answer to a platform call.
    pub(crate) fn on_answer(
        &mut self,
        call: CallId,
        answer: ObjectAnswer,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) {
        let actions = self.group.on_answer(now, call, answer, rng);
        self.queue_actions(actions, now);
        self.place_deferred_demand(now, wall, rng);
        self.run_placement(&Event::ViewChanged, now, wall, rng);
    }

    /// Handles a server's report; `None` if it could not be read.
    pub(crate) fn on_report(
        &mut self,
        server: &BackendServerId,
        requested: Instant,
        report: Option<&ServerReport>,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) {
        let Some(report) = report else { return self.polls.on_read_completed(server, false, now) };
        let actions = self.group.on_report(now, wall, requested, report, rng);
        self.queue_actions(actions, now);
        self.report_ended_loads(now, wall, rng);
        self.run_placement(&Event::ViewChanged, now, wall, rng);
        let view = self.group.view(now);
        let is_busy = report.replicas.iter().any(|r| r.phase != ReplicaPhase::Ready)
            || view.servers.get(server).is_some_and(|s| s.is_blocked)
            || self.in_flight_loads.is_busy(server, &view);
        self.polls.on_read_completed(server, is_busy, now);
    }

    /// Handles the result of sending an order.
    pub(crate) fn on_order_result(
        &mut self,
        server: &BackendServerId,
        order: OrderId,
        result: OrderResult,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) {
        let actions = self.group.on_order_result(now, server, order, result, rng);
        self.queue_actions(actions, now);
        self.polls.poll_soon(server, now);
        self.run_placement(&Event::ViewChanged, now, wall, rng);
    }

    /// Passes arrivals to placement and marks replicas of the model as used.
    pub(crate) fn on_arrivals(
        &mut self,
        arrival: placement::Arrival,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) {
        *self.allowances.request_counts.entry(arrival.model.clone()).or_default() += arrival.count;
        self.last_used.record_requests(&self.group.view(now), &arrival.model, now);
        self.run_placement(&Event::Arrived(arrival), now, wall, rng);
    }

    /// Handles demand and returns when its target can be ready.
    pub(crate) fn on_demand(
        &mut self,
        demand: placement::Demand,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) -> DemandReply {
        let target = demand.target.clone();
        let view = self.group.view(now);
        let has_report = view.servers.values().any(|server| server.memory_total > 0);
        if !has_report || (!view.is_writable && now < self.recovering_until) {
            // Recovery has not finished, so that the time to readiness cannot be estimated yet.
            return DemandReply::ReadyIn { ms: EXPECTED_RECOVERY_MS };
        }
        *self.allowances.request_counts.entry(target.model.clone()).or_default() += 1;
        self.allowances.last_demand_at.insert(target.model.clone(), now);
        let is_allowance_pending = self.request_allowance(&target, now, rng);
        if is_allowance_pending {
            self.allowances.deferred_demand.insert(target.model.clone(), demand);
        } else {
            self.run_placement(&Event::Demand(demand), now, wall, rng);
        }
        let mut view = self.placement_view(now);
        if is_allowance_pending {
            // Estimate the load time as if the requested allowance had arrived.
            view.allowance_left.insert(target.model.clone(), 1);
        }
        match self.placement.expected_ready(&view, &target, now) {
            Some(at) => DemandReply::ReadyIn { ms: crate::message::remaining_ms(at, now) },
            None => DemandReply::Unreachable,
        }
    }

    /// Runs what is due: group timers, server polls, placement ticks, store timers, permits,
    /// allowance returns and publication.
    pub(crate) fn on_timer(&mut self, now: Instant, wall: SystemTime, rng: &mut impl Rng) {
        if self.group.next_timer().is_some_and(|at| at <= now) {
            let actions = self.group.on_timer(now, rng);
            self.queue_actions(actions, now);
        }
        for (server, address) in self.polls.take_due(now) {
            self.actions.push(GroupAction::Report { server, address });
        }
        if self.next_tick_at <= now {
            self.last_used.update(&self.group.view(now), now);
            self.run_placement(&Event::Tick, now, wall, rng);
            self.next_tick_at = self.placement.next_wakeup(now);
        }
        self.store_timers(now, wall, rng);
        if self.allowances.next_permits_at <= now {
            self.set_permits(now);
        }
        if self.allowances.next_return_at <= now {
            self.return_allowances(now, rng);
        }
        let publication = self.publishing.publish_due(&mut self.group, now);
        self.actions.extend(publication.map(GroupAction::Publish));
    }

    /// Returns when `on_timer` is due next.
    pub(crate) fn next_timer(&self) -> Instant {
        let due = [
            self.polls.next_at(),
            self.group.next_timer(),
            self.store_retry_at,
            self.store_republish_at,
        ];
        let own = [
            self.publishing.next_at(),
            self.next_tick_at,
            self.allowances.next_permits_at,
            self.allowances.next_return_at,
        ];
        due.into_iter().flatten().chain(own).min().unwrap_or(self.next_tick_at)
    }

    /// Queues the group's actions for the event loop.
    pub(crate) fn queue_actions(&mut self, actions: Vec<Action>, now: Instant) {
        for action in actions {
            let action = match action {
                Action::Call { call, request } => GroupAction::Call { call, request },
                Action::SendOrder { server, address, order } => {
                    GroupAction::Order { server, address, order }
                }
                Action::ReadReport { server, address } => GroupAction::Report { server, address },
                Action::RaiseFencing => GroupAction::RaiseFencing,
                Action::Superseded => GroupAction::Superseded,
                Action::Released => GroupAction::Released,
                Action::Publish => {
                    self.publishing.mark_changed(now);
                    continue;
                }
            };
            self.actions.push(action);
        }
    }

    /// Passes an event to placement and carries out the resulting decisions.
    pub(crate) fn run_placement(
        &mut self,
        event: &Event,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) {
        let mut decisions = Vec::new();
        let view = self.placement_view(now);
        self.placement.handle(event, &view, now, rng, &mut decisions);
        for decision in decisions {
            self.carry_out(decision, now, wall, rng);
        }
        self.update_store_use(now, rng);
    }

    fn carry_out(
        &mut self,
        decision: placement::Decision,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) {
        let group_decision = match decision.clone() {
            placement::Decision::Load { server, model, source } => {
                Decision::Load { server, model, source }
            }
            // While the platform is unreachable, an unloaded replica may not be loadable again.
            placement::Decision::Unload { replica, .. }
                if self.is_platform_failing
                    || !self.group.view(now).is_writable
                    || now < self.last_used.get(replica, now) + MIN_IDLE_TIME =>
            {
                return self.reject(decision, now, rng);
            }
            placement::Decision::Unload { replica, .. } => Decision::Unload { replica },
            placement::Decision::Prefetch { server, model, .. } => {
                Decision::Prefetch { server, model }
            }
            placement::Decision::LoadAdapter { replica, adapter, evict, .. } => {
                Decision::LoadAdapter { replica, adapter, evict }
            }
            // `on_demand` replies to the instance that sent the demand.
            placement::Decision::Unreachable { .. } => return,
        };
        let before = self.replica_ids(now);
        match self.group.decide(now, wall, group_decision, rng) {
            Ok(actions) => {
                tracing::info!("placement: {}", describe(&decision));
                self.queue_actions(actions, now);
                let after = self.replica_ids(now);
                self.in_flight_loads.record_started(
                    &decision,
                    after.difference(&before).next().copied(),
                    now,
                );
            }
            Err(refused) => {
                tracing::debug!("placement: {} refused: {refused}", describe(&decision));
                self.reject(decision, now, rng);
            }
        }
    }

    /// Reports to placement that a decision was not carried out.
    fn reject(&mut self, decision: placement::Decision, now: Instant, rng: &mut impl Rng) {
        let event = Event::Rejected(decision);
        let view = self.placement_view(now);
        self.placement.handle(&event, &view, now, rng, &mut Vec::new());
    }

    fn replica_ids(&self, now: Instant) -> BTreeSet<ReplicaId> {
        let view = self.group.view(now);
        view.servers.values().flat_map(|s| s.replicas.keys().copied()).collect()
    }

    /// Reports ended loads, prefetches and adapter loads to placement.
    fn report_ended_loads(&mut self, now: Instant, wall: SystemTime, rng: &mut impl Rng) {
        let view = self.group.view(now);
        self.last_used.update(&view, now);
        for event in self.in_flight_loads.remove_ended(&view, now) {
            self.run_placement(&event, now, wall, rng);
        }
    }
}

fn describe(decision: &placement::Decision) -> String {
    match decision {
        placement::Decision::Load { server, model, source } => {
            format!("load {model} on {server} from {source:?}")
        }
        placement::Decision::Unload { server, replica } => {
            format!("unload replica {replica} on {server}")
        }
        placement::Decision::Prefetch { server, model, .. } => {
            format!("prefetch {model} on {server}")
        }
        placement::Decision::LoadAdapter { server, replica, adapter, .. } => {
            format!("load adapter {adapter} into replica {replica} on {server}")
        }
        placement::Decision::Unreachable { target, .. } => format!("{target} unreachable"),
    }
}
