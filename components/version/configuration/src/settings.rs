//! Settings of the follower.

use types::prelude::*;

/// Settings of an instance's [`Follower`](crate::Follower).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Instances per data centre that watch the head.
    pub watchers: usize,
    /// Fan-out of the push tree: the number of instances that one instance pushes a version to.
    pub fan_out: usize,
    /// Number of differences that are retained for peers that fetch. At 22,000 changes a day, 64
    /// differences cover four minutes.
    pub history_length: usize,
    /// Time after which an unanswered fetch is abandoned, so that another peer can be asked, and
    /// delay before a failed call is retried.
    pub retry_delay: Duration,
    /// Interval at which a watcher reads the head, since its watch may have stopped delivering
    /// events without an error.
    pub head_read_interval: Duration,
    /// Time for which a starting instance waits for answers of the platform and its peers.
    pub start_timeout: Duration,
}

impl Settings {
    /// Returns the default settings for an instance.
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
