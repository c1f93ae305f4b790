//! The configuration version in effect at one instance.

use std::sync::Arc;

use rand::Rng;
use types::object::{CallId, ObjectAnswer, ObjectCall, decode};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::changes::Hashes;
use crate::head::head_key;
use crate::loading::{Loading, Part};
use crate::updates::{History, apply_update, difference, full_update};
use crate::{Action, ConfigurationMessage, Head, Settings, Update};

/// Hash seed that makes the choice of watchers independent of the choice of group owners.
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
    /// The call that reads the head, if one is in progress.
    head_call: Option<CallId>,
    /// Object version and configuration version of the head that was read last.
    last_head: Option<(ObjectVersion, ConfigurationVersion)>,
    /// Another read of the head was requested while one was in progress.
    needs_reread: bool,
    loading: Option<Loading>,
    /// Time of the next retry of a failed read, or of a watcher's next periodic read of the head.
    next_read_at: Option<Instant>,
    is_watching: bool,
    fetch: Option<Fetch>,
    start: StartState,
}

/// A fetch in progress. One at a time is enough, since every answer contains all changes up to the
/// peer's version.
#[derive(Debug)]
struct Fetch {
    peer: InstanceId,
    deadline: Instant,
}

/// Progress of the instance's start.
#[derive(Debug, Default)]
struct StartState {
    /// Time limit of the start; `None` before `Follower::start`.
    deadline: Option<Instant>,
    has_platform_answered: bool,
    /// Peers that have not answered the fetch sent at the start.
    pending_peers: BTreeSet<InstanceId>,
}

impl Follower {
    /// Creates a follower with version zero, which is never in effect for requests.
    pub fn new(cfg: Settings) -> Self {
        Self {
            history: History::new(cfg.history_length),
            current: Arc::default(),
            hashes: Hashes::default(),
            live: BTreeSet::new(),
            last_call: 0,
            head_call: None,
            last_head: None,
            needs_reread: false,
            loading: None,
            next_read_at: None,
            is_watching: false,
            fetch: None,
            start: StartState::default(),
            cfg,
        }
    }

    /// Reads the head from the platform and fetches the versions of all reachable peers.
    pub fn start(&mut self, now: Instant, peers: &[InstanceId]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.start.deadline = Some(now + self.cfg.start_timeout);
        self.read_head(&mut actions);
        for peer in peers {
            self.fetch_at_start(peer, &mut actions);
        }
        actions
    }

    /// Returns true if the start is complete. This needs a version in effect, and either answers
    /// from the platform and every peer with no load in progress, or the end of the time limit.
    pub fn is_started(&self, now: Instant) -> bool {
        let Some(deadline) = self.start.deadline else { return false };
        let all_answered = self.start.has_platform_answered && self.start.pending_peers.is_empty();
        let is_loading = self.loading.is_some();
        self.current.version > 0 && ((all_answered && !is_loading) || now >= deadline)
    }

    /// Returns the configuration in effect.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// Returns the time at which [`on_timer`](Self::on_timer) has to be called.
    pub fn next_timer(&self) -> Option<Instant> {
        let fetch = self.fetch.as_ref().map(|fetch| fetch.deadline);
        [self.next_read_at, fetch].into_iter().flatten().min()
    }

    /// Retries failed calls, makes periodic reads of the head and abandons an unanswered fetch.
    pub fn on_timer(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.next_read_at.is_some_and(|at| at <= now) {
            self.next_read_at = None;
            self.retry_loading(now, &mut actions);
            if self.loading.is_none() {
                self.read_head(&mut actions);
            }
            self.schedule_read(now, rng);
        }
        if self.fetch.as_ref().is_some_and(|fetch| fetch.deadline <= now) {
            // The peer did not answer. The next heartbeat with a higher version starts a new fetch.
            self.fetch = None;
        }
        actions
    }

    /// Sets the live members of this data centre. Chooses the watchers among them, and starts or
    /// stops the watch of this instance accordingly.
    pub fn set_members(
        &mut self,
        now: Instant,
        live: BTreeSet<InstanceId>,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.start.deadline.is_some_and(|deadline| now < deadline) {
            for peer in live.difference(&self.live.clone()) {
                self.fetch_at_start(peer, &mut actions);
            }
        }
        self.start.pending_peers.retain(|peer| live.contains(peer));
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

    /// Reads the head after it changed or the watch was restarted. Late events of a watch that was
    /// stopped are ignored, because only watchers read and push.
    pub fn on_head_changed(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_watching {
            self.read_head(&mut actions);
        }
        actions
    }

    /// Fetches the difference from a peer whose heartbeat or summary names a higher version than
    /// the one in effect.
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

    /// Handles a message from a peer.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &InstanceId,
        message: ConfigurationMessage,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match message {
            ConfigurationMessage::Push { update, forward } => {
                self.push_update(&update, &forward, &mut actions);
                self.on_update(now, from, &update, &mut actions);
            }
            ConfigurationMessage::Update { update } => {
                self.on_peer_answered(from);
                self.on_update(now, from, &update, &mut actions);
            }
            ConfigurationMessage::UpToDate { .. } => self.on_peer_answered(from),
            ConfigurationMessage::Fetch { have } => {
                let message = self.answer_fetch(have);
                actions.push(Action::Send { to: from.clone(), message });
            }
        }
        actions
    }

    /// Handles the answer to a platform call.
    pub fn on_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.head_call == Some(call) {
            self.head_call = None;
            self.on_head(now, &answer, &mut actions);
            if std::mem::take(&mut self.needs_reread) {
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
                None => return tracing::error!("configuration: cannot decode the head"),
            },
            ObjectAnswer::Unchanged => {
                self.start.has_platform_answered = true;
                return;
            }
            ObjectAnswer::Missing => Head::default(),
            _ => {
                self.next_read_at = Some(now + self.cfg.retry_delay);
                return;
            }
        };
        self.start.has_platform_answered = true;
        let loading_version = self.loading.as_ref().map_or(0, Loading::version);
        if head.version <= self.current.version.max(loading_version) {
            return;
        }
        let (loading, missing) = Loading::new(head, &self.current, &self.hashes);
        self.loading = Some(loading);
        self.request_parts(missing, actions);
        self.try_complete(now, actions);
    }

    fn request_parts(&mut self, parts: Vec<Part>, actions: &mut Vec<Action>) {
        let Some(loading) = &mut self.loading else { return };
        for part in parts {
            self.last_call += 1;
            let request = loading.request(&part);
            loading.record_call(self.last_call, part);
            actions.push(Action::Call { call: self.last_call, request });
        }
    }

    fn try_complete(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(loading) = &self.loading else { return };
        if let Some((configuration, hashes)) = loading.complete() {
            self.loading = None;
            if let Some(update) = self.adopt(configuration, hashes, actions) {
                // A version read from the platform is new to the data centre, so it is pushed to
                // all.
                let peers: Vec<InstanceId> =
                    self.live.iter().filter(|peer| **peer != self.cfg.instance).cloned().collect();
                self.push_update(&update, &peers, actions);
            }
        } else if loading.needs_retry() {
            self.next_read_at = Some(now + self.cfg.retry_delay);
        }
    }

    fn retry_loading(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let failed = self.loading.as_mut().map(Loading::take_failed).unwrap_or_default();
        if !failed.is_empty() {
            self.request_parts(failed, actions);
            self.try_complete(now, actions);
        }
    }

    /// Puts a higher version into effect. Returns the difference from the previous one.
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
        match apply_update(&self.current, &self.hashes, update) {
            Some((configuration, hashes)) => {
                self.adopt(configuration, hashes, actions);
            }
            // The update applies to another version. The sender has the difference from this
            // instance's version.
            None => self.fetch_from(now, from, actions),
        }
    }

    fn fetch_from(&mut self, now: Instant, peer: &InstanceId, actions: &mut Vec<Action>) {
        if self.fetch.as_ref().is_some_and(|fetch| now < fetch.deadline) {
            return;
        }
        self.fetch = Some(Fetch { peer: peer.clone(), deadline: now + self.cfg.retry_delay });
        let message = ConfigurationMessage::Fetch { have: self.current.version };
        actions.push(Action::Send { to: peer.clone(), message });
    }

    fn answer_fetch(&self, have: ConfigurationVersion) -> ConfigurationMessage {
        if have >= self.current.version {
            return ConfigurationMessage::UpToDate { version: self.current.version };
        }
        let update =
            self.history.since(have).unwrap_or_else(|| full_update(&self.current, &self.hashes));
        ConfigurationMessage::Update { update: Arc::new(update) }
    }

    fn on_peer_answered(&mut self, peer: &InstanceId) {
        self.start.pending_peers.remove(peer);
        if self.fetch.as_ref().is_some_and(|fetch| fetch.peer == *peer) {
            self.fetch = None;
        }
    }

    fn fetch_at_start(&mut self, peer: &InstanceId, actions: &mut Vec<Action>) {
        if *peer == self.cfg.instance || !self.start.pending_peers.insert(peer.clone()) {
            return;
        }
        let message = ConfigurationMessage::Fetch { have: self.current.version };
        actions.push(Action::Send { to: peer.clone(), message });
    }

    /// Splits the receivers into `fan_out` subtrees and sends the update to the root of each, which
    /// forwards it to the rest of its subtree.
    fn push_update(&self, update: &Arc<Update>, to: &[InstanceId], actions: &mut Vec<Action>) {
        if to.is_empty() {
            return;
        }
        let subtree_size = to.len().div_ceil(self.cfg.fan_out.max(1));
        for part in to.chunks(subtree_size) {
            if let Some((root, rest)) = part.split_first() {
                let message = ConfigurationMessage::Push {
                    update: Arc::clone(update),
                    forward: rest.to_vec(),
                };
                actions.push(Action::Send { to: root.clone(), message });
            }
        }
    }

    fn read_head(&mut self, actions: &mut Vec<Action>) {
        if self.head_call.is_some() {
            self.needs_reread = true;
            return;
        }
        self.last_call += 1;
        self.head_call = Some(self.last_call);
        let key = head_key();
        // The head lists all client accounts and takes 33 KB for 400 of them, so it is not
        // transferred again while it is unchanged. As long as its version is not in effect, it is
        // read in full, since loading may have to start over.
        let request = match self.last_head {
            Some((known, version)) if version <= self.current.version => {
                ObjectCall::ReadIfChanged { key, known }
            }
            _ => ObjectCall::Read { key },
        };
        actions.push(Action::Call { call: self.last_call, request });
    }

    /// Schedules the next periodic read of a watcher, since its watch may have stopped delivering
    /// events without an error.
    fn schedule_read(&mut self, now: Instant, rng: &mut impl Rng) {
        if self.is_watching && self.next_read_at.is_none() {
            self.next_read_at =
                Some(now + self.cfg.head_read_interval.mul_f64(rng.random_range(0.8..1.2)));
        }
    }

    /// Returns the instances that watch the head, chosen by rendezvous hashing.
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
