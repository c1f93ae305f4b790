//! The version in effect at one instance.

use std::sync::Arc;

use rand::Rng;
use types::object::{CallId, ObjectAnswer, ObjectCall, decode};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::changes::Hashes;
use crate::head::head_key;
use crate::loading::{Loading, Part};
use crate::updates::{History, apply, difference, whole};
use crate::{Action, ConfigurationMessage, Head, Settings, Update};

/// Keeps the choice of watchers apart from that of owners of groups.
const WATCHER_SEED: u64 = 0x77_61_74_63_68;

/// The configuration in effect at one instance.
#[derive(Debug)]
pub struct Follower {
    cfg: Settings,
    current: Arc<Configuration>,
    hashes: Hashes,
    history: History,
    live: BTreeSet<InstanceId>,
    last_call: CallId,
    /// The read of the head in progress.
    reading_head: Option<CallId>,
    /// Object version and configuration version of the last head that was read.
    last_head: Option<(ObjectVersion, ConfigurationVersion)>,
    /// The head changed while it was being read.
    read_again: bool,
    loading: Option<Loading>,
    /// When a failed read is repeated, and when a watcher reads the head in any case.
    read_at: Option<Instant>,
    is_watching: bool,
    fetch: Option<Fetch>,
    start: Start,
}

/// A fetch in progress. One at a time is enough: every answer is a whole difference.
#[derive(Debug)]
struct Fetch {
    peer: InstanceId,
    until: Instant,
}

/// How far the start has come.
#[derive(Debug, Default)]
struct Start {
    /// Set by `Follower::start`.
    ends_at: Option<Instant>,
    platform_answered: bool,
    /// Peers that were asked and have not answered.
    waiting_for: BTreeSet<InstanceId>,
}

impl Follower {
    /// Starts with version zero, which is never in effect for requests.
    pub fn new(cfg: Settings) -> Self {
        Self {
            history: History::new(cfg.history_length),
            current: Arc::default(),
            hashes: Hashes::default(),
            live: BTreeSet::new(),
            last_call: 0,
            reading_head: None,
            last_head: None,
            read_again: false,
            loading: None,
            read_at: None,
            is_watching: false,
            fetch: None,
            start: Start::default(),
            cfg,
        }
    }

    /// Asks the platform and all reachable peers for their version.
    pub fn start(&mut self, now: Instant, peers: &[InstanceId]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.start.ends_at = Some(now + self.cfg.start_timeout);
        self.read_head(&mut actions);
        for peer in peers {
            self.ask_at_start(peer, &mut actions);
        }
        actions
    }

    /// Whether the start is over: the platform and every peer answered, or the time for it ended
    /// with at least one version.
    pub fn is_started(&self, now: Instant) -> bool {
        let Some(ends_at) = self.start.ends_at else { return false };
        let all_answered = self.start.platform_answered && self.start.waiting_for.is_empty();
        let is_loading = self.loading.is_some();
        self.current.version > 0 && ((all_answered && !is_loading) || now >= ends_at)
    }

    /// The version in effect.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// When [`on_timer`](Self::on_timer) is due.
    pub fn next_timer(&self) -> Option<Instant> {
        let fetch = self.fetch.as_ref().map(|fetch| fetch.until);
        [self.read_at, fetch].into_iter().flatten().min()
    }

    /// Repeats fetches and calls that were not answered.
    pub fn on_timer(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.read_at.is_some_and(|at| at <= now) {
            self.read_at = None;
            self.retry_loading(now, &mut actions);
            if self.loading.is_none() {
                self.read_head(&mut actions);
            }
            self.schedule_read(now, rng);
        }
        if self.fetch.as_ref().is_some_and(|fetch| fetch.until <= now) {
            // The peer did not answer; the next heartbeat that names a higher version asks again.
            self.fetch = None;
        }
        actions
    }

    /// Sets the live members of this data centre: chooses the watchers.
    pub fn set_members(
        &mut self,
        now: Instant,
        live: BTreeSet<InstanceId>,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.start.ends_at.is_some_and(|ends_at| now < ends_at) {
            for peer in live.difference(&self.live.clone()) {
                self.ask_at_start(peer, &mut actions);
            }
        }
        self.start.waiting_for.retain(|peer| live.contains(peer));
        self.live = live;
        let is_watcher = self.watchers().contains(&self.cfg.instance);
        if is_watcher && !self.is_watching {
            actions.push(Action::StartWatch);
            self.is_watching = true;
            self.schedule_read(now, rng);
        } else if !is_watcher && self.is_watching {
            actions.push(Action::StopWatch);
            self.is_watching = false;
        }
        actions
    }

    /// The watched head changed, or the watch was started again: reads the head. An event of a
    /// watch that was ended is ignored, because only watchers read and push.
    pub fn on_head_changed(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_watching {
            self.read_head(&mut actions);
        }
        actions
    }

    /// A peer is at this version, by a heartbeat or a summary: fetches the difference if this
    /// instance is behind.
    pub fn on_peer_version(
        &mut self,
        now: Instant,
        peer: &InstanceId,
        version: ConfigurationVersion,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if version > self.current.version {
            self.fetch_from(now, peer, &mut actions);
        }
        actions
    }

    /// Takes a message of a peer.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &InstanceId,
        message: ConfigurationMessage,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match message {
            ConfigurationMessage::Push { update, forward } => {
                self.pass_on(&update, &forward, &mut actions);
                self.on_update(now, from, &update, &mut actions);
            }
            ConfigurationMessage::Update { update } => {
                self.answered(from);
                self.on_update(now, from, &update, &mut actions);
            }
            ConfigurationMessage::UpToDate { .. } => self.answered(from),
            ConfigurationMessage::Fetch { have } => {
                let message = self.answer_fetch(have);
                actions.push(Action::Send { to: from.clone(), message });
            }
        }
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
        if self.reading_head == Some(call) {
            self.reading_head = None;
            self.on_head(now, &answer, &mut actions);
            if std::mem::take(&mut self.read_again) {
                self.read_head(&mut actions);
            }
        } else if let Some(loading) = &mut self.loading
            && loading.on_answer(call, &answer)
        {
            self.try_complete(now, &mut actions);
        }
        self.schedule_read(now, rng);
        actions
    }

    fn on_head(&mut self, now: Instant, answer: &ObjectAnswer, actions: &mut Vec<Action>) {
        let head: Head = match answer {
            ObjectAnswer::Found { version, value } => match decode::<Head>(value) {
                Some(head) => {
                    self.last_head = Some((*version, head.version));
                    head
                }
                None => return tracing::error!("configuration: the head has an unknown form"),
            },
            ObjectAnswer::Unchanged => {
                self.start.platform_answered = true;
                return;
            }
            ObjectAnswer::Missing => Head::default(),
            _ => {
                self.read_at = Some(now + self.cfg.retry_delay);
                return;
            }
        };
        self.start.platform_answered = true;
        let being_loaded = self.loading.as_ref().map_or(0, Loading::version);
        if head.version <= self.current.version.max(being_loaded) {
            return;
        }
        let (loading, wanted) = Loading::new(head, &self.current, &self.hashes);
        self.loading = Some(loading);
        self.ask_for(wanted, actions);
        self.try_complete(now, actions);
    }

    fn ask_for(&mut self, parts: Vec<Part>, actions: &mut Vec<Action>) {
        let Some(loading) = &mut self.loading else { return };
        for part in parts {
            self.last_call += 1;
            let request = loading.request(&part);
            loading.asked(self.last_call, part);
            actions.push(Action::Call { call: self.last_call, request });
        }
    }

    fn try_complete(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(loading) = &self.loading else { return };
        if let Some((configuration, hashes)) = loading.complete() {
            self.loading = None;
            if let Some(update) = self.adopt(configuration, hashes, actions) {
                // A version read from the platform is new to the data centre.
                let others: Vec<InstanceId> =
                    self.live.iter().filter(|peer| **peer != self.cfg.instance).cloned().collect();
                self.pass_on(&update, &others, actions);
            }
        } else if loading.is_stuck() {
            self.read_at = Some(now + self.cfg.retry_delay);
        }
    }

    fn retry_loading(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let failed = self.loading.as_mut().map(Loading::take_failed).unwrap_or_default();
        if !failed.is_empty() {
            self.ask_for(failed, actions);
            self.try_complete(now, actions);
        }
    }

    /// Puts a higher version into effect. Returns the difference to the one before.
    fn adopt(
        &mut self,
        configuration: Configuration,
        hashes: Hashes,
        actions: &mut Vec<Action>,
    ) -> Option<Arc<Update>> {
        if configuration.version <= self.current.version {
            return None;
        }
        let old = (&*self.current, &self.hashes);
        let update = Arc::new(difference(old, (&configuration, &hashes)));
        self.history.push(Arc::clone(&update));
        self.current = Arc::new(configuration);
        self.hashes = hashes;
        if self.loading.as_ref().is_some_and(|l| l.version() <= self.current.version) {
            self.loading = None;
        }
        actions.push(Action::Adopted(Arc::clone(&self.current)));
        Some(update)
    }

    fn on_update(
        &mut self,
        now: Instant,
        from: &InstanceId,
        update: &Update,
        actions: &mut Vec<Action>,
    ) {
        if update.to <= self.current.version {
            return;
        }
        match apply(&self.current, &self.hashes, update) {
            Some((configuration, hashes)) => {
                self.adopt(configuration, hashes, actions);
            }
            // The difference belongs to another version; the sender has the one from ours.
            None => self.fetch_from(now, from, actions),
        }
    }

    fn fetch_from(&mut self, now: Instant, peer: &InstanceId, actions: &mut Vec<Action>) {
        if self.fetch.as_ref().is_some_and(|fetch| now < fetch.until) {
            return;
        }
        self.fetch = Some(Fetch { peer: peer.clone(), until: now + self.cfg.retry_delay });
        let message = ConfigurationMessage::Fetch { have: self.current.version };
        actions.push(Action::Send { to: peer.clone(), message });
    }

    fn answer_fetch(&self, have: ConfigurationVersion) -> ConfigurationMessage {
        if have >= self.current.version {
            return ConfigurationMessage::UpToDate { version: self.current.version };
        }
        let update = self.history.since(have).unwrap_or_else(|| whole(&self.current, &self.hashes));
        ConfigurationMessage::Update { update: Arc::new(update) }
    }

    fn answered(&mut self, peer: &InstanceId) {
        self.start.waiting_for.remove(peer);
        if self.fetch.as_ref().is_some_and(|fetch| fetch.peer == *peer) {
            self.fetch = None;
        }
    }

    fn ask_at_start(&mut self, peer: &InstanceId, actions: &mut Vec<Action>) {
        if *peer == self.cfg.instance || !self.start.waiting_for.insert(peer.clone()) {
            return;
        }
        let message = ConfigurationMessage::Fetch { have: self.current.version };
        actions.push(Action::Send { to: peer.clone(), message });
    }

    /// Sends an update to the heads of `fan_out` subtrees, with the rest of each to pass on to.
    fn pass_on(&self, update: &Arc<Update>, to: &[InstanceId], actions: &mut Vec<Action>) {
        if to.is_empty() {
            return;
        }
        let subtree = to.len().div_ceil(self.cfg.fan_out.max(1));
        for part in to.chunks(subtree) {
            if let Some((head, rest)) = part.split_first() {
                let message = ConfigurationMessage::Push {
                    update: Arc::clone(update),
                    forward: rest.to_vec(),
                };
                actions.push(Action::Send { to: head.clone(), message });
            }
        }
    }

    fn read_head(&mut self, actions: &mut Vec<Action>) {
        if self.reading_head.is_some() {
            self.read_again = true;
            return;
        }
        self.last_call += 1;
        self.reading_head = Some(self.last_call);
        let key = head_key();
        // The head lists all client accounts, 33 KB for 400. It is read again as long as its version is
        // not in effect, since loading may have to start over.
        let request = match self.last_head {
            Some((known, version)) if version <= self.current.version => {
                ObjectCall::ReadIfChanged { key, known }
            }
            _ => ObjectCall::Read { key },
        };
        actions.push(Action::Call { call: self.last_call, request });
    }

    /// A watch can go silent, so that watchers read the head now and then.
    fn schedule_read(&mut self, now: Instant, rng: &mut impl Rng) {
        if self.is_watching && self.read_at.is_none() {
            self.read_at =
                Some(now + self.cfg.head_read_interval.mul_f64(rng.random_range(0.8..1.2)));
        }
    }

    /// The instances that watch the head, by rendezvous hashing.
    pub fn watchers(&self) -> BTreeSet<&InstanceId> {
        let mut ranked: Vec<(u64, &InstanceId)> = self
            .live
            .iter()
            .map(|instance| (xxh3_64_with_seed(instance.as_bytes(), WATCHER_SEED), instance))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().take(self.cfg.watchers).map(|(_, instance)| instance).collect()
    }
}
