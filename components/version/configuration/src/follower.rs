//! The version in effect at one instance.

use std::sync::Arc;

use rand::Rng;
use types::object::{CallId, ObjectAnswer};
use types::prelude::*;

use crate::{Action, ConfigurationMessage};

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

/// The configuration in effect at one instance.
#[derive(Debug)]
pub struct Follower {
    cfg: Settings,
    current: Arc<Configuration>,
}

impl Follower {
    /// Starts with version zero, which is never in effect for requests.
    pub fn new(cfg: Settings, now: Instant) -> Self {
        let _ = now;
        Self { cfg, current: Arc::default() }
    }

    /// Asks the platform and all reachable peers for their version.
    pub fn start(&mut self, now: Instant, peers: &[InstanceId], rng: &mut impl Rng) -> Vec<Action> {
        let _ = (now, peers, rng, &self.cfg);
        Vec::new()
    }

    /// Whether the start is over: the platform and every peer answered, or the time for it ended
    /// with at least one version.
    pub fn is_started(&self, now: Instant) -> bool {
        let _ = now;
        false
    }

    /// The version in effect.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// When [`on_timer`](Self::on_timer) is due.
    pub fn next_timer(&self) -> Option<Instant> {
        None
    }

    /// Repeats fetches and calls that were not answered.
    pub fn on_timer(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let _ = (now, rng);
        Vec::new()
    }

    /// Sets the live members of this data centre: chooses the watchers.
    pub fn set_members(
        &mut self,
        now: Instant,
        live: BTreeSet<InstanceId>,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, live, rng);
        Vec::new()
    }

    /// The watched head changed, or the watch was started again: reads the head.
    pub fn on_head_changed(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let _ = (now, rng);
        Vec::new()
    }

    /// A peer is at this version, by a heartbeat or a summary: fetches the difference if this
    /// instance is behind.
    pub fn on_peer_version(
        &mut self,
        now: Instant,
        peer: &InstanceId,
        version: ConfigurationVersion,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, peer, version, rng);
        Vec::new()
    }

    /// Takes a message of a peer.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &InstanceId,
        message: ConfigurationMessage,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, from, message, rng);
        Vec::new()
    }

    /// Takes the answer to a platform call.
    pub fn on_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: ObjectAnswer,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let _ = (now, call, answer, rng);
        Vec::new()
    }
}
