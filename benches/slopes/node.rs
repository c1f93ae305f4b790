//! One simulated instance: the production components, connected as in the instance's event loop.

use std::sync::Arc;

use configuration::Follower;
use group::{ChangesResult, OrderResult, ReceivedStates};
use instance::intervals::{ARRIVALS_INTERVAL, list_interval};
use instance::message::{ArrivalCount, PeerMessage};
use membership::{Membership, SummaryBody};
use ownership::Ownership;
use platform::{Budget, Rates};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::object::{CallId, CallPriority, ObjectAnswer, ObjectCall, ObjectKey};
use types::prelude::*;

use crate::owned_group::{GroupEffects, OwnedGroup};

/// Interval at which the record of counted work is read and written.
const WORK_INTERVAL: Duration = Duration::from_secs(10);
/// Requests per second that arrive at one instance: 12,000 over 360 instances.
const ARRIVALS_PER_SECOND: usize = 33;

/// Who made a platform call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Caller {
    Ownership,
    Configuration,
    Group(GroupId),
    /// The record of counted work. Its last answer is ignored.
    Work,
}

/// An effect that an instance requests from the simulation.
pub(crate) enum Effect {
    Call {
        caller: Caller,
        call: CallId,
        priority: CallPriority,
        request: ObjectCall,
    },
    /// Sends a message to the instance at an address.
    Send {
        address: Box<str>,
        message: PeerMessage,
    },
    StartWatch,
    StopWatch,
    ReadList,
    ReadReport {
        group: GroupId,
        server: BackendServerId,
    },
    SendOrder {
        group: GroupId,
        server: BackendServerId,
        order: Order,
    },
    Adopted(ConfigurationVersion),
}

/// Properties of an instance that stay the same across restarts.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) name: InstanceId,
    pub(crate) address: Box<str>,
    pub(crate) data_centre: DataCentreId,
    /// Groups that this data centre's instances may own.
    pub(crate) candidate_groups: BTreeSet<GroupId>,
    /// Models that each group keeps loaded. Groups without servers are not listed.
    pub(crate) target_models: Arc<BTreeMap<GroupId, Arc<[ModelId]>>>,
}

/// A simulated instance.
pub(crate) struct Node {
    pub(crate) id: Identity,
    incarnation: Incarnation,
    pub(crate) ownership: Ownership,
    pub(crate) membership: Membership,
    pub(crate) follower: Follower,
    pub(crate) groups: BTreeMap<GroupId, OwnedGroup>,
    pub(crate) owned: BTreeSet<GroupId>,
    /// Latest state received of each group of the data centre.
    pub(crate) published: BTreeMap<GroupId, GroupState>,
    received: ReceivedStates,
    /// Last full report of each server, with its revision.
    pub(crate) reports: HashMap<BackendServerId, (u64, ServerReport)>,
    pub(crate) list: Vec<ListedInstance>,
    pub(crate) budget: Budget,
    pub(crate) rng: ChaCha8Rng,
    list_at: Instant,
    arrivals_at: Instant,
    work_at: Instant,
    is_started: bool,
    start: Instant,
    wall_start: SystemTime,
    pub(crate) effects: Vec<Effect>,
}

impl Node {
    pub(crate) fn new(id: Identity, incarnation: Incarnation, rates: Rates, now: Instant) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(incarnation);
        let (name, address, dc) = (id.name.clone(), id.address.clone(), id.data_centre.clone());
        let cfg = ownership::Settings::new(name.clone(), incarnation, address.clone(), dc.clone());
        let ownership = Ownership::new(cfg, now, &mut rng);
        let cfg = membership::Settings::new(name.clone(), incarnation, address, dc);
        let membership = Membership::new(cfg, now, &mut rng);
        let follower = Follower::new(configuration::Settings::new(name));
        let phase = rng.random_range(0.0..1.0);
        Self {
            id,
            incarnation,
            ownership,
            membership,
            follower,
            groups: BTreeMap::new(),
            owned: BTreeSet::new(),
            published: BTreeMap::new(),
            received: ReceivedStates::default(),
            reports: HashMap::new(),
            list: Vec::new(),
            budget: Budget::new(now, rates),
            list_at: now,
            arrivals_at: now + ARRIVALS_INTERVAL.mul_f64(phase),
            work_at: now + WORK_INTERVAL.mul_f64(phase),
            rng,
            is_started: false,
            start: now,
            wall_start: SystemTime::now(),
            effects: Vec::new(),
        }
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub(crate) fn wall(&self, now: Instant) -> SystemTime {
        self.wall_start + now.saturating_duration_since(self.start)
    }

    pub(crate) fn version(&self) -> ConfigurationVersion {
        self.follower.current().version
    }

    pub(crate) fn owned(&self) -> impl Iterator<Item = &GroupId> {
        self.owned.iter()
    }

    pub(crate) fn next_timer(&self) -> Instant {
        let groups = self.owned.iter().filter_map(|group| self.groups.get(group));
        let own = [self.membership.next_timer(), self.list_at, self.arrivals_at, self.work_at];
        groups
            .map(OwnedGroup::next_timer)
            .chain(self.ownership.next_timer())
            .chain(self.follower.next_timer())
            .chain(own)
            .min()
            .unwrap_or(self.list_at)
    }

    pub(crate) fn on_timer(&mut self, now: Instant) {
        if self.ownership.next_timer().is_some_and(|at| at <= now) {
            let actions = self.ownership.on_timer(now, &mut self.rng);
            self.apply_ownership_actions(actions, now);
        }
        if self.membership.next_timer() <= now {
            self.membership.set_summary_body(self.summary_body());
            let actions = self.membership.on_timer(now, &mut self.rng);
            self.apply_membership_actions(actions, now);
        }
        if self.follower.next_timer().is_some_and(|at| at <= now) {
            let actions = self.follower.on_timer(now, &mut self.rng);
            self.apply_configuration_actions(actions, now);
        }
        let wall = self.wall(now);
        for group in self.owned.clone() {
            self.with_group(&group, now, |owned, rng| owned.on_timer(now, wall, rng));
        }
        if self.list_at <= now {
            self.list_at = now + list_interval(self.list.len());
            self.effects.push(Effect::ReadList);
        }
        if self.arrivals_at <= now {
            self.arrivals_at = now + ARRIVALS_INTERVAL;
            self.report_arrivals();
        }
        if self.work_at <= now {
            self.work_at = now + WORK_INTERVAL;
            let key = ObjectKey::new("work", self.id.name.clone());
            let (caller, priority) = (Caller::Work, CallPriority::Normal);
            let request = ObjectCall::Read { key };
            self.effects.push(Effect::Call { caller, call: 0, priority, request });
        }
    }

    /// Reports the arrivals of one second to the owners of random groups.
    fn report_arrivals(&mut self) {
        let mut by_owner: BTreeMap<Box<str>, Vec<ArrivalCount>> = BTreeMap::new();
        let owners: Vec<&GroupState> =
            self.published.values().filter(|s| !s.servers.is_empty()).collect();
        for _ in 0..ARRIVALS_PER_SECOND.min(owners.len() * ARRIVALS_PER_SECOND) {
            let state = owners[self.rng.random_range(0..owners.len())];
            let Some(address) = self.membership.address(&state.owner) else { continue };
            let replicas = &state.servers[0].replicas;
            let Some(replica) = replicas.first() else { continue };
            let model = replica.model.clone();
            let count = ArrivalCount { model, count: 1, worth_milli: 100, remaining_ms: 1_500 };
            by_owner.entry(address.into()).or_default().push(count);
        }
        for (address, counts) in by_owner {
            self.effects.push(Effect::Send { address, message: PeerMessage::Arrivals(counts) });
        }
    }

    fn summary_body(&self) -> SummaryBody {
        let models: BTreeSet<ModelId> = self
            .published
            .values()
            .flat_map(|state| &state.servers)
            .flat_map(|server| &server.replicas)
            .filter(|replica| replica.phase == ReplicaPhase::Ready)
            .map(|replica| replica.model.clone())
            .collect();
        let keys = self.id.candidate_groups.iter().filter(|group| group.starts_with("keys/"));
        let owner =
            |group: &GroupId| Some((group.clone(), self.ownership.owner_hint(group)?.clone()));
        SummaryBody {
            models_ready: models.into_iter().collect(),
            memory_free: 0,
            key_ranges: keys.filter_map(owner).collect(),
            entry_points: vec![self.id.address.clone()],
            limits_holder: None,
        }
    }

    pub(crate) fn on_message(&mut self, from: &InstanceId, message: PeerMessage, now: Instant) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                let actions = self.membership.on_heartbeat(now, &heartbeat, &mut self.rng);
                self.apply_membership_actions(actions, now);
            }
            PeerMessage::Summary(summary) => {
                let actions = self.membership.on_summary(now, &summary, &mut self.rng);
                self.apply_membership_actions(actions, now);
            }
            PeerMessage::Announcement(announcement) => {
                let actions = self.ownership.on_announcement(now, &announcement);
                self.apply_ownership_actions(actions, now);
            }
            PeerMessage::Handover(handover) => {
                let actions = self.ownership.on_handover(now, &handover, &mut self.rng);
                self.apply_ownership_actions(actions, now);
            }
            PeerMessage::Configuration(message) => {
                let actions = self.follower.on_message(now, from, message);
                self.apply_configuration_actions(actions, now);
            }
            PeerMessage::GroupState(full) => {
                let is_newer = self.apply_state(&full.state);
                is_newer.then(|| self.received.apply_full(&full));
            }
            PeerMessage::GroupChanges(changes) => {
                match self.received.apply_changes(&changes, now) {
                    ChangesResult::Applied(state) => {
                        let state = state.clone();
                        self.apply_state(&state);
                    }
                    ChangesResult::Gap => {
                        self.send(from, PeerMessage::StateWanted(changes.group.clone()));
                    }
                    ChangesResult::Ignored => {}
                }
            }
            PeerMessage::StateWanted(group) => {
                let owned = self.groups.get(&group).filter(|_| self.owned.contains(&group));
                if let Some(full) = owned.and_then(|owned| owned.publishing.last_published(now)) {
                    self.send(from, PeerMessage::GroupState(Arc::new(full)));
                }
            }
            // Placement is not simulated, and nothing sends the messages of single requests.
            _ => {}
        }
    }

    /// Stores the state if it is newer than the known one. Returns whether it is.
    fn apply_state(&mut self, state: &GroupState) -> bool {
        let known = self.published.get(&state.group).map(|known| (known.fencing, known.sequence));
        let is_newer = known.is_none_or(|known| known < (state.fencing, state.sequence));
        if is_newer {
            self.published.insert(state.group.clone(), state.clone());
        }
        is_newer
    }

    pub(crate) fn on_answer(
        &mut self,
        caller: &Caller,
        call: CallId,
        answer: ObjectAnswer,
        now: Instant,
    ) {
        match caller {
            Caller::Ownership => {
                let actions = self.ownership.on_answer(now, call, answer, &mut self.rng);
                self.apply_ownership_actions(actions, now);
            }
            Caller::Configuration => {
                let actions = self.follower.on_answer(now, call, answer, &mut self.rng);
                self.apply_configuration_actions(actions, now);
            }
            Caller::Group(group) => self.with_group(group, now, |owned, rng| {
                let actions = owned.group.on_answer(now, call, answer, rng);
                GroupEffects { actions, ..GroupEffects::default() }
            }),
            Caller::Work => self.write_work(call, &answer),
        }
    }

    /// Writes the record of counted work after it was read.
    fn write_work(&mut self, call: CallId, answer: &ObjectAnswer) {
        use types::object::Condition;
        let condition = match answer {
            ObjectAnswer::Found { version, .. } => Condition::Version(*version),
            ObjectAnswer::Missing => Condition::Absent,
            _ => return,
        };
        if call != 0 {
            return;
        }
        // One line of about 60 bytes per client account and model that had work in this hour.
        let lines: Vec<(u32, &str)> = (0..ARRIVALS_PER_SECOND as u32)
            .map(|n| (n, "account-0000/model-0000/version-00000/tokens-0000000000"))
            .collect();
        let value = types::object::encode(&lines);
        let key = ObjectKey::new("work", self.id.name.clone());
        let request = ObjectCall::Write { key, condition, value };
        let (caller, priority) = (Caller::Work, CallPriority::Normal);
        self.effects.push(Effect::Call { caller, call: 1, priority, request });
    }

    pub(crate) fn on_list(&mut self, list: Vec<ListedInstance>, now: Instant) {
        let actions = self.membership.on_list(now, &list);
        self.list = list;
        self.ownership.set_groups(now, self.id.candidate_groups.clone());
        self.apply_membership_actions(actions, now);
        self.members_changed(now);
        if !self.is_started {
            self.is_started = true;
            let actions = self.follower.start(now, &[]);
            self.apply_configuration_actions(actions, now);
        }
        for group in self.owned.clone() {
            self.set_group_list(&group, now);
        }
    }

    pub(crate) fn set_group_list(&mut self, group: &GroupId, now: Instant) {
        let in_group = |l: &&ListedInstance| l.role == ListedRole::Engine && l.group == *group;
        let servers: Vec<ListedInstance> = self.list.iter().filter(in_group).cloned().collect();
        let wall = self.wall(now);
        self.with_group(group, now, |owned, rng| {
            owned.polls.set_servers(&servers, now);
            let actions = owned.group.on_server_list(now, wall, &servers, rng);
            GroupEffects { actions, ..GroupEffects::default() }
        });
    }

    pub(crate) fn on_head_changed(&mut self, now: Instant) {
        let actions = self.follower.on_head_changed();
        self.apply_configuration_actions(actions, now);
    }

    pub(crate) fn on_order_result(
        &mut self,
        (group, server): (&GroupId, &str),
        order: OrderId,
        result: OrderResult,
        now: Instant,
    ) {
        self.with_group(group, now, |owned, rng| {
            owned.polls.poll_soon(server, now);
            let actions = owned.group.on_order_result(now, server, order, result, rng);
            GroupEffects { actions, ..GroupEffects::default() }
        });
    }

    /// Changes something in a random owned group with servers.
    pub(crate) fn churn(&mut self, adapter: Option<AdapterId>, now: Instant) {
        let groups: Vec<GroupId> =
            self.owned.iter().filter(|g| self.groups.contains_key(*g)).cloned().collect();
        if groups.is_empty() {
            return;
        }
        let wall = self.wall(now);
        let group = groups[self.rng.random_range(0..groups.len())].clone();
        self.with_group(&group, now, |owned, rng| {
            let actions = match adapter {
                Some(adapter) => owned.churn_adapter(now, wall, adapter, rng),
                None => owned.churn_model(now, wall, rng),
            };
            GroupEffects { actions, ..GroupEffects::default() }
        });
    }
}
