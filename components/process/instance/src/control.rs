//! Carries out the actions of ownership, membership and configuration.

use configuration::ConfigurationMessage;
use front::KeyTable;
use membership::MemberState;
use platform::{Call, Error};
use rand::Rng;
use types::object::CallPriority;
use types::prelude::*;

use crate::context::Context;
use crate::directory::{key_group, key_range, limits_group};
use crate::event::{Event, PlatformCaller};
use crate::instance::{Drain, Instance};
use crate::message::PeerMessage;

/// Timeout for reading the platform's instance list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Duration of one watch call before it is renewed.
const WATCH_DURATION: Duration = Duration::from_secs(60);
/// Delay before a failed watch is restarted.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum time for handing over ownership at a planned stop. If the platform is unreachable, no
/// instance can take over, so that a longer wait would not help.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);

impl Instance {
    pub(crate) fn on_ownership_actions(&mut self, actions: Vec<ownership::Action>, now: Instant) {
        for action in actions {
            match action {
                ownership::Action::Call { call, priority, request } => {
                    self.cx.call(PlatformCaller::Ownership, call, priority, request);
                }
                ownership::Action::LeaseExtended { until } => {
                    self.groups.values_mut().for_each(|owned| owned.group.set_lease(until));
                }
                ownership::Action::Gained { group, fencing } => self.on_gained(group, fencing, now),
                ownership::Action::LeaseExpired { group } => self.on_lease_expired(&group, now),
                ownership::Action::Lost { group } => self.on_lost(&group, now),
                ownership::Action::Release { group } => self.on_release(group, now),
                ownership::Action::Announce(announcement) => {
                    self.broadcast(&PeerMessage::Announcement(announcement));
                }
                ownership::Action::SendHandover { to, handover } => {
                    if handover.group == limits_group(&self.cx.data_centre)
                        && let Some(state) = self.shares.handover_state.take()
                    {
                        self.send(&to, PeerMessage::ShareState(state));
                    }
                    self.send(&to, PeerMessage::Handover(handover));
                }
            }
        }
    }

    pub(crate) fn on_membership_actions(&mut self, actions: Vec<membership::Action>, now: Instant) {
        let mut members_changed = false;
        for action in actions {
            match action {
                membership::Action::SendHeartbeat { address, heartbeat } => {
                    self.cx.send(address, PeerMessage::Heartbeat(heartbeat));
                }
                membership::Action::SendSummary { address, summary } => {
                    self.cx.send(address, PeerMessage::Summary(summary));
                }
                membership::Action::MemberChanged { instance, incarnation, state } => {
                    members_changed = true;
                    tracing::info!("membership: {instance} is {state:?}");
                    if state == MemberState::Live && instance != self.cx.instance {
                        self.send_states(&instance, now);
                    }
                    if state == MemberState::Failed {
                        let wall = SystemTime::now();
                        self.accounting.usage.record_death(instance, incarnation, wall);
                    }
                }
                membership::Action::PeerVersion { instance, version } => {
                    let actions = self.follower.on_peer_version(now, &instance, version);
                    self.on_configuration_actions(actions, now);
                }
                membership::Action::SummaryChanged { data_centre } => {
                    self.on_summary_changed(&data_centre, now);
                }
            }
        }
        if members_changed {
            self.on_members_changed(now);
        }
    }

    pub(crate) fn on_configuration_actions(
        &mut self,
        actions: Vec<configuration::Action>,
        now: Instant,
    ) {
        for action in actions {
            match action {
                configuration::Action::Call { call, request } => {
                    self.cx.call(
                        PlatformCaller::Configuration,
                        call,
                        CallPriority::Normal,
                        request,
                    );
                }
                configuration::Action::StartWatch => self.start_watch(),
                configuration::Action::StopWatch => {
                    if let Some(watch) = self.head_watch.take() {
                        watch.abort();
                    }
                }
                configuration::Action::Send { to, message } => {
                    self.send(&to, PeerMessage::Configuration(message));
                }
                configuration::Action::Adopted(cfg) => self.on_adopted(&cfg, now),
            }
        }
    }

    pub(crate) fn on_configuration_message(
        &mut self,
        from: &InstanceId,
        message: ConfigurationMessage,
        now: Instant,
    ) {
        let actions = self.follower.on_message(now, from, message);
        self.on_configuration_actions(actions, now);
    }

    /// Runs the due timers of ownership, membership and configuration.
    pub(crate) fn control_timers(&mut self, now: Instant) {
        let rng = self.cx.rng.clone();
        if self.ownership.next_timer().is_some_and(|at| at <= now) {
            let actions = self.ownership.on_timer(now, &mut *rng.borrow_mut());
            self.on_ownership_actions(actions, now);
        }
        if self.membership.next_timer() <= now {
            self.membership.set_summary_body(self.summary_body());
            self.membership.set_store_use(self.store_uses.total(now));
            let actions = self.membership.on_timer(now, &mut *rng.borrow_mut());
            self.on_membership_actions(actions, now);
        }
        if self.follower.next_timer().is_some_and(|at| at <= now) {
            let actions = self.follower.on_timer(now, &mut *rng.borrow_mut());
            self.on_configuration_actions(actions, now);
        }
    }

    /// Reads the platform's instance list in a task.
    pub(crate) fn read_list(&self) {
        let client = self.cx.platform.clone();
        self.cx.spawn(async move {
            let list = client.instances(Call::with_deadline(Instant::now() + LIST_TIMEOUT)).await;
            if let Err(e) = &list {
                tracing::debug!("platform: list not read: {e}");
            }
            Event::InstanceList(list.ok())
        });
    }

    /// Applies a new platform list, or contacts the seeds if the list could not be read.
    pub(crate) fn on_list(&mut self, list: Option<Vec<ListedInstance>>, now: Instant) {
        let Some(list) = list else { return self.contact_seeds(now) };
        let own = self.cx.data_centre.clone();
        let is_own = |l: &&ListedInstance| l.role == ListedRole::Entry && l.data_centre == own;
        self.shares.set_listed(list.iter().filter(is_own).map(|l| l.name.clone()).collect());
        let actions = self.membership.on_list(now, &list);
        self.directory.update(list, &own);
        self.requests.router.apply_platform_list(&self.directory.routable(&own));
        let groups = self.directory.candidate_groups(&own);
        self.store_uses.retain(&groups);
        self.ownership.set_groups(now, groups);
        self.on_membership_actions(actions, now);
        self.on_members_changed(now);
        self.update_server_lists(now);
        self.requests.dispatch_all_queues(&self.cx, now);
    }

    /// Contacts the seed instances of the settings while no other instance is known from the
    /// platform or from a peer.
    fn contact_seeds(&mut self, now: Instant) {
        if !self.directory.list().is_empty() || self.membership.live().len() > 1 {
            return;
        }
        let seeds: Vec<ListedInstance> = self
            .seeds
            .iter()
            .map(|address| ListedInstance {
                name: format!("seed {address}").into(),
                role: ListedRole::Entry,
                data_centre: self.cx.data_centre.clone(),
                group: GroupId::default(),
                address: address.clone(),
                state: ListedState::Live,
                checks_fencing: false,
            })
            .collect();
        let actions = self.membership.on_list(now, &seeds);
        self.on_membership_actions(actions, now);
    }

    /// Starts a planned stop.
    pub(crate) fn begin_drain(&mut self, now: Instant) {
        tracing::info!("instance: stop requested; handing over and finishing requests");
        self.drain = Drain::Draining { handover_deadline: now + HANDOVER_TIMEOUT };
        let rng = self.cx.rng.clone();
        let actions = self.membership.leave(now, &mut *rng.borrow_mut());
        self.on_membership_actions(actions, now);
        let actions = self.ownership.stop(now, &mut *rng.borrow_mut());
        self.on_ownership_actions(actions, now);
    }

    /// Sends a message to an instance in any data centre. Drops the message if the instance's
    /// address is not known.
    pub(crate) fn send(&self, to: &str, message: PeerMessage) {
        match self.address_of(to) {
            Some(address) => self.cx.send(address, message),
            None => tracing::debug!("peer: address of {to} is not known"),
        }
    }

    /// Sends a message to every other live instance of the data centre.
    pub(crate) fn broadcast(&self, message: &PeerMessage) {
        for (instance, address) in self.membership.live() {
            if instance != self.cx.instance {
                self.cx.send(address, message.clone());
            }
        }
    }

    pub(crate) fn address_of(&self, instance: &str) -> Option<Box<str>> {
        let member = self.membership.address(instance).map(Into::into);
        member.or_else(|| self.directory.peer_address(instance))
    }

    fn on_members_changed(&mut self, now: Instant) {
        let live: BTreeSet<InstanceId> = self.membership.live().into_keys().collect();
        self.ownership.set_members(now, live.clone());
        let rng = self.cx.rng.clone();
        let actions = self.follower.set_members(now, live, &mut *rng.borrow_mut());
        self.on_configuration_actions(actions, now);
        let (runs, watchers) = (self.membership.incarnations(), self.follower.watchers());
        self.accounting.usage.set_members(&runs, &watchers, now, SystemTime::now());
        self.cx.peers.retain(|address| {
            self.membership.live().values().any(|known| **known == *address)
                || self.directory.list().iter().any(|listed| *listed.address == *address)
        });
    }

    fn on_adopted(&mut self, cfg: &std::sync::Arc<Configuration>, now: Instant) {
        tracing::info!("configuration: version {} in effect", cfg.version);
        let keys: KeyTable = cfg
            .contracts
            .values()
            .flat_map(|c| c.key_hashes.iter().map(|hash| (hash.clone(), c.client_account.clone())))
            .collect();
        self.key_table.send_replace(keys.into());
        self.requests.configure(cfg.clone());
        self.accounting.usage.record_adoption(cfg, now, SystemTime::now());
        self.accounting.burn.retain(cfg);
        self.groups.values_mut().for_each(|owned| owned.configure(cfg));
        self.shares.apply(&mut self.requests, cfg, now);
        self.membership.set_configuration(cfg.version);
        let version = i64::try_from(cfg.version).unwrap_or(i64::MAX);
        self.cx.metrics.configuration_version.set(version);
    }

    fn on_gained(&mut self, group: GroupId, fencing: FencingNumber, now: Instant) {
        tracing::info!("ownership: {group} gained with fencing number {fencing}");
        self.owned.insert(group.clone(), fencing);
        self.update_owned_groups_metric();
        if let Some(range) = key_range(&group) {
            self.keys.add_range(range, fencing);
        } else if group == limits_group(&self.cx.data_centre) {
            self.shares.on_gained(fencing, now);
        } else {
            self.on_engine_group_gained(group, fencing, now);
        }
    }

    fn on_lease_expired(&mut self, group: &GroupId, now: Instant) {
        tracing::warn!("ownership: lease expired; {group} may only use standing permits");
        if let Some(range) = key_range(group) {
            self.keys.remove_range(range);
        } else if *group == limits_group(&self.cx.data_centre) {
            self.shares.on_lease_lost();
        } else if let Some(owned) = self.groups.get_mut(group) {
            owned.group.on_lapsed(now);
        }
    }

    fn on_lost(&mut self, group: &GroupId, now: Instant) {
        tracing::info!("ownership: {group} lost");
        self.owned.remove(group);
        self.update_owned_groups_metric();
        if let Some(range) = key_range(group) {
            self.keys.remove_range(range);
        } else if *group == limits_group(&self.cx.data_centre) {
            self.shares.on_lost();
        } else if let Some(owned) = self.groups.get_mut(group) {
            owned.group.on_lost(now);
        }
    }

    fn on_release(&mut self, group: GroupId, now: Instant) {
        if self.groups.contains_key(&group) {
            self.with_group(&group, now, |owned, _, rng| {
                let actions = owned.group.release(now, rng);
                owned.queue_actions(actions, now);
            });
        } else {
            if group == limits_group(&self.cx.data_centre) {
                self.shares.handover_state = self.shares.hand_over(now);
            }
            self.on_group_released(&group, now);
        }
    }

    pub(crate) fn on_group_released(&mut self, group: &GroupId, now: Instant) {
        let rng = self.cx.rng.clone();
        let actions = self.ownership.on_released(now, group, &mut *rng.borrow_mut());
        self.on_ownership_actions(actions, now);
    }

    fn update_owned_groups_metric(&self) {
        self.cx.metrics.owned_groups.set(i64::try_from(self.owned.len()).unwrap_or(i64::MAX));
    }

    fn start_watch(&mut self) {
        let cx = self.cx.clone();
        let watch = tokio::task::spawn_local(async move { watch_head(cx).await });
        if let Some(old) = self.head_watch.replace(watch.abort_handle()) {
            old.abort();
        }
    }

    /// Returns the current owner of a key range, in this or another data centre.
    pub(crate) fn key_owner(&self, range: u32, now: Instant) -> Option<InstanceId> {
        let group = key_group(range);
        let data_centre = self.directory.key_data_centre(range)?;
        if *data_centre == self.cx.data_centre {
            return self.ownership.owner_hint(&group).cloned();
        }
        let body = self.membership.summary(now, data_centre).and_then(|s| s.body.as_ref());
        let named = body.and_then(|b| b.key_ranges.iter().find(|(name, _)| *name == group));
        named.map(|(_, owner)| owner.clone()).or_else(|| self.key_owners.get(range, now))
    }

    /// Generates a random nonce.
    pub(crate) fn nonce(&self) -> Nonce {
        self.cx.rng.borrow_mut().random()
    }
}

/// Watches the head of the configuration until the task is aborted. Sends an event for each change
/// and for each new watch.
async fn watch_head(cx: Context) {
    let mut since = 0;
    loop {
        let call = Call::with_deadline(Instant::now() + WATCH_DURATION);
        match cx.platform.watch::<serde_json::Value>("configuration", "head", since, call).await {
            Ok(mut watch) => {
                // The head may have changed before the watch started.
                let _ = cx.events.send(Event::HeadChanged);
                loop {
                    match watch.next().await {
                        Ok(Some(change)) => {
                            since = change.version;
                            let _ = cx.events.send(Event::HeadChanged);
                        }
                        Ok(None) => break,
                        Err(e) => {
                            tracing::debug!("configuration: watch failed: {e}");
                            tokio::time::sleep(WATCH_RETRY_DELAY).await;
                            break;
                        }
                    }
                }
            }
            Err(Error::TooOld) => since = 0,
            Err(e) => {
                tracing::debug!("configuration: watch of the head not started: {e}");
                tokio::time::sleep(WATCH_RETRY_DELAY).await;
            }
        }
    }
}
