//! Settings of one instance's follower.

use types::prelude::*;

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
    pub history_length: usize,
    /// Time after which a fetch or a failed call is repeated with another peer.
    pub retry_delay: Duration,
    /// Time between reads of the head by a watcher whose watch may have gone silent.
    pub head_read_interval: Duration,
    /// Time that a starting instance waits for the platform and its peers.
    pub start_timeout: Duration,
}

impl Settings {
    /// The default settings for an instance.
    pub fn new(instance: impl Into<InstanceId>) -> Self {
        Self {
            instance: instance.into(),
            watchers: 2,
            fan_out: 8,
            history_length: 64,
            retry_delay: Duration::from_millis(500),
            head_read_interval: Duration::from_secs(2),
            start_timeout: Duration::from_secs(3),
        }
    }
}
