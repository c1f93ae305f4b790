//! The version in effect at one instance.

use std::sync::Arc;

use rand::Rng;
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::objects::Objects;
use crate::{Action, ConfigurationMessage, Head, Update, update};

/// Settings of one instance's follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This instance.
    pub instance: InstanceId,
    /// Instances per data centre that watch the head.
    pub watchers: usize,
    /// Fan-out of the push tree.
    pub fan_out: usize,
    /// Differences kept for peers that fetch. At 22,000 changes a day, 64 cover four minutes.
    pub history: usize,
    /// Time after which a fetch or a failed call is repeated with another peer.
    pub retry_after: Duration,
    /// Time between reads of the head by a watcher whose watch may have gone silent.
    pub read_every: Duration,
    /// Time that a starting instance waits for the platform and its peers.
    pub start_time: Duration,
}

impl Settings {
    /// The default settings for an instance.
    pub fn new(instance: impl Into<InstanceId>) -> Self {
        Self {
            instance: instance.into(),
            watchers: 2,
            fan_out: 8,
            history: 64,
            retry_after: Duration::from_millis(500),
            read_every: Duration::from_secs(2),
            start_time: Duration::from_secs(3),
        }
    }
}

/// A fetch that has no answer yet.
#[derive(Debug)]
struct Fetch {
    peer: InstanceId,
    until: Instant,
}

/// The configuration in effect at one instance.
#[derive(Debug)]
pub struct Follower {
    pub(crate) cfg: Settings,
    pub(crate) current: Arc<Configuration>,
    /// Hashes of the present contents; its nonces are not kept.
    pub(crate) head: Head,
    /// Consecutive differences that lead to the present version.
    history: VecDeque<Arc<Update>>,
    live: BTreeSet<InstanceId>,
    pub(crate) is_watching: bool,
    pub(crate) objects: Objects,
    read_at: Option<Instant>,
    /// Peers known to have a higher version.
    ahead: BTreeMap<InstanceId, ConfigurationVersion>,
    fetch: Option<Fetch>,
    /// Highest version heard of.
    pub(crate) seen: ConfigurationVersion,
    /// Peers that were asked at the start and have not answered.
    unanswered: BTreeSet<InstanceId>,
    start_until: Instant,
}

impl Follower {
    /// Starts with version zero, which is never in effect for requests.
    pub fn new(cfg: Settings, now: Instant) -> Self {
        Self {
            start_until: now + cfg.start_time,
            cfg,
            current: Arc::default(),
            head: Head::default(),
            history: VecDeque::new(),
            live: BTreeSet::new(),
            is_watching: false,
            objects: Objects::default(),
            read_at: None,
            ahead: BTreeMap::new(),
            fetch: None,
            seen: 0,
            unanswered: BTreeSet::new(),
        }
    }

    /// Asks the platform and all reachable peers for their version.
    pub fn start(&mut self, now: Instant, peers: &[InstanceId]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.start_until = now + self.cfg.start_time;
        self.unanswered = peers.iter().cloned().collect();
        self.read_head(&mut actions);
        for peer in peers {
            // No version is above this, so the answer is the peer's version without content.
            let message = ConfigurationMessage::Fetch { have: ConfigurationVersion::MAX };
            actions.push(Action::Send { to: peer.clone(), message });
        }
        actions
    }

    /// Whether the start is over: the platform and every peer answered and the highest version
    /// is in effect, or the time for it ended with at least one version.
    pub fn is_started(&self, now: Instant) -> bool {
        let all = self.unanswered.is_empty() && self.objects.asked;
        let complete = all && self.current.version >= self.seen;
        complete || (now >= self.start_until && self.current.version > 0)
    }

    /// The version in effect.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// When [`on_timer`](Self::on_timer) is due.
    pub fn next_timer(&self) -> Option<Instant> {
        let read_at = self.read_at.filter(|_| self.is_watching);
        let fetch = self.fetch.as_ref().map(|fetch| fetch.until);
        [self.objects.retry_at, read_at, fetch].into_iter().flatten().min()
    }

    /// Repeats fetches and calls that were not answered.
    pub fn on_timer(&mut self, now: Instant, _rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.objects.retry_at.take_if(|at| *at <= now).is_some() {
            self.read_objects(now, &mut actions);
            self.read_head(&mut actions);
        }
        if self.is_watching && self.read_at.is_none_or(|at| at <= now) {
            self.read_at = Some(now + self.cfg.read_every);
            self.read_head(&mut actions);
        }
        if let Some(fetch) = self.fetch.take_if(|fetch| fetch.until <= now) {
            // The next heartbeat of the peer that did not answer puts it back.
            self.ahead.remove(&fetch.peer);
            self.fetch_next(now, &mut actions);
        }
        actions
    }

    /// Sets the live members of this data centre: chooses the watchers.
    pub fn set_members(&mut self, now: Instant, live: BTreeSet<InstanceId>) -> Vec<Action> {
        let mut weighted: Vec<(u64, &InstanceId)> =
            live.iter().map(|name| (xxh3_64(name.as_bytes()), name)).collect();
        weighted.sort_unstable();
        let watchers = weighted.iter().take(self.cfg.watchers);
        let watching = watchers.into_iter().any(|(_, name)| **name == self.cfg.instance);
        self.live = live;
        if std::mem::replace(&mut self.is_watching, watching) == watching {
            return Vec::new();
        }
        if !watching {
            return vec![Action::StopWatch];
        }
        self.read_at = Some(now + self.cfg.read_every);
        let mut actions = vec![Action::StartWatch];
        self.read_head(&mut actions);
        actions
    }

    /// The watched head changed, or the watch was started again: reads the head.
    pub fn on_head_changed(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.read_head(&mut actions);
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
        self.seen = self.seen.max(version);
        if version > self.current.version {
            self.ahead.insert(peer.clone(), version);
            if self.fetch.is_none() {
                self.fetch_next(now, &mut actions);
            }
        }
        actions
    }

    /// Fetches from the peer with the highest version.
    fn fetch_next(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let current = self.current.version;
        self.ahead.retain(|_, version| *version > current);
        let Some((peer, _)) = self.ahead.iter().max_by_key(|(_, version)| **version) else {
            return;
        };
        let message = ConfigurationMessage::Fetch { have: current };
        actions.push(Action::Send { to: peer.clone(), message });
        self.fetch = Some(Fetch { peer: peer.clone(), until: now + self.cfg.retry_after });
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
                self.send_down(&update, &forward, &mut actions);
                actions.extend(self.on_update(now, from, &update));
            }
            ConfigurationMessage::Fetch { have } => {
                let message = self.answer(have);
                actions.push(Action::Send { to: from.clone(), message });
            }
            ConfigurationMessage::Update { update } => {
                self.unanswered.remove(from);
                if self.fetch.as_ref().is_some_and(|fetch| fetch.peer == *from) {
                    self.fetch = None;
                }
                actions.extend(self.on_update(now, from, &update));
                if self.fetch.is_none() {
                    self.fetch_next(now, &mut actions);
                }
            }
            ConfigurationMessage::UpToDate { version } => {
                self.unanswered.remove(from);
                actions.extend(self.on_peer_version(now, from, version));
            }
        }
        actions
    }

    /// What a peer at version `have` needs.
    fn answer(&self, have: ConfigurationVersion) -> ConfigurationMessage {
        let version = self.current.version;
        if have >= version {
            return ConfigurationMessage::UpToDate { version };
        }
        let steps = self.history.iter().skip_while(|update| update.from != have);
        let joined = update::join(steps).filter(|_| have > 0);
        let whole = || {
            let nothing = (Configuration::default(), Head::default());
            update::difference(&nothing.0, &nothing.1, &self.current, &self.head)
        };
        ConfigurationMessage::Update { update: Arc::new(joined.unwrap_or_else(whole)) }
    }

    /// Applies an update if it leads to a higher version; fetches what is missing otherwise.
    fn on_update(&mut self, now: Instant, from: &InstanceId, update: &Arc<Update>) -> Vec<Action> {
        let mut actions = Vec::new();
        if update.to <= self.current.version {
            return actions;
        }
        if update.from != 0 && update.from != self.current.version {
            return self.on_peer_version(now, from, update.to);
        }
        match update::apply(&self.current, &self.head, update) {
            Some((configuration, head)) => {
                self.adopt(now, configuration, head, &mut actions);
            }
            None => tracing::error!("configuration: update from {from} has a wrong digest"),
        }
        actions
    }

    /// Puts a higher version into effect and returns the difference to the one before. There is no
    /// other way to change the version.
    pub(crate) fn adopt(
        &mut self,
        _now: Instant,
        configuration: Configuration,
        head: Head,
        actions: &mut Vec<Action>,
    ) -> Option<Arc<Update>> {
        if configuration.version <= self.current.version {
            return None;
        }
        let update = Arc::new(update::difference(&self.current, &self.head, &configuration, &head));
        self.history.push_back(update.clone());
        if self.history.len() > self.cfg.history {
            self.history.pop_front();
        }
        self.seen = self.seen.max(configuration.version);
        self.head = head;
        self.current = Arc::new(configuration);
        tracing::info!("configuration: version {} is in effect", self.current.version);
        actions.push(Action::Adopted(self.current.clone()));
        Some(update)
    }

    /// Pushes a version that came from the platform to the whole data centre.
    pub(crate) fn push(&self, update: Arc<Update>, actions: &mut Vec<Action>) {
        let others = self.live.iter().filter(|name| **name != self.cfg.instance);
        let mut others: Vec<InstanceId> = others.cloned().collect();
        // Each watcher has its own tree, so that a dead inner member does not cut off the same
        // instances twice.
        let key = |name: &InstanceId| {
            xxh3_64(&[name.as_bytes(), b"\0", self.cfg.instance.as_bytes()].concat())
        };
        others.sort_by_cached_key(key);
        self.send_down(&update, &others, actions);
    }

    /// Sends an update to the first members of a list, which pass it on to the rest.
    fn send_down(&self, update: &Arc<Update>, names: &[InstanceId], actions: &mut Vec<Action>) {
        let (children, rest) = names.split_at(names.len().min(self.cfg.fan_out));
        for (index, child) in children.iter().enumerate() {
            let forward = rest.iter().skip(index).step_by(children.len()).cloned().collect();
            let message = ConfigurationMessage::Push { update: update.clone(), forward };
            actions.push(Action::Send { to: child.clone(), message });
        }
    }
}
