//! A group of backend servers that this instance owns.

use std::sync::Arc;

use group::{Action, Decision, Group, OrderResult, Publication, PublishSchedule, ReportPolls};
use placement::{Event, OtherGroups, Placement};
use rand::Rng;
use types::object::{CallId, ObjectAnswer, ObjectCall};
use types::prelude::*;

use crate::allowances::Asked;
use crate::group_view::LastUsed;
use crate::message::DemandReply;
use crate::progress::Progress;

/// Reports and arrival counts of other instances lag by up to a second each, so that a replica is
/// certainly idle only after this time without a sign of use.
const CERTAINLY_IDLE_AFTER: Duration = Duration::from_millis(2_500);
/// Time until a group that was just gained can take decisions: two platform calls and a report.
const RECOVERY_MS: u64 = 200;
/// Longest time that recovery is waited for before demand is refused.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// What an owned group wants from the loop.
#[derive(Debug)]
pub(crate) enum GroupWants {
    /// A platform call.
    Call { call: CallId, request: ObjectCall },
    /// An order, sent once.
    Order { server: BackendServerId, address: Box<str>, order: Order },
    /// A server's report.
    Report { server: BackendServerId, address: Box<str> },
    /// A higher fencing number.
    RaiseFencing,
    /// Somebody else has written the decision object.
    Superseded,
    /// The hand-over can go on.
    Released,
    /// The state, or a part of it, is to be published.
    Publish(Publication),
}

/// State of an owned group. Lives as long as the process; ownership may come and go.
pub(crate) struct OwnedGroup {
    pub(crate) group: Group,
    pub(crate) placement: Placement,
    /// Set by the loop before every call.
    pub(crate) platform_is_away: bool,
    /// Use of the weight store by other groups. Set by the loop before every call.
    pub(crate) others: OtherGroups,
    /// When demand that waits for the weight store is looked at again.
    pub(crate) store_retry_at: Option<Instant>,
    /// When the use of the weight store is published again.
    pub(crate) store_repeat_at: Option<Instant>,
    catalogue: Arc<Catalogue>,
    pub(crate) used: LastUsed,
    polls: ReportPolls,
    pub(crate) progress: Progress,
    /// What was asked for, and when allowance and permits are looked at.
    pub(crate) asked: Asked,
    /// Until then a group that takes no decisions is taken for one that is being recovered.
    recovering_until: Instant,
    pub(crate) publishing: PublishSchedule,
    tick_at: Instant,
    wants: Vec<GroupWants>,
}

impl OwnedGroup {
    /// A group without authority.
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
            platform_is_away: false,
            others: OtherGroups::default(),
            store_retry_at: None,
            store_repeat_at: None,
            catalogue,
            used: LastUsed::default(),
            polls: ReportPolls::default(),
            progress: Progress::default(),
            asked: Asked::new(now),
            recovering_until: now,
            publishing: PublishSchedule::new(now),
            tick_at: now,
            wants: Vec::new(),
        }
    }

    /// Takes what the group wants from the loop.
    pub(crate) fn take_wants(&mut self) -> Vec<GroupWants> {
        std::mem::take(&mut self.wants)
    }

    /// Adopts a configuration.
    pub(crate) fn configure(&mut self, cfg: &Configuration) {
        self.catalogue = Arc::clone(&cfg.catalogue);
        let settings = placement::Settings::from(&cfg.catalogue.deployment);
        self.placement.configure(Arc::clone(&cfg.catalogue), settings);
        self.group.set_catalogue(cfg.version, Arc::clone(&cfg.catalogue));
    }

    /// The instance owns the group from now on.
    pub(crate) fn on_gained(
        &mut self,
        fencing: FencingNumber,
        lease_until: Instant,
        now: Instant,
        rng: &mut impl Rng,
    ) {
        self.recovering_until = now + RECOVERY_TIME;
        let actions = self.group.on_gained(now, fencing, lease_until, rng);
        self.act(actions, now);
        self.polls.poll_all_soon(now);
    }

    /// Takes the platform's list of this group's servers.
    pub(crate) fn on_list(
        &mut self,
        servers: &[ListedInstance],
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) {
        self.polls.set_servers(servers, now);
        let actions = self.group.on_server_list(now, wall, servers, rng);
        self.act(actions, now);
    }

    /// Takes the answer to a platform call.
    pub(crate) fn on_answer(
        &mut self,
        call: CallId,
        answer: ObjectAnswer,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) {
        let actions = self.group.on_answer(now, call, answer, rng);
        self.act(actions, now);
        self.place_deferred(now, wall, rng);
        self.place(&Event::ViewChanged, now, wall, rng);
    }

    /// Takes a server's report, or the failure to read it.
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
        self.act(actions, now);
        self.note_ended(now, wall, rng);
        self.place(&Event::ViewChanged, now, wall, rng);
        let view = self.group.view(now);
        let is_busy = report.replicas.iter().any(|r| r.phase != ReplicaPhase::Ready)
            || view.servers.get(server).is_some_and(|s| s.is_blocked)
            || self.progress.is_busy(server, &view);
        self.polls.on_read_completed(server, is_busy, now);
    }

    /// Takes the result of sending an order.
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
        self.act(actions, now);
        self.polls.poll_soon(server, now);
        self.place(&Event::ViewChanged, now, wall, rng);
    }

    /// Takes arrivals for the arrival history.
    pub(crate) fn on_arrivals(
        &mut self,
        arrival: placement::Arrival,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) {
        *self.asked.asked_for.entry(arrival.model.clone()).or_default() += arrival.count;
        self.used.note_requests(&self.group.view(now), &arrival.model, now);
        self.place(&Event::Arrived(arrival), now, wall, rng);
    }

    /// Takes demand and says when its target can be ready.
    pub(crate) fn on_demand(
        &mut self,
        demand: placement::Demand,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) -> DemandReply {
        let target = demand.target.clone();
        let view = self.group.view(now);
        let is_known = view.servers.values().any(|server| server.memory_total > 0);
        if !is_known || (!view.is_writable && now < self.recovering_until) {
            // Recovery has not finished, so that nobody can say more than that it takes a while.
            return DemandReply::ReadyIn { ms: RECOVERY_MS };
        }
        *self.asked.asked_for.entry(target.model.clone()).or_default() += 1;
        self.asked.last_asked.insert(target.model.clone(), now);
        let is_asking = self.ask_for_allowance(&target, now, rng);
        if is_asking {
            self.asked.deferred.insert(target.model.clone(), demand);
        } else {
            self.place(&Event::Demand(demand), now, wall, rng);
        }
        let mut view = self.placement_view(now);
        if is_asking {
            // The allowance is on its way; the answer should say when the load can end.
            view.allowance_left.insert(target.model.clone(), 1);
        }
        match self.placement.expected_ready(&view, &target, now) {
            Some(at) => DemandReply::ReadyIn { ms: crate::message::remaining_ms(at, now) },
            None => DemandReply::Unreachable,
        }
    }

    /// Polls servers, publishes and lets placement look at idle replicas.
    pub(crate) fn on_timer(&mut self, now: Instant, wall: SystemTime, rng: &mut impl Rng) {
        if self.group.next_timer().is_some_and(|at| at <= now) {
            let actions = self.group.on_timer(now, rng);
            self.act(actions, now);
        }
        for (server, address) in self.polls.take_due(now) {
            self.wants.push(GroupWants::Report { server, address });
        }
        if self.tick_at <= now {
            self.used.update(&self.group.view(now), now);
            self.place(&Event::Tick, now, wall, rng);
            self.tick_at = self.placement.next_wakeup(now);
        }
        self.store_timers(now, wall, rng);
        if self.asked.permits_at <= now {
            self.set_permits(now);
        }
        if self.asked.returns_at <= now {
            self.return_allowances(now, rng);
        }
        let publication = self.publishing.publish_due(&mut self.group, now);
        self.wants.extend(publication.map(GroupWants::Publish));
    }

    /// When `on_timer` is due.
    pub(crate) fn next_timer(&self) -> Instant {
        let due = [
            self.polls.next_at(),
            self.group.next_timer(),
            self.store_retry_at,
            self.store_repeat_at,
        ];
        let own =
            [self.publishing.next_at(), self.tick_at, self.asked.permits_at, self.asked.returns_at];
        due.into_iter().flatten().chain(own).min().unwrap_or(self.tick_at)
    }

    /// Passes the group's actions on.
    pub(crate) fn act(&mut self, actions: Vec<Action>, now: Instant) {
        for action in actions {
            let wants = match action {
                Action::Call { call, request } => GroupWants::Call { call, request },
                Action::SendOrder { server, address, order } => {
                    GroupWants::Order { server, address, order }
                }
                Action::ReadReport { server, address } => GroupWants::Report { server, address },
                Action::RaiseFencing => GroupWants::RaiseFencing,
                Action::Superseded => GroupWants::Superseded,
                Action::Released => GroupWants::Released,
                Action::Publish => {
                    self.publishing.mark_changed(now);
                    continue;
                }
            };
            self.wants.push(wants);
        }
    }

    /// Lets placement decide and carries its decisions out.
    pub(crate) fn place(
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
        self.note_store_use(now, rng);
    }

    fn carry_out(
        &mut self,
        decision: placement::Decision,
        now: Instant,
        wall: SystemTime,
        rng: &mut impl Rng,
    ) {
        let order = match decision.clone() {
            placement::Decision::Load { server, model, source } => {
                Decision::Load { server, model, source }
            }
            // What is unloaded while the platform is away can perhaps not be loaded again.
            placement::Decision::Unload { replica, .. }
                if self.platform_is_away
                    || !self.group.view(now).is_writable
                    || now < self.used.get(replica, now) + CERTAINLY_IDLE_AFTER =>
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
            // `on_demand` answers the instance that asked.
            placement::Decision::Unreachable { .. } => return,
        };
        let before = self.replica_ids(now);
        match self.group.decide(now, wall, order, rng) {
            Ok(actions) => {
                tracing::info!("placement: {}", describe(&decision));
                self.act(actions, now);
                let after = self.replica_ids(now);
                self.progress.started(&decision, after.difference(&before).next().copied(), now);
            }
            Err(refused) => {
                tracing::debug!("placement: {} refused: {refused}", describe(&decision));
                self.reject(decision, now, rng);
            }
        }
    }

    /// Tells placement that a decision was not carried out.
    fn reject(&mut self, decision: placement::Decision, now: Instant, rng: &mut impl Rng) {
        let event = Event::Rejected(decision);
        let view = self.placement_view(now);
        self.placement.handle(&event, &view, now, rng, &mut Vec::new());
    }

    fn replica_ids(&self, now: Instant) -> BTreeSet<ReplicaId> {
        let view = self.group.view(now);
        view.servers.values().flat_map(|s| s.replicas.keys().copied()).collect()
    }

    /// Tells placement what has ended.
    fn note_ended(&mut self, now: Instant, wall: SystemTime, rng: &mut impl Rng) {
        let view = self.group.view(now);
        self.used.update(&view, now);
        for event in self.progress.ended(&view, now) {
            self.place(&event, now, wall, rng);
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
