//! The state machine of one instance.

use std::sync::Arc;

use rand::Rng;
use types::prelude::*;

use crate::summaries::Summaries;
use crate::table::Table;
use crate::{Action, Heartbeat, MemberState, Rumour, Settings, Summary, SummaryBody};

/// A failed member is forgotten after this time.
const FORGET_AFTER: Duration = Duration::from_secs(120);
/// A body is sent again after this time even if it did not change, for receivers that lost it.
const BODY_REFRESH: Duration = Duration::from_secs(60);

/// The members of a data centre as one instance sees them.
#[derive(Debug)]
pub struct Membership {
    cfg: Settings,
    table: Table,
    summaries: Summaries,
    body: Arc<SummaryBody>,
    sequence: u64,
    heartbeat_at: Instant,
    /// Position of the entry that the next heartbeat carries in turn.
    turn: usize,
}

impl Membership {
    /// Starts alone; heartbeats, rumours and the platform's list add members.
    pub fn new(cfg: Settings, now: Instant, rng: &mut impl Rng) -> Self {
        let own = Rumour {
            instance: cfg.instance.clone(),
            incarnation: cfg.incarnation,
            generation: 0,
            address: cfg.address.clone(),
            state: MemberState::Live,
        };
        // Instances that start together do not send together.
        let delay = cfg.heartbeat_every.mul_f64(rng.random_range(0.0..1.0));
        Self {
            table: Table::new(own, now),
            summaries: Summaries::default(),
            body: Arc::default(),
            sequence: 0,
            heartbeat_at: now + delay,
            turn: 0,
            cfg,
        }
    }

    /// When [`on_timer`](Self::on_timer) is due.
    pub fn next_timer(&self) -> Instant {
        self.heartbeat_at
    }

    /// Sends heartbeats and summaries; suspects and fails silent members.
    pub fn on_timer(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        if now < self.heartbeat_at {
            return actions;
        }
        self.heartbeat_at = now + self.cfg.heartbeat_every.mul_f64(rng.random_range(0.9..1.1));
        self.judge_silence(now, &mut actions);
        self.table.forget(now.checked_sub(FORGET_AFTER).unwrap_or(now));
        self.send_heartbeats(&mut actions);
        if self.is_delegate() {
            self.send_summaries(now, &mut actions);
        }
        actions
    }

    /// Takes a heartbeat.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = rng;
        let mut actions = Vec::new();
        if heartbeat.data_centre != self.cfg.data_centre {
            return actions;
        }
        let sender = &heartbeat.sender;
        self.merge(sender, now, &mut actions);
        let mut is_outdated = false;
        if let Some(member) = self.table.members.get_mut(&sender.instance) {
            let known = &member.rumour;
            is_outdated = (known.generation, known.state) > (sender.generation, sender.state)
                || known.incarnation != sender.incarnation;
            if !is_outdated {
                member.heard_at = now;
            }
            if member.configuration != heartbeat.configuration {
                member.configuration = heartbeat.configuration;
                actions.push(Action::PeerVersion {
                    instance: sender.instance.clone(),
                    version: heartbeat.configuration,
                });
            }
        }
        for rumour in &heartbeat.rumours {
            self.merge(rumour, now, &mut actions);
        }
        if heartbeat.answer {
            let mut answer = self.heartbeat(false);
            // The sender refutes what is said of it, or of an earlier run.
            if let Some(member) = self.table.members.get(&sender.instance).filter(|_| is_outdated) {
                answer.rumours.push(member.rumour.clone());
            }
            let address = sender.address.clone();
            actions.push(Action::SendHeartbeat { address, heartbeat: answer });
        }
        actions
    }

    /// Takes a summary of another data centre, from there or passed on.
    pub fn on_summary(
        &mut self,
        now: Instant,
        summary: &Summary,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = rng;
        let mut actions = Vec::new();
        if summary.data_centre == self.cfg.data_centre || !self.summaries.take(summary, now) {
            return actions;
        }
        if let Some((sender, _)) = summary.delegates.first() {
            actions.push(Action::PeerVersion {
                instance: sender.clone(),
                version: summary.configuration,
            });
        }
        let data_centre = summary.data_centre.clone();
        actions.push(Action::SummaryChanged { data_centre });
        // A delegate passes on what comes from outside; the others only take it.
        if self.is_delegate() {
            for member in self.table.live().filter(|m| m.rumour.instance != self.cfg.instance) {
                let (address, summary) = (member.rumour.address.clone(), summary.clone());
                actions.push(Action::SendSummary { address, summary });
            }
        }
        actions
    }

    /// Takes the platform's lagging list: adds candidates that are contacted, confirms a suspicion
    /// of an instance that is no longer listed, never removes a live member.
    pub fn on_list(&mut self, now: Instant, listed: &[ListedInstance]) -> Vec<Action> {
        let mut actions = Vec::new();
        let entries = listed.iter().filter(|l| l.role == ListedRole::Entry);
        let mut contacts: BTreeMap<DataCentreId, Vec<Box<str>>> = BTreeMap::new();
        let mut own = BTreeSet::new();
        for entry in entries {
            if entry.data_centre != self.cfg.data_centre {
                let addresses = contacts.entry(entry.data_centre.clone()).or_default();
                addresses.push(entry.address.clone());
                continue;
            }
            own.insert(entry.name.clone());
            if !self.table.members.contains_key(&entry.name) {
                let address = entry.address.clone();
                actions.push(Action::SendHeartbeat { address, heartbeat: self.heartbeat(true) });
            }
        }
        self.summaries.set_contacts(contacts);
        let suspects: Vec<InstanceId> = self
            .table
            .live()
            .filter(|m| m.rumour.state == MemberState::Suspect)
            .filter(|m| !own.contains(&m.rumour.instance))
            .map(|m| m.rumour.instance.clone())
            .collect();
        for instance in suspects {
            self.mark(&instance, MemberState::Failed, now, &mut actions);
        }
        actions
    }

    /// Sets the configuration version in effect here, carried along by heartbeats.
    pub fn set_configuration(&mut self, version: ConfigurationVersion) {
        if let Some(own) = self.table.members.get_mut(&self.cfg.instance) {
            own.configuration = version;
        }
    }

    /// Sets what this data centre's summary says; used while this instance is a delegate.
    pub fn set_summary_body(&mut self, body: SummaryBody) {
        if *self.body != body {
            self.body = Arc::new(body);
        }
    }

    /// Announces that this instance is leaving; sent at once to the heartbeat peers.
    pub fn leave(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let _ = (now, rng);
        self.table.change_own(|own| own.state = MemberState::Leaving);
        let mut actions = Vec::new();
        self.send_heartbeats(&mut actions);
        actions
    }

    /// Live and suspected members of the data centre that are not leaving, with addresses, this
    /// instance included unless it is leaving.
    pub fn live(&self) -> BTreeMap<InstanceId, Box<str>> {
        let live = self.table.live().map(|m| &m.rumour);
        live.map(|rumour| (rumour.instance.clone(), rumour.address.clone())).collect()
    }

    /// State of a member.
    pub fn state(&self, instance: &str) -> Option<MemberState> {
        self.table.members.get(instance).map(|member| member.rumour.state)
    }

    /// Address of a member.
    pub fn address(&self, instance: &str) -> Option<&str> {
        self.table.members.get(instance).map(|member| &*member.rumour.address)
    }

    /// Whether this instance is a delegate of its data centre.
    pub fn is_delegate(&self) -> bool {
        let delegates = self.table.delegates(&self.cfg.data_centre, self.cfg.delegates);
        delegates.iter().any(|member| member.rumour.instance == self.cfg.instance)
    }

    /// Members that are known to be behind a configuration version.
    pub fn behind(&self, version: ConfigurationVersion) -> Vec<InstanceId> {
        let behind = self.table.live().filter(|m| m.configuration < version && m.configuration > 0);
        behind.map(|member| member.rumour.instance.clone()).collect()
    }

    /// The last summary of another data centre, with its body, unless it is too old.
    pub fn summary(&self, now: Instant, data_centre: &str) -> Option<&Summary> {
        self.summaries.get(data_centre, self.oldest(now))
    }

    /// Data centres with a summary that is not too old.
    pub fn reachable_data_centres(&self, now: Instant) -> Vec<DataCentreId> {
        self.summaries.reachable(self.oldest(now))
    }

    fn oldest(&self, now: Instant) -> Instant {
        now.checked_sub(self.cfg.summary_time).unwrap_or(now)
    }

    fn merge(&mut self, rumour: &Rumour, now: Instant, actions: &mut Vec<Action>) {
        if self.table.merge(rumour, now) {
            actions.push(Action::MemberChanged {
                instance: rumour.instance.clone(),
                incarnation: rumour.incarnation,
                state: rumour.state,
            });
        }
    }

    fn mark(
        &mut self,
        instance: &str,
        state: MemberState,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if !self.table.mark(instance, state) {
            return;
        }
        if let Some(member) = self.table.members.get_mut(instance) {
            if state == MemberState::Failed {
                member.heard_at = now;
            }
            actions.push(Action::MemberChanged {
                instance: instance.into(),
                incarnation: member.rumour.incarnation,
                state,
            });
        }
    }

    /// Suspects and fails members that send their heartbeats here and have stopped.
    fn judge_silence(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let watched = |instance: &InstanceId| {
            let peers = self.table.peers_of(instance, self.cfg.heartbeat_peers);
            peers.iter().any(|peer| peer.rumour.instance == self.cfg.instance)
        };
        let mut silent = Vec::new();
        for member in self.table.members.values() {
            let rumour = &member.rumour;
            if rumour.instance == self.cfg.instance || rumour.state == MemberState::Failed {
                continue;
            }
            let silence = now.saturating_duration_since(member.heard_at);
            if silence >= self.cfg.fail_after && watched(&rumour.instance) {
                silent.push((rumour.instance.clone(), MemberState::Failed));
            } else if silence >= self.cfg.suspect_after
                && rumour.state == MemberState::Live
                && watched(&rumour.instance)
            {
                silent.push((rumour.instance.clone(), MemberState::Suspect));
            }
        }
        for (instance, state) in silent {
            self.mark(&instance, state, now, actions);
        }
    }

    fn send_heartbeats(&mut self, actions: &mut Vec<Action>) {
        let peers = self.table.peers_of(&self.cfg.instance, self.cfg.heartbeat_peers);
        let addresses: Vec<Box<str>> = peers.iter().map(|m| m.rumour.address.clone()).collect();
        for address in addresses {
            let heartbeat = self.heartbeat(true);
            actions.push(Action::SendHeartbeat { address, heartbeat });
        }
    }

    fn heartbeat(&mut self, answer: bool) -> Heartbeat {
        let rumours = self.table.take_rumours(self.cfg.rumours_per_heartbeat, &mut self.turn);
        let own = self.table.own();
        Heartbeat {
            data_centre: self.cfg.data_centre.clone(),
            sender: own.rumour.clone(),
            configuration: own.configuration,
            answer,
            rumours,
        }
    }

    fn send_summaries(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.sequence += 1;
        let configuration = self.table.own().configuration;
        // The sender comes first, so that receivers can order its summaries.
        let mut delegates: Vec<(InstanceId, Box<str>)> = self
            .table
            .delegates(&self.cfg.data_centre, self.cfg.delegates)
            .into_iter()
            .map(|m| (m.rumour.instance.clone(), m.rumour.address.clone()))
            .collect();
        delegates.sort_by_key(|(instance, _)| *instance != self.cfg.instance);
        let summary = Summary {
            data_centre: self.cfg.data_centre.clone(),
            sequence: self.sequence,
            delegates,
            live: u32::try_from(self.table.live().count()).unwrap_or(u32::MAX),
            configuration,
            behind: self.behind(configuration),
            body: None,
        };
        let receivers = self.summaries.receivers(self.oldest(now), self.sequence as usize);
        let before = now.checked_sub(self.cfg.body_every).unwrap_or(now);
        let refresh = now.checked_sub(BODY_REFRESH).unwrap_or(now);
        for address in receivers {
            let body = self.summaries.body_for(&address, &self.body, before, refresh, now);
            let summary = Summary { body, ..summary.clone() };
            actions.push(Action::SendSummary { address, summary });
        }
    }
}
